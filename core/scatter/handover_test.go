package scatter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// makeWeakHost makes the rig's host a weak host in a tier with two strong ones.
func makeWeakHost(r *rig) {
	hosts := []scatter.Host{
		{ID: "host-1", Domain: "d1", Cores: 0.1},
		{ID: "strong-1", Domain: "d1", Cores: 1},
		{ID: "strong-2", Domain: "d2", Cores: 1},
	}
	// Enough other weak hosts that this one is not among the standbys.
	for i := range 40 {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("weak-", i)), Domain: core.DomainID(fmt.Sprint("d", 1+i%5)), Cores: 0.1})
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	if r.engine.Role() != scatter.Entry {
		r.t.Fatalf("the host is a %v", r.engine.Role())
	}
}

func TestWeakHostHandsOver(t *testing.T) {
	r := newRig(t)
	makeWeakHost(r)
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 10 * ms, scatter.Succeeded }
	call := r.ask(gatherPath)
	r.run(50 * ms)
	if a := r.want(call, scatter.PassedOn); a.Payload != "strong-1" {
		t.Errorf("answered by %v, want the strong host of the same failure domain", a.Payload)
	}
	if r.engine.Active(r.now) || !r.engine.Serves() {
		t.Error("a weak host must serve without following the upstreams")
	}
}

// TestHandoverOutcomes checks how a handover continues when the first host does not
// answer the request, by the outcome.
func TestHandoverOutcomes(t *testing.T) {
	for _, tt := range []struct {
		first      scatter.Outcome
		path       string
		repeatable bool // by the configuration of the other hosts
		want       scatter.AnswerKind
	}{
		{scatter.NotExecuted, orderPath, false, scatter.PassedOn},
		{scatter.Unreached, orderPath, false, scatter.PassedOn},
		{scatter.Lost, orderPath, false, scatter.UpstreamsFailed},
		{scatter.Lost, gatherPath, true, scatter.PassedOn},
	} {
		r := newRig(t)
		makeWeakHost(r)
		r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
			switch {
			case len(r.handovers) == 1:
				return ms, tt.first
			case h.Repeat && !tt.repeatable:
				return ms, scatter.NotExecuted
			default:
				return ms, scatter.Succeeded
			}
		}
		call := r.ask(tt.path)
		r.run(50 * ms)
		r.want(call, tt.want)
		if len(r.handovers) != 2 || r.handovers[1].Repeat != (tt.first == scatter.Lost) {
			t.Errorf("%v: handovers %+v, want a second one, marked as a repeat only after a loss", tt.first, r.handovers)
		}
		next := r.ask(orderPath)
		r.run(50 * ms)
		if a := r.want(next, scatter.PassedOn); a.Payload != "strong-2" {
			t.Errorf("%v: the next request was answered by %v, want the host that did not fail", tt.first, a.Payload)
		}
	}
}

// TestStaleHostsAreTheLastResort checks that hosts answer from stale data while no
// host can confirm its data.
func TestStaleHostsAreTheLastResort(t *testing.T) {
	r := newRig(t)
	makeWeakHost(r)
	r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
		if !h.AllowStale {
			return ms, scatter.NotExecuted
		}
		return ms, scatter.Succeeded
	}
	for range 3 {
		call := r.ask(gatherPath)
		r.run(20 * ms)
		r.want(call, scatter.PassedOn)
	}
	able := 2 + 4 // strong hosts and standbys
	if len(r.handovers) != able+3 {
		t.Errorf("%d handovers; hosts that declined must not be tried for confirmed data again at once", len(r.handovers))
	}
}

// TestStaleHostDeclines checks that a host that cannot reach the registry declines
// requests of other hosts, which may find a host with newer data, but serves its own
// callers.
func TestStaleHostDeclines(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	r.step(scatter.StoreReachable{Reachable: false})
	r.run(2 * time.Second)
	r.want(r.arrive(scatter.RequestArrived{Path: gatherPath, FromHost: true}), scatter.Declined)
	own := r.ask(gatherPath)
	stale := r.arrive(scatter.RequestArrived{Path: gatherPath, FromHost: true, AllowStale: true})
	r.run(50 * ms)
	r.want(own, scatter.Gathered)
	r.want(stale, scatter.Gathered)
	r.step(scatter.StoreReachable{Reachable: true})
	fresh := r.arrive(scatter.RequestArrived{Path: gatherPath, FromHost: true})
	r.run(50 * ms)
	r.want(fresh, scatter.Gathered)
}

