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
				if tt.relay {
					s.enableRelay()
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

// TestLimitSharesAddUp: hosts that take tokens as early as they may stay within a
// limit together, whatever their number, with one host more than they know of.
func TestLimitSharesAddUp(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 8, 12, 30, 195, 4600} {
		for _, limit := range []float64{0, 0.1, 0.5, 1, 2, 4, 10, 24.7, 100, 2340} {
			gatherers := min(hosts, 12)
			most, total := 0.0, 0.0
			for rank := range hosts + 1 {
				share := scatter.LimitShare(limit, rank, gatherers, hosts)
				total += share
				if burst := 1 + share*scatter.LimitBurst.Seconds(); rank < gatherers && share*limitWindow.Seconds() >= 1 {
					most += burst
				}
			}
			if most += limitWindow.Seconds() * total; most > limitTolerance*limit*limitWindow.Seconds()+limitSlack {
				t.Errorf("%d hosts, limit %g: up to %.1f requests in %v", hosts, limit, most, limitWindow)
			}
			if total > limit+1 {
				t.Errorf("%d hosts, limit %g: the shares add up to %.2f/s", hosts, limit, total)
			}
		}
	}
}

// TestLimitedUpstreamIsUsed: under more load than a limit allows, most of the limit
// is used, and the rest of the load is served elsewhere.
func TestLimitedUpstreamIsUsed(t *testing.T) {
	s := newTier(8, 10, simSweep, simQuick)
	s.stateLimit(12, s.id(0, 0))
	got := s.offer(60, 10*time.Second, simMix...)
	if used := len(s.upstreams[s.id(0, 0)].arrivals); used < 60 {
		t.Errorf("%d requests in 10 s at a limit of 12/s", used)
	}
	for path, r := range got {
		if r.inTarget*10 < r.asked*9 {
			t.Errorf("%s: %+v", path, *r)
		}
	}
}

// TestWorkOverTheLimitIsRefusedAtOnce: requests that no limit has room for wait for
// nothing, do not run, and are told when to come back.
func TestWorkOverTheLimitIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{fetchPath, orderPath, gatherPath} {
		r := newRig(t)
		r.configure(1, 2)
		r.notice = func(scatter.Send) scatter.Notice {
			return scatter.Notice{Limit: scatter.RateLimit{Stated: true, PerSecond: 1}}
		}
		var calls []core.CallID
		asked := map[core.CallID]time.Time{}
		for range 100 {
			call := r.ask(path)
			calls, asked[call] = append(calls, call), r.now
			r.run(20 * ms)
		}
		r.run(time.Second)
		refused := 0
		for _, call := range calls {
			a := r.answers[call]
			if a.Kind != scatter.Refused {
				continue
			}
			refused++
			if took := r.answered[call].Sub(asked[call]); took > 50*ms || a.RetryAfter <= 0 {
				t.Errorf("%s: refused after %v, to come back in %v", path, took, a.RetryAfter)
			}
			for _, s := range r.sends {
				if s.Call == call {
					t.Errorf("%s: call %d was refused and sent", path, call)
				}
			}
		}
		if refused < 60 || refused == len(calls) {
			t.Errorf("%s: %d of %d refused", path, refused, len(calls))
		}
	}
}

// TestLimitEndsWithTheStatement: the first answer without a limit to a later request
// ends it; a slow answer to an earlier request does not.
func TestLimitEndsWithTheStatement(t *testing.T) {
	n := scatter.NewNotices()
	u := pair("files")[0]
	limit := scatter.RateLimit{Stated: true, PerSecond: 3}
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	n.Record(at(2), at(1), u, scatter.Notice{Limit: limit})
	if n.Record(at(3), at(1), u, scatter.Notice{}) || n.Lookup(at(3), u).Limit != limit {
		t.Error("an answer to an earlier request ended the limit")
	}
	if n.Record(at(3), time.Time{}, u, scatter.Notice{}) {
		t.Error("an attempt without an answer ended the limit")
	}
	if !n.Record(at(4), at(3), u, scatter.Notice{}) || n.Lookup(at(4), u).Limit.Stated {
		t.Error("an answer without a limit did not end it")
	}

	r := newRig(t)
	r.configure(1, 2)
	r.notice = noticeFrom(scatter.Notice{Limit: scatter.RateLimit{Stated: true, PerSecond: 2}}, "files-a", "files-b")
	ask := func(d time.Duration) (sent int) {
		before := len(r.sends)
		for end := r.now.Add(d); r.now.Before(end); r.run(50 * ms) {
			r.ask(fetchPath)
		}
		return len(r.sends) - before
	}
	ask(time.Second)
	if sent := ask(4 * time.Second); sent > 20 {
		t.Errorf("%d requests in 4 s at two limits of 2/s", sent)
	}
	r.notice = nil
	ask(time.Second)
	if sent := ask(2 * time.Second); sent < 40 {
		t.Errorf("%d of 40 requests were sent after the limits had ended", sent)
	}
}

// TestSuccessorKeepsStatedLimits: an engine that replaces a failed one paces its
// sends from the first one on.
func TestSuccessorKeepsStatedLimits(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	r.notice = noticeFrom(scatter.Notice{Limit: scatter.RateLimit{Stated: true}}, "files-a", "files-b")
	r.ask(fetchPath)
	r.ask(fetchPath)
	r.run(time.Second)
	r.engine = r.engine.Successor()
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
	r.configure(1, 2)
	before := len(r.sends)
	for range 10 {
		r.ask(fetchPath)
		r.run(50 * ms)
	}
	if sent := len(r.sends) - before; sent > 0 {
		t.Errorf("%d requests were sent at once", sent)
	}
}

// TestHostsStayAwayAfterALimitHasEnded: a host that may send nearly nothing under a
// limit would find out much too late that it has ended.
func TestHostsStayAwayAfterALimitHasEnded(t *testing.T) {
	s := newTier(30, 4, simSweep, simQuick)
	s.offer(60, 2*time.Second, simMix...)
	id := s.id(0, 0)
	s.stateLimit(0.7, id)
	s.offer(60, 8*time.Second, simMix...)
	u := s.upstreams[id]
	u.limit = scatter.RateLimit{}
	s.offer(60, 4*time.Second, simMix...)
	senders := map[core.HostID]bool{}
	u.limit, u.arrivals = scatter.RateLimit{Stated: true, PerSecond: 1e6}, nil // records arrivals
	s.offer(60, 3*time.Second, simMix...)
	for _, a := range u.arrivals {
		senders[a.from] = true
	}
	if len(senders) < 8 {
		t.Errorf("%d of 12 gatherers use the upstream 4 s after its limit has ended", len(senders))
	}
}
