package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// lookEvery is the time between two looks at a call's late parts, as a
	// share of the route's target.
	lookEvery = 0.1
	// holdUnsent is how long a request waits for a free upstream before it is
	// refused, as a share of the route's target.
	holdUnsent = 0.25
	// minLook bounds the time between two looks from below.
	minLook = 2 * time.Millisecond
)

// arrive routes a request and sends its parts, or refuses it at once.
func (e *Engine) arrive(now time.Time, a RequestArrived) {
	e.stats.Requests++
	if a.FromHost && !a.AllowStale && (!e.Ready() || e.directory.stale(now)) {
		e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: Declined})
		return
	}
	if e.handsOver(a) {
		e.handOver(now, a)
		return
	}
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
	c := e.newCall(a, route)
	if !a.Repeat { // the host that had it first counted it
		for _, p := range c.parts {
			e.budget(p.service).requests.add(now)
		}
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
	if e.reachableParts(now, c) < c.needed() {
		e.refuse(now, c, "too few services have an upstream")
		return
	}
	if route.IsGather() {
		if !e.admit(now, c) {
			e.refuse(now, c, "the upstreams' queues are long")
			return
		}
	}
	e.calls[a.Call] = c
	e.schedule(now, c)
	e.sendAll(now, c)
	e.progress(now, c)
}

func (e *Engine) newCall(a RequestArrived, route *Route) *call {
	c := &call{id: a.Call, request: a, route: route, config: e.config}
	budget := route.Timeout
	if a.Budget > 0 {
		budget = min(budget, e.withWayBack(a.Budget))
	}
	c.deadline = a.At.Add(budget)
	c.answerAt = a.At.Add(max(0, route.Target-e.options.AnswerMargin))
	if c.answerAt.After(c.deadline) {
		c.answerAt = c.deadline
	}
	services := route.Shards
	if !route.IsGather() {
		services = []core.ServiceID{e.target(route)}
	}
	parts := make([]part, len(services))
	c.parts = make([]*part, len(services))
	for i, id := range services {
		parts[i] = part{call: c, service: id}
		c.parts[i] = &parts[i]
	}
	return c
}

// withWayBack is how much of a caller's patience there is until the answer has
// to leave: one that leaves at its end meets nobody.
func (e *Engine) withWayBack(patience time.Duration) time.Duration {
	return max(patience/2, patience-e.options.AnswerMargin)
}

// target picks the service of a request that goes to one.
func (e *Engine) target(route *Route) core.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s := e.splits[route]
	if s == nil {
		s = &splitter{}
		s.start(route.Targets, e.options.Random)
		e.splits[route] = s
	}
	return s.next(route.Targets)
}

// needed is the least number of parts that an answer consists of.
func (c *call) needed() int {
	if c.route.IsGather() {
		return c.route.MinParts()
	}
	return 1
}

// reachableParts counts the parts whose service has an upstream that may take
// work while the call can wait for it.
func (e *Engine) reachableParts(now time.Time, c *call) int {
	count := 0
	for _, p := range c.parts {
		if at, found := e.availableAt(now, p); found && at.Before(c.waitsUntil()) {
			count++
		}
	}
	return count
}

// within returns which failure domains a route allows.
func (e *Engine) within(r *Route) func(core.DomainID) bool {
	return func(id core.DomainID) bool { return r.allowsRegion(e.options.Regions[id]) }
}

// waitsUntil is how long a part may wait for an upstream to take it. A request
// that goes to one upstream is refused early, so that its caller can come back;
// parts of a gather cost nothing while they wait.
func (c *call) waitsUntil() time.Time {
	if c.route.IsGather() {
		return c.deadline
	}
	return c.request.At.Add(time.Duration(holdUnsent * float64(c.route.Target)))
}

// schedule sets the call's timers.
func (e *Engine) schedule(now time.Time, c *call) {
	e.after(c, c.deadline, func(now time.Time) { e.timeOut(now, c) })
	if c.route.IsGather() {
		e.after(c, c.answerAt, func(now time.Time) { e.progress(now, c) })
	}
	if c.route.Repeatable {
		e.scheduleLook(now, c)
	}
}

