package scatter

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// shares returns the upstreams' shares of the answers in a span.
func shares(done []replayDone, from, to time.Duration) (shares [3]float64) {
	all := 0.0
	for _, d := range done {
		if d.at >= from && d.at < to {
			all++
			shares[d.to]++
		}
	}
	for i := range shares {
		shares[i] /= max(1, all)
	}
	return shares
}

// TestCapacityNearOracle guards against a p99 of more than 1.3 times that of hosts which
// know the speeds, and against upstreams that get less than a quarter of what their
// speed is worth.
func TestCapacityNearOracle(t *testing.T) {
	oracle, learned := replayRules[0], replayRules[3]
	for _, l := range replayLoads {
		for seed := range uint64(2) {
			best, _ := l.play(oracle, seed)
			done, _ := l.play(learned, seed)
			if got, want := p99(done), p99(best); float64(got) > 1.3*float64(want) {
				t.Errorf("%s, seed %d: p99 %v, the oracle's %v", l.name, seed, got, want)
			}
			sum := 1/0.8 + 1 + 1/1.3
			for i, worth := range []float64{1 / 0.8 / sum, 1 / sum, 1 / 1.3 / sum} {
				if got := shares(done, replayWarm, replaySlowFrom)[i]; got < worth/4 {
					t.Errorf("%s, seed %d: upstream %d gets %.3f of the requests, and is worth %.3f", l.name, seed, i, got, worth)
				}
			}
		}
	}
}

// wantRelearned checks the shares over several runs: in one run, the 130 requests of 2 s
// leave a standard error of 0.04.
func wantRelearned(t *testing.T, name string) {
	const runs = 6
	at := slices.IndexFunc(replayLoads, func(l replayLoad) bool { return l.name == name })
	before, slow, after := 0.0, 0.0, 0.0
	for seed := range uint64(runs) {
		done, beliefs := replayLoads[at].play(replayRules[3], seed)
		before += shares(done, replayWarm, replaySlowFrom)[1] / runs
		slow += shares(done, replaySlowFrom+2*time.Second, replaySlowTo)[1] / runs
		after += shares(done, replaySlowTo+2*time.Second, replaySlowTo+4*time.Second)[1] / runs
		if beliefs[1] < replayLoads[at].hosts*3/4 {
			t.Errorf("seed %d: %d hosts know 2 s after the end of a slow-down", seed, beliefs[1])
		}
	}
	if slow > 0.02 || after < 0.75*before {
		t.Errorf("share %.3f before the slow-down, %.3f from 2 s after its start, %.3f from 2 s after its end", before, slow, after)
	}
	t.Logf("share %.3f before the slow-down, %.3f from 2 s after its start, %.3f from 2 s after its end", before, slow, after)
}

// TestCapacityRelearned guards against an upstream that is slow for 8 s being used while
// it is slow, or avoided for more than 2 s afterwards.
func TestCapacityRelearned(t *testing.T) { wantRelearned(t, "slow-down") }

// TestCapacityRelearnedFromFewRequests is the same with about five requests per second
// and host.
func TestCapacityRelearnedFromFewRequests(t *testing.T) { wantRelearned(t, "60 to 220 ms, slow-down") }

// TestCapacityOfSpecialAnswers guards against pauses, cold starts and observations
// through relays that pass for a change of the capacity.
func TestCapacityOfSpecialAnswers(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	unit := 5 * ms
	steady := func() (*capacity, time.Time) {
		c, now := newCapacity(), start
		for range 400 {
			c.observe(now, capacitySample{sentAt: now.Add(-unit), latency: unit, unit: unit, limit: 4})
			now = now.Add(20 * ms)
		}
		return c, now
	}
	for name, play := range map[string]func(c *capacity, now time.Time){
		"pause": func(c *capacity, now time.Time) {
			for sent := time.Duration(0); sent < 240*ms; sent += 20 * ms {
				c.observe(now.Add(250*ms), capacitySample{sentAt: now.Add(sent), latency: 250*ms - sent, unit: unit, limit: 4})
			}
		},
		"cold": func(c *capacity, now time.Time) {
			for i := range 100 {
				at := now.Add(time.Duration(i) * 20 * ms)
				c.observe(at, capacitySample{sentAt: at.Add(-10 * ms), latency: 2 * unit, unit: unit, cold: true, limit: 4})
			}
		},
		"relay without a measurement": func(c *capacity, now time.Time) {
			for i := range 100 {
				at := now.Add(time.Duration(i) * 20 * ms)
				c.observe(at, capacitySample{sentAt: at.Add(-10 * ms), latency: 2 * unit, unit: unit, relayed: true, partial: true, limit: 4})
			}
			c.path = 0
		},
	} {
		c, now := steady()
		before := c.belief(now)
		if before.window > 4 || before.window < 3.5 {
			t.Errorf("window %.2f after fast answers with a limit of 4", before.window)
		}
		play(c, now)
		if after := c.belief(now.Add(2 * time.Second)); after.differs(before) {
			t.Errorf("%s: %+v, before %+v", name, after, before)
		}
	}
	c, now := steady()
	for range 100 {
		now = now.Add(20 * ms)
		c.observe(now, capacitySample{sentAt: now.Add(-6 * unit), latency: 6 * unit, unit: unit, limit: 1})
	}
	if b := c.belief(now); b.slowdown < 4 || b.window != 1 || !c.allows(0) || c.allows(1) {
		t.Errorf("after a lasting slow-down and with a limit of 1: %+v", b)
	}
}

// TestCapacityIsLearnedByTheEngine guards against a setting without effect, against
// silent changes of belief, and against any effect with the setting off.
func TestCapacityIsLearnedByTheEngine(t *testing.T) {
	for _, learn := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		e := New(Options{Self: "h", Domain: "d", AssumedHosts: 1, LearnCapacity: learn, Random: func() float64 { return 0.5 }})
		e.Step(now, UpstreamsListed{Upstreams: []Upstream{{ID: "u", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: 4}}}, &Actions{})
		route := &Route{Name: "r", Host: "h", Prefix: "/", Repeatable: true, Timeout: time.Second, Target: time.Second, MaxUpstreams: 1, Targets: []Target{{Service: "s", Weight: 1}}}
		e.Step(now, ConfigSeen{Config: NewConfig(1, []*Route{route}, map[core.ServiceID]Service{"s": {ID: "s", Connections: 96}}, CallerLimits{})}, &Actions{})
		logged := 0
		for i := range 400 {
			latency := 5 * ms
			if i >= 300 {
				latency = 60 * ms
			}
			var sent, ended Actions
			e.Step(now, RequestArrived{Call: core.CallID(i + 1), At: now, Host: "h", Path: "/"}, &sent)
			now = now.Add(latency)
			e.Step(now, AttemptEnded{Attempt: sent.Sends[0].Attempt, Outcome: Succeeded}, &ended)
			for _, n := range ended.Notes {
				if n.Decision == DecisionUpstreamCapacity && strings.Contains(n.Detail, "confidence") {
					logged++
				}
			}
		}
		if enough := logged > 0 && logged <= 3 && e.Stats().Capacity.Changes > 0; enough != learn || !learn && logged > 0 {
			t.Errorf("learned %v: %d entries, %+v", learn, logged, e.Stats().Capacity)
		}
	}
}
