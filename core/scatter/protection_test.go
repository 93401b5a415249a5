package scatter_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// flip is what a host has been told, and tells again after something has left it out.
type flip struct {
	r         *rig
	version   uint64
	services  []scatter.Service
	upstreams []scatter.Upstream
}

// flips are the ways in which an entry is left out and comes back within a moment.
var flips = map[string]func(*flip){
	"a version leaves out the service": func(f *flip) {
		f.configure(nil)
		f.configure(f.services)
	},
	"an entry is removed and put back": func(f *flip) {
		f.r.step(scatter.UpstreamRemoved{ID: f.upstreams[0].ID})
		f.r.step(scatter.UpstreamSeen{Upstream: f.upstreams[0]})
	},
	"a list leaves out the upstream": func(f *flip) {
		f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams[1:]})
		f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams})
	},
	"the host stops following for a moment": func(f *flip) {
		f.r.step(scatter.FeedsLapsed{})
		f.follow()
	},
	"the core is replaced": func(f *flip) {
		f.r.engine = f.r.engine.Successor()
		f.r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
		f.follow()
	},
}

// newFlip returns a host that knows one service with the given upstreams.
func newFlip(t *testing.T, service scatter.Service, upstreams ...scatter.Upstream) *flip {
	f := &flip{r: newRig(t), services: []scatter.Service{service}, upstreams: upstreams}
	f.follow()
	return f
}

func (f *flip) follow() {
	f.configure(f.services)
	f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams})
	f.r.step(scatter.DomainsOut{})
	f.r.step(scatter.SuspectsSeen{})
}

// configure applies the next version. Without services, the route goes to another one.
func (f *flip) configure(services []scatter.Service) {
	f.version++
	known := map[core.ServiceID]scatter.Service{"other": {ID: "other", Connections: 8}}
	target := core.ServiceID("other")
	for _, s := range services {
		known[s.ID], target = s, s.ID
	}
	route := &scatter.Route{
		Name: "fetch", Host: "h.example", Prefix: fetchPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms, MaxUpstreams: 2,
		Targets: []scatter.Target{{Service: target, Weight: 1}},
	}
	f.r.step(scatter.ConfigSeen{Config: scatter.NewConfig(f.version, []*scatter.Route{route}, known, scatter.CallerLimits{})})
}

// load sends a request every few milliseconds for a time. After every 20 of them the flip
// happens.
func (f *flip) load(d time.Duration, leaveOut func(*flip)) (requests int) {
	for end := f.r.now.Add(d); f.r.now.Before(end); f.r.run(5 * ms) {
		f.r.ask(fetchPath)
		if requests++; requests%20 == 0 {
			leaveOut(f)
		}
	}
	return requests
}

// burst sends twelve requests at once, a number of times.
func (f *flip) burst(times int) {
	for range times {
		for range 12 {
			f.r.ask(fetchPath)
		}
		f.r.run(300 * ms)
	}
}

// sendTimes returns when requests were sent to an upstream.
func (r *rig) sendTimes(id core.UpstreamID) (times []time.Time) {
	for i, s := range r.sends {
		if s.Target.ID == id {
			times = append(times, r.sentAt[i])
		}
	}
	return times
}

func eachFlip(t *testing.T, test func(t *testing.T, leaveOut func(*flip))) {
	for _, name := range slices.Sorted(maps.Keys(flips)) {
		t.Run(name, func(t *testing.T) { test(t, flips[name]) })
	}
}

// TestBudgetSurvivesFlips guards against a service that gets more extra sends than its budget
// allows, because each return of the service begins with a fresh one.
func TestBudgetSurvivesFlips(t *testing.T) {
	eachFlip(t, func(t *testing.T, leaveOut func(*flip)) {
		f := newFlip(t, scatter.Service{ID: "files", Connections: 96}, pair("files")...)
		f.r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, scatter.Failed }
		requests := f.load(8*time.Second, leaveOut)
		if extras, limit := len(f.r.sends)-requests, 0.2*float64(requests)+56; float64(extras) > limit {
			t.Errorf("%d extra sends for %d requests, %g allowed", extras, requests, limit)
		}
	})
}

// TestColdRateSurvivesFlips guards against a cold upstream that gets more requests than it
// can serve, because each return of its entry allows one at once.
func TestColdRateSurvivesFlips(t *testing.T) {
	eachFlip(t, func(t *testing.T, leaveOut func(*flip)) {
		const perSecond = 4
		cold := pair("files")[:1]
		cold[0].ColdFor = 20 * time.Second
		f := newFlip(t, scatter.Service{ID: "files", Connections: 96, ColdFor: 20 * time.Second, ColdRate: perSecond}, cold...)
		f.load(4*time.Second, leaveOut)
		times := f.r.sendTimes(cold[0].ID)
		for i, from := range times {
			within := 0
			for _, at := range times[i:] {
				if at.Sub(from) < time.Second {
					within++
				}
			}
			if within > perSecond+1 {
				t.Fatalf("%d requests in a second, the rate is %d", within, perSecond)
			}
		}
		if len(times) < perSecond {
			t.Errorf("only %d requests in 4 s", len(times))
		}
	})
}