// TestHostWithoutReachablePeersAnswersLocally checks that a weak host that reaches
// no other host refuses requests until it has the list of upstreams, and then sends
// to them itself.
func TestHostWithoutReachablePeersAnswersLocally(t *testing.T) {
	r := newRig(t)
	makeWeakHost(r)
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return ms, scatter.Unreached }
	first := r.ask(gatherPath)
	r.run(20 * ms)
	r.want(first, scatter.Refused)
	if !r.engine.Active(r.now) {
		t.Fatal("the host does not request the list of upstreams")
	}
	r.configure(1, 4)
	second := r.ask(gatherPath)
	r.run(50 * ms)
	r.want(second, scatter.Gathered)
}

func TestSilentHostIsBackedOff(t *testing.T) {
	r := newRig(t)
	makeWeakHost(r)
	r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
		switch {
		case h.To.ID == "strong-1":
			return time.Hour, scatter.Lost
		case h.Repeat:
			return ms, scatter.NotExecuted // the route does not allow it
		default:
			return ms, scatter.Succeeded
		}
	}
	call := r.ask(orderPath)
	r.run(1100 * ms)
	r.want(call, scatter.TimedOut)
	if len(r.handovers) != 2 {
		t.Errorf("%d handovers, want 2", len(r.handovers))
	}
	next := r.ask(gatherPath)
	r.run(50 * ms)
	if a := r.want(next, scatter.PassedOn); a.Payload != "strong-2" {
		t.Errorf("the next request was answered by %v", a.Payload)
	}
}

// TestRequestAtASilentHostIsRunElsewhere checks that a request is repeated at
// another host if its host does not answer a probe either, but not if the host
// answers the probe.
func TestRequestAtASilentHostIsRunElsewhere(t *testing.T) {
	for name, answersProbe := range map[string]bool{"silent": false, "busy": true} {
		r := newRig(t)
		makeWeakHost(r)
		r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
			if h.To.ID == "strong-1" {
				return 600 * ms, scatter.Succeeded
			}
			return ms, scatter.Succeeded
		}
		r.probed = func(id core.HostID) {
			if answersProbe || id != "strong-1" {
				r.later.Add(r.now.Add(ms), func() { r.step(scatter.HostAlive{ID: id}) })
			}
		}
		call := r.ask(gatherPath)
		r.run(700 * ms)
		took := r.answered[call].Sub(epoch)
		if a := r.want(call, scatter.PassedOn); answersProbe != (a.Payload == "strong-1") || !answersProbe && took > 350*ms {
			t.Errorf("%s: answered by %v after %v", name, a.Payload, took)
		}
	}
}

// TestRepeatedHandoversSpendTheExtraBudget checks that a host declines repeated
// requests that must not run twice, and that its sends for other repeated requests
// count against the extra budget.
func TestRepeatedHandoversSpendTheExtraBudget(t *testing.T) {
	r := newRig(t)
	r.options.Extra = scatter.ExtraLimits{Ratio: 0, Allowance: 10, Window: 10 * time.Second}
	r.engine = scatter.New(r.options)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
	r.configure(1, 4)
	repeat := func(path string) core.CallID {
		call := r.arrive(scatter.RequestArrived{Path: path, Budget: time.Second, FromHost: true, Repeat: true})
		r.run(20 * ms)
		return call
	}
	r.want(repeat(orderPath), scatter.Declined)
	if len(r.sends) > 0 {
		t.Fatalf("%d sends of what must not run twice", len(r.sends))
	}
	for range 8 {
		r.want(repeat(gatherPath), scatter.Gathered)
	}
	r.want(repeat(gatherPath), scatter.Declined) // not refused: it may have run
	if len(r.sends) != 8*4 {
		t.Errorf("%d sends, with a budget of eight per service", len(r.sends))
	}
}

