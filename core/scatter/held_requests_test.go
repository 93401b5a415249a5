package scatter_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestEndedRequestsAreNotHeld guards against requests that stay in memory until their
// deadline, an hour later, though they ended long before.
func TestEndedRequestsAreNotHeld(t *testing.T) {
	const requests, headBytes, maxHeld = 400, 15_000, 2_000_000
	answered := func(scatter.Handover) (time.Duration, scatter.Outcome) { return 10 * ms, scatter.Succeeded }
	declined := func(scatter.Handover) (time.Duration, scatter.Outcome) { return ms, scatter.NotExecuted }
	silent := func(scatter.Handover) (time.Duration, scatter.Outcome) { return time.Hour, scatter.Lost }
	for name, tt := range map[string]struct {
		peer   func(scatter.Handover) (time.Duration, scatter.Outcome)
		path   string
		leaves bool
	}{
		"handed over":              {answered, fetchPath, false},
		"handed over, no route":    {declined, "/none/", false},
		"declined by all":          {declined, fetchPath, false},
		"caller leaves a handover": {silent, fetchPath, true},
		"answered here":            {nil, fetchPath, false},
		"gathered here":            {nil, gatherPath, false},
		"no route here":            {nil, "/none/", false},
		"caller leaves":            {nil, fetchPath, true},
		"caller leaves a gather":   {nil, gatherPath, true},
		"caller leaves an order":   {nil, orderPath, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 4)
			if tt.peer != nil {
				makeWeakHost(r)
				r.peer = tt.peer
			}
			ask := func() {
				call := r.arrive(scatter.RequestArrived{Path: tt.path + strings.Repeat("x", headBytes), Budget: time.Hour})
				r.run(20 * ms)
				if tt.leaves {
					r.step(scatter.CallerGone{Call: call})
				}
			}
			if tt.leaves && tt.peer == nil {
				r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return s.Deadline.Sub(r.now), scatter.Lost }
			}
			ask()
			r.run(time.Minute)
			before := heapInUse()
			for range requests {
				ask()
			}
			r.run(time.Minute)
			if held := heapInUse() - before; held > maxHeld {
				t.Errorf("%d bytes are held after %d requests of %d bytes have ended", held, requests, headBytes)
			}
			runtime.KeepAlive(r)
		})
	}
}

func heapInUse() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
