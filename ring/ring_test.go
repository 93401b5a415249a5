package ring

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

func isNegative(n int) bool { return n < 0 }

func TestFullRing(t *testing.T) {
	cases := []struct {
		name   string
		ring   *Ring[int]
		put    []int
		want   []int
		counts Counts
	}{
		{"refuses", New[int](2), []int{1, 2, 3}, []int{1, 2}, Counts{Accepted: 2, Refused: 1}},
		{"drops the oldest state update", NewDropping(3, isNegative), []int{1, -1, -2, 4}, []int{1, -2, 4}, Counts{Accepted: 4, Dropped: 1}},
		{"refuses without state updates", NewDropping(2, isNegative), []int{1, 2, -3}, []int{1, 2}, Counts{Accepted: 2, Refused: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, n := range c.put {
				c.ring.Put(n)
			}
			if got := c.ring.Drain(make([]int, 0, 8)); !slices.Equal(got, c.want) {
				t.Errorf("drained %v, want %v", got, c.want)
			}
			if got := c.ring.Counts(); got != c.counts {
				t.Errorf("counts %+v, want %+v", got, c.counts)
			}
		})
	}
}

// TestRingMatchesSlice compares the ring with a model that uses a plain slice.
func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]int{1, 2, 6, 40}).Draw(t, "capacity")
		r := NewDropping(capacity, isNegative)
		var model []int
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 30).Draw(t, "drain") == 0 {
				n := rapid.IntRange(0, capacity).Draw(t, "batch")
				got := r.Drain(make([]int, 0, n))
				if !slices.Equal(got, model[:len(got)]) || len(got) < min(n, len(model)) {
					t.Fatalf("drained %v of %v", got, model)
				}
				model = slices.Clone(model[len(got):])
				continue
			}
			item := rapid.IntRange(-9, 9).Draw(t, "item")
			accepted := len(model) < capacity
			if at := slices.IndexFunc(model, isNegative); !accepted && at >= 0 {
				model = slices.Delete(model, at, at+1)
				accepted = true
			}
			if r.Put(item) != accepted {
				t.Fatalf("put %d accepted: %v", item, !accepted)
			}
			if accepted {
				model = append(model, item)
			}
		}
	})
}

// TestProducersKeepTheirOrder runs several producers that block on a small ring
// and checks that no item is lost and that the items of each producer stay in
// order.
func TestProducersKeepTheirOrder(t *testing.T) {
	const producers, each = 4, 2000
	r := New[[2]int](3)
	var wg sync.WaitGroup
	for p := range producers {
		wg.Go(func() {
			for i := range each {
				r.PutWait([2]int{p, i})
			}
		})
	}
	go func() {
		wg.Wait()
		r.Close()
	}()
	var next [producers]int
	batch := make([][2]int, 0, 2)
	for {
		batch = r.Drain(batch[:0])
		for _, item := range batch {
			if item[1] != next[item[0]] {
				t.Fatalf("producer %d: got %d, want %d", item[0], item[1], next[item[0]])
			}
			next[item[0]]++
		}
		if len(batch) == 0 {
			if r.Closed() && r.Len() == 0 {
				break
			}
			<-r.Ready()
		}
	}
	if fmt.Sprint(next) != fmt.Sprint([producers]int{each, each, each, each}) {
		t.Errorf("drained %v of each producer", next)
	}
}

func BenchmarkPutDrain(b *testing.B) {
	r := New[int](1024)
	batch := make([]int, 0, 64)
	for i := range b.N {
		r.Put(i)
		if i%64 == 63 {
			batch = r.Drain(batch[:0])
		}
	}
}
