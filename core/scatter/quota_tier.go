package scatter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// quotas decides whether requests of teams with a limit are within their quotas. It
// answers load of a team beyond its quota, through however many hosts it comes: the team
// is refused the excess, and all other teams are served.
//
// One gatherer, the quota owner, holds the tokens of a team. The others ask it.
type quotas struct {
	self      core.HostID
	limits    QuotaLimits
	started   int64 // of this process, in unix microseconds
	number    uint64
	gatherers []Host
	teams     map[TeamID]*quotaTeam
	links     map[core.HostID]*quotaLink
	ledger    *quotaLedger
	stats     *Stats
	// The outputs of a step: a request to another host, a log record, and a timer.
	asked func(QuotaRequest)
	note  func(Note)
	after func(at time.Time, fire timerFunc)
}

func newQuotas(self core.HostID, limits QuotaLimits) *quotas {
	return &quotas{
		self: self, limits: limits.orDefault(), teams: map[TeamID]*quotaTeam{}, links: map[core.HostID]*quotaLink{}, ledger: newQuotaLedger(),
	}
}

// orDefault returns the limits that apply if the deployment states none.
func (l QuotaLimits) orDefault() QuotaLimits {
	if l.Window > 0 {
		return l
	}
	return QuotaLimits{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
}

// setGatherers applies a new list of gatherers.
func (q *quotas) setGatherers(now time.Time, gatherers []Host) {
	if slices.Equal(gatherers, q.gatherers) {
		return
	}
	q.gatherers = slices.Clone(gatherers)
	maps.DeleteFunc(q.links, func(id core.HostID, _ *quotaLink) bool {
		return !slices.ContainsFunc(gatherers, func(h Host) bool { return h.ID == id })
	})
	for _, t := range q.sortedTeams() {
		t.owners = rankQuotaOwners(t.id, q.gatherers)
	}
	q.askAll(now)
}

// team returns the state of a team with the limit that is in force.
func (q *quotas) team(id TeamID, quota Quota) *quotaTeam {
	t := q.teams[id]
	if t == nil {
		t = &quotaTeam{id: id, declined: map[core.HostID]time.Time{}, owners: rankQuotaOwners(id, q.gatherers)}
		q.teams[id] = t
	}
	if t.quota != quota {
		t.quota = quota
		t.deniedUntil = time.Time{}
		t.reserve = min(t.reserve, q.reserveOf(t))
	}
	return t
}

func (q *quotas) sortedTeams() []*quotaTeam {
	return slices.SortedFunc(maps.Values(q.teams), func(a, b *quotaTeam) int { return cmp.Compare(a.id, b.id) })
}

// askAll asks again for all open claims, after the hosts to ask have changed.
func (q *quotas) askAll(now time.Time) {
	for _, t := range q.sortedTeams() {
		if len(t.claims) > 0 || t.returned > 0 {
			q.ask(now, t)
		}
	}
}

// share returns the part of a team's quota that this host grants if it decides on the
// team.
func (q *quotas) share(time.Time, *quotaTeam) float64 {
	if !slices.ContainsFunc(q.gatherers, func(h Host) bool { return h.ID == q.self }) {
		return 0
	}
	return 1
}
