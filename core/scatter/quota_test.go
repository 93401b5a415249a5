package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// limited returns a team with a limit.
func limited(id scatter.TeamID, key string, rate, burst float64) scatter.Team {
	t := team(id, key)
	t.Quota = scatter.Quota{Rate: rate, Burst: burst}
	return t
}

// TestQuotaOfOneHost guards against requests beyond a quota that run, against a team
// that takes the capacity of others, and against tokens that are lost when requests do
// not run.
func TestQuotaOfOneHost(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, limited("gold", goldKey, 10, 5), team("silver", silverKey))
	count := map[scatter.AnswerKind]int{}
	for range 600 {
		call, other := r.askAs(goldKey, "/team/"), r.askAs(silverKey, "/team/")
		r.run(10 * ms)
		a := r.answers[call]
		count[a.Kind]++
		if a.Kind == scatter.OverQuota && (a.RetryAfter <= 0 || a.RetryAfter > 10*time.Second) {
			t.Fatalf("to retry after %v", a.RetryAfter)
		}
		r.want(other, scatter.PassedOn)
	}
	if passed := count[scatter.PassedOn]; passed < 58 || passed > 66 || count[scatter.OverQuota] != 600-passed {
		t.Errorf("%v in 6 s at a limit of 10 per second", count)
	}
}

// TestTokenOfRequestThatDidNotRunIsReturned guards against upstreams that cannot be
// reached using up the quota of a team.
func TestTokenOfRequestThatDidNotRunIsReturned(t *testing.T) {
	for outcome, want := range map[scatter.Outcome]scatter.AnswerKind{scatter.Unreached: scatter.Refused, scatter.Lost: scatter.OverQuota} {
		r := newRig(t)
		r.configureTeams(1, limited("gold", goldKey, 0.5, 1))
		r.run(2 * time.Second) // the bucket starts empty
		r.want(r.askAs(goldKey, "/team/"), scatter.OverQuota)
		r.run(2 * time.Second)
		r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, outcome }
		r.askAs(goldKey, "/team/")
		r.run(900 * ms)
		second := r.askAs(goldKey, "/team/")
		r.run(900 * ms)
		r.want(second, want)
	}
}
