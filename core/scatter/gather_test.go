package scatter_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

func TestGatherAnswersOnceAllPartsAreIn(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	call := r.ask(gatherPath + "x")
	r.run(50 * ms)
	a := r.want(call, scatter.Gathered)
	if len(a.Parts) != 8 || a.Missing != 0 || a.Top != 10 || r.answered[call].Sub(epoch) != 5*ms {
		t.Errorf("got %d parts, %d missing after %v", len(a.Parts), a.Missing, r.answered[call].Sub(epoch))
	}
}

// TestGatherHedgesAroundAPause checks that parts at an upstream that pauses for
// 150 ms are hedged to the other upstream of the shard.
func TestGatherHedgesAroundAPause(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.ID == "shard03-a" || s.Target.ID == "shard05-b" {
			return 150 * ms, scatter.Succeeded
		}
		return 5 * ms, scatter.Succeeded
	}
	for range 5 {
		call := r.ask(gatherPath + "x")
		r.run(200 * ms)
		a := r.want(call, scatter.Gathered)
		if a.Missing != 0 {
			t.Errorf("%d parts are missing though the other upstreams answer", a.Missing)
		}
	}
}

// TestQuickGatherHedgesBesideLongRequests checks that an upstream that works on a
// request of a slower route does not count as stalled, and accepts the hedge of a
// quick request.
func TestQuickGatherHedgesBesideLongRequests(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.warmUp(quickPath, 5*ms)
	r.warmUp(gatherPath, 25*ms)
	var busy core.UpstreamID
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		switch {
		case s.Target.Service != "shard02":
			return 5 * ms, scatter.Succeeded
		case busy == "":
			busy = s.Target.ID
			return 85 * ms, scatter.Succeeded
		case s.Target.ID == busy:
			return 5 * ms, scatter.Succeeded
		}
		return 200 * ms, scatter.Succeeded
	}
	r.ask(gatherPath)
	r.run(31 * ms)
	call := r.ask(quickPath)
	r.run(60 * ms)
	if a := r.want(call, scatter.Gathered); a.Missing != 0 {
		t.Errorf("%d parts are missing: no hedge was sent to the busy upstream", a.Missing)
	}
}

// TestGatherWaitsForAHealthyUpstream checks that a part is not sent to a stalled
// upstream while the other upstream of the shard is at its limit. The part waits
// for the latter.
func TestGatherWaitsForAHealthyUpstream(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.warmUp(gatherPath, 20*ms)
	var stalled core.UpstreamID
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		switch {
		case s.Target.Service != "shard02":
			return 5 * ms, scatter.Succeeded
		case stalled == "":
			stalled = s.Target.ID
		}
		if s.Target.ID == stalled {
			return 400 * ms, scatter.Succeeded
		}
		return 40 * ms, scatter.Succeeded
	}
	r.ask(gatherPath) // one upstream stalls, and the other accepts the hedge
	r.run(150 * ms)
	before := r.sentTo(stalled)
	for range 12 {
		r.ask(gatherPath)
		r.run(2 * ms)
	}
	if after := r.sentTo(stalled); after != before {
		t.Errorf("%d parts were sent to the stalled upstream", after-before)
	}
}

// TestGatherAnswersPartiallyAtItsTarget checks that a gather is answered just
// before its target without the part of a shard whose upstreams are all stalled.
func TestGatherAnswersPartiallyAtItsTarget(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.Service == "shard03" {
			return 300 * ms, scatter.Succeeded
		}
		return 5 * ms, scatter.Succeeded
	}
	call := r.ask(gatherPath + "x")
	r.run(time.Second)
	a := r.want(call, scatter.Gathered)
	if took := r.answered[call].Sub(epoch); a.Missing != 1 || took != 90*ms {
		t.Errorf("%d missing after %v, want 1 after 90ms", a.Missing, took)
	}
	if detail := r.notes[len(r.notes)-1].Detail; detail != "gathered: without shard03, late" {
		t.Errorf("the answer is logged as %q", detail)
	}
}

// TestGatherBelowCoverageWaitsPastItsTarget checks that a gather with too few
// parts at its target is answered later, as soon as it has enough parts.
func TestGatherBelowCoverageWaitsPastItsTarget(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.Service >= "shard03" && s.Target.Service <= "shard07" {
			return 300 * ms, scatter.Succeeded
		}
		return 5 * ms, scatter.Succeeded
	}
	call := r.ask(gatherPath + "x")
	r.run(time.Second)
	if a := r.want(call, scatter.Gathered); len(a.Parts) < 6 {
		t.Errorf("answered with %d of 8 parts, 6 are needed", len(a.Parts))
	}
}

func TestGatherThatCannotReachCoverageIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.step(scatter.UpstreamRemoved{ID: "shard00-a"})
	r.step(scatter.UpstreamRemoved{ID: "shard00-b"})
	for _, id := range []core.UpstreamID{"shard01-a", "shard01-b"} {
		r.step(scatter.UpstreamSeen{Upstream: scatter.Upstream{ID: id, Service: "shard01", Domain: "d1", Address: "host-of-" + string(id) + ":1", Draining: true}})
	}
	call := r.ask(gatherPath + "x")
	a := r.want(call, scatter.Refused)
	if len(r.sends) != 0 || a.RetryAfter <= 0 || a.RetryAfter > 800*ms/3 {
		t.Errorf("%d sends, retry after %v", len(r.sends), a.RetryAfter)
	}
}

func TestGatherPinsItsVersion(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return 40 * ms, scatter.Succeeded }
	call := r.ask(gatherPath + "x")
	r.configure(2, 6)
	r.run(200 * ms)
	if a := r.want(call, scatter.Gathered); len(a.Parts)+a.Missing != 4 {
		t.Errorf("%d parts and %d missing do not make up the set of version 1", len(a.Parts), a.Missing)
	}
}

func TestCallerGoneCancelsRepeatableAttempts(t *testing.T) {
	for path, want := range map[string]int{gatherPath: 8, orderPath: 0} {
		r := newRig(t)
		r.configure(1, 8)
		r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 500 * ms, scatter.Lost }
		call := r.ask(path)
		r.run(10 * ms)
		r.step(scatter.CallerGone{Call: call})
		r.run(time.Second)
		if _, answered := r.answers[call]; answered || len(r.cancels) != want {
			t.Errorf("%s: %d cancels, answered %v; want %d and no answer", path, len(r.cancels), answered, want)
		}
		if r.engine.Running() != 0 {
			t.Errorf("%s: %d calls are left", path, r.engine.Running())
		}
	}
}

// TestTopRecordsMatchesSorting compares the bounded merge with a sort of all
// records.
func TestTopRecordsMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 1, 6).Draw(t, "parts")
		top := rapid.IntRange(0, 12).Draw(t, "top")
		var all [][]byte
		for _, part := range parts {
			for ; len(part) >= scatter.RecordSize; part = part[scatter.RecordSize:] {
				all = append(all, part[:scatter.RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(top, len(all))], nil)
		if got := scatter.TopRecords(parts, top); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

func TestRouteWithTheLongestPrefix(t *testing.T) {
	routes := []*scatter.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}
	c := scatter.NewConfig(1, routes, nil, scatter.CallerLimits{})
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:80", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if route := c.Match(tt.host, tt.path); route != nil {
			got = route.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: got %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestMinParts(t *testing.T) {
	for _, tt := range []struct {
		shards   int
		coverage float64
		want     int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {90, 0.95, 86}, {10, 0.7, 7}, {4, 0, 1}, {3, 1, 3}} {
		route := scatter.Route{Shards: make([]core.ServiceID, tt.shards), MinCoverage: tt.coverage}
		if got := route.MinParts(); got != tt.want {
			t.Errorf("%d shards at %g: got %d, want %d", tt.shards, tt.coverage, got, tt.want)
		}
	}
}

func TestDomainsOutAreNotedWhenTheyChange(t *testing.T) {
	r := newRig(t)
	for _, out := range []map[core.DomainID]bool{{}, {"d1": true}, {"d1": true}, {}, {}} {
		r.step(scatter.DomainsOut{Domains: out})
	}
	count := 0
	for _, n := range r.notes {
		if n.Decision == scatter.DecisionDomains {
			count++
		}
	}
	if count != 2 {
		t.Errorf("%d notes of 2 changes", count)
	}
}

func TestDecisionsNameTheRequest(t *testing.T) {
	r := newRig(t)
	r.configure(7, 2)
	r.ask(gatherPath)
	r.run(50 * ms)
	for _, n := range r.notes {
		if n.Decision == scatter.DecisionAnswer {
			if n.RequestID != "request-1" || n.Version != 7 || n.Route != "gather" || !strings.Contains(n.Detail, "gathered") {
				t.Errorf("got %+v", n)
			}
			return
		}
	}
	t.Error("no note of the answer")
}

// TestGatherWithEnoughPartsIsAnsweredAtItsDeadline: a gather whose caller waits for
// less than the route's target is answered with the parts at hand.
func TestGatherWithEnoughPartsIsAnsweredAtItsDeadline(t *testing.T) {
	r := newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.Service == "shard03" {
			return time.Hour, scatter.Lost
		}
		return 10 * ms, scatter.Succeeded
	}
	call := r.arrive(scatter.RequestArrived{Path: gatherPath, Budget: 60 * ms})
	r.run(60 * ms)
	if a := r.want(call, scatter.Gathered); a.Missing != 1 {
		t.Errorf("%d parts are missing", a.Missing)
	}
}
