package scatter

import (
	"fmt"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// useRollouts makes the engine observe versions; nil ignores them.
func (e *Engine) useRollouts(r *rollouts) {
	e.rollouts = r
	if r == nil {
		return
	}
	e.directory.versionUse = func(u *upstream) versionUse {
		s := r.services[u.Service]
		if s == nil {
			return versionOpen
		}
		return s.policy.use(u.Version, s.mixed)
	}
}

// limitedVersion reports whether an upstream's version gets only a share of the requests.
func (e *Engine) limitedVersion(u *upstream) bool {
	return e.rollouts != nil && e.directory.versionUse(u) == versionLimited
}

// pickVersion picks an upstream of the version that the next send of a part goes to. While the
// new version has a share, the first send of a part goes there as far as the share allows. A
// hedge or retry goes there only if no other upstream is left: if the version is bad, the
// request would fail again.
func (e *Engine) pickVersion(now time.Time, p *part, l pickConstraints) (*upstream, bool) {
	if e.rollouts == nil {
		return e.directory.pick(now, l)
	}
	s := e.rollouts.services[p.service]
	if s == nil || s.share == nil || s.policy.phase >= RolloutSwitched {
		return e.directory.pick(now, l) // versions are open or barred
	}
	pick := func(limited bool) (*upstream, bool) {
		l := l
		allowed := l.allowed
		l.allowed = func(u *upstream) bool { return e.limitedVersion(u) == limited && allowed(u) }
		return e.directory.pick(now, l)
	}
	shared := s.share.allows(s.policy.phase)
	if shared && p.sends == 0 {
		if u, _ := pick(true); u != nil && !now.Before(u.backoffUntil) {
			return u, false
		}
	}
	u, busy := pick(false)
	if u == nil && !busy && shared {
		return pick(true)
	}
	return u, busy
}

// countSend counts an attempt that is started.
func (e *Engine) countSend(now time.Time, a *attempt) {
	e.stats.Sends++
	if e.rollouts == nil {
		return
	}
	s := e.rollouts.services[a.part.service]
	if s == nil || s.share == nil {
		return
	}
	if _, active := s.key(); !active {
		return
	}
	send := &rolloutSend{share: s.share, cold: now.Before(a.to.coldUntil), first: a.part.sends == 1 && !a.extra}
	send.counts = s.countsOf(a.to.Version, a.part.call.route.Name)
	send.counts.Sends++
	if send.first {
		s.share.arrive(s.policy.phase)
	}
	if a.to.Version == s.counting.Target {
		s.share.expose()
		e.rollouts.stats.Sends++
	}
	a.rollout = send
}

// countEnd counts the end of an attempt. An answer that did not come counts as a slow one if
// it was waited for for long; one whose connection broke is no evidence against a version,
// since upstreams of any version crash.
func (e *Engine) countEnd(now time.Time, a *attempt, r AttemptEnded) {
	send := a.rollout
	if send == nil {
		return
	}
	send.counts.Answers++
	if r.Outcome == NotRelayed && send.first {
		send.share.requests-- // the next attempt is the first arrival
	}
	latency := now.Sub(a.sentAt)
	if r.Took > 0 {
		latency = r.Took
	}
	switch r.Outcome {
	case Failed:
		send.counts.Failures++
	case Succeeded:
	case Lost:
		if r.RelayFault || !now.After(a.overdueAt) {
			return
		}
	default:
		return
	}
	if !send.cold {
		send.counts.Latency[latencyBucket(latency)]++
	}
}

// handleRollout processes the events of roll-outs.
func (e *Engine) handleRollout(now time.Time, event Event) {
	r := e.rollouts
	if r == nil {
		return
	}
	switch event := event.(type) {
	case RolloutsSeen:
		e.listOrders(now, event.Orders)
	case RolloutRecordsSeen:
		r.recordsListed = true
		for _, record := range event.Records {
			e.adoptRecord(now, record)
		}
	case RolloutStored:
		s := r.service(event.Service)
		s.writing = false
		if event.Failed {
			s.retryAt = now.Add(rolloutRetry)
		}
		if event.Unreachable {
			r.declined[e.options.Self] = now.Add(min(maxStoreDeclineTime, storeDeclineTime<<min(r.storeFailures, 8)))
			r.storeFailures++
		} else {
			r.storeFailures = 0
		}
		if event.Record.Revision > 0 {
			e.adoptRecord(now, event.Record)
		}
		if event.State != "" && s.order != nil && s.order.Target == event.Record.Target {
			s.order.State, s.order.StatusTarget = event.State, event.Record.Target
		}
	case RolloutReportTaken:
		if event.Declined {
			r.declined[event.By] = now.Add(declineTime)
		} else {
			delete(r.declined, event.By)
		}
		return
	case RolloutReported:
		for _, s := range r.services {
			if s.tier != nil {
				s.tier.record(now, s.counting, event.RolloutReport)
			}
		}
		return
	}
	e.refreshAllVersions(now)
	e.startRolloutTimer(now)
}

// listOrders applies a list of the orders.
func (e *Engine) listOrders(now time.Time, orders []RolloutOrder) {
	r := e.rollouts
	present := r.ordersListed
	r.ordersListed = true
	listed := map[core.ServiceID]bool{}
	for _, order := range orders {
		id := core.ServiceID(order.Name)
		listed[id] = true
		s := r.service(id)
		if order.Problem == "" && s.replaces(order) {
			order.Problem = reasonTwo
		}
		s.order, s.missingSince = &order, time.Time{}
	}
	for id, s := range r.services {
		if s.order != nil && !listed[id] {
			s.order, s.missingSince = nil, now
		}
		if key, active := s.key(); active {
			s.startCounting(r.limits, key, present)
		}
	}
}

// replaces reports whether an order took the place of one in the same entry that had not
// ended.
func (s *serviceRollout) replaces(order RolloutOrder) bool {
	r := s.record
	return r.Revision > 0 && r.Created == order.Created && r.Target != order.Target &&
		(!r.Phase.Final() || r.Reason == reasonReplaced)
}

// adoptRecord applies a stored record, unless a newer state is known.
func (e *Engine) adoptRecord(now time.Time, record RolloutRecord) {
	s := e.rollouts.service(record.Service)
	if !record.supersedes(s.record) && s.record.Revision > 0 {
		s.record.Revision = record.Revision // of the object that the next write replaces
		return
	}
	before := s.record
	s.record = record
	if before.RolloutKey == record.RolloutKey && before.Phase == record.Phase && before.Revision > 0 {
		return
	}
	if s.order != nil && s.order.Problem == "" && s.replaces(*s.order) {
		s.order.Problem = reasonTwo
	}
	if key, active := s.key(); active {
		s.startCounting(e.rollouts.limits, key, s.counting == key)
	}
	if s.counting == record.RolloutKey {
		switch record.Phase {
		case RolloutDone:
			e.rollouts.stats.Completed++
		case RolloutBack:
			e.rollouts.stats.Reverted++
		}
	}
	e.note(Note{
		Decision: DecisionRollout, Service: record.Service, Version: e.Version(), Age: now.Sub(record.Started),
		Detail: fmt.Sprintf("%s: %s %s (confidence %.4f)", record.Target, record.Phase, record.Reason, record.Confidence),
	})
}

// refreshVersions applies a change of the upstreams.
func (e *Engine) refreshVersions(now time.Time, event Event) {
	if e.rollouts == nil {
		return
	}
	switch event := event.(type) {
	case UpstreamsListed, UpstreamRemoved:
		// Upstreams that are missing may be kept for the grace period.
		e.refreshAllVersions(now)
		e.timers.Add(now.Add(entryGrace+time.Millisecond), e.refreshAllVersions)
	case UpstreamSeen:
		e.refreshService(now, event.Upstream.Service)
	}
}

func (e *Engine) refreshService(now time.Time, id core.ServiceID) {
	s := e.rollouts.service(id)
	held := s.policy.held
	upstreams, mixed := e.directory.versionsOf(id)
	s.mixed = mixed
	s.applyPolicy(now, e.rollouts.ordersListed && e.rollouts.recordsListed, upstreams)
	if s.policy.held && !held && len(upstreams) > 0 {
		e.timers.Add(s.base.seenAt.Add(baseGoneAfter), e.refreshAllVersions)
	}
}

// refreshAllVersions applies changes to all services. Queued parts are sent to versions that
// have become open.
func (e *Engine) refreshAllVersions(now time.Time) {
	for id := range e.directory.byService {
		e.rollouts.service(id)
	}
	for _, id := range e.rollouts.sorted() {
		s := e.rollouts.services[id]
		before := s.policy
		e.refreshService(now, id)
		if before != s.policy && e.queues[id] != nil {
			e.dispatchQueued(now, id)
		}
	}
}

// startRolloutTimer starts the reports and decisions.
func (e *Engine) startRolloutTimer(now time.Time) {
	if e.rollouts.ticking || !e.rollouts.active() {
		return
	}
	e.rollouts.ticking = true
	e.timers.Add(now, e.tickRollouts)
}

// tickRollouts judges this host's own counts, reports them, and decides if this host is the
// first gatherer.
func (e *Engine) tickRollouts(now time.Time) {
	r := e.rollouts
	if !r.active() {
		r.ticking = false
		return
	}
	e.timers.Add(now.Add(r.interval()), e.tickRollouts)
	report := r.report(e.options.Self, e.startedAt.UnixMicro())
	e.haltBadVersions(now, report)
	e.askDecliningHosts(now, report)
	decider, known := e.rolloutDecider()
	switch {
	case !known:
	case decider.ID == e.options.Self:
		for _, id := range r.sorted() {
			s := r.services[id]
			if s.tier != nil {
				s.tier.record(now, s.counting, report)
			}
			e.decideRollout(now, id, s)
		}
	case e.fleet.role == Gatherer || len(report.Counts) > 0:
		e.out.RolloutReports = append(e.out.RolloutReports, RolloutReportTo{To: decider, Report: report})
	}
}

// rolloutDecider returns the host that decides: the first gatherer by rank that has not
// declined, or the first one if all have, as in an outage of the store. False if there is none.
func (e *Engine) rolloutDecider() (Host, bool) {
	gatherers := e.fleet.ranked[:e.fleet.gatherers()]
	for _, h := range gatherers {
		if _, declined := e.rollouts.declined[h.ID]; !declined {
			return h, true
		}
	}
	if len(gatherers) == 0 {
		return Host{}, false
	}
	return gatherers[0], true
}

// MayDecideRollouts reports whether this host may decide on roll-outs. A gatherer may, also
// while by its own list another host decides: the others may have detected earlier that that
// one is gone.
func (e *Engine) MayDecideRollouts() bool {
	if e.rollouts == nil || e.fleet.role != Gatherer {
		return false
	}
	_, declined := e.rollouts.declined[e.options.Self]
	return !declined
}

// askDecliningHosts sends reports to hosts that declined some time ago, to find out whether
// they take them again.
func (e *Engine) askDecliningHosts(now time.Time, report RolloutReport) {
	for _, h := range e.fleet.ranked {
		next, declined := e.rollouts.declined[h.ID]
		switch {
		case !declined || now.Before(next):
		case h.ID == e.options.Self || e.fleet.roleOf(h.ID) != Gatherer:
			delete(e.rollouts.declined, h.ID)
		default:
			e.rollouts.declined[h.ID] = now.Add(declineTime)
			e.out.RolloutReports = append(e.out.RolloutReports, RolloutReportTo{To: h, Report: report})
		}
	}
}

// haltBadVersions stops this host's sends to a version that it has itself found bad, whether
// or not the decision can be stored.
func (e *Engine) haltBadVersions(now time.Time, report RolloutReport) {
	for _, id := range e.rollouts.sorted() {
		s := e.rollouts.services[id]
		if s.local == nil || s.policy.halted || s.policy.phase.Final() {
			continue
		}
		s.local.record(now, s.counting, report)
		if v := judge(now, s.local, s.counting, s.policy.base); v.bad {
			s.policy.halted = true
			e.rollouts.stats.Halted++
			e.note(Note{
				Decision: DecisionRolloutHalted, Service: id, Version: e.Version(),
				Detail: fmt.Sprintf("%s: %s (confidence %.4f)", s.counting.Target, v.reason, v.confidence()),
			})
		}
	}
}

// decideRollout has a decision stored, if there is one.
func (e *Engine) decideRollout(now time.Time, id core.ServiceID, s *serviceRollout) {
	r := e.rollouts
	if s.writing || now.Before(s.retryAt) || !r.ordersListed || !r.recordsListed || e.directory.stale(now) {
		return
	}
	write, due := e.nextRolloutWrite(now, id, s)
	if due {
		s.writing = true
		e.out.RolloutWrites = append(e.out.RolloutWrites, write)
	}
}

func (e *Engine) nextRolloutWrite(now time.Time, id core.ServiceID, s *serviceRollout) (RolloutWrite, bool) {
	running := s.record.Revision > 0 && !s.record.Phase.Final()
	current := s.order != nil && s.order.RolloutKey == s.record.RolloutKey
	switch {
	case running && !current:
		if s.order == nil && now.Sub(s.missingSince) < withdrawnAfter {
			return RolloutWrite{}, false
		}
		next, _ := rolloutView{record: s.record}.decide(now)
		if s.order != nil {
			next.Reason = reasonReplaced
		}
		return RolloutWrite{Record: next, StoreRecord: true}, true
	case s.order == nil:
		return RolloutWrite{}, false
	case s.order.Problem != "":
		record := RolloutRecord{RolloutKey: s.order.RolloutKey, Phase: RolloutBack, Reason: s.order.Problem}
		return RolloutWrite{Record: record, Order: *s.order}, s.order.State != RolloutReverted
	case !current && s.over():
		return RolloutWrite{}, false
	}
	view := e.viewRollout(now, id, s, current)
	next, changed := view.decide(now)
	next.Revision = s.record.Revision
	return RolloutWrite{Record: next, StoreRecord: changed, Order: *s.order}, changed || s.order.State != next.Phase.State() || s.order.StatusTarget != next.Target
}

// viewRollout collects what is known of an order.
func (e *Engine) viewRollout(now time.Time, id core.ServiceID, s *serviceRollout, current bool) rolloutView {
	view := rolloutView{order: *s.order, ordered: true, limits: e.rollouts.limits, base: s.policy.base}
	if current {
		view.record = s.record
	}
	_, view.serviceKnown = e.config.serviceOf(id)
	upstreams, _ := e.directory.versionsOf(id)
	for _, u := range upstreams {
		switch {
		case u.Draining:
		case u.Version == s.order.Target:
			view.newUpstreams++
			if !now.Before(e.directory.byID[u.ID].coldUntil) {
				view.newWarm++
			}
		case u.Version == s.policy.base:
			view.oldUpstreams++
		}
	}
	if s.tier != nil {
		var others []core.HostID
		for _, h := range e.fleet.ranked[:e.fleet.gatherers()] {
			if h.ID != e.options.Self {
				others = append(others, h.ID)
			}
		}
		view.reporting = 2*s.tier.fresh(now, others) >= len(others)
		view.verdict = judge(now, s.tier, s.counting, s.policy.base)
		view.oldInFlight, view.oldKnown = s.tier.inFlight(s.policy.base, s.record.Since.Add(e.rollouts.limits.Apply))
	}
	return view
}

// serviceOf returns a service of the configuration, which may be nil.
func (c *Config) serviceOf(id core.ServiceID) (Service, bool) {
	if c == nil {
		return Service{}, false
	}
	s, found := c.Services[id]
	return s, found
}
