package scatter_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestAtMostOnce is the table of what may be sent again and what the answer
// may promise, by the outcome of the first attempt.
func TestAtMostOnce(t *testing.T) {
	for _, tt := range []struct {
		path    string
		first   scatter.Outcome
		sends   int
		answers scatter.AnswerKind
	}{
		{orderPath, scatter.Succeeded, 1, scatter.PassedOn},
		{orderPath, scatter.Failed, 1, scatter.PassedOn},
		{orderPath, scatter.Lost, 1, scatter.UpstreamsFailed},
		{orderPath, scatter.NotExecuted, 2, scatter.PassedOn},
		{orderPath, scatter.WrongInstance, 2, scatter.PassedOn},
		{orderPath, scatter.Unreached, 2, scatter.PassedOn},
		{fetchPath, scatter.Failed, 2, scatter.PassedOn},
		{fetchPath, scatter.Lost, 2, scatter.PassedOn},
		{fetchPath, scatter.NotExecuted, 2, scatter.PassedOn},
	} {
		r := newRig(t)
		r.configure(1, 1)
		r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
			if len(r.sends) == 1 {
				return 5 * ms, tt.first
			}
			return 5 * ms, scatter.Succeeded
		}
		call := r.ask(tt.path)
		r.run(time.Second)
		a := r.want(call, tt.answers)
		if len(r.sends) != tt.sends || a.Kind != tt.answers {
			t.Errorf("%s after %v: %d sends, want %d", tt.path, tt.first, len(r.sends), tt.sends)
		}
		if len(r.sends) == 2 && r.sends[0].Target.ID == r.sends[1].Target.ID {
			t.Errorf("%s after %v: sent to the same upstream again", tt.path, tt.first)
		}
	}
}

// TestRefusalIsTrue: what is refused has been shed by each upstream, and never
// runs later.
func TestRefusalIsTrue(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, scatter.NotExecuted }
	call := r.ask(orderPath)
	r.run(time.Second)
	a := r.want(call, scatter.Refused)
	sends := len(r.sends)
	r.run(5 * time.Second)
	if len(r.sends) != sends || a.RetryAfter <= 0 {
		t.Errorf("%d sends, then %d; retry after %v", sends, len(r.sends), a.RetryAfter)
	}
}

func TestNothingIsSentToUpstreamsThatLeave(t *testing.T) {
	leave := map[string]func(r *rig){
		"draining": func(r *rig) {
			r.step(scatter.UpstreamSeen{Upstream: scatter.Upstream{ID: "files-a", Service: "files", Domain: "d1", Address: "10.0.0.1:1", Slots: 2, Draining: true}})
		},
		"removed":    func(r *rig) { r.step(scatter.UpstreamRemoved{ID: "files-a"}) },
		"domain out": func(r *rig) { r.step(scatter.DomainsOut{Domains: map[core.DomainID]bool{"d1": true}}) },
	}
	for name, apply := range leave {
		r := newRig(t)
		r.configure(1, 1)
		apply(r)
		for range 20 {
			r.ask(fetchPath)
			r.run(20 * ms)
		}
		if r.sentTo("files-a") != 0 || r.sentTo("files-b") != 20 {
			t.Errorf("%s: %d requests went to it, %d to its twin", name, r.sentTo("files-a"), r.sentTo("files-b"))
		}
	}
}

// TestLapsedEntriesAreKeptForAWhile replays a registry that comes back without
// the entries of upstreams that live: all vanish, and return within 2 s or are
// gone.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.step(scatter.StoreReachable{Reachable: false})
	r.run(4 * time.Second)
	r.step(scatter.StoreReachable{Reachable: true})
	r.step(scatter.UpstreamsListed{})
	call := r.ask(gatherPath)
	r.run(1500 * ms)
	r.want(call, scatter.Gathered)
	for _, u := range pair("files") {
		r.step(scatter.UpstreamSeen{Upstream: u})
	}
	r.run(time.Second)
	r.want(r.ask(gatherPath), scatter.Refused)
	back := r.ask(fetchPath)
	r.run(50 * ms)
	r.want(back, scatter.PassedOn)
}