// TestBackoffSurvivesFlips guards against an upstream that refuses connections and is tried
// again with each return of its entry, while another one serves.
func TestBackoffSurvivesFlips(t *testing.T) {
	eachFlip(t, func(t *testing.T, leaveOut func(*flip)) {
		f := newFlip(t, scatter.Service{ID: "files", Connections: 96}, pair("files")...)
		f.r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
			if s.Target.ID == "files-a" {
				return ms, scatter.Unreached
			}
			return ms, scatter.Succeeded
		}
		f.load(3*time.Second, leaveOut)
		// Backoffs of 100 ms and twice as much each time allow six in 3 s.
		if n := len(f.r.sendTimes("files-a")); n == 0 || n > 6 {
			t.Errorf("%d sends to an upstream in backoff", n)
		}
	})
}

// TestLimitSurvivesFlips guards against an upstream that states a rate limit, and gets more
// with each return of its entry.
func TestLimitSurvivesFlips(t *testing.T) {
	eachFlip(t, func(t *testing.T, leaveOut func(*flip)) {
		f := newFlip(t, scatter.Service{ID: "files", Connections: 96}, pair("files")[:1]...)
		f.r.notice = func(scatter.Send) scatter.Notice {
			return scatter.Notice{Limit: scatter.RateLimit{Stated: true, PerSecond: 10}}
		}
		f.load(200*ms, func(*flip) {})
		before := len(f.r.sends)
		f.load(4*time.Second, leaveOut)
		if n := len(f.r.sends) - before; n > 45 || n < 5 {
			t.Errorf("%d requests in 4 s, the limit is 10 a second", n)
		}
	})
}

// TestRunningRequestsSurviveFlips guards against more requests at once than the upstream
// takes from this host, because those that run are not counted any more.
func TestRunningRequestsSurviveFlips(t *testing.T) {
	eachFlip(t, func(t *testing.T, leaveOut func(*flip)) {
		f := newFlip(t, scatter.Service{ID: "files", Connections: 3}, pair("files")[:1]...)
		running, most := 0, 0
		engine := f.r.engine
		f.r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) {
			if f.r.engine != engine { // the sender bounds what runs from before
				engine, running = f.r.engine, 0
			}
			counted := engine
			if running++; running > most {
				most = running
			}
			f.r.later.Add(f.r.now.Add(700*ms), func() {
				if f.r.engine == counted {
					running--
				}
			})
			return 700 * ms, scatter.Succeeded
		}
		f.load(4*time.Second, leaveOut)
		if most > 3 {
			t.Errorf("%d requests at once over 3 connections", most)
		}
	})
}

// TestQuotaSurvivesFlips guards against teams that get more than their quotas because a
// version leaves them out for a moment, or a core is replaced, while gatherers are cut off
// from each other and grant fallback tokens.
func TestQuotaSurvivesFlips(t *testing.T) {
	for name, flip := range map[string]func(s *quotaTier, h *quotaHost, version uint64){
		"versions": func(s *quotaTier, h *quotaHost, version uint64) {
			without := *s.config
			without.Version, without.Teams = version, nil
			with := *s.config
			with.Version = version + 1
			s.step(h, scatter.ConfigSeen{Config: &without})
			s.step(h, scatter.ConfigSeen{Config: &with})
		},
		"replaced cores": func(s *quotaTier, h *quotaHost, _ uint64) {
			h.engine = h.engine.Successor()
			s.tellAll(h)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newQuotaTier(t, load(0, 100, 50, 600, ""))
			from := s.now
			s.cut(s.owner().Domain, 1)
			for i := range 80 {
				s.run(250 * ms)
				for _, h := range s.gatherers {
					flip(s, h, uint64(10+2*i))
				}
			}
			s.check(from, 0)
		})
	}
}

// TestAllowanceGrowsLate guards against hosts that use the shares of hosts that have gone
// within the same window as these.
func TestAllowanceGrowsLate(t *testing.T) {
	r := newRig(t)
	hosts := []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}
	for _, id := range []core.HostID{"host-2", "host-3", "host-4", "host-5", "host-6", "host-7", "host-8"} {
		hosts = append(hosts, scatter.Host{ID: id, Domain: "d1", Cores: 1})
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	r.configure(1, 1)
	r.run(30 * time.Second)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, scatter.Failed }
	extras := func(requests int) int {
		before := len(r.sends)
		for range requests {
			r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, FromHost: true})
			r.run(10 * ms)
		}
		return len(r.sends) - before - requests
	}
	r.step(scatter.HostsSeen{Hosts: hosts[:1]}) // the seven others may have used their shares
	if got, limit := extras(100), 0.2*100+56.0/8; float64(got) > limit {
		t.Errorf("%d extra sends, %g allowed", got, limit)
	}
	r.run(20 * time.Second)
	if got := extras(100); got < 40 {
		t.Errorf("%d extra sends a window later", got)
	}
}