func (e *Engine) scheduleLook(now time.Time, c *call) {
	next := now.Add(max(minLook, time.Duration(lookEvery*float64(c.route.Target))))
	if next.After(c.deadline) {
		return
	}
	e.after(c, next, func(now time.Time) {
		e.look(now, c)
		e.scheduleLook(now, c)
	})
}

func (e *Engine) after(c *call, at time.Time, fire timerFunc) {
	c.timers = append(c.timers, e.timers.Add(at, func(now time.Time) {
		if !c.done {
			fire(now)
		}
	}))
}

// send starts an attempt at a part, if an upstream can take it; it waits if
// one could take it soon, and is over if there is none.
func (e *Engine) send(now time.Time, p *part) {
	c := p.call
	if _, quarantined := e.quarantine.until(now, c.request.Fingerprint); quarantined {
		p.exhausted = p.pending == 0
		return
	}
	if p.isExtra() && !e.affords(now, p) {
		p.exhausted = p.pending == 0
		return
	}
	service := c.config.Services[p.service]
	u, busy := e.directory.pick(now, pickConstraints{
		service:      Service{ID: p.service, ColdRate: service.ColdRate},
		allowed:      e.within(c.route),
		reachable:    e.reaches(now, c),
		only:         e.onlyUpstream(now, p),
		tried:        p.tried,
		connections:  e.sharesOf(service),
		avoidStalled: c.route.IsGather(),

		waitsUntil: c.waitsUntil(),
	})
	switch {
	case u != nil:
		e.start(now, p, u, service)
	case busy:
		e.wait(now, p)
	case p.pending == 0:
		p.exhausted = true
	}
}

func (e *Engine) start(now time.Time, p *part, u *upstream, service Service) {
	c := p.call
	e.sequence++
	a := &attempt{id: e.sequence, part: p, to: u, sentAt: now, extra: p.isExtra()}
	usual := e.usualLatency(c.route, p.service).estimate
	a.overdueAt = now.Add(max(minStall, stallFactor*usual))
	if a.extra {
		e.budget(p.service).extras.add(now)
		c.extras++
	}
	e.directory.recordColdSend(now, u, service)
	u.running = append(u.running, a)
	p.tried = append(p.tried, u)
	p.attempts = append(p.attempts, a)
	p.pending++
	p.sends++
	p.waiting = false
	e.attempts[a.id] = a
	e.stats.Sends++
	e.domains.recordSend(now, u.Domain)
	e.queue(p.service).begin()
	send := Send{
		Attempt:     a.id,
		Call:        c.id,
		Target:      u.Upstream,
		Connections: e.sharesOf(service).of(u.Domain, e.fleet.domain),
		Deadline:    c.deadline,
		Repeatable:  c.route.Repeatable,
		Version:     c.config.Version,
	}
	if c.route.IsGather() {
		send.Top = c.route.TopRecords
	}
	if a.via = e.relayFor(now, c, u.Domain); a.via != nil {
		a.via.relay.running++
		e.stats.Relayed++
		send.Via = a.via.Host
		send.Connections = e.sharesOf(service).of(u.Domain, u.Domain)
	}
	e.out.Sends = append(e.out.Sends, send)
}

// isExtra says that an upstream of the service may have got the part already.
func (p *part) isExtra() bool { return p.arrivals() > 0 || p.call.request.Repeat }

// arrivals counts the attempts that reached an upstream or may reach one.
func (p *part) arrivals() int { return len(p.attempts) }

// wait queues a part until an upstream of its service is free. A request that
// was not offered to any upstream within holdUnsent is refused.
func (e *Engine) wait(now time.Time, p *part) {
	if p.waiting {
		return
	}
	p.waiting = true
	e.queue(p.service).add(now, p)
	if p.call.route.IsGather() {
		return
	}
	hold := time.Duration(holdUnsent * float64(p.call.route.Target))
	e.after(p.call, now.Add(hold), func(now time.Time) {
		if p.waiting && p.pending == 0 {
			p.waiting, p.exhausted = false, true
			e.progress(now, p.call)
		}
	})
}

// serveWaiting starts the parts that wait for a service, most urgent first.
func (e *Engine) serveWaiting(now time.Time, id core.ServiceID) {
	for _, p := range e.queue(id).take(now) {
		if !p.waiting || p.call.done {
			continue
		}
		p.waiting = false
		e.send(now, p)
	}
}

