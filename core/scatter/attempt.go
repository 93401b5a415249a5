package scatter

import (
	"slices"
	"time"
)

const (
	// resendDelay is how long a part waits after all upstreams refused it; it
	// doubles with each attempt.
	resendDelay = 8 * time.Millisecond
	// maxAttempts bounds the sends of one part, refused ones included.
	maxAttempts = 5
	// hedgeFactor times the usual latency without an answer calls for a second
	// upstream.
	hedgeFactor = 2
	// hedgeMost is the largest share of a gather's parts that is hedged: when
	// more are late, the cause is not a few stragglers.
	hedgeMost = 0.4
)

// replied takes the end of an attempt.
func (e *Engine) replied(now time.Time, r AttemptEnded) {
	a := e.attempts[r.Attempt]
	if a == nil {
		return
	}
	delete(e.attempts, r.Attempt)
	p, u, c := a.part, a.to, a.part.call
	u.running = slices.DeleteFunc(u.running, func(other *attempt) bool { return other == a })
	p.pending--
	e.queue(p.service).end(now, now.Sub(a.sentAt))
	a.notRun = r.Outcome.SurelyNotRun()
	if r.Outcome.Answered() {
		e.recordDomainAlive(now, u.Domain)
	}
	e.recordNotice(now, u, r.Notice)
	e.learn(now, a, r)
	e.serveWaiting(now, p.service)
	if c.done {
		e.stats.Late++
		return
	}
	switch {
	case p.answered:
		if r.Outcome == Succeeded && a.via != nil {
			// A relay leaves out of later parts what this one outdoes, so that it
			// has to be in the answer and not its twin, which came by a hedge.
			p.payload = r.Payload
		}
		return
	case r.Outcome == Succeeded:
		p.answered, p.payload = true, r.Payload
	default:
		e.noteEnd(now, a, r)
		e.retry(now, p, a, r)
	}
	e.progress(now, c)
}

// noteEnd logs an attempt that brought no answer.
func (e *Engine) noteEnd(now time.Time, a *attempt, r AttemptEnded) {
	c := a.part.call
	e.note(Note{
		Decision: DecisionAttemptFailed, RequestID: c.request.RequestID, Route: c.route.Name, Service: a.part.service, Upstream: a.to.ID,
		Attempt: a.part.sends, Version: c.config.Version, Age: now.Sub(a.sentAt), Detail: r.Outcome.String() + ": " + r.Cause,
		Fingerprint: c.request.Fingerprint,
	})
}

// learn updates what is believed of the upstream and the question.
func (e *Engine) learn(now time.Time, a *attempt, r AttemptEnded) {
	p, u, c := a.part, a.to, a.part.call
	if a.via != nil {
		e.learnRelay(now, a, r)
	}
	latency := now.Sub(a.sentAt)
	if r.Took > 0 {
		latency = r.Took
	}
	usual := e.usualLatency(c.route, p.service)
	ratio := float64(latency) / float64(usual.estimate)
	if !r.Outcome.SurelyNotRun() {
		p.executed = true
	}
	if r.Outcome == Succeeded || r.Outcome == Failed {
		if e.quarantine.clear(c.request.Fingerprint) {
			e.publishSuspects(now, false)
		}
	}
	if r.RelayFault {
		return // it says nothing of the upstream
	}
	switch r.Outcome {
	case NotRelayed, Withheld:
	case Succeeded:
		usual.observe(latency)
		u.observe(now, ratio, false)
		if u.backoffs > 0 {
			e.noteUpstream(u, DecisionUpstreamTrusted)
		}
		u.resetBackoff()
		u.grow(e.sharesOf(c.config.Services[p.service]).inFlight(u, e.fleet.domain))
	case Failed:
		u.consecutiveLosses = 0
		u.observe(now, ratio, true)
	case NotExecuted:
		u.consecutiveLosses = 0
		u.observe(now, u.slownessAt(now), true)
		u.shrink()
	case WrongInstance:
		u.backoffUntil = now.Add(wrongInstanceBackoff)
		e.suspect(u, r)
	case Unreached:
		if c.done {
			return // its caller left before it was sent
		}
		u.backOff(now)
		e.suspect(u, r)
	case Lost:
		e.learnLost(now, a, r, ratio)
	}
}

