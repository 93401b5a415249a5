package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestHandoversNeverGoBackToAnOlderVersion guards against a calm host whose requests are run
// by a new version of the configuration and then by an older one, since one of the hosts
// that answer them has not received the new one.
func TestHandoversNeverGoBackToAnOlderVersion(t *testing.T) {
	for name, see := range map[string]func(r *rig){
		"in an answer": func(r *rig) {
			r.versions = map[core.HostID]uint64{"strong-1": 7, "strong-2": 6}
			r.ask(fetchPath)
			r.run(50 * ms)
		},
		"at the host that it follows": func(r *rig) {
			r.step(scatter.LimitsReported{Version: 7})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			makeWeakHost(r)
			old := newRig(t) // strong-2, which the new version has not reached
			old.configure(6, 1)
			current := newRig(t)
			current.configure(7, 1)
			r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
				at := current
				if h.To.ID == "strong-2" {
					at = old
				}
				call := at.arrive(scatter.RequestArrived{Path: fetchPath, FromHost: true, AllowStale: h.AllowStale, SeenVersion: h.SeenVersion})
				at.run(10 * ms)
				if at.answers[call].Kind == scatter.Declined {
					return ms, scatter.NotExecuted
				}
				return 10 * ms, scatter.Succeeded
			}
			see(r)
			for range 50 {
				var calls []core.CallID
				for range 4 { // more than one host would take
					calls = append(calls, r.ask(fetchPath))
				}
				r.run(50 * ms)
				for _, call := range calls {
					if a := r.want(call, scatter.PassedOn); a.Payload == "strong-2" {
						t.Fatal("answered by the older version")
					}
				}
			}
			// If no other host answers, one with an older version does.
			answer := r.peer
			r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
				if h.To.ID == "strong-2" {
					return answer(h)
				}
				return ms, scatter.Unreached
			}
			call := r.ask(fetchPath)
			r.run(50 * ms)
			if a := r.want(call, scatter.PassedOn); a.Payload != "strong-2" {
				t.Errorf("answered by %v", a.Payload)
			}
		})
	}
}
