package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// hedgeCheckFraction times the route's target is the interval between two
	// checks of a call for late parts.
	hedgeCheckFraction = 0.1
	// maxQueueWaitFraction times the route's target is how long a request waits
	// for a free upstream before it is refused.
	maxQueueWaitFraction = 0.25
	// minHedgeCheckInterval is the lower bound of that interval.
	minHedgeCheckInterval = 2 * time.Millisecond
)

// handleRequest routes a request and sends its parts, or refuses it at once.
func (e *Engine) handleRequest(now time.Time, a RequestArrived) {
	e.stats.Requests++
	if a.FromHost && !e.mayTakeOver(now, a) {
		unreachable := e.connectivity.partitioned && (a.Repeat || !e.openConnectionsWork(now))
		e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: Declined, Partitioned: unreachable})
		return
	}
	if e.shouldHandOver(a) {
		e.handOver(now, a)
		return
	}
	e.answerRequest(now, a)
}

// mayTakeOver reports whether this host accepts a request of another host. While its
// data may be stale or it is partitioned, it does so only if no other host can; so it does
// with a configuration that the other host has seen replaced by a newer one.
func (e *Engine) mayTakeOver(now time.Time, a RequestArrived) bool {
	if e.connectivity.partitioned {
		return a.AllowStale && e.openConnectionsWork(now)
	}
	return a.AllowStale || e.Ready() && !e.directory.stale(now) && e.Version() >= a.SeenVersion
}

// answerRequest has this host answer a request from upstreams.
func (e *Engine) answerRequest(now time.Time, a RequestArrived) {
	if !e.Ready() {
		e.refuseUnrouted(now, a, "the configuration or the upstreams are not known yet")
		return
	}
	route := e.config.Match(a.Host, a.Path)
	if route == nil {
		e.stats.NoRoute++
		e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: NoRoute})
		e.note(Note{Decision: DecisionAnswer, RequestID: a.RequestID, Version: e.Version(), Detail: NoRoute.String()})
		return
	}
	if a.Repeat && (!route.Repeatable || route.MaxUpstreams < 2) {
		e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: Declined})
		return
	}
	team, ok := e.config.identify(route, a)
	if !ok {
		e.unauthorized(now, a, route)
		return
	}
	if team != nil && e.keysUnconfirmed(now) {
		e.refuseUnrouted(now, a, "the key cannot be confirmed")
		return
	}
	if !e.mayTryUpstreams(now, route) {
		e.refuseUnrouted(now, a, unreachableUpstreams+", and no other host accepts the request")
		return
	}
	c := e.newCall(a, route, team)
	if usual := e.usualLatency(route, c.parts[0].service).estimate; !e.endsBeforeStop(now, c.wanted, usual) {
		e.refuse(now, c, "this host stops before the request is expected to end")
		return
	}
	if !c.limited() {
		e.countAccepted(now, c)
	}
	if _, quarantined := e.quarantine.until(now, a.Fingerprint); quarantined {
		e.stats.QuarantineRefused++
		e.note(Note{
			Decision: DecisionRequestQuarantined, RequestID: a.RequestID, Fingerprint: a.Fingerprint, UpstreamsLost: e.quarantine.crashCount(a.Fingerprint),
			Route: route.Name, Version: c.config.Version,
		})
		e.refuse(now, c, "upstreams ended under the question")
		return
	}
	if e.reachableParts(now, c) < c.minParts() {
		e.refuse(now, c, e.unreachableReason(now, c))
		return
	}
	if route.IsGather() {
		if !e.admit(now, c) {
			e.refuse(now, c, "the upstreams' queues are long")
			return
		}
	}
	e.calls[a.Call] = c
	e.startTimers(now, c)
	e.claimQuota(now, c)
}

// newCall creates the call of a request, with one part for each service that
// contributes to the answer.
func (e *Engine) newCall(a RequestArrived, route *Route, team *Team) *call {
	c := &call{id: a.Call, request: a, route: route, team: team, config: e.config}
	budget := route.Timeout
	if a.Budget > 0 {
		budget = min(budget, e.answerBudget(a.Budget))
	}
	c.wanted = a.At.Add(budget)
	c.deadline = e.endBy(c.wanted)
	c.answerAt = a.At.Add(max(0, route.Target-e.options.AnswerMargin))
	if c.answerAt.After(c.deadline) {
		c.answerAt = c.deadline
	}
	services := route.Shards
	if !route.IsGather() {
		services = []core.ServiceID{e.pickTarget(route)}
	}
	parts := make([]part, len(services))
	c.parts = make([]*part, len(services))
	for i, id := range services {
		parts[i] = part{call: c, service: id}
		c.parts[i] = &parts[i]
	}
	if c.config.Teams != nil {
		c.share = e.fairShares.join(c.identity().Team)
	}
	return c
}

