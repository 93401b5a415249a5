package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestRestartsStayWithinTheBudget checks that a host that restarts repeatedly while
// all requests fail stays within the extra budget, although each new process starts
// without a count of the earlier sends.
func TestRestartsStayWithinTheBudget(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.run(10 * time.Second)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, scatter.Failed }
	requests := 0
	for range 4 {
		for range 100 {
			r.ask(fetchPath)
			requests++
			r.run(10 * ms)
		}
		r.run(100 * ms)
		r.options.FirstStart = false
		r.engine = scatter.New(r.options)
		r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
		r.configure(1, 1)
	}
	if extras, limit := len(r.sends)-requests, 0.2*float64(requests)+56; float64(extras) > limit || extras < requests/20 {
		t.Errorf("%d extra sends for %d requests within 5 s, %g allowed", extras, requests, limit)
	}
}
