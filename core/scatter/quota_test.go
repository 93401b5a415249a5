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

// newQuotaRig returns a rig with a second gatherer that decides on the team gold.
func newQuotaRig(t *testing.T) *rig {
	r := newRig(t)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}, {ID: "host-2", Domain: "d2", Cores: 1}}})
	r.run(2 * time.Second)
	gold := scatter.TeamID("gold")
	for scatter.RankQuotaOwners(gold, []scatter.Host{{ID: "host-1"}, {ID: "host-2"}})[0].ID != "host-2" {
		gold += "+"
	}
	r.configureTeams(1, limited(gold, goldKey, 10, 5), team("silver", silverKey))
	return r
}

// grant answers the newest request for tokens.
func (r *rig) grant(tokens int, wait time.Duration) {
	r.t.Helper()
	last := r.quotaRequests[len(r.quotaRequests)-1]
	granted := scatter.QuotaGranted{From: last.To.ID, Number: last.Number}
	for _, want := range last.Wants {
		granted.Grants = append(granted.Grants, scatter.QuotaGrant{Team: want.Team, Tokens: min(tokens, want.Tokens), Wait: wait})
	}
	r.step(granted)
}

// TestRequestWaitsForToken guards against a request that runs before it has a token, that
// delays those of other teams, or that waits although there is none.
func TestRequestWaitsForToken(t *testing.T) {
	r := newQuotaRig(t)
	r.grant(0, 0) // the first request only delegates
	first, second := r.askAs(goldKey, "/team/"), r.askAs(goldKey, "/open/")
	other := r.askAs(silverKey, "/team/")
	if len(r.sends) != 1 || r.sends[0].Call != other {
		t.Fatalf("sent: %+v", r.sends)
	}
	r.grant(1, 0)
	r.grant(0, 300*ms)
	if a := r.want(second, scatter.OverQuota); a.RetryAfter < 300*ms {
		t.Errorf("to retry after %v", a.RetryAfter)
	}
	asked := len(r.quotaRequests)
	r.want(r.askAs(goldKey, "/team/"), scatter.OverQuota)
	if len(r.quotaRequests) != asked {
		t.Error("asked again before there is a token")
	}
	r.run(100 * ms)
	r.want(first, scatter.PassedOn)
	r.want(other, scatter.PassedOn)
}

// TestTokenOfCallerThatLeftIsReturned guards against tokens that are lost when callers
// leave while their requests wait, and against such requests being sent.
func TestTokenOfCallerThatLeftIsReturned(t *testing.T) {
	r := newQuotaRig(t)
	r.grant(0, 0)
	call := r.askAs(goldKey, "/team/")
	r.step(scatter.CallerGone{Call: call})
	r.grant(1, 0)
	if len(r.sends) != 0 {
		t.Error("sent after the caller left")
	}
	next := r.askAs(goldKey, "/team/")
	if len(r.sends) != 1 || r.sends[0].Call != next {
		t.Error("the next request did not get the token")
	}
}

// TestWaitingRequestEnds guards against requests that wait for a token past their
// deadline, or are run by a host that stops.
func TestWaitingRequestEnds(t *testing.T) {
	r := newQuotaRig(t)
	r.grant(0, 0)
	late := r.arrive(scatter.RequestArrived{Path: "/team/", Budget: 30 * ms, Key: scatter.DigestKey(goldKey), HasKey: true})
	r.run(25 * ms)
	r.want(late, scatter.Refused)
	waiting := r.askAs(goldKey, "/team/")
	r.step(scatter.Stopping{Until: r.now.Add(5 * ms)})
	r.run(6 * ms)
	r.want(waiting, scatter.Refused)
	r.grant(2, 0)
	if len(r.sends) != 0 {
		t.Errorf("%d sends", len(r.sends))
	}
}

// TestTokensAreGrantedOnce guards against a second grant for a message that is repeated or
// arrives late, also after the asker has restarted.
func TestTokensAreGrantedOnce(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, limited("gold", goldKey, 10, 100))
	r.run(10 * time.Second)
	for i, tt := range []struct {
		started int64
		number  uint64
		want    int
	}{{1, 5, 3}, {1, 5, 0}, {1, 4, 0}, {1, 6, 3}, {2, 1, 3}, {1, 7, 0}, {2, 1, 0}} {
		r.step(scatter.QuotaAsked{ID: uint64(i), From: "host-9", Started: tt.started, Number: tt.number, Wants: []scatter.QuotaWant{{Team: "gold", Tokens: 3}}})
		if got := r.quotaReplies[i]; got.ID != uint64(i) || got.Grants[0].Tokens != tt.want {
			t.Errorf("request %d of start %d: %+v, want %d tokens", tt.number, tt.started, got, tt.want)
		}
	}
}

// TestOverQuotaSaysNothingAboutTheHost guards against a cut-off host that turns all callers
// away because one team is beyond its quota, and against one that keeps them because the
// refusals of other hosts count as served.
func TestOverQuotaSaysNothingAboutTheHost(t *testing.T) {
	r := newRig(t)
	makeWeakHost(r)
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return time.Hour, scatter.Lost }
	end := func(ended scatter.HandoverEnded) float64 {
		ended.Call = r.ask(fetchPath)
		ended.To = r.handovers[len(r.handovers)-1].To.ID
		r.step(ended)
		return r.engine.UnservedShare()
	}
	var before, after float64
	for range 20 {
		before = end(scatter.HandoverEnded{Outcome: scatter.Failed})
	}
	for range 200 {
		after = end(scatter.HandoverEnded{Outcome: scatter.Succeeded, OverQuota: true})
	}
	if before == 0 || after != before {
		t.Errorf("the unserved share changed from %.2f to %.2f", before, after)
	}

	r = newRig(t)
	r.configureTeams(1, limited("gold", goldKey, 1, 1))
	for range 200 {
		r.want(r.askAs(goldKey, "/team/"), scatter.OverQuota)
	}
	if got := r.engine.AcceptedRequests("files", r.now); got != 0 {
		t.Errorf("the budget of extra sends counts %d requests", got)
	}
	if got := r.engine.UnservedShare(); got != 0 {
		t.Errorf("the unserved share is %.2f", got)
	}
}
