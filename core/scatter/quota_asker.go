package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// quotaTeam is what a host knows of one team with a limit.
type quotaTeam struct {
	id    TeamID
	quota Quota
	// owners are the gatherers in the order in which they decide on the team.
	owners []Host
	// reserve counts the tokens that this host holds, returned those that it gives
	// back with the next request.
	reserve, returned int
	claims            []*quotaClaim // in the order of their arrival
	// deniedUntil is until when the owner has no token.
	deniedUntil time.Time
	// declined holds until when a host does not decide on the team.
	declined map[core.HostID]time.Time
	// local bounds what this host uses by the limit that it knows itself, which may
	// be newer and lower than the owner's.
	local quotaBucket
	// retryAt is when the last caller that was refused is to come back.
	retryAt time.Time
	usedAt  time.Time // of the last claim
	// window is how long claims count, see QuotaLimits.
	window time.Duration
	// decider is the host to which this host delegates its share of the quota; nil if
	// that is this host. lapsesAt is when the lease of the one before has ended.
	decider  *quotaLink
	lapsesAt time.Time
	lapsesBy *quotaLink // whose lease it is
	// delegatedAt is when this host last delegated its share.
	delegatedAt time.Time
	// delegatedBy and askedBy are when other hosts last named the team in a delegation,
	// and asked for tokens of it.
	delegatedBy, askedBy map[core.HostID]time.Time
	// asksSince is when a host began to do either without a pause.
	asksSince map[core.HostID]time.Time
}

// quotaClaim waits for tokens: one for a request, or more for another host.
type quotaClaim struct {
	wanted, got int
	forwarded   bool // for another host
	// settle is called once: with the tokens, and with the time until there is one
	// if not all were granted.
	settle func(now time.Time, got int, wait time.Duration)
}

// quotaLink is the exchange with one host that grants tokens. There is one request at a
// time; what is wanted meanwhile is sent together with the next one.
type quotaLink struct {
	to     Host
	number uint64 // of the request that has no reply yet; 0 if there is none
	asked  []QuotaWant
	// delegatedAt is when the last message was sent that delegates shares.
	delegatedAt time.Time
	skipped     time.Time // until when the host is not asked; zero if it is
	since       time.Time // of skipped
	// returning is true if the host answers again. It is asked once the leases of its
	// successor have ended, which grants tokens until then.
	returning bool
	losses    int  // in a row
	refused   bool // whether the last one was a refused connection
}

// skipping reports whether the host is not asked at present.
func (l *quotaLink) skipping() bool { return !l.skipped.IsZero() }

// target returns the host that decides on a team as far as this host can tell; false if
// it is this host.
func (q *quotas) target(now time.Time, t *quotaTeam) (*quotaLink, bool) {
	decider := q.decider(now, t)
	if old := t.decider; old != decider {
		if old != nil && !t.delegatedAt.IsZero() {
			t.lapsesAt, t.lapsesBy = latest(t.lapsesAt, t.delegatedAt.Add(quotaLease)), old
		}
		t.decider = decider
	}
	return decider, decider != nil
}

