package scatter

import (
	"fmt"
	"testing"
	"time"
)

var (
	judgedKey = RolloutKey{Service: "s", Created: 1, Target: "v2"}
	judgedAt  = time.Unix(1_700_000_000, 0)
)

// fast are answers within 10 ms, of which some are failures.
func fast(version, route string, answers, failures int) VersionCounts {
	c := VersionCounts{Key: judgedKey, Version: version, Route: route, Sends: uint64(answers), Answers: uint64(answers), Failures: uint64(failures)}
	c.Latency = make([]uint32, latencyBuckets)
	c.Latency[latencyBucket(10*time.Millisecond)] = uint32(answers)
	return c
}

// Faults on one route, on few answers of each route, and late ones, are missed; or a version is
// reverted that fails no more often than the old one may.
func TestRolloutJudge(t *testing.T) {
	var oneRoute, few []VersionCounts
	for i := range 10 {
		route := fmt.Sprint(i)
		oneRoute = append(oneRoute, fast("v1", route, 4000, 0), fast("v2", route, 400, 0))
		few = append(few, fast("v1", route, 100, 0), fast("v2", route, 9, 1))
	}
	oneRoute[1] = fast("v2", "0", 40, 12)
	for name, tt := range map[string]struct {
		before, now []VersionCounts
		bad         bool
	}{
		"one route of ten":     {nil, oneRoute, true},
		"few on each route":    {nil, few, true},
		"good":                 {nil, []VersionCounts{fast("v1", "a", 1000, 3), fast("v2", "a", 300, 2)}, false},
		"late":                 {[]VersionCounts{fast("v1", "a", 9000, 9), fast("v2", "a", 3000, 3)}, []VersionCounts{fast("v1", "a", 9400, 9), fast("v2", "a", 3030, 18)}, true},
		"old one hardly known": {nil, []VersionCounts{fast("v1", "a", 40, 2), fast("v2", "a", 400, 60)}, false},
	} {
		counts := newRolloutCounts()
		counts.record(judgedAt, judgedKey, RolloutReport{Host: "h", Started: 1, Counts: tt.before})
		counts.totals(judgedAt)
		now := judgedAt.Add(2 * time.Second)
		counts.record(now, judgedKey, RolloutReport{Host: "h", Started: 1, Counts: tt.now})
		if v := judge(now, counts, judgedKey, "v1"); v.bad != tt.bad {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// A host without counts from others finds a version good or lets the old one stop; all requests
// go at once to upstreams that are cold; a version in doubt is completed; or the old version
// stops while a host may still send to it.
func TestRolloutDecide(t *testing.T) {
	limits := RolloutLimits{Share: 0.1, Slack: 50, Apply: 5 * time.Second}
	for name, tt := range map[string]struct {
		phase  RolloutPhase
		after  time.Duration // the order, or the switch
		change func(*rolloutView)
		want   RolloutPhase
	}{
		"good":               {RolloutProbe, 22 * time.Second, func(*rolloutView) {}, RolloutSwitched},
		"early":              {RolloutProbe, 19 * time.Second, func(*rolloutView) {}, RolloutProbe},
		"alone":              {RolloutProbe, 24 * time.Second, func(v *rolloutView) { v.reporting = false }, RolloutProbe},
		"alone to the end":   {RolloutProbe, 31 * time.Second, func(v *rolloutView) { v.reporting = false }, RolloutBack},
		"cold":               {RolloutProbe, 22 * time.Second, func(v *rolloutView) { v.newWarm = 1 }, RolloutProbe},
		"cold to the end":    {RolloutProbe, 24 * time.Second, func(v *rolloutView) { v.newWarm = 1 }, RolloutSwitched},
		"in doubt":           {RolloutProbe, 24 * time.Second, func(v *rolloutView) { v.verdict.evidence = 10 }, RolloutBack},
		"no answers":         {RolloutProbe, 24 * time.Second, func(v *rolloutView) { v.verdict.answers = 0 }, RolloutBack},
		"bad after switch":   {RolloutSwitched, time.Second, func(v *rolloutView) { v.verdict.bad = true }, RolloutBack},
		"not in force":       {RolloutSwitched, 5 * time.Second, func(*rolloutView) {}, RolloutSwitched},
		"old ended":          {RolloutSwitched, 6 * time.Second, func(*rolloutView) {}, RolloutDone},
		"old in flight":      {RolloutSwitched, 6 * time.Second, func(v *rolloutView) { v.oldInFlight = 1 }, RolloutSwitched},
		"old unknown":        {RolloutSwitched, 6 * time.Second, func(v *rolloutView) { v.reporting = false }, RolloutSwitched},
		"bad after the end":  {RolloutDone, time.Second, func(v *rolloutView) { v.verdict.bad = true }, RolloutDone},
		"good after the end": {RolloutBack, 22 * time.Second, func(*rolloutView) {}, RolloutBack},
	} {
		view := rolloutView{
			order: RolloutOrder{RolloutKey: judgedKey, Duration: 30 * time.Second}, ordered: true, limits: limits, reporting: true,
			record:       RolloutRecord{RolloutKey: judgedKey, Phase: tt.phase, Started: judgedAt, Since: judgedAt, Revision: 1},
			serviceKnown: true, base: "v1", oldUpstreams: 4, newUpstreams: 4, newWarm: 4, oldKnown: true, verdict: verdict{answers: 100},
		}
		tt.change(&view)
		next, changed := view.decide(judgedAt.Add(tt.after))
		if next.Phase != tt.want || changed != (tt.want != tt.phase) {
			t.Errorf("%s: %v %q, changed: %v", name, next.Phase, next.Reason, changed)
		}
	}
}
