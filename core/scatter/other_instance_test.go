package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestOtherInstanceAtAnAddressGetsNoProbes guards against requests that reach upstreams of
// other services, as extra sends beyond their budget: the upstreams of a service have ended
// while the registry is away, and others use their addresses.
func TestOtherInstanceAtAnAddressGetsNoProbes(t *testing.T) {
	for name, shards := range map[string]int{gatherPath: 8, fetchPath: 1, orderPath: 1} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, shards)
			r.step(scatter.StoreReachable{})
			arrivals := 0
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
				switch s.Target.Service {
				case "shard00", "files", "orders":
					arrivals++
					return 2 * ms, scatter.WrongInstance
				}
				return 5 * ms, scatter.Succeeded
			}
			for range 400 { // 20 s
				r.ask(name)
				r.run(50 * ms)
			}
			if arrivals > 6 { // of two upstreams, at 0, 5 and 15 s
				t.Errorf("%d requests reached other upstreams", arrivals)
			}
			for _, u := range append(pair("shard00"), append(pair("files"), pair("orders")...)...) {
				u.Started++
				r.step(scatter.UpstreamSeen{Upstream: u})
			}
			r.serve = nil
			call := r.ask(name)
			r.run(100 * ms)
			if got := r.answers[call]; got.Kind != scatter.Gathered && got.Kind != scatter.PassedOn || got.Missing > 0 {
				t.Errorf("after new starts have registered: %v, %d parts missing", got.Kind, got.Missing)
			}
		})
	}
}

// TestUpstreamWhoseAddressIsInUseGetsNothing: a newer upstream of another service has
// registered at the address of one that is listed still.
func TestUpstreamWhoseAddressIsInUseGetsNothing(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	next := pair("files")[0]
	next.ID, next.Service, next.Started = "orders-c", "orders", 1
	r.step(scatter.UpstreamSeen{Upstream: next})
	for range 20 {
		r.ask(fetchPath)
		r.run(50 * ms)
	}
	if sent := r.sentTo("files-a"); sent > 0 || r.sentTo("files-b") == 0 {
		t.Errorf("%d requests were sent to the address", sent)
	}
}