// answerBudget returns how much of a caller's timeout may pass before the answer
// is sent. The rest is reserved for the way back: an answer that is sent at the
// end of the timeout arrives after the caller has given up.
func (e *Engine) answerBudget(timeout time.Duration) time.Duration {
	return max(timeout/2, timeout-e.options.AnswerMargin)
}

// pickTarget picks the service for a request of a route without shards.
func (e *Engine) pickTarget(route *Route) core.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s := e.splits[route]
	if s == nil {
		s = &weightedRoundRobin{}
		s.randomize(route.Targets, e.options.Random)
		e.splits[route] = s
	}
	return s.next(route.Targets)
}

// minParts returns the least number of parts that an answer needs.
func (c *call) minParts() int {
	if c.route.IsGather() {
		return c.route.MinParts()
	}
	return 1
}

// reachableParts counts the parts whose service has an upstream that accepts
// work before the call's queue deadline.
func (e *Engine) reachableParts(now time.Time, c *call) int {
	count := 0
	for _, p := range c.parts {
		if at, found := e.availableAt(now, p); found && at.Before(c.queueDeadline()) {
			count++
		}
	}
	return count
}

// unreachableReason says why a call has too few reachable parts.
func (e *Engine) unreachableReason(now time.Time, c *call) string {
	for _, p := range c.parts {
		if e.limitWait(now, p) > 0 {
			e.stats.LimitRefused++
			return "the upstreams' rate limits leave no room"
		}
	}
	return "too few services have an upstream"
}

// regionFilter returns a predicate for the upstreams whose region a call may use.
func (e *Engine) regionFilter(c *call) func(*upstream) bool {
	return func(u *upstream) bool { return c.allowsRegion(e.options.Regions[u.Domain]) }
}

// queueDeadline returns until when a part may wait for a free upstream. A request
// to a single upstream is refused early, which leaves its caller time to retry.
// Parts of a gather may wait until the deadline, since a queued part uses no
// upstream capacity.
func (c *call) queueDeadline() time.Time {
	if c.route.IsGather() {
		return c.deadline
	}
	return c.request.At.Add(time.Duration(maxQueueWaitFraction * float64(c.route.Target)))
}

// startTimers starts the timers of a call: its deadline, the answer time of a
// gather and the checks for late parts of a repeatable request.
func (e *Engine) startTimers(now time.Time, c *call) {
	e.addTimer(c, c.deadline, func(now time.Time) { e.timeOut(now, c) })
	if c.route.IsGather() {
		e.addTimer(c, c.answerAt, func(now time.Time) { e.tryComplete(now, c) })
	}
	if c.route.Repeatable {
		e.scheduleHedgeCheck(now, c)
	}
}

func (e *Engine) scheduleHedgeCheck(now time.Time, c *call) {
	next := now.Add(max(minHedgeCheckInterval, time.Duration(hedgeCheckFraction*float64(c.route.Target))))
	if next.After(c.deadline) {
		return
	}
	e.addTimer(c, next, func(now time.Time) {
		e.hedgeLateParts(now, c)
		e.scheduleHedgeCheck(now, c)
	})
}

// addTimer runs fire at the given time unless the call is done by then.
func (e *Engine) addTimer(c *call, at time.Time, fire timerFunc) {
	c.timers = append(c.timers, e.timers.Add(at, func(now time.Time) {
		if !c.done {
			fire(now)
		}
	}))
}

// send starts an attempt at a part if an upstream can accept it now. The part is
// queued if an upstream can accept it later, and over if there is none.
func (e *Engine) send(now time.Time, p *part) {
	c := p.call
	if _, quarantined := e.quarantine.until(now, c.request.Fingerprint); quarantined {
		p.exhausted = p.pending == 0
		return
	}
	if p.isExtra() && !e.withinExtraBudget(now, p) {
		p.exhausted = p.pending == 0
		return
	}
	service := c.config.Services[p.service]
	u, busy := e.pickVersion(now, p, pickConstraints{
		service:      Service{ID: p.service, ColdRate: service.ColdRate},
		allowed:      e.regionFilter(c),
		reachable:    e.reaches(now, c),
		only:         e.onlyUpstream(now, p),
		tried:        p.tried,
		connections:  e.sharesOf(service),
		avoidStalled: c.route.IsGather(),

		waitsUntil: c.queueDeadline(),
		mayTry:     c.route.Repeatable && len(p.tried) == 0,
	})
	switch {
	case u != nil:
		e.startAttempt(now, p, u, service)
	case busy:
		e.enqueue(now, p)
	case p.pending == 0:
		p.exhausted = true
	}
}

