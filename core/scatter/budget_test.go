package scatter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestExtraSendsStayWithinTheBudget draws waves of requests and of failures, and
// checks the number of extra sends in every window against the budget.
func TestExtraSendsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(t)
		r.configure(1, 3)
		outcomes := []scatter.Outcome{scatter.Succeeded, scatter.NotExecuted, scatter.Lost, scatter.Failed, scatter.WrongInstance}
		var requests []time.Time
		for range rapid.IntRange(1, 12).Draw(rt, "waves") {
			gap := time.Duration(rapid.IntRange(1, 60).Draw(rt, "gap ms")) * ms
			bad := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
			took := time.Duration(rapid.IntRange(1, 200).Draw(rt, "took ms")) * ms
			every := rapid.IntRange(1, 4).Draw(rt, "every")
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
				if s.Attempt%uint64(every) == 0 {
					return took, bad
				}
				return 5 * ms, scatter.Succeeded
			}
			for range rapid.IntRange(1, 80).Draw(rt, "requests") {
				r.ask(gatherPath)
				requests = append(requests, r.now)
				r.run(gap)
			}
		}
		r.run(2 * time.Second)
		checkBudget(rt, r, requests)
	})
}

// checkBudget checks each window that begins with an extra send.
func checkBudget(t *rapid.T, r *rig, requests []time.Time) {
	const window = 10 * time.Second
	seen := map[core.CallID]map[core.ServiceID]bool{}
	extras := map[core.ServiceID][]time.Time{}
	for i, s := range r.sends {
		if seen[s.Call] == nil {
			seen[s.Call] = map[core.ServiceID]bool{}
		}
		if seen[s.Call][s.Target.Service] {
			extras[s.Target.Service] = append(extras[s.Target.Service], r.sentAt[i])
		}
		seen[s.Call][s.Target.Service] = true
	}
	within := func(times []time.Time, from time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				count++
			}
		}
		return count
	}
	for service, times := range extras {
		for _, from := range times {
			most := max(within(requests, from), within(requests, from.Add(-window)), within(requests, from.Add(-window/2)))
			if got, limit := within(times, from), 0.2*float64(most)+56; float64(got) > limit {
				t.Fatalf("%s: %d extra sends in a window of %d requests, %g allowed", service, got, most, limit)
			}
		}
	}
}

// TestQueuedPartsEachNeedTheExtraBudget sends to upstreams that shed requests while
// all of this host's in-flight slots are taken. Each part that waits to be sent
// again must be charged to the budget when it is sent.
func TestQueuedPartsEachNeedTheExtraBudget(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.ID == "shard00-a" {
			return 30 * ms, scatter.NotExecuted
		}
		return 60 * ms, scatter.Succeeded
	}
	var requests []time.Time
	for range 1200 {
		r.ask(gatherPath)
		requests = append(requests, r.now)
		r.run(2 * ms)
	}
	r.run(time.Second)
	first := map[core.CallID]bool{}
	extras := 0
	for _, s := range r.sends {
		if first[s.Call] {
			extras++
		}
		first[s.Call] = true
	}
	if limit := 0.2*float64(len(requests)) + 56; float64(extras) > limit {
		t.Errorf("%d extra sends for %d requests, %g allowed", extras, len(requests), limit)
	}
}

// TestUpstreamThatShedsGetsLess checks that requests for the only upstream of a
// service, which sheds what exceeds its capacity, wait at the host instead of being
// shed, and that most of the capacity is used.
func TestUpstreamThatShedsGetsLess(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.UpstreamRemoved{ID: "files-b"})
	running := 0
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if running >= 4 {
			return ms, scatter.NotExecuted
		}
		running++
		r.later.Add(r.now.Add(20*ms), func() { running-- })
		return 20 * ms, scatter.Succeeded
	}
	for range 1000 {
		r.ask(fetchPath)
		r.run(5 * ms)
	}
	shed := 0
	for _, a := range r.answers {
		if a.Kind != scatter.PassedOn {
			shed++
		}
	}
	if extra := len(r.sends) - len(r.answers); shed > 50 || extra > 250 {
		t.Errorf("%d of %d requests refused, %d extra sends", shed, len(r.answers), extra)
	}
}

// TestUrgentRequestsGoFirst checks that of the requests that wait for the same
// upstream, those of the route with the higher priority are served first.
func TestUrgentRequestsGoFirst(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	routes := []*scatter.Route{
		{Name: "low", Host: "h.example", Prefix: "/low/", Repeatable: true, Timeout: time.Second, Target: time.Second, Priority: 3, MaxUpstreams: 1, Targets: []scatter.Target{{Service: "files"}}},
		{Name: "high", Host: "h.example", Prefix: "/high/", Repeatable: true, Timeout: time.Second, Target: time.Second, Priority: 0, MaxUpstreams: 1, Targets: []scatter.Target{{Service: "files"}}},
	}
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(2, routes, map[core.ServiceID]scatter.Service{"files": {ID: "files", Connections: 1}}, scatter.CallerLimits{})})
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 20 * ms, scatter.Succeeded }
	var low, high []core.CallID
	for range 4 {
		low = append(low, r.ask("/low/"))
	}
	for range 4 {
		high = append(high, r.ask("/high/"))
	}
	r.run(time.Second)
	for _, h := range high {
		if r.answered[h].After(r.answered[low[3]]) {
			t.Errorf("a request with high priority was answered after one with low priority")
		}
	}
}
