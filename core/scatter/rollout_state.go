package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// reportsPerRollback is how many reports a host sends, and how often the deciding host
	// looks at them, in the time to roll back; minRolloutInterval bounds the cost.
	reportsPerRollback = 10
	minRolloutInterval = 100 * time.Millisecond
	// withdrawnAfter is how long an order must be missing to count as withdrawn. A store
	// that was restored from an older copy may lack it for a moment.
	withdrawnAfter = 2500 * time.Millisecond
	// rolloutRetry is the wait after a decision that could not be stored.
	rolloutRetry = time.Second
	// declineTime is how long a host is not asked again after it declined a report.
	declineTime = 2 * time.Second
	// storeDeclineTime is how long a host does not decide after it could not store a
	// decision. It doubles up to maxStoreDeclineTime. A store that refuses one host does so
	// for long, and each attempt of that host delays a roll-out by a second or two. At 2 s,
	// a roll-out missed its deadline, since the host decided again between two writes.
	storeDeclineTime    = 10 * time.Second
	maxStoreDeclineTime = time.Minute

	reasonReplaced = "another order replaced this one"
	reasonTwo      = "another order of the service was running"
)

// rollouts holds the orders and what this host knows and counts of them.
type rollouts struct {
	limits                      RolloutLimits
	ordersListed, recordsListed bool
	services                    map[core.ServiceID]*serviceRollout
	// declined holds the hosts that take no reports, and when they are asked again.
	declined map[core.HostID]time.Time
	// storeFailures counts in a row the decisions that this host could not store.
	storeFailures int
	ticking       bool
	stats         RolloutStats
}

// RolloutStats counts since the start: sends to new versions, roll-outs seen to be completed
// and reverted, and versions that this host stopped using before a decision. Running is the
// number of roll-outs now.
type RolloutStats struct{ Sends, Completed, Reverted, Halted, Running uint64 }

// RolloutStats returns the counters of roll-outs.
func (e *Engine) RolloutStats() RolloutStats {
	if e.rollouts == nil {
		return RolloutStats{}
	}
	stats := e.rollouts.stats
	for _, s := range e.rollouts.services {
		if _, active := s.key(); active {
			stats.Running++
		}
	}
	return stats
}

// serviceRollout is the state of the roll-outs of one service.
type serviceRollout struct {
	// order is the entry; nil if there is none, since missingSince.
	order        *RolloutOrder
	missingSince time.Time
	// record is the last stored state; its Revision is 0 if none is known.
	record RolloutRecord
	policy versionPolicy
	base   basePresence
	mixed  bool
	// counting is the order that share and own belong to.
	counting RolloutKey
	share    *versionShare
	own      map[versionRoute]*VersionCounts
	// local sums this host's counts only, tier those of all hosts that report here.
	local, tier *rolloutCounts
	// writing is true while a decision is being stored.
	writing bool
	retryAt time.Time
}

// rolloutSend is how an attempt counts.
type rolloutSend struct {
	counts *VersionCounts
	share  *versionShare
	// first is true if the attempt counted as the arrival of its request.
	first, cold bool
}

// newRollouts returns nil if roll-outs are off.
func newRollouts(limits RolloutLimits) *rollouts {
	if !limits.Enabled() {
		return nil
	}
	return &rollouts{limits: limits, services: map[core.ServiceID]*serviceRollout{}, declined: map[core.HostID]time.Time{}}
}

// interval returns the time between two reports of a host.
func (r *rollouts) interval() time.Duration {
	return max(minRolloutInterval, r.limits.Rollback/reportsPerRollback)
}

// forSuccessor returns the state for an engine that replaces this one. What the share
// counts is kept. Attempts in flight are not known any more and count as ended.
func (r *rollouts) forSuccessor() *rollouts {
	if r == nil {
		return nil
	}
	r.ticking = false
	for _, s := range r.services {
		s.writing = false
		for _, c := range s.own {
			c.Answers = c.Sends
		}
	}
	return r
}

// sorted returns the services in a fixed order, so that equal events give equal actions.
func (r *rollouts) sorted() []core.ServiceID { return slices.Sorted(maps.Keys(r.services)) }

func (r *rollouts) service(id core.ServiceID) *serviceRollout {
	s := r.services[id]
	if s == nil {
		s = &serviceRollout{}
		r.services[id] = s
	}
	return s
}