// startAttempt sends a part to an upstream, through a relay if one applies.
func (e *Engine) startAttempt(now time.Time, p *part, u *upstream, service Service) {
	c := p.call
	e.sequence++
	a := &attempt{id: e.sequence, part: p, to: u, sentAt: now, extra: p.isExtra(), trial: u.capacity.wasSlow()}
	usual := e.usualLatency(c.route, p.service).estimate
	a.overdueAt = now.Add(max(minStall, stallFactor*usual))
	if a.extra {
		e.budget(p.service).extras.add(now)
		c.extras++
	}
	e.directory.recordSend(now, u, service)
	u.running = append(u.running, a)
	p.tried = append(p.tried, u)
	p.attempts = append(p.attempts, a)
	p.pending++
	p.sends++
	p.waiting = false
	e.fairShares.charge(c.share, usual)
	e.attempts[a.id] = a
	e.countSend(now, a)
	e.domains.recordSend(now, u.Domain)
	e.queue(p.service).attemptStarted()
	send := Send{
		Attempt:     a.id,
		Call:        c.id,
		Target:      u.Upstream,
		Connections: e.sharesOf(service).maxConnections(u.Domain, e.fleet.domain),
		Deadline:    c.deadline,
		Repeatable:  c.route.Repeatable,
		Version:     c.config.Version,
		Identity:    c.identity(),

		LimitKnownAt: u.limit.knownAt(now),
	}
	if c.route.IsGather() {
		send.Top = c.route.TopRecords
	}
	if a.via = e.relayFor(now, c, u.Domain); a.via != nil {
		a.via.relay.running++
		e.stats.Relayed++
		send.Via = a.via.Host
		send.Connections = e.sharesOf(service).maxConnections(u.Domain, u.Domain)
	}
	e.out.Sends = append(e.out.Sends, send)
	e.scanStalls(now)
}

// isExtra reports whether an upstream of the service may already have received
// the part.
func (p *part) isExtra() bool { return p.arrivals() > 0 || p.call.request.Repeat }

// arrivals counts the attempts that have reached an upstream or may still reach
// one.
func (p *part) arrivals() int { return len(p.attempts) }

// enqueue queues a part until an upstream of its service is free. A request to a
// single upstream ends if it is still queued after maxQueueWaitFraction of the
// route's target.
func (e *Engine) enqueue(now time.Time, p *part) {
	if p.waiting {
		return
	}
	p.waiting = true
	e.queue(p.service).add(now, p)
	e.wakeForLimit(now, p.service)
	if p.call.route.IsGather() {
		return
	}
	maxWait := time.Duration(maxQueueWaitFraction * float64(p.call.route.Target))
	e.addTimer(p.call, now.Add(maxWait), func(now time.Time) {
		if p.waiting && p.pending == 0 {
			p.waiting, p.exhausted = false, true
			e.tryComplete(now, p.call)
		}
	})
}

// dispatchQueued sends the queued parts of a service, the most urgent first.
func (e *Engine) dispatchQueued(now time.Time, id core.ServiceID) {
	for _, p := range e.queue(id).drain(now) {
		if !p.waiting || p.call.done {
			continue
		}
		p.waiting = false
		e.send(now, p)
		if p.exhausted {
			e.tryComplete(now, p.call)
		}
	}
}

// tryComplete answers a call that has enough parts once no open part is expected
// by its answer time or that time has come. It fails a call that can no longer
// get enough parts.
func (e *Engine) tryComplete(now time.Time, c *call) {
	if c.done {
		return
	}
	e.continueProbe(now, c)
	received, open, blocked := 0, 0, 0
	for _, p := range c.parts {
		switch {
		case p.answered:
			received++
		case !p.exhausted:
			open++
			if e.blockedPast(now, p, c.answerAt) {
				blocked++
			}
		}
	}
	needed := c.minParts()
	switch {
	case received+open < needed:
		e.fail(now, c)
	case received < needed:
	case open == blocked || !now.Before(c.answerAt):
		e.answer(now, c, received)
	}
}

// blockedPast reports whether a part is queued and no upstream of its service
// accepts work before the given time.
func (e *Engine) blockedPast(now time.Time, p *part, until time.Time) bool {
	if !p.waiting {
		return false
	}
	at, found := e.availableAt(now, p)
	return !found || !at.Before(until)
}

// answer answers a call with the parts that were received.
func (e *Engine) answer(now time.Time, c *call, received int) {
	answer := Answer{Call: c.id, Kind: PassedOn, Payload: c.parts[0].payload}
	if c.route.IsGather() {
		answer = Answer{Call: c.id, Kind: Gathered, Missing: len(c.parts) - received, Top: c.route.TopRecords}
		answer.Parts = make([]any, 0, received)
		for _, p := range c.parts {
			if p.answered {
				answer.Parts = append(answer.Parts, p.payload)
			}
		}
		e.stats.Gathered++
		if answer.Missing > 0 {
			e.stats.Partial++
		}
	}
	e.stats.Answered++
	e.finish(now, c, answer, c.missingParts())
}

