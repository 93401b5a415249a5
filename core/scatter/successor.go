package scatter

// Successor returns an engine that replaces this one after an unexpected error.
// It inherits only the state that limits sends to upstreams (budgets, notices and
// the quarantine) and the counters, and reuses no attempt number.
func (e *Engine) Successor() *Engine {
	next := New(e.options)
	next.sequence, next.startedAt, next.stopsAt = e.sequence, e.startedAt, e.stopsAt
	next.budgets = e.budgets
	next.directory.notices = e.directory.notices
	next.quarantine = e.quarantine.forSuccessor()
	next.quotas.ledger, next.quotas.number = e.quotas.ledger, e.quotas.number
	next.useRollouts(e.rollouts.forSuccessor())
	next.stats = e.stats
	next.directory.capacityStats = e.directory.capacityStats
	return next
}
