package scatter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

const (
	// A limit binds limitContact after an upstream first stated it: within any
	// limitWindow, limitTolerance times what it allows and limitSlack requests
	// more may arrive from hosts that were informed of it.
	limitContact   = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// stateLimit makes upstreams state a limit from now on.
func (s *tier) stateLimit(perSecond float64, ids ...core.UpstreamID) {
	for _, id := range ids {
		u := s.upstreams[id]
		u.limit, u.limited = scatter.RateLimit{Stated: true, PerSecond: perSecond}, s.now
	}
}

// wantLimitKept checks the limits in every window.
func (s *tier) wantLimitKept(t *testing.T) {
	t.Helper()
	for id, u := range s.upstreams {
		var counted []time.Time
		for _, a := range u.arrivals {
			if a.informed && a.at.Sub(u.limited) >= limitContact {
				counted = append(counted, a.at)
			}
		}
		allowed, most, first := int(limitTolerance*u.limit.PerSecond*limitWindow.Seconds())+limitSlack, 0, 0
		for i, at := range counted {
			for at.Sub(counted[first]) > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if most > allowed {
			t.Errorf("%s stated a limit of %.3g/s and got %d requests in %v; %d are allowed", id, u.limit.PerSecond, most, limitWindow, allowed)
		}
	}
}

// join adds a host. The others see its record after a random delay; if the store
// is away it has no record.
func (s *tier) join(storeAway bool) {
	i := len(s.hosts)
	s.hosts = append(s.hosts, scatter.Host{ID: core.HostID(fmt.Sprint("host-", i)), Domain: core.DomainID(fmt.Sprint("d", i%3)), Cores: 1})
	s.engines = append(s.engines, nil)
	if !storeAway {
		s.state[0] = scatter.HostsSeen{Hosts: slices.Clone(s.hosts)}
	}
	s.start(i)
	seen := s.state[0]
	for n := range i {
		s.later.Add(s.now.Add(time.Duration(s.random.Int64N(int64(time.Second)))), func() {
			if s.engines[n] != nil {
				s.step(n, seen)
			}
		})
	}
}

// churn restarts, stops and adds hosts at random.
func (s *tier) churn(random *rand.Rand) {
	i := random.IntN(min(len(s.hosts), 20))
	switch random.IntN(6) {
	case 0, 1:
		s.start(i)
	case 2:
		s.engines[i] = nil
		s.later.Add(s.now.Add(time.Duration(random.Int64N(int64(3*time.Second)))), func() { s.start(i) })
	case 3:
		s.join(random.IntN(2) == 0)
	}
}

// TestUpstreamGetsMoreThanItsLimit: hosts that each keep a stated limit, or do not
// count hedges, retries and relayed parts, send more than it allows together.
func TestUpstreamGetsMoreThanItsLimit(t *testing.T) {
	for _, tt := range []struct {
		name          string
		hosts         int
		limit, load   float64
		both, churned bool // both upstreams of the shard are limited
		relay         bool
	}{
		{name: "half of the load", hosts: 8, limit: 24, load: 73},
		{name: "relayed parts", hosts: 8, limit: 24, load: 73, relay: true},
		{name: "both upstreams", hosts: 8, limit: 12, load: 73, both: true, relay: true},
		{name: "a few a second", hosts: 195, limit: 4, load: 40, both: true},
		{name: "nearly nothing", hosts: 195, limit: 0.3, load: 40, both: true},
		{name: "no requests at all", hosts: 60, limit: 0, load: 40},
		{name: "hosts come and go", hosts: 8, limit: 24, load: 73, relay: true, churned: true},
		{name: "hosts come and go, a few a second", hosts: 30, limit: 4, load: 60, both: true, churned: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := newTier(tt.hosts, 10, simSweep, simQuick)
				random := rand.New(rand.NewPCG(seed, 2))
				s.random = random
				if s.relay = tt.relay; s.relay {
					for i := range s.hosts {
						s.start(i)
					}
				}
				s.offer(tt.load, time.Second, simMix...)
				s.stateLimit(tt.limit, s.id(0, 0))
				if tt.both {
					s.stateLimit(tt.limit, s.id(0, 1))
				}
				if tt.churned {
					for at := 200 * ms; at < 16*time.Second; at += 200 * ms {
						s.later.Add(s.now.Add(at), func() { s.churn(random) })
					}
				}
				s.offer(tt.load, 16*time.Second, simMix...)
				s.wantLimitKept(t)
			}
		})
	}
}