// learnLost weighs an answer that did not come. When the caller left, or its
// time was over, the silence says little of the upstream.
func (e *Engine) learnLost(now time.Time, a *attempt, r AttemptEnded, ratio float64) {
	u, c := a.to, a.part.call
	if c.done && now.Before(c.deadline) {
		return
	}
	u.observe(now, max(1, ratio), true)
	u.consecutiveLosses++
	if u.consecutiveLosses >= maxConsecutiveLosses {
		u.backOff(now)
		e.suspect(u, r)
	}
	if !now.Before(c.deadline) || c.answered() {
		return
	}
	if e.quarantine.recordLoss(now, u.Start(), loss{c.request.Fingerprint, len(c.parts), a.sentAt, now}) {
		e.out.Checks = append(e.out.Checks, u.Upstream)
	}
}

func (e *Engine) suspect(u *upstream, r AttemptEnded) {
	e.note(Note{Decision: DecisionUpstreamSuspected, Upstream: u.ID, Service: u.Service, Detail: r.Outcome.String() + ": " + r.Cause})
}

// retry sends a part again after an attempt brought no answer, if it may run
// again and the budget allows it; otherwise the part is over.
func (e *Engine) retry(now time.Time, p *part, a *attempt, r AttemptEnded) {
	c := p.call
	if r.Outcome == Failed {
		c.failure = r.Payload
	}
	if r.Outcome == NotRelayed {
		p.notRelayed(a)
	}
	if !r.Outcome.MayHaveArrived() {
		// It did not arrive: the next attempt is the first arrival.
		p.attempts = slices.DeleteFunc(p.attempts, func(other *attempt) bool { return other == a })
	}
	if p.pending > 0 || p.waiting {
		return
	}
	if !e.mayRepeat(now, p) {
		p.exhausted = true
		return
	}
	e.stats.Retries++
	e.note(Note{
		Decision: DecisionRetry, RequestID: c.request.RequestID, Route: c.route.Name, Service: p.service, Upstream: a.to.ID,
		Attempt: p.sends, Version: c.config.Version, Age: now.Sub(a.sentAt), Detail: "after " + r.Outcome.String(),
	})
	if r.Outcome == Lost && c.route.IsGather() && !c.answered() {
		// Should its upstreams end under it, one of each service is enough.
		e.resendLater(now, p)
		return
	}
	e.send(now, p)
	if p.exhausted && r.Outcome.SurelyNotRun() && p.sends < maxAttempts {
		e.resendLater(now, p)
	}
}

// mayRepeat says whether a part may be sent once more.
func (e *Engine) mayRepeat(now time.Time, p *part) bool {
	c := p.call
	if !c.route.Repeatable && p.executed {
		return false
	}
	most := c.route.MaxUpstreams
	if c.request.Repeat {
		most = 1
	}
	if e.quarantine.crashCount(c.request.Fingerprint) >= quarantineAfter {
		return false
	}
	if p.ran() >= max(1, most) || p.sends >= maxAttempts || !now.Before(c.deadline) {
		return false
	}
	return true
}

// affords says whether this host's share of the budget allows one more arrival
// of a part.
func (e *Engine) affords(now time.Time, p *part) bool {
	if e.budget(p.service).allows(now, e.options.Extra, e.allowanceShare(now)) {
		return true
	}
	c := p.call
	e.stats.ExtraDenied++
	e.note(Note{Decision: DecisionExtraDenied, RequestID: c.request.RequestID, Route: c.route.Name, Service: p.service, Version: c.config.Version})
	return false
}

