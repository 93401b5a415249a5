package scatter

// Successor returns an engine that replaces this one after an unexpected error.
// It inherits only the state that limits sends to upstreams (budgets, the
// state of upstreams and the quarantine) and the counters, and reuses no attempt number.
func (e *Engine) Successor() *Engine {
	next := New(e.options)
	next.sequence, next.startedAt, next.stopsAt = e.sequence, e.startedAt, e.stopsAt
	next.budgets = e.budgets
	next.directory.inherit(e.directory)
	next.quarantine = e.quarantine.forSuccessor()
	next.quotas.ledger, next.quotas.number = e.quotas.ledger, e.quotas.number
	next.useRollouts(e.rollouts.forSuccessor())
	next.stats = e.stats
	return next
}

// inherit takes over what bounds sends to upstreams. Their entries and the attempts that run
// there are not known any more.
func (d *directory) inherit(old *directory) {
	d.notices, d.capacityStats = old.notices, old.capacityStats
	d.detached = old.detached
	for _, u := range old.byID {
		d.detached.byKey[noticeKeyOf(u.Upstream)] = u
	}
	for _, u := range d.detached.byKey {
		u.running = nil
	}
}