// TestQuarantineOutlivesItsFinder guards against a request that crashes its upstreams and is
// run again because the host that found it, and so its record, is gone.
func TestQuarantineOutlivesItsFinder(t *testing.T) {
	fingerprint := core.FingerprintOf([]byte("deadly"))
	ask := func(r *rig, want scatter.AnswerKind) {
		t.Helper()
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, Fingerprint: fingerprint})
		r.run(50 * ms)
		r.want(call, want)
	}
	r := newRig(t)
	r.configure(1, 1)
	found := scatter.Suspect{Fingerprint: fingerprint}
	for i, id := range []core.UpstreamID{"x", "y", "z"} {
		found.Ended = append(found.Ended, scatter.Crash{UpstreamStart: scatter.UpstreamStart{ID: id, Started: 1}, Order: i + 1})
	}
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": {found}}})
	ask(r, scatter.Refused)
	r.step(scatter.SuspectsSeen{})
	ask(r, scatter.Refused)
	r.engine = r.engine.Successor()
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	ask(r, scatter.Refused)
	r.run(3 * time.Hour)
	r.step(scatter.SuspectsSeen{})
	ask(r, scatter.PassedOn)
}

// TestWithdrawnFindingsDoNotCount checks that findings end with the record that withdraws them.
func TestWithdrawnFindingsDoNotCount(t *testing.T) {
	fingerprint := core.FingerprintOf([]byte("innocent"))
	found := scatter.Suspect{Fingerprint: fingerprint, Ended: []scatter.Crash{
		{UpstreamStart: scatter.UpstreamStart{ID: "x", Started: 1}, Order: 1}, {UpstreamStart: scatter.UpstreamStart{ID: "y", Started: 1}, Order: 2},
	}}
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": {found}}})
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": {}}})
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, Fingerprint: fingerprint})
	r.run(50 * ms)
	r.want(call, scatter.PassedOn)
}

// TestRestoreGraceOutlivesTheCore guards against sends to upstreams that have left or drain,
// and to failure domains that are out of service, when a core is replaced while a restored
// store still lists them as they were.
func TestRestoreGraceOutlivesTheCore(t *testing.T) {
	more := func(id core.UpstreamID, domain core.DomainID) scatter.Upstream {
		return scatter.Upstream{ID: id, Service: "files", Domain: domain, Address: "host-of-" + string(id) + ":1", Slots: 2}
	}
	all := append(pair("files"), more("files-c", "d1"), more("files-d", "d3"))
	f := newFlip(t, scatter.Service{ID: "files", Connections: 96}, all...)
	draining := all[1]
	draining.Draining = true
	f.r.step(scatter.UpstreamRemoved{ID: all[0].ID})
	f.r.step(scatter.UpstreamSeen{Upstream: draining})
	f.r.step(scatter.DomainsOut{Domains: map[core.DomainID]bool{"d3": true}})
	f.r.step(scatter.UpstreamsListed{Upstreams: all, Restored: true})
	f.r.step(scatter.DomainsOut{Restored: true})
	flips["the core is replaced"](f)
	f.r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 20 * ms, scatter.Succeeded }
	f.burst(10) // 3 s
	if n := f.r.sentTo("files-c"); n != len(f.r.sends) || n == 0 {
		t.Errorf("%d of %d requests went to the upstream that is in service", n, len(f.r.sends))
	}
	f.r.run(10 * time.Second) // nobody has corrected the store
	f.burst(20)
	for _, u := range all {
		if f.r.sentTo(u.ID) == 0 {
			t.Errorf("%s is not used after the grace period", u.ID)
		}
	}
}

// TestDomainsStayOutWhenTheCoreIsReplaced guards against sends to a failure domain that is out
// of service, when the new core has read the upstreams and not the domains yet.
func TestDomainsStayOutWhenTheCoreIsReplaced(t *testing.T) {
	f := newFlip(t, scatter.Service{ID: "files", Connections: 96}, pair("files")...)
	f.r.step(scatter.DomainsOut{Domains: map[core.DomainID]bool{"d1": true}})
	f.r.engine = f.r.engine.Successor()
	f.configure(f.services)
	f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams})
	f.burst(2)
	if n := f.r.sentTo("files-a"); n > 0 || f.r.sentTo("files-b") == 0 {
		t.Errorf("%d of %d requests went to the domain that is out", n, len(f.r.sends))
	}
	f.r.step(scatter.DomainsOut{})
	f.burst(2)
	if f.r.sentTo("files-a") == 0 {
		t.Error("the domain is not used after it is back")
	}
}