// TestConfigurationNeverGoesBack: a stale reader's version is ignored.
func TestConfigurationNeverGoesBack(t *testing.T) {
	r := newRig(t)
	r.configure(5, 2)
	r.configure(4, 8)
	if r.engine.Version() != 5 {
		t.Errorf("version %d is in force", r.engine.Version())
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	for range 400 {
		r.ask(splitPath)
		r.run(20 * ms)
	}
	files := r.sentTo("files-a") + r.sentTo("files-b")
	if files != 300 {
		t.Errorf("%d of 400 requests went to the service with three quarters of the weight", files)
	}
}

// TestSplitIsEvenInAnyStretch: each target gets its share of any 20 requests in
// a row, give or take one, also with weights that do not divide them.
func TestSplitIsEvenInAnyStretch(t *testing.T) {
	weights := map[core.ServiceID]float64{"files": 2, "orders": 3, "shard00": 5.5}
	r := newRig(t)
	r.configure(1, 1)
	route := &scatter.Route{
		Name: "split", Host: "h.example", Prefix: splitPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms, MaxUpstreams: 2,
	}
	services := map[core.ServiceID]scatter.Service{}
	for _, id := range []core.ServiceID{"files", "orders", "shard00"} {
		route.Targets = append(route.Targets, scatter.Target{Service: id, Weight: weights[id]})
		services[id] = scatter.Service{ID: id, Connections: 24}
	}
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(2, []*scatter.Route{route}, services, scatter.CallerLimits{})})
	for range 300 {
		r.ask(splitPath)
		r.run(20 * ms)
	}
	check := func(sends []scatter.Send, tolerance float64) {
		t.Helper()
		counts := map[core.ServiceID]int{}
		for _, s := range sends {
			counts[s.Target.Service]++
		}
		for id, weight := range weights {
			if want := float64(len(sends)) * weight / 10.5; math.Abs(float64(counts[id])-want) > tolerance {
				t.Errorf("%d of %d requests in a row went to %s, want %.1f", counts[id], len(sends), id, want)
			}
		}
	}
	check(r.sends, 1.5)
	for from := 0; from+20 <= len(r.sends); from++ {
		check(r.sends[from:from+20], 1.5)
	}
}

// TestAttemptsAreBounded: one request runs on no more upstreams than its route
// allows, however many its service has; those that surely did not run it do not
// count.
func TestAttemptsAreBounded(t *testing.T) {
	for outcome, want := range map[scatter.Outcome]int{scatter.Lost: 2, scatter.NotExecuted: 5} {
		r := newRig(t)
		r.configure(1, 1)
		for _, id := range []core.UpstreamID{"files-c", "files-d", "files-e", "files-f"} {
			r.step(scatter.UpstreamSeen{Upstream: scatter.Upstream{ID: id, Service: "files", Domain: "d1", Address: "10.0.0.1:1", Slots: 2}})
		}
		r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, outcome }
		r.ask(fetchPath)
		r.run(2 * time.Second)
		if len(r.sends) != want {
			t.Errorf("%v: sent to %d upstreams, want %d", outcome, len(r.sends), want)
		}
	}
}

// TestQuestionOfDeathIsQuarantined: a question that brought two upstreams down
// is not sent to a third one, whoever asks it.
func TestQuestionOfDeathIsQuarantined(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	deadly := core.FingerprintOf([]byte("deadly"))
	down := map[core.UpstreamID]bool{}
	kills := true
	r.refuses = func(id core.UpstreamID) bool { return down[id] }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		switch {
		case down[s.Target.ID]:
			return ms, scatter.Unreached
		case kills:
			down[s.Target.ID] = true
			return 2 * ms, scatter.Lost
		}
		return 2 * ms, scatter.Succeeded
	}
	first := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: deadly})
	r.run(100 * ms)
	r.want(first, scatter.UpstreamsFailed)
	kills = false
	for range 6 { // other requests find both upstreams down, and then back
		r.ask(fetchPath)
		r.run(300 * ms)
	}
	clear(down)
	r.run(3 * time.Second)
	sends := len(r.sends)
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: deadly}), scatter.Refused)
	if len(r.sends) != sends {
		t.Error("the question was sent again")
	}
	other := r.ask(fetchPath)
	r.run(50 * ms)
	r.want(other, scatter.PassedOn)
	r.run(40 * time.Second)
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: deadly}), scatter.Refused)
	r.run(5 * time.Minute)
	r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: deadly})
	if len(r.sends) != sends+2 {
		t.Error("the quarantine has no end")
	}
}

// TestLostAnswersAloneQuarantineNothing: upstreams that lose answers and live
// say nothing of the question (soak seed 100: a question that many callers ask
// was refused for half a minute).
func TestLostAnswersAloneQuarantineNothing(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	popular := core.FingerprintOf([]byte("popular"))
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, scatter.Lost }
	for range 5 {
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: popular})
		r.run(2500 * ms)
		r.want(call, scatter.UpstreamsFailed)
	}
	r.serve = nil
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: popular})
	r.run(50 * ms)
	r.want(call, scatter.PassedOn)
}

// TestColdUpstreamGetsNoMoreThanItBears counts sends to a cold upstream, second
// by second, while its service has no other.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	const rate = 4.0
	r := newRig(t)
	r.configureCold(rate)
	r.startCold("files-a")
	for range 300 {
		r.ask(fetchPath)
		r.run(10 * ms)
	}
	if most := mostInOneSecond(r.sentAt); float64(most) > rate+1 {
		t.Errorf("%d requests within a second reached an upstream that bears %g", most, rate)
	}
	if len(r.sends) < 8 {
		t.Errorf("only %d requests in 3 s", len(r.sends))
	}
}

