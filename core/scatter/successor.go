package scatter

import "time"

// Successor returns an engine that replaces this one after an unexpected error. It inherits
// only the state that limits sends to upstreams and requests of teams, and the counters, and
// reuses no attempt number.
func (e *Engine) Successor() *Engine {
	next := New(e.options)
	next.sequence, next.startedAt, next.stopsAt = e.sequence, e.startedAt, e.stopsAt
	next.newestVersion, next.reported, next.seenVersion = e.newestVersion, e.reported, e.seenVersion
	next.targetSince, next.allowance = e.targetSince, e.allowance
	next.budgets = e.budgets
	next.directory.inherit(e.directory)
	next.quarantine = e.quarantine.forSuccessor()
	next.quotas.inherit(e.quotas)
	next.useRollouts(e.rollouts.forSuccessor())
	next.stats = e.stats
	// What a restored store lacks stays in force until the end of the grace period.
	next.domainsOut, next.hosts = e.domainsOut, e.hosts
	next.directory.domainsOut = e.directory.domainsOut // the new core may list upstreams first
	next.at(next.domainsOut.until, func(now time.Time) { next.setDomains(next.domainsOut.inForce(now)) })
	next.at(next.directory.restored.until, func(now time.Time) { next.directory.acceptHeld(now, next.noteUpstream) })
	next.at(next.hosts.until, next.applyHosts)
	return next
}

// at schedules what ends a grace period, if there has been one.
func (e *Engine) at(end time.Time, fire timerFunc) {
	if !end.IsZero() {
		e.timers.Add(end, fire)
	}
}

// inherit takes over what bounds sends to upstreams. Their entries and the attempts that run
// there are not known any more.
func (d *directory) inherit(old *directory) {
	d.notices, d.capacityStats = old.notices, old.capacityStats
	d.replaced, d.coldHoldUntil = old.replaced, old.coldHoldUntil
	d.restored = old.restored
	d.detached = old.detached
	for _, u := range old.byID {
		d.detached.byKey[noticeKeyOf(u.Upstream)] = u
	}
	for _, u := range d.detached.byKey {
		u.running = nil
	}
}

// inherit takes over the tokens that were granted and the shares that other hosts may still
// grant. Claims have ended with their calls, and tokens that this host held are lost.
func (q *quotas) inherit(old *quotas) {
	q.ledger, q.number, q.listedAt, q.pending = old.ledger, old.number, old.listedAt, old.pending
	refuses, skipped := q.shares.refuses, q.shares.skipped
	q.shares = old.shares
	q.shares.refuses, q.shares.skipped = refuses, skipped
	for id, t := range old.teams.byKey {
		if t.decider != nil && !t.delegatedAt.IsZero() {
			t.lapsesAt = latest(t.lapsesAt, t.delegatedAt.Add(quotaLease))
		}
		q.teams.byKey[id] = &quotaTeam{
			id: id, quota: t.quota, window: t.window, owners: t.owners, local: t.local, usedAt: t.usedAt, deniedUntil: t.deniedUntil,
			lapsesAt: t.lapsesAt, declined: t.declined, delegatedBy: t.delegatedBy, askedBy: t.askedBy, asksSince: t.asksSince,
		}
	}
	q.sortTeams()
}
