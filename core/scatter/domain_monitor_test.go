package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// domainRig is a rig in the failure domain d1 of three, with some hosts in each.
// Upstreams and hosts of the domains in cut do not answer. Gathers need d2.
type domainRig struct {
	*rig
	cut map[core.DomainID]bool
}

func newDomainRig(t *testing.T, near, others int) *domainRig {
	r := &domainRig{rig: newRig(t), cut: map[core.DomainID]bool{}}
	hosts := []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}
	for i := range near - 1 {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("near-", i)), Domain: "d1", Cores: 1})
	}
	domains := map[core.HostID]core.DomainID{}
	for i := range others {
		for _, domain := range []core.DomainID{"d2", "d3"} {
			id := core.HostID(fmt.Sprint(domain, "-", i))
			domains[id] = domain
			hosts = append(hosts, scatter.Host{ID: id, Domain: domain, Cores: 1})
		}
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if r.cut[s.Target.Domain] {
			return s.Deadline.Sub(r.now), scatter.Lost
		}
		return 5 * ms, scatter.Succeeded
	}
	r.probed = func(id core.HostID) {
		if !r.cut[domains[id]] {
			r.later.Add(r.now.Add(5*ms), func() { r.step(scatter.HostAlive{ID: id}) })
		}
	}
	r.configure(1, 4)
	return r
}

// removeUpstreams removes the upstreams whose IDs have the suffix.
func (r *domainRig) removeUpstreams(suffix string) {
	for _, service := range []string{"shard00", "shard01", "shard02", "shard03", "files", "orders"} {
		r.step(scatter.UpstreamRemoved{ID: core.UpstreamID(service + "-" + suffix)})
		r.run(2 * time.Second) // upstreams removed together would be kept for a grace period
	}
}

// traffic sends a request every 20 ms.
func (r *domainRig) traffic(d time.Duration, paths ...string) {
	for end, i := r.now.Add(d), 0; r.now.Before(end); i++ {
		r.ask(paths[i%len(paths)])
		r.run(20 * ms)
	}
}

// TestIsolatedHostsWithdraw lists the faults in which a host stops accepting callers,
// and those in which it does not.
func TestIsolatedHostsWithdraw(t *testing.T) {
	for name, tt := range map[string]struct {
		near, others int // hosts in this domain and in each other one
		servesHere   bool
		breaks       func(r *domainRig)
		want         bool
	}{
		"its domain is isolated":          {1, 2, false, func(r *domainRig) { r.cut["d2"], r.cut["d3"] = true, true }, true},
		"isolated half, domain not first": {1, 1, false, func(r *domainRig) { r.cut["d2"], r.cut["d3"] = true, true }, true},
		"isolated, but serves requests":   {1, 2, true, func(r *domainRig) { r.cut["d2"], r.cut["d3"] = true, true }, false},
		"another part is isolated":        {6, 1, false, func(r *domainRig) { r.cut["d2"], r.cut["d3"] = true, true }, false},
		"another domain is lost":          {1, 2, false, func(r *domainRig) { r.cut["d2"] = true }, false},
		"the store is unavailable":        {1, 2, false, func(r *domainRig) { r.step(scatter.StoreReachable{}) }, false},
		"all upstreams are removed":       {1, 2, false, func(r *domainRig) { r.removeUpstreams("b") }, false},
		"nothing is broken":               {1, 2, false, func(*domainRig) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newDomainRig(t, tt.near, tt.others)
			if !tt.servesHere {
				r.removeUpstreams("a")
			}
			r.traffic(time.Second, gatherPath, orderPath)
			tt.breaks(r)
			r.traffic(2*time.Second, gatherPath, orderPath)
			if got := r.engine.Withdrawn(); got != tt.want {
				t.Fatalf("withdrawn: %v", got)
			}
			clear(r.cut)
			r.run(300 * ms)
			if r.engine.Withdrawn() {
				t.Error("still withdrawn although the other domains answer again")
			}
		})
	}
}

// TestNoSendsToSilentDomains: once a failure domain is silent, requests that need it
// are refused at once, other requests are answered without waiting for it, and
// requests that may run only once are not sent there.
func TestNoSendsToSilentDomains(t *testing.T) {
	for _, needed := range []bool{true, false} {
		r := newDomainRig(t, 1, 2)
		if needed {
			r.removeUpstreams("a")
		}
		r.traffic(time.Second, gatherPath, orderPath)
		r.cut["d2"] = true
		r.traffic(1500*ms, gatherPath, orderPath)
		before := len(r.sends)
		gather, order := r.ask(gatherPath), r.ask(orderPath)
		r.run(10 * ms)
		if needed {
			r.want(gather, scatter.Refused)
			r.want(order, scatter.Refused)
		} else {
			r.want(gather, scatter.Gathered)
			r.want(order, scatter.PassedOn)
		}
		for _, s := range r.sends[before:] {
			if s.Target.Domain == "d2" {
				t.Errorf("sent to %s", s.Target.ID)
			}
		}
		clear(r.cut)
		r.run(300 * ms)
		order = r.ask(orderPath)
		r.run(100 * ms)
		r.want(order, scatter.PassedOn)
	}
}