// configureCold leaves one service, whose upstreams bear a rate while cold, and
// one upstream of it.
func (r *rig) configureCold(rate float64) {
	r.configure(1, 1)
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(2, []*scatter.Route{{
		Name: "fetch", Host: "h.example", Prefix: fetchPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms,
		MaxUpstreams: 2, Targets: []scatter.Target{{Service: "files", Weight: 1}},
	}}, map[core.ServiceID]scatter.Service{"files": {ID: "files", Connections: 24, ColdRate: rate}}, scatter.CallerLimits{})})
	r.step(scatter.UpstreamRemoved{ID: "files-b"})
}

func (r *rig) startCold(id core.UpstreamID) {
	r.step(scatter.UpstreamSeen{Upstream: scatter.Upstream{
		ID: id, Service: "files", Domain: "d1", Address: "10.0.0.1:1", Slots: 2, Started: 7, ColdFor: 3 * time.Second,
	}})
}

// mostInOneSecond returns the most of some times in order that any second holds.
func mostInOneSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdUpstreamIsSharedByAllHosts: all hosts together stay within what a
// cold upstream bears with the platform's tolerance, and use at least half.
func TestColdUpstreamIsSharedByAllHosts(t *testing.T) {
	const hosts, overshoot, slack = 12, 1.5, 5.0
	for _, rate := range []float64{1, 4, 12, 40, 150} {
		for restarts := range 2 { // the second comes in the middle of the first
			var fleet []*rig
			var members []scatter.Host
			for n := range hosts {
				members = append(members, scatter.Host{ID: core.HostID(fmt.Sprint("host-", n)), Domain: "d1", Cores: 1})
			}
			for _, m := range members {
				r := newRig(t)
				r.options.Self = m.ID
				r.engine = scatter.New(r.options)
				r.step(scatter.HostsSeen{Hosts: members})
				r.configureCold(rate)
				r.startCold("files-a")
				fleet = append(fleet, r)
			}
			for step := range 250 {
				for _, r := range fleet {
					r.ask(fetchPath)
					r.run(10 * ms)
					if restarts > 0 && step == 120 {
						r.startCold("files-a")
					}
				}
			}
			var sent []time.Time
			for _, r := range fleet {
				sent = append(sent, r.sentAt...)
			}
			slices.SortFunc(sent, time.Time.Compare)
			if most := mostInOneSecond(sent); float64(most) > rate*overshoot+slack {
				t.Errorf("%d requests within a second reached an upstream that bears %g", most, rate)
			}
			if least := rate * 2.5 / 2; float64(len(sent)) < least {
				t.Errorf("%d requests in 2.5 s reached an upstream that bears %g", len(sent), rate)
			}
		}
	}
}

// TestDeadlineEndsARequest: a request that runs past its route's timeout gets
// its final answer then, which promises nothing.
func TestDeadlineEndsARequest(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 3 * time.Second, scatter.Succeeded }
	call := r.ask(orderPath)
	r.run(2 * time.Second)
	r.want(call, scatter.TimedOut)
	if took := r.answered[call].Sub(epoch); took != 800*ms {
		t.Errorf("answered after %v", took)
	}
	if deadline := r.sends[0].Deadline.Sub(epoch); deadline != 800*ms {
		t.Errorf("the upstream got until %v", deadline)
	}
}

// TestUnknownUpstreamGetsOneRequestFirst replays a host that starts under load:
// the upstreams, which may be cold, get more only as they answer.
func TestUnknownUpstreamGetsOneRequestFirst(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	running, most := map[core.UpstreamID]int{}, 0
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		running[s.Target.ID]++
		if r.now.Sub(epoch) < 10*ms {
			most = max(most, running[s.Target.ID])
		}
		r.later.Add(r.now.Add(10*ms), func() { running[s.Target.ID]-- })
		return 10 * ms, scatter.Succeeded
	}
	var calls []core.CallID
	for range 12 {
		calls = append(calls, r.ask(fetchPath))
	}
	r.run(time.Second)
	if most != 1 {
		t.Errorf("%d requests ran at an upstream that had not answered yet", most)
	}
	for _, call := range calls {
		r.want(call, scatter.PassedOn)
	}
}

// TestUnsentRequestBlamesNobody: a request whose caller left before it was sent
// says nothing of the upstream.
func TestUnsentRequestBlamesNobody(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return ms, scatter.Unreached }
	call := r.ask(fetchPath)
	r.step(scatter.CallerGone{Call: call})
	r.run(10 * ms)
	for _, n := range r.notes {
		if n.Decision == scatter.DecisionUpstreamSuspected {
			t.Errorf("%s rests: %s", n.Upstream, n.Detail)
		}
	}
}