// TestRankIsTheSameOnAllHosts checks that the ranking does not depend on the order
// in which hosts were discovered, and that the first ranks are strong hosts of
// different failure domains.
func TestRankIsTheSameOnAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		var hosts []scatter.Host
		for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
			power := rapid.SampledFrom([]float64{0.2, 0.8}).Draw(t, "power")
			hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("h", i)), Domain: core.DomainID(fmt.Sprint("d", i%domains)), Cores: power})
		}
		want, strong := scatter.RankHosts(slices.Clone(hosts))
		shuffled := rapid.Permutation(hosts).Draw(t, "order")
		if got, _ := scatter.RankHosts(shuffled); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		strongDomains := map[core.DomainID]bool{}
		for _, h := range want[:strong] {
			strongDomains[h.Domain] = true
		}
		first := map[core.DomainID]bool{}
		for _, h := range want[:len(strongDomains)] {
			first[h.Domain] = true
		}
		if len(first) != len(strongDomains) {
			t.Fatalf("the first %d ranks lie in %d failure domains", len(strongDomains), len(first))
		}
	})
}

// TestRepeatsStayWithinTheRoutesMaxUpstreams checks that a host and the one that
// repeats its request together send to no more upstreams of a shard than the route
// allows, however the first host's upstreams behave.
func TestRepeatsStayWithinTheRoutesMaxUpstreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		most := rapid.IntRange(2, 3).Draw(rt, "most")
		copies := rapid.IntRange(2, 5).Draw(rt, "copies")
		used := map[core.ServiceID]map[core.UpstreamID]bool{}
		for _, host := range []core.HostID{"first", "second"} {
			r := newRig(t)
			r.options.Self = host
			r.engine = scatter.New(r.options)
			r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "first", Domain: "d1", Cores: 1}, {ID: "second", Domain: "d1", Cores: 1}}})
			r.configure(1, 6)
			gather := &scatter.Route{
				Name: "gather", Host: "h.example", Prefix: gatherPath, Repeatable: true, Timeout: 800 * ms, Target: 100 * ms,
				MaxUpstreams: most, TopRecords: 10, MinCoverage: 0.75,
			}
			services := map[core.ServiceID]scatter.Service{}
			var upstreams []scatter.Upstream
			for i := range 6 {
				id := core.ServiceID(fmt.Sprintf("shard%02d", i))
				gather.Shards = append(gather.Shards, id)
				services[id] = scatter.Service{ID: id, Connections: 96}
				for c := range copies {
					upstreams = append(upstreams, scatter.Upstream{ID: core.UpstreamID(fmt.Sprint(id, "-", c)), Service: id, Domain: "d1", Address: "10.0.0.1:1", Slots: 2})
				}
			}
			r.step(scatter.UpstreamsListed{Upstreams: upstreams})
			r.step(scatter.ConfigSeen{Config: scatter.NewConfig(2, []*scatter.Route{gather}, services, scatter.CallerLimits{})})
			r.warmUp(gatherPath, 5*ms)
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
				after := rapid.SampledFrom([]time.Duration{5 * ms, 300 * ms}).Draw(rt, "after")
				outcome := rapid.SampledFrom([]scatter.Outcome{scatter.Succeeded, scatter.Failed, scatter.Lost, scatter.NotExecuted}).Draw(rt, "outcome")
				if outcome != scatter.NotExecuted {
					if used[s.Target.Service] == nil {
						used[s.Target.Service] = map[core.UpstreamID]bool{}
					}
					used[s.Target.Service][s.Target.ID] = true
				}
				return after, outcome
			}
			r.arrive(scatter.RequestArrived{Path: gatherPath, Budget: time.Second, FromHost: true, Repeat: host == "second"})
			r.run(time.Second)
		}
		for service, upstreams := range used {
			if len(upstreams) > most {
				rt.Errorf("%s: sent to %d upstreams, the route allows %d", service, len(upstreams), most)
			}
		}
	})
}

// TestSlowAnswerToAPingEndsTheBackoff: a host that answers a request and a ping later
// than usual is used again as soon as something arrives from it. It may be the only
// one that reaches the upstreams.
func TestSlowAnswerToAPingEndsTheBackoff(t *testing.T) {
	r := newRig(t)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 0.1}, {ID: "host-2", Domain: "d1", Cores: 1}}})
	answerAfter, pingAfter := 3*ms, ms
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return answerAfter, scatter.Succeeded }
	r.probed = func(id core.HostID) {
		r.later.Add(r.now.Add(pingAfter), func() { r.step(scatter.HostAlive{ID: id}) })
	}
	for range 40 {
		r.ask(orderPath)
		r.run(10 * ms)
	}
	answerAfter, pingAfter = 120*ms, 60*ms
	r.ask(orderPath)
	r.run(100 * ms)
	call := r.ask(orderPath)
	r.run(200 * ms)
	r.want(call, scatter.PassedOn)
}