// removeCall marks a call as done, removes it from the open calls and stops its
// timers. If the call met queues, the admission control is adjusted by whether it
// ended within its target.
func (e *Engine) removeCall(now time.Time, c *call) {
	c.done = true
	if e.calls[c.id] != c {
		return // refused before it was registered
	}
	delete(e.calls, c.id)
	if c.queued {
		e.admission.observe(!now.After(c.request.At.Add(c.route.Target)))
	}
	for _, timer := range c.timers {
		e.timers.Stop(timer)
	}
	c.timers = nil
	e.releaseQuota(now, c)
}

// fail ends a call that can no longer be answered.
func (e *Engine) fail(now time.Time, c *call) {
	switch {
	case c.failure != nil && !c.route.IsGather():
		e.stats.Answered++
		e.finish(now, c, Answer{Call: c.id, Kind: PassedOn, Payload: c.failure}, "the upstream's failure")
	case e.connectivity.partitioned && e.moveCall(now, c, unreachableUpstreams):
	case c.mayHaveRun():
		e.stats.Failed++
		e.finish(now, c, Answer{Call: c.id, Kind: UpstreamsFailed}, "no upstream is left to ask")
	default:
		e.refuse(now, c, "no upstream took the request")
	}
}

// hasUpstreamAnswer reports whether an upstream has run the request and survived
// it.
func (c *call) hasUpstreamAnswer() bool {
	return c.failure != nil || slices.ContainsFunc(c.parts, func(p *part) bool { return p.answered })
}

// mayHaveRun reports whether the request has run at an upstream or may have.
func (c *call) mayHaveRun() bool {
	return slices.ContainsFunc(c.parts, func(p *part) bool { return p.executed || p.pending > 0 || p.answered })
}

// timeOut ends a call at its deadline. A gather is answered if it has enough parts.
func (e *Engine) timeOut(now time.Time, c *call) {
	received := 0
	for _, p := range c.parts {
		if p.answered {
			received++
		}
	}
	if received >= c.minParts() {
		e.answer(now, c, received)
		return
	}
	if !c.mayHaveRun() {
		e.refuse(now, c, "no upstream was free in time")
		return
	}
	e.stats.TimedOut++
	e.finish(now, c, Answer{Call: c.id, Kind: TimedOut}, "")
}

// finish ends a call with an answer and logs it; why is added to the detail of
// the log entry.
func (e *Engine) finish(now time.Time, c *call, answer Answer, why string) {
	e.removeCall(now, c)
	if answer.Kind != Declined && answer.Kind != Interrupted && answer.Kind != OverQuota && (answer.Kind != PassedOn || c.failure == nil) {
		e.recordResult(now, answer.Kind == PassedOn || answer.Kind == Gathered)
	}
	e.out.Answers = append(e.out.Answers, answer)
	decision := DecisionAnswer
	if answer.Kind == Refused || answer.Kind == Declined || answer.Kind == Interrupted {
		decision = DecisionRefuse
	}
	if answer.Kind == OverQuota {
		decision = DecisionOverQuota
	}
	detail := answer.Kind.String()
	if why != "" {
		detail += ": " + why
	}
	e.note(Note{
		Decision:  decision,
		RequestID: c.request.RequestID,
		Route:     c.route.Name,
		Service:   c.parts[0].service,
		Version:   c.config.Version,
		Age:       now.Sub(c.request.At),
		Parts:     len(c.parts) - answer.Missing,
		Missing:   answer.Missing,
		Extra:     c.extras,
		Detail:    detail,
	})
}

// callerGone ends a call without an answer. Running attempts of a repeatable
// request are cancelled; others are left to finish.
func (e *Engine) callerGone(now time.Time, id core.CallID) {
	if h := e.handovers[id]; h != nil {
		e.stats.CallersGone++
		e.dropHandover(h)
		return
	}
	c := e.calls[id]
	if c == nil {
		return
	}
	e.stats.CallersGone++
	e.removeCall(now, c)
	e.note(Note{
		Decision: DecisionAnswer, RequestID: c.request.RequestID, Route: c.route.Name, Version: c.config.Version,
		Age: now.Sub(c.request.At), Detail: "the caller left",
	})
	if !c.route.Repeatable {
		return
	}
	e.keepCallOpen(now, c)
	e.cancelAttempts(c)
}

// cancelAttempts cancels the running attempts of a call.
func (e *Engine) cancelAttempts(c *call) {
	for _, p := range c.parts {
		for _, a := range p.attempts {
			if _, running := e.attempts[a.id]; running {
				a.cancelled = true
				e.out.Cancels = append(e.out.Cancels, Cancel{Attempt: a.id})
			}
		}
	}
}
