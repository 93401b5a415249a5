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
	self     core.HostID
	limits   QuotaLimits
	started  int64 // of this process, in unix microseconds
	number   uint64
	shares   quotaShares
	pending  []Host    // the gatherers once the change has settled
	listedAt time.Time // of the first list
	teams    protections[TeamID, *quotaTeam]
	limited  map[TeamID]bool // the teams with a limit in force
	sorted   []*quotaTeam    // by ID
	links    map[core.HostID]*quotaLink
	ledger   *quotaLedger
	stats    *Stats
	ticking  bool
	// The outputs of a step: a request to another host, a log record, and a timer.
	asked func(QuotaRequest)
	note  func(Note)
	after func(at time.Time, fire timerFunc)
}

func newQuotas(self core.HostID, limits QuotaLimits) *quotas {
	q := &quotas{
		self: self, limits: limits.orDefault(), teams: newProtections[TeamID, *quotaTeam](), links: map[core.HostID]*quotaLink{}, ledger: newQuotaLedger(),
		shares: newQuotaShares(),
	}
	q.shares.refuses = func(id core.HostID) bool { return q.links[id] != nil && q.links[id].skipping() && q.links[id].refused }
	q.shares.skipped = func(id core.HostID) time.Time {
		if l := q.links[id]; l != nil && l.skipping() {
			return l.since
		}
		return time.Time{}
	}
	return q
}