// progress answers a call once it can be, or fails it once it cannot be.
func (e *Engine) progress(now time.Time, c *call) {
	if c.done {
		return
	}
	in, open, late := 0, 0, 0
	for _, p := range c.parts {
		switch {
		case p.answered:
			in++
		case !p.exhausted:
			open++
			if e.waitsPast(now, p, c.answerAt) {
				late++
			}
		}
	}
	needed := c.needed()
	switch {
	case in+open < needed:
		e.fail(now, c)
	case in < needed:
	case open == late || !now.Before(c.answerAt):
		e.answer(now, c, in)
	}
}

// waitsPast says that a part waits and that all upstreams of its service asked
// this host to back off until after a time.
func (e *Engine) waitsPast(now time.Time, p *part, until time.Time) bool {
	if !p.waiting {
		return false
	}
	at, found := e.availableAt(now, p)
	return !found || !at.Before(until)
}

// answer hands out what is in.
func (e *Engine) answer(now time.Time, c *call, in int) {
	answer := Answer{Call: c.id, Kind: PassedOn, Payload: c.parts[0].payload}
	if c.route.IsGather() {
		answer = Answer{Call: c.id, Kind: Gathered, Missing: len(c.parts) - in, Top: c.route.TopRecords}
		answer.Parts = make([]any, 0, in)
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
	e.finish(now, c, answer, "")
}

// leave takes a call out of those that have no answer, and lets the admission
// learn from it.
func (e *Engine) leave(now time.Time, c *call) {
	c.done = true
	if e.calls[c.id] != c {
		return // it was refused before it began
	}
	delete(e.calls, c.id)
	if c.queued {
		e.admission.conclude(!now.After(c.request.At.Add(c.route.Target)))
	}
	for _, timer := range c.timers {
		e.timers.Stop(timer)
	}
	c.timers = nil
}

// fail ends a call that cannot be answered any more.
func (e *Engine) fail(now time.Time, c *call) {
	switch {
	case c.failure != nil && !c.route.IsGather():
		e.stats.Answered++
		e.finish(now, c, Answer{Call: c.id, Kind: PassedOn, Payload: c.failure}, "the upstream's failure")
	case c.mayHaveRun():
		e.stats.Failed++
		e.finish(now, c, Answer{Call: c.id, Kind: UpstreamsFailed}, "no upstream is left to ask")
	default:
		e.refuse(now, c, "no upstream took the request")
	}
}

// answered says that an upstream has run the request and lives.
func (c *call) answered() bool {
	return c.failure != nil || slices.ContainsFunc(c.parts, func(p *part) bool { return p.answered })
}

func (c *call) mayHaveRun() bool {
	return slices.ContainsFunc(c.parts, func(p *part) bool { return p.executed || p.pending > 0 || p.answered })
}

// timeOut ends a call at its deadline.
func (e *Engine) timeOut(now time.Time, c *call) {
	if !c.mayHaveRun() {
		e.refuse(now, c, "no upstream was free in time")
		return
	}
	e.stats.TimedOut++
	e.finish(now, c, Answer{Call: c.id, Kind: TimedOut}, "")
}

func (e *Engine) finish(now time.Time, c *call, answer Answer, why string) {
	e.leave(now, c)
	if answer.Kind != Declined && (answer.Kind != PassedOn || c.failure == nil) {
		e.recordResult(now, answer.Kind == PassedOn || answer.Kind == Gathered)
	}
	e.out.Answers = append(e.out.Answers, answer)
	decision := DecisionAnswer
	if answer.Kind == Refused || answer.Kind == Declined {
		decision = DecisionRefuse
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

// callerGone ends a call without an answer. Attempts that may run again are
// ended too; one that may not is left to finish.
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
	e.leave(now, c)
	e.note(Note{
		Decision: DecisionAnswer, RequestID: c.request.RequestID, Route: c.route.Name, Version: c.config.Version,
		Age: now.Sub(c.request.At), Detail: "the caller left",
	})
	if !c.route.Repeatable {
		return
	}
	for _, p := range c.parts {
		for _, a := range p.attempts {
			if _, running := e.attempts[a.id]; running {
				e.out.Cancels = append(e.out.Cancels, Cancel{Attempt: a.id})
			}
		}
	}
}