func (q *quotas) decider(now time.Time, t *quotaTeam) *quotaLink {
	for _, h := range t.owners {
		if h.ID == q.self {
			return nil
		}
		if l := q.link(h); !l.skipping() && !now.Before(t.declined[h.ID]) {
			return l
		}
	}
	return nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// link returns the exchange with a host.
func (q *quotas) link(h Host) *quotaLink {
	l := q.links[h.ID]
	if l == nil {
		l = &quotaLink{}
		q.links[h.ID] = l
	}
	l.to = h
	return l
}

// claim requests tokens. It settles the claim at once if this host can tell.
func (q *quotas) claim(now time.Time, t *quotaTeam, c *quotaClaim) {
	t.usedAt = now
	if len(t.claims) == 0 && !c.forwarded {
		if t.reserve >= c.wanted {
			t.reserve -= c.wanted
			c.settle(now, c.wanted, 0)
			q.ask(now, t)
			return
		}
		if wait := t.deniedUntil.Sub(now); wait > 0 {
			c.settle(now, 0, wait)
			return
		}
	}
	t.claims = append(t.claims, c)
	q.ask(now, t)
}

// abandon gives up a claim.
func (q *quotas) abandon(t *quotaTeam, c *quotaClaim) {
	t.claims = slices.DeleteFunc(t.claims, func(other *quotaClaim) bool { return other == c })
}

// giveBack returns a token that was not used.
func (q *quotas) giveBack(now time.Time, t *quotaTeam, tokens int) {
	if _, remote := q.target(now, t); !remote {
		q.bucket(now, t).put(float64(tokens))
		return
	}
	keep := max(0, min(tokens, q.reserveOf(t)-t.reserve))
	t.reserve += keep
	t.returned += tokens - keep
	q.ask(now, t)
}

// reserveOf returns how many tokens of a team this host may hold.
func (q *quotas) reserveOf(t *quotaTeam) int {
	if !slices.ContainsFunc(t.owners, func(h Host) bool { return h.ID == q.self }) {
		return 0
	}
	return q.limits.reserve(t.quota, len(t.owners))
}

// ask requests what the claims on a team need, and what its reserve lacks.
func (q *quotas) ask(now time.Time, t *quotaTeam) {
	l, remote := q.target(now, t)
	if !remote {
		q.serveLocally(now, t)
		return
	}
	q.flush(now, l)
}

// serveLocally settles the claims on a team on which this host decides.
func (q *quotas) serveLocally(now time.Time, t *quotaTeam) {
	b := q.bucket(now, t)
	b.put(float64(t.returned))
	t.returned = 0
	claims := t.claims
	t.claims = nil
	wait := time.Duration(0)
	for _, c := range claims {
		fromReserve := min(t.reserve, c.wanted-c.got)
		t.reserve -= fromReserve
		c.got += fromReserve
		if c.got < c.wanted {
			var got int
			got, wait = q.takeTokens(now, t, c.wanted-c.got)
			c.got += got
		}
	}
	settleAll(now, claims, wait)
}

// flush sends a host one request for all teams on which it decides, unless the previous
// one has no reply yet.
func (q *quotas) flush(now time.Time, l *quotaLink) {
	if l.number != 0 {
		return
	}
	request := QuotaRequest{To: l.to}
	for _, t := range q.sorted {
		if to, remote := q.target(now, t); !remote || to != l {
			continue
		}
		want := QuotaWant{Team: t.id, Returned: t.returned}
		for _, c := range t.claims {
			want.Tokens += c.wanted - c.got
			request.Forwarded = request.Forwarded || c.forwarded
		}
		if missing := q.reserveOf(t) - t.reserve; missing > t.reserve && now.Sub(t.usedAt) < q.limits.Window && !now.Before(t.deniedUntil) {
			want.Tokens += missing
		}
		if want.Tokens > 0 || want.Returned > 0 {
			request.Wants = append(request.Wants, want)
			t.returned = 0
		}
	}
	if len(request.Wants) > 0 {
		q.send(now, l, request)
	}
}

// send sends a request, which delegates the shares of this host whose previous lease has
// ended. A request that is forwarded delegates nothing.
func (q *quotas) send(now time.Time, l *quotaLink, request QuotaRequest) {
	if q.shares.isMember(q.self) && !l.skipping() && !request.Forwarded {
		request = q.delegate(now, l, request)
	} else {
		request.Forwarded = true
	}
	q.number++
	request.Number, request.Started = q.number, q.started
	l.number, l.asked = request.Number, request.Wants
	q.asked(request)
	q.after(now.Add(quotaReplyTimeout), func(now time.Time) {
		if l.number == request.Number {
			q.skip(now, l, QuotaGranted{Cause: "no reply"})
		}
	})
}

// delegate adds the names of the teams whose shares are delegated with a request, unless
// the receiver owns them.
func (q *quotas) delegate(now time.Time, l *quotaLink, request QuotaRequest) QuotaRequest {
	changed := !q.shares.changedAt.IsZero() && now.Sub(q.shares.changedAt) < 2*quotaSettled
	var named []QuotaWant
	var delegated []*quotaTeam
	for _, t := range q.sorted {
		if t.decider != l {
			continue
		}
		owned := t.owners[0].ID == l.to.ID
		if now.Before(t.lapsesAt) {
			request.Forwarded = request.Forwarded || owned
			continue
		}
		if !owned && q.handsBack(t) {
			continue
		}
		if !owned || changed {
			named = append(named, QuotaWant{Team: t.id})
		}
		delegated = append(delegated, t)
	}
	if request.Forwarded {
		return request
	}
	request.Wants = append(request.Wants, named...)
	l.delegatedAt = now
	for _, t := range delegated {
		t.delegatedAt = now
	}
	return request
}

// handsBack reports whether a host that decides on a team before the present one is about
// to be asked again.
func (q *quotas) handsBack(t *quotaTeam) bool {
	for _, h := range t.owners {
		l := q.links[h.ID]
		if l == t.decider || h.ID == q.self {
			break
		}
		if l != nil && l.returning {
			return true
		}
	}
	return false
}

// endSkip asks a host again that was skipped.
func (q *quotas) endSkip(now time.Time, l *quotaLink) {
	if !l.returning {
		return
	}
	l.skipped, l.returning = time.Time{}, false
	q.note(Note{Decision: DecisionQuotaOwnerBack, Upstream: core.UpstreamID(l.to.ID), Age: now.Sub(l.since)})
	q.askAll(now)
}

const (
	// quotaReplyTimeout is how long a host may take to grant tokens. A request has
	// about 80 ms, and the next host has to be asked within them.
	quotaReplyTimeout = 40 * time.Millisecond
	// quotaSkip, doubled for each further loss up to maxQuotaSkip, is how long a host
	// that does not answer is not asked.
	quotaSkip    = 250 * time.Millisecond
	maxQuotaSkip = 2 * time.Second
	// quotaDeclineTime is how long a host that does not decide on a team is not asked
	// about it. Hosts agree again once they have the same list and configuration.
	quotaDeclineTime = 500 * time.Millisecond
)

// granted handles the end of a request.
func (q *quotas) granted(now time.Time, r QuotaGranted) {
	l := q.links[r.From]
	if l == nil || l.number != r.Number {
		return // too late: the tokens are lost
	}
	if r.Failed {
		q.skip(now, l, r)
		return
	}
	asked := l.asked
	q.shares.seenAt[r.From] = now
	l.number, l.asked, l.losses, l.refused = 0, nil, 0, false
	if l.skipping() && !l.returning {
		l.returning = true
		q.after(now.Add(quotaLease), func(now time.Time) { q.endSkip(now, l) })
	}
	for _, want := range asked {
		t := q.teams.byKey[want.Team]
		if t == nil || want.Tokens == 0 {
			continue
		}
		at := slices.IndexFunc(r.Grants, func(g QuotaGrant) bool { return g.Team == want.Team })
		if at < 0 || r.Grants[at].Declined {
			t.declined[r.From] = now.Add(quotaDeclineTime)
			continue
		}
		q.apply(now, t, r.Grants[at])
	}
	q.askAll(now)
}

// apply distributes the tokens that were granted. Claims that they do not cover are
// denied if the owner has no more.
func (q *quotas) apply(now time.Time, t *quotaTeam, g QuotaGrant) {
	pool := t.reserve + max(0, g.Tokens)
	t.reserve = 0
	denied := g.Wait > 0
	if denied {
		t.deniedUntil = now.Add(min(g.Wait, maxQuotaWait))
	}
	open := t.claims
	t.claims = nil
	var settled []*quotaClaim
	for _, c := range open {
		got := min(pool, c.wanted-c.got)
		pool -= got
		c.got += got
		if c.got < c.wanted && !denied {
			t.claims = append(t.claims, c) // it arrived after the request was sent
			continue
		}
		settled = append(settled, c)
	}
	t.reserve = min(pool, q.reserveOf(t))
	t.returned += pool - t.reserve
	settleAll(now, settled, g.Wait)
}

// settleAll settles claims, once the state is consistent: what follows from them may
// change it.
func settleAll(now time.Time, claims []*quotaClaim, wait time.Duration) {
	for _, c := range claims {
		if c.got == c.wanted {
			c.settle(now, c.got, 0)
		} else {
			c.settle(now, c.got, wait)
		}
	}
}

// skip stops asking a host for a bounded time, and asks the next one.
func (q *quotas) skip(now time.Time, l *quotaLink, failed QuotaGranted) {
	l.number, l.asked, l.refused, l.returning = 0, nil, failed.Refused, false
	q.stats.QuotaFallbacks++
	if !l.skipping() {
		l.since = now
		q.note(Note{Decision: DecisionQuotaOwnerSkipped, Upstream: core.UpstreamID(l.to.ID), Detail: failed.Cause})
	}
	wait := min(maxQuotaSkip, quotaSkip<<min(l.losses, 8))
	if failed.Refused {
		wait = quotaSkip // it costs little to see soon that it is back
	}
	l.losses++
	l.skipped = now.Add(wait)
	q.after(l.skipped, func(now time.Time) {
		if l.skipping() && !l.returning && !now.Before(l.skipped) {
			q.probe(now, l)
		}
	})
	for _, t := range q.sorted {
		if q.target(now, t); t.lapsesBy == l && q.isDown(now, l.to.ID) {
			t.lapsesAt = time.Time{}
		}
	}
	q.askAll(now)
	if l.losses == 1 {
		q.checkOthers(now)
	}
}

// probe asks a skipped host for nothing, to find out whether it is back. No request has
// to wait for a host that may still not answer.
func (q *quotas) probe(now time.Time, l *quotaLink) {
	if q.links[l.to.ID] != l || l.number != 0 {
		return
	}
	q.send(now, l, QuotaRequest{To: l.to})
}

// exceedsLocally returns how long a team has to wait by the limit that this host knows;
// 0 if it is within it. It holds a lowered limit while the owner still has the older one.
func (t *quotaTeam) exceedsLocally(now time.Time) time.Duration {
	first := t.local.at.IsZero()
	t.local.advance(now, t.quota, 1, 0)
	if first {
		t.local.tokens = t.local.capacity
	}
	return t.local.wait()
}

// nextRetry returns when a caller that is refused is to come back. Callers are spread
// at the rate at which tokens become available, and beyond a window evenly over it, so
// that many of them do not return together. Each of several hosts assigns its share.
func (t *quotaTeam) nextRetry(now time.Time, wait, window time.Duration, hosts int, random float64) time.Duration {
	if first := now.Add(wait); t.retryAt.Before(first) {
		t.retryAt = first
	}
	interval := time.Duration(float64(time.Second) * float64(max(1, hosts)) / t.quota.Rate)
	after := t.retryAt.Sub(now) + time.Duration(random*float64(min(window, interval)))
	if after > window {
		return wait + time.Duration(random*float64(window))
	}
	t.retryAt = now.Add(after)
	return after
}