// TestUpstreamsAreUsedWithoutHostsInTheirDomain: upstreams stay in use when all hosts
// of their domain are gone, also after a period in which they did not answer.
func TestUpstreamsAreUsedWithoutHostsInTheirDomain(t *testing.T) {
	r := newDomainRig(t, 1, 2)
	r.removeUpstreams("a")
	r.probed = nil
	r.traffic(3*time.Second, gatherPath)
	last := r.ask(gatherPath)
	r.run(100 * ms)
	r.want(last, scatter.Gathered)
	r.cut["d2"] = true
	r.traffic(2*time.Second, gatherPath)
	clear(r.cut)
	r.traffic(2500*ms, gatherPath)
	last = r.ask(gatherPath)
	r.run(100 * ms)
	r.want(last, scatter.Gathered)
}

// TestIdleDomainsAreNotSilent: when all hosts of a domain are gone and nothing was
// sent to its upstreams for a while, the next request that needs them is sent.
func TestIdleDomainsAreNotSilent(t *testing.T) {
	r := newDomainRig(t, 1, 2)
	r.removeUpstreams("a")
	r.probed = nil
	r.run(10 * time.Second)
	order := r.ask(orderPath)
	r.run(100 * ms)
	r.want(order, scatter.PassedOn)
}

// TestEntryHostWithdrawal: an idle entry host pings no one while messages arrive from
// another domain. It withdraws when it is isolated and a gatherer of its domain
// has withdrawn or there is none.
func TestEntryHostWithdrawal(t *testing.T) {
	for name, tt := range map[string]struct {
		cut, gatherers, gatherersWithdrawn, want bool
	}{
		"isolated with withdrawn gatherers":      {true, true, true, true},
		"isolated with serving gatherers":        {true, true, false, false},
		"isolated without gatherers":             {true, false, false, true},
		"not isolated, with withdrawn gatherers": {false, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			hosts := []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 0.1}}
			domains := map[core.HostID]core.DomainID{}
			for i := range 300 {
				h := scatter.Host{ID: core.HostID(fmt.Sprint("h", i)), Domain: core.DomainID(fmt.Sprint("d", i%14)), Cores: 0.1}
				if i < 24 && (tt.gatherers || h.Domain != "d1") {
					h.Cores = 1
				}
				hosts = append(hosts, h)
				domains[h.ID] = h.Domain
			}
			r.step(scatter.HostsSeen{Hosts: hosts})
			if r.engine.Role() != scatter.Entry {
				t.Fatalf("role: %v", r.engine.Role())
			}
			cut, pings := false, 0
			pingedDomains := map[core.DomainID]bool{}
			pingedHosts := map[core.HostID]bool{}
			r.probed = func(id core.HostID) {
				pings++
				pingedHosts[id] = true
				pingedDomains[domains[id]] = true
				if near := domains[id] == "d1"; near || !cut {
					r.later.Add(r.now.Add(5*ms), func() { r.step(scatter.HostAlive{ID: id, Withdrawn: near && tt.gatherersWithdrawn}) })
				}
			}
			heartbeats := func(d time.Duration) {
				for end := r.now.Add(d); r.now.Before(end); r.run(700 * ms) {
					r.step(scatter.HostAlive{ID: "h2"})
				}
			}
			heartbeats(10 * time.Second)
			if pings > 0 {
				t.Errorf("%d pings while messages arrive from another domain", pings)
			}
			r.run(10 * time.Second)
			if pings > 20 || len(pingedHosts) > 4 {
				t.Errorf("%d pings to %d hosts in 10 s without heartbeats", pings, len(pingedHosts))
			}
			cut = tt.cut
			clear(pingedDomains)
			r.run(2500 * ms)
			if got := r.engine.Withdrawn(); got != tt.want {
				t.Errorf("withdrawn: %v", got)
			}
			if tt.cut && len(pingedDomains) < 8 {
				t.Errorf("only %d domains were pinged", len(pingedDomains))
			}
			r.run(time.Minute)
			if len(pingedHosts) > 60 {
				t.Errorf("%d hosts were pinged in a minute", len(pingedHosts))
			}
			r.step(scatter.HostAlive{ID: "h2"})
			if r.engine.Withdrawn() {
				t.Error("still withdrawn although a message arrived from another domain")
			}
		})
	}
}