// restartShare of the allowance of repeated sends is for hosts that started less
// than a window ago; the others have the rest.
const restartShare = 0.1

// allowanceShare is this host's part of the allowance of repeated sends. What an
// earlier start of this host may have spent of it counts until a window has
// passed; so does what the other hosts spend before they know of a new one.
func (e *Engine) allowanceShare(now time.Time) float64 {
	share := e.fleet.allowanceShare()
	if !e.options.FirstStart && now.Sub(e.startedAt) < e.options.Extra.Window {
		return restartShare * share
	}
	return (1 - restartShare) * share
}

// ran counts the upstreams on which a part runs, has run or may have run.
func (p *part) ran() int {
	count := 0
	for _, a := range p.attempts {
		if !a.notRun {
			count++
		}
	}
	return count
}

// resendLater tries the upstreams that did not run a part again after a pause.
func (e *Engine) resendLater(now time.Time, p *part) {
	p.exhausted = false
	delay := resendDelay << p.sends
	e.after(p.call, now.Add(delay), func(now time.Time) {
		if p.answered || p.pending > 0 {
			return
		}
		if !e.mayRepeat(now, p) {
			p.exhausted = true
		} else {
			p.tried = p.ranAt()
			e.send(now, p)
		}
		e.progress(now, p.call)
	})
}

// ranAt returns the upstreams that must not be asked again for a part.
func (p *part) ranAt() []*upstream {
	var at []*upstream
	for _, a := range p.attempts {
		if !a.notRun {
			at = append(at, a.to)
		}
	}
	return at
}

// look asks a second upstream for the parts of a call that are late, within
// the budget.
//
// It answers upstreams that pause or are slow while their twins are not: a
// part that took hedgeFactor times the usual time is more likely behind a
// pause than about to come.
func (e *Engine) look(now time.Time, c *call) {
	late := e.lateParts(now, c)
	if c.route.IsGather() && float64(len(late)) > max(1, hedgeMost*float64(len(c.parts))) {
		return
	}
	for _, p := range late {
		if len(e.queue(p.service).parts) > 0 {
			continue // the cause is load, and those that wait come first
		}
		if !e.mayRepeat(now, p) || !e.affords(now, p) {
			continue
		}
		before := p.pending
		e.hedge(now, p)
		if p.pending > before {
			e.stats.Hedges++
			last := p.attempts[len(p.attempts)-1]
			e.note(Note{
				Decision: DecisionHedge, RequestID: c.request.RequestID, Route: c.route.Name, Service: p.service,
				Upstream: last.to.ID, Attempt: len(p.attempts), Version: c.config.Version, Age: now.Sub(p.attempts[0].sentAt),
			})
		}
	}
}

// hedge starts a second attempt if an upstream that does not stand still can
// take it now.
func (e *Engine) hedge(now time.Time, p *part) {
	c := p.call
	service := c.config.Services[p.service]
	u, _ := e.directory.pick(now, pickConstraints{
		service:     Service{ID: p.service, ColdRate: service.ColdRate},
		allowed:     e.within(c.route),
		reachable:   e.reaches(now, c),
		only:        e.onlyUpstream(now, p),
		tried:       p.tried,
		connections: e.sharesOf(service),
	})
	if u == nil || u.stalled(now) || now.Before(u.backoffUntil) {
		return
	}
	e.start(now, p, u, service)
}

// lateParts returns the parts whose newest attempt runs longer than usual.
func (e *Engine) lateParts(now time.Time, c *call) []*part {
	var late []*part
	for _, p := range c.parts {
		if p.answered || p.exhausted || p.pending == 0 || len(p.attempts) == 0 {
			continue
		}
		newest := p.attempts[len(p.attempts)-1]
		usual := e.usualLatency(c.route, p.service).estimate
		if now.Sub(newest.sentAt) > hedgeFactor*usual {
			e.suspectRelay(now, newest, usual)
			late = append(late, p)
		}
	}
	return late
}
