package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestCrashCountsAfterItsCallerHasLeft guards against a request that crashes upstreams
// without end because its caller leaves before they crash.
func TestCrashCountsAfterItsCallerHasLeft(t *testing.T) {
	for name, tt := range map[string]struct {
		path     string
		fromHost bool
		beside   bool // other requests run at the upstream that crashes
	}{
		"not repeatable":             {orderPath, false, false},
		"not repeatable, taken over": {orderPath, true, false},
		"another request is lost":    {fetchPath, false, true},
		"taken over":                 {fetchPath, true, true},
		"the upstream is unreached":  {fetchPath, false, false},
		"gather":                     {gatherPath, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 1)
			r.step(scatter.SuspectsSeen{})
			var deadly core.CallID
			crashes := 0
			crashAt := map[core.UpstreamID]time.Time{}
			crashed := func(id core.UpstreamID) bool { return !crashAt[id].IsZero() && !r.now.Before(crashAt[id]) }
			r.refuses = crashed
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
				id := s.Target.ID
				if s.Call == deadly {
					crashes++
					crashAt[id] = r.now.Add(100 * ms)
				}
				switch {
				case crashed(id):
					return ms, scatter.Unreached
				case !crashAt[id].IsZero():
					return crashAt[id].Sub(r.now), scatter.Lost
				}
				return 5 * ms, scatter.Succeeded
			}
			for start := range int64(5) {
				clear(crashAt)
				for _, service := range []core.ServiceID{"files", "orders", "shard00"} {
					for _, u := range pair(service) {
						u.Started = start
						r.step(scatter.UpstreamSeen{Upstream: u})
					}
				}
				r.run(2 * time.Second)
				deadly = r.calls + 1
				r.arrive(scatter.RequestArrived{Path: tt.path, FromHost: tt.fromHost, Fingerprint: crashingRequest, Budget: time.Second})
				r.run(20 * ms)
				r.step(scatter.CallerGone{Call: deadly})
				for range 2 {
					if tt.beside {
						r.ask(tt.path)
					}
				}
				r.run(100 * ms)
				for range 4 {
					r.ask(tt.path)
				}
				r.run(time.Second)
			}
			if crashes != 2 {
				t.Errorf("%d upstreams crashed, want 2", crashes)
			}
		})
	}
}

// TestAnsweredRequestIsNotSuspectedForItsCallerLeft: an upstream crashes for another
// reason after the caller of a sound request has left.
func TestAnsweredRequestIsNotSuspectedForItsCallerLeft(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	down := map[core.UpstreamID]bool{}
	r.refuses = func(id core.UpstreamID) bool { return down[id] }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if down[s.Target.ID] {
			return ms, scatter.Unreached
		}
		return 30 * ms, scatter.Succeeded
	}
	left := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(10 * ms)
	r.step(scatter.CallerGone{Call: left})
	r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(50 * ms)
	down["files-a"], down["files-b"] = true, true
	for range 4 {
		r.ask(fetchPath)
	}
	r.run(time.Second)
	for _, stored := range r.storedSuspects {
		if len(stored) > 0 {
			t.Errorf("suspected: %v", stored)
		}
	}
}
