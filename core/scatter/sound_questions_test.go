package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// TestTierServesSoundQuestionsWhileUpstreamsCrash guards against a sound question that is
// refused because upstreams crash by themselves, by turns or together, while half of its
// callers leave.
func TestTierServesSoundQuestionsWhileUpstreamsCrash(t *testing.T) {
	for name, kind := range crashKinds {
		for _, every := range []time.Duration{20 * ms, 300 * ms} {
			t.Run(name+", every "+every.String(), func(t *testing.T) {
				refused, asked := uint64(0), 0
				for seed := range uint64(10) {
					s := newQuarantineTier(seed)
					s.kind, s.leaves = kind, 60*ms
					s.crashAt = map[core.UpstreamID]time.Time{}
					turn := 0
					var next func()
					next = func() {
						for n := range 1 + turn%3/2 { // every third time two together
							server := s.servers[(turn+n)%len(s.servers)]
							at := s.now.Add(time.Second)
							s.crashAt[server.ID] = at
							s.later.Add(at, func() { s.crash(server, 1500*ms) })
						}
						turn++
						s.later.Add(s.now.Add(time.Second), next)
					}
					next()
					for call := core.CallID(1); s.now.Before(epoch.Add(30 * time.Second)); call++ {
						s.calm = s.random.IntN(2) == 0
						s.ask(call)
						s.run(every)
						asked++
					}
					for _, e := range s.hosts {
						refused += e.Stats().QuarantineRefused
					}
				}
				if refused > 0 {
					t.Errorf("%d of %d requests were refused as suspects", refused, asked)
				}
			})
		}
	}
}
