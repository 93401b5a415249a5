package estimate

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestWait(t *testing.T) {
	var s Service
	s.Observe(10 * ms)
	for _, c := range []struct {
		ahead, limit int
		want         time.Duration
	}{{0, 2, 0}, {1, 2, 0}, {2, 2, 5 * ms}, {5, 2, 20 * ms}, {1, 0, 10 * ms}} {
		if got := s.Wait(c.ahead, c.limit); got != c.want {
			t.Errorf("wait behind %d with %d at once: %v, want %v", c.ahead, c.limit, got, c.want)
		}
	}
}

// TestMedian checks that stragglers move the mean, but only a lasting change moves
// the median.
func TestMedian(t *testing.T) {
	var s Service
	for range 200 {
		s.Observe(20 * ms)
	}
	for range 12 {
		s.Observe(900 * ms)
	}
	if s.Median > 40*ms || s.Mean < 400*ms {
		t.Errorf("after stragglers: median %v, mean %v", s.Median, s.Mean)
	}
	for range 400 {
		s.Observe(900 * ms)
	}
	if s.Median < 800*ms {
		t.Errorf("after a lasting change: median %v", s.Median)
	}
}