// key returns the order that is being carried out; false if there is none.
func (s *serviceRollout) key() (RolloutKey, bool) {
	switch {
	case s.record.Revision > 0 && !s.record.Phase.Final():
		return s.record.RolloutKey, true
	case s.order != nil && s.order.Problem == "":
		return s.order.RolloutKey, !s.over()
	default:
		return RolloutKey{}, false
	}
}

// over reports whether the order of the entry has ended.
func (s *serviceRollout) over() bool {
	o := s.order
	return s.record.Revision > 0 && s.record.RolloutKey == o.RolloutKey && s.record.Phase.Final() ||
		o.State.Final() && o.StatusTarget == o.Target
}

// applyPolicy derives from the order, the record and the upstreams which versions get
// requests.
func (s *serviceRollout) applyPolicy(now time.Time, known bool, upstreams []Upstream) {
	p := versionPolicy{known: known, base: s.policy.base, halted: s.policy.halted}
	if !s.policy.known {
		p.base = "" // it was a guess
	}
	if r := s.record; r.Revision > 0 {
		p.target, p.phase = r.Target, r.Phase
		switch {
		case r.Phase == RolloutDone && (s.order == nil || s.order.RolloutKey == r.RolloutKey):
			p.base, p.target = r.Target, ""
		case r.Phase == RolloutDone && p.base == "":
			p.base = r.Target
		case r.Phase != RolloutDone && (!r.Phase.Final() || p.base == "" || p.base == r.Target):
			p.base = r.Base
		}
	}
	if o := s.order; o != nil && o.Problem == "" && (s.record.Revision == 0 || s.record.Phase.Final() && s.record.RolloutKey != o.RolloutKey) {
		p.target, p.phase = o.Target, RolloutProposed
		if o.StatusTarget == o.Target && o.State == RolloutReverted {
			p.phase = RolloutBack
		} else if o.StatusTarget == o.Target && o.State == RolloutCompleted {
			p.base, p.target = o.Target, ""
		}
	}
	running := p.target != "" && p.target != p.base && !p.phase.Final()
	if s.base.keeps(now, p.base, upstreams, running) {
		p.held = true
	} else {
		p.base, p.held = baseVersion(p.base, upstreams, p.target), false
	}
	s.policy = p
}

// startCounting begins the counts of an order. Present is true if this host ran before the
// order was given.
func (s *serviceRollout) startCounting(limits RolloutLimits, key RolloutKey, present bool) {
	if s.counting == key && s.share != nil {
		return
	}
	s.counting, s.share = key, newVersionShare(limits, present)
	s.own = map[versionRoute]*VersionCounts{}
	s.local, s.tier = newRolloutCounts(), newRolloutCounts()
	s.policy.halted = false
}

// countsOf returns the counts of a version on a route.
func (s *serviceRollout) countsOf(version, route string) *VersionCounts {
	at := versionRoute{version, route}
	c := s.own[at]
	if c == nil && len(s.own) >= maxRolloutRoutes {
		at.route = ""
		c = s.own[at]
	}
	if c == nil {
		c = &VersionCounts{Key: s.counting, Version: version, Route: at.route, Latency: make([]uint32, latencyBuckets)}
		s.own[at] = c
	}
	return c
}

// report returns this host's counts of all orders that are being carried out.
func (r *rollouts) report(self core.HostID, started int64) RolloutReport {
	report := RolloutReport{Host: self, Started: started}
	for _, id := range r.sorted() {
		s := r.services[id]
		if _, active := s.key(); !active {
			continue
		}
		for _, c := range s.own {
			counts := *c
			counts.Latency = slices.Clone(c.Latency)
			report.Counts = append(report.Counts, counts)
		}
	}
	return report
}

// active reports whether there is anything to decide or to report.
func (r *rollouts) active() bool {
	for _, s := range r.services {
		if _, active := s.key(); active || s.order != nil && s.order.State != s.wantedState() {
			return true
		}
	}
	return false
}

// wantedState returns the state that the entry's status has to tell.
func (s *serviceRollout) wantedState() RolloutState {
	switch {
	case s.order == nil:
		return ""
	case s.order.Problem != "":
		return RolloutReverted
	case s.record.Revision > 0 && s.record.RolloutKey == s.order.RolloutKey:
		return s.record.Phase.State()
	default:
		return s.order.State
	}
}