// orDefault returns the limits that apply if the deployment states none.
func (l QuotaLimits) orDefault() QuotaLimits {
	if l.Window > 0 {
		return l
	}
	return QuotaLimits{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
}

// setGatherers applies a new list of gatherers. Until it has settled, the previous ones
// decide: hosts that learn of a change at different times would otherwise ask different
// hosts. A host that starts has no previous ones: its first lists may be incomplete.
func (q *quotas) setGatherers(now time.Time, gatherers []Host) {
	q.pending = slices.Clone(gatherers)
	if len(q.shares.members) == 0 {
		q.listedAt = now
	}
	if now.Sub(q.listedAt) < quotaSettleTime {
		q.applyGatherers(now)
		return
	}
	q.after(now.Add(quotaSettleTime), q.applyGatherers)
}

func (q *quotas) applyGatherers(now time.Time) {
	if slices.Equal(q.pending, q.shares.members) {
		return
	}
	q.shares.setMembers(now, q.pending)
	for _, t := range q.sorted {
		t.owners = rankQuotaOwners(t.id, q.pending)
		t.reserve = min(t.reserve, q.reserveOf(t))
	}
	q.askAll(now)
}

// team returns the state of a team with the limit that is in force.
func (q *quotas) team(id TeamID, quota Quota) *quotaTeam {
	t := q.teams.byKey[id]
	if t == nil {
		t = &quotaTeam{
			id: id, window: q.limits.Window, declined: map[core.HostID]time.Time{}, owners: rankQuotaOwners(id, q.shares.members),
			delegatedBy: map[core.HostID]time.Time{}, askedBy: map[core.HostID]time.Time{}, asksSince: map[core.HostID]time.Time{},
		}
		q.teams.byKey[id] = t
		q.sortTeams()
	}
	if t.quota != quota {
		t.quota = quota
		t.deniedUntil = time.Time{}
		t.reserve = min(t.reserve, q.reserveOf(t))
	}
	return t
}

// setTeams applies the teams with a limit of the configuration in force.
func (q *quotas) setTeams(now time.Time, teams []*Team) {
	q.limited = make(map[TeamID]bool, len(teams))
	for _, team := range teams {
		q.limited[team.ID] = true
		q.team(team.ID, team.Quota)
	}
	q.release(now)
}

// release forgets the teams without a limit once their state bounds nothing any more.
func (q *quotas) release(now time.Time) {
	before := len(q.teams.byKey)
	q.teams.release(now, func(id TeamID) bool { return q.limited[id] })
	q.ledger.buckets.release(now, func(id TeamID) bool { return q.teams.byKey[id] != nil })
	if len(q.teams.byKey) != before {
		q.sortTeams()
	}
}

func (q *quotas) sortTeams() {
	q.sorted = slices.SortedFunc(maps.Values(q.teams.byKey), func(a, b *quotaTeam) int { return cmp.Compare(a.id, b.id) })
}

// askAll asks again for all open claims, after the hosts to ask have changed.
func (q *quotas) askAll(now time.Time) {
	for _, t := range q.sorted {
		q.target(now, t)
		if len(t.claims) > 0 || t.returned > 0 {
			q.ask(now, t)
		}
	}
}

// bucket returns the bucket of a team as of now.
func (q *quotas) bucket(now time.Time, t *quotaTeam) *quotaBucket {
	return q.ledger.bucket(now, t.id, t.quota, q.shares.of(now, q.self, t, q.limits.Window).quota, q.limits.Window)
}

// takeTokens takes tokens of a team on which this host decides. If there are not enough,
// it returns the time until there is one.
func (q *quotas) takeTokens(now time.Time, t *quotaTeam, wanted int) (got int, wait time.Duration) {
	part := q.shares.of(now, q.self, t, q.limits.Window)
	b := q.ledger.bucket(now, t.id, t.quota, part.quota, q.limits.Window)
	got = b.take(wanted)
	if part.fallback > 0 {
		got += b.takeFallback(now, wanted-got, part.fallback*q.limits.fallback(t.quota, len(q.shares.members)), q.limits.Window)
	}
	if got == wanted {
		return got, 0
	}
	if wait = max(minQuotaWait, b.wait()); part.fallback > 0 {
		wait = min(wait, quotaTick)
	}
	return got, wait
}

// canDecide reports whether this host can find out whether a team is within its quota: it
// is a gatherer, or reaches one.
func (q *quotas) canDecide(now time.Time, t *quotaTeam) bool {
	_, remote := q.target(now, t)
	return remote || q.shares.isMember(q.self)
}

// minQuotaWait is the shortest time until there is a token that is stated: 0 states that
// all tokens were granted.
const minQuotaWait = time.Millisecond

// tick updates leases and buckets, and renews the delegation of this host's shares.
func (q *quotas) tick(now time.Time) {
	deciding := false
	for _, t := range q.sorted {
		if l, remote := q.target(now, t); remote {
			lapsed := l.delegatedAt.Before(t.lapsesAt) && !now.Before(t.lapsesAt)
			if (lapsed || now.Sub(l.delegatedAt) >= quotaHeartbeat) && l.number == 0 {
				q.send(now, l, QuotaRequest{To: l.to})
			}
			continue
		}
		deciding = deciding || now.Sub(t.usedAt) < q.limits.Window
		q.bucket(now, t)
	}
	if deciding {
		q.checkSilent(now)
	}
}

// checkSilent asks the hosts from which nothing was received for nothing, to find out
// whether they are down.
func (q *quotas) checkSilent(now time.Time) {
	for _, h := range q.shares.members {
		if l := q.link(h); h.ID != q.self && now.Sub(q.shares.seenAt[h.ID]) >= quotaLease && l.number == 0 && !l.skipping() {
			q.send(now, l, QuotaRequest{To: l.to, Forwarded: true})
		}
	}
}

// isDown reports whether no process runs at the address of a host.
func (q *quotas) isDown(now time.Time, id core.HostID) bool {
	at := slices.IndexFunc(q.shares.members, func(h Host) bool { return h.ID == id })
	return at >= 0 && q.shares.isDown(now, q.self, q.shares.members[at])
}

// checkOthers asks all other hosts that decide on teams for nothing, after one was lost.
// If this host is cut off, it finds out with one timeout and not with one for each.
func (q *quotas) checkOthers(now time.Time) {
	for _, h := range q.shares.members {
		if l := q.links[h.ID]; l != nil && l.number == 0 && !l.skipping() {
			q.send(now, l, QuotaRequest{To: l.to})
		}
	}
}
