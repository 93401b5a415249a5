package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// resendBackoff, doubled for each attempt sent so far, is how long a part
	// waits after all upstreams refused it.
	resendBackoff = 8 * time.Millisecond
	// maxAttempts bounds the sends of one part, refused ones included.
	maxAttempts = 5
	// hedgeFactor times the usual latency is how long an attempt may run before
	// the part is hedged.
	hedgeFactor = 2
	// maxHedgedFraction is the largest share of late parts at which a gather is
	// hedged. If more parts are late, the cause is not a few stragglers.
	maxHedgedFraction = 0.4
)

// handleReply processes the end of an attempt.
func (e *Engine) handleReply(now time.Time, r AttemptEnded) {
	a := e.attempts[r.Attempt]
	if a == nil {
		return
	}
	delete(e.attempts, r.Attempt)
	p, u, c := a.part, a.to, a.part.call
	u.running = slices.DeleteFunc(u.running, func(other *attempt) bool { return other == a })
	p.pending--
	e.queue(p.service).attemptEnded(now, now.Sub(a.sentAt))
	a.notRun = r.Outcome.SurelyNotRun()
	if r.Outcome.Answered() {
		e.recordDomainAlive(now, u.Domain)
	}
	if r.Outcome.Answered() && r.Outcome != WrongInstance {
		e.quarantine.open.heard(now, u.Start())
	}
	if a.cancelled {
		e.endOpen(a, r.Outcome)
	}
	e.observeConnectivity(now, a, r.Outcome)
	e.countLimitedSend(a)
	e.recordNotice(now, a, r)
	e.countEnd(now, a, r)
	e.recordOutcome(now, a, r)
	e.dispatchQueued(now, p.service)
	if c.done {
		e.stats.Late++
		return
	}
	switch {
	case p.answered:
		if r.Outcome == Succeeded && a.via != nil {
			// The relay has dropped records of later parts that rank below those
			// of this part, so this part must be in the answer, not the one that
			// the hedge returned.
			p.payload = r.Payload
		}
		return
	case r.Outcome == Succeeded:
		p.answered, p.payload = true, r.Payload
	default:
		e.noteFailedAttempt(now, a, r)
		e.retry(now, p, a, r)
	}
	e.tryComplete(now, c)
}

// noteFailedAttempt logs an attempt that did not succeed.
func (e *Engine) noteFailedAttempt(now time.Time, a *attempt, r AttemptEnded) {
	c := a.part.call
	var relay core.HostID
	if a.via != nil {
		relay = a.via.ID
		e.stats.RelayedFailures++
	} else {
		e.stats.DirectFailures++
	}
	e.note(Note{
		Decision: DecisionAttemptFailed, Relay: relay, RequestID: c.request.RequestID, Route: c.route.Name, Service: a.part.service, Upstream: a.to.ID,
		Attempt: a.part.sends, Version: c.config.Version, Age: now.Sub(a.sentAt), Detail: r.Outcome.String() + ": " + r.Cause,
		Fingerprint: c.request.Fingerprint,
	})
}

// recordOutcome updates the estimates and the backoff of the attempt's upstream
// and relay, and the quarantine state of the fingerprint.
func (e *Engine) recordOutcome(now time.Time, a *attempt, r AttemptEnded) {
	p, u, c := a.part, a.to, a.part.call
	if a.via != nil {
		e.recordRelayOutcome(now, a, r)
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
		if e.quarantine.clear(now, c.request.Fingerprint) {
			e.publishSuspects(now, false)
		}
	}
	if r.RelayFault {
		// No evidence about the upstream, which may run the request all the same.
		if r.Outcome == Lost && !a.cancelled && !c.hasUpstreamAnswer() {
			e.keepOpen(now, a, true)
		}
		return
	}
	switch r.Outcome {
	case NotRelayed, Withheld:
	case Succeeded:
		usual.observe(latency)
		e.learnCapacity(now, a, r, latency, usual)
		u.observe(now, ratio, false)
		if u.backoffs > 0 {
			e.noteUpstream(u, DecisionUpstreamTrusted)
		}
		u.resetBackoff()
		u.grow(e.sharesOf(c.config.Services[p.service]).maxInFlight(u, e.fleet.domain))
	case Failed:
		u.consecutiveLosses = 0
		u.observe(now, ratio, true)
	case NotExecuted:
		u.consecutiveLosses = 0
		u.observe(now, u.slownessAt(now), true)
		u.shrink()
	case WrongInstance:
		u.recordOtherInstance(now)
		e.noteSuspect(u, r)
	case Unreached:
		if a.cancelled {
			return // this host cancelled it before it was sent
		}
		u.backOff(now)
		e.noteSuspect(u, r)
		if e.quarantine.open.byStart[u.Start()] != nil {
			e.checkUpstream(now, u.Upstream)
		}
	case Lost:
		e.recordLost(now, a, r, ratio)
	}
}

// recordLost records an attempt whose answer did not come. It is ignored if this host
// cancelled the attempt, since that is no evidence against the upstream. It counts
// whether or not the caller still waits: a request that must not run twice is not
// cancelled when its caller disconnects. It does not count against the fingerprint if
// another upstream has answered. At the deadline every answer ends, so that the upstream
// is not under suspicion for it, but may have crashed before.
func (e *Engine) recordLost(now time.Time, a *attempt, r AttemptEnded, ratio float64) {
	u, c := a.to, a.part.call
	if a.cancelled {
		return
	}
	u.observe(now, max(1, ratio), true)
	u.consecutiveLosses++
	if u.consecutiveLosses >= maxConsecutiveLosses {
		u.backOff(now)
		e.noteSuspect(u, r)
	}
	switch {
	case c.hasUpstreamAnswer():
	case !now.Before(c.deadline):
		e.keepOpen(now, a, true)
	case e.quarantine.recordLoss(now, u.Upstream, a.loss(now)):
		e.out.Checks = append(e.out.Checks, Check{Target: u.Upstream})
	}
}

// noteSuspect logs a failure that puts an upstream under suspicion.
func (e *Engine) noteSuspect(u *upstream, r AttemptEnded) {
	e.note(Note{Decision: DecisionUpstreamSuspected, Upstream: u.ID, Service: u.Service, Detail: r.Outcome.String() + ": " + r.Cause})
}

// retry sends a part again after an attempt that did not succeed, if it may run
// again and the budget allows it. Otherwise the part is over.
func (e *Engine) retry(now time.Time, p *part, a *attempt, r AttemptEnded) {
	c := p.call
	if r.Outcome == Failed {
		c.failure = r.Payload
	}
	if r.Outcome == NotRelayed {
		p.undoSend(a)
	}
	if !r.Outcome.MayHaveArrived() {
		// It did not arrive, so the next attempt is the first arrival and no
		// extra send.
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
	if r.Outcome == Lost && !c.hasUpstreamAnswer() && (c.route.IsGather() || e.quarantine.needsProbe(c.request.Fingerprint)) {
		// If the request crashes its upstreams, the delay limits the damage to
		// one upstream of each service.
		e.resendAfterBackoff(now, p)
		return
	}
	e.send(now, p)
	if p.exhausted && r.Outcome.SurelyNotRun() && p.sends < maxAttempts {
		e.resendAfterBackoff(now, p)
	}
}

// mayRepeat reports whether a part may be sent once more.
func (e *Engine) mayRepeat(now time.Time, p *part) bool {
	c := p.call
	if !c.route.Repeatable && p.executed {
		return false
	}
	maxRuns := c.route.MaxUpstreams
	if c.request.Repeat {
		maxRuns = 1
	}
	if e.quarantine.exceedsLimit(c.request.Fingerprint) {
		return false
	}
	if c.route.IsGather() && e.quarantine.crashedMost(c.request.Fingerprint, len(c.parts), c.request.At) {
		return false
	}
	if p.possibleRuns() >= max(1, maxRuns) || p.sends >= maxAttempts || !now.Before(c.deadline) {
		return false
	}
	return true
}

// withinExtraBudget reports whether this host's share of the budget for extra
// sends allows one more send of a part. A denial is counted and logged.
func (e *Engine) withinExtraBudget(now time.Time, p *part) bool {
	if e.budget(p.service).allows(now, e.options.Extra, e.allowanceShare(now)) {
		return true
	}
	c := p.call
	e.stats.ExtraDenied++
	e.note(Note{Decision: DecisionExtraDenied, RequestID: c.request.RequestID, Route: c.route.Name, Service: p.service, Version: c.config.Version})
	return false
}

// restartAllowanceFraction is the fraction of the allowance for extra sends that
// is reserved for hosts that started less than a window ago. The other hosts have
// the rest.
const restartAllowanceFraction = 0.1

// allowanceShare returns this host's share of the allowance for extra sends.
// Until a window has passed since the start, a smaller share covers both what an
// earlier process of this host may have spent and what other hosts spend before
// they have discovered this one. The same holds for a host that takes the place of
// another one.
func (e *Engine) allowanceShare(now time.Time) float64 {
	if e.fleet.role == Entry {
		return 0
	}
	share := e.allowance.least(now, e.options.Extra.Window)
	restarted := !e.options.FirstStart && now.Sub(e.startedAt) < e.options.Extra.Window
	promoted := !e.targetSince.IsZero() && now.Sub(e.targetSince) < e.options.Extra.Window
	if restarted || promoted {
		return restartAllowanceFraction * share
	}
	return (1 - restartAllowanceFraction) * share
}

// possibleRuns counts the upstreams at which a part runs, has run or may have run.
func (p *part) possibleRuns() int {
	count := 0
	for _, a := range p.attempts {
		if !a.notRun {
			count++
		}
	}
	return count
}

// resendAfterBackoff sends a part again after a backoff. Upstreams that did not
// run the part may be picked again.
func (e *Engine) resendAfterBackoff(now time.Time, p *part) {
	p.exhausted = false
	delay := resendBackoff << p.sends
	e.addTimer(p.call, now.Add(delay), func(now time.Time) {
		if p.answered || p.pending > 0 {
			return
		}
		if !e.mayRepeat(now, p) {
			p.exhausted = true
		} else {
			p.tried = p.possiblyRanAt()
			e.send(now, p)
		}
		e.tryComplete(now, p.call)
	})
}

// possiblyRanAt returns the upstreams at which a part runs, has run or may have
// run. The part must not be sent to them again.
func (p *part) possiblyRanAt() []*upstream {
	var upstreams []*upstream
	for _, a := range p.attempts {
		if !a.notRun {
			upstreams = append(upstreams, a.to)
		}
	}
	return upstreams
}

// hedgeLateParts sends the late parts of a call to a second upstream, within the
// budget for extra sends.
//
// It guards against upstreams that pause or slow down while others of the same
// service do not. A part that has taken hedgeFactor times the usual latency is
// more likely to be held up by a pause than about to be answered.
func (e *Engine) hedgeLateParts(now time.Time, c *call) {
	late := e.lateParts(now, c)
	if c.route.IsGather() && float64(len(late)) > max(1, maxHedgedFraction*float64(len(c.parts))) {
		return
	}
	for _, p := range late {
		if len(e.queue(p.service).parts) > 0 {
			continue // the cause is load, and queued parts go first
		}
		if !e.mayRepeat(now, p) || !e.withinExtraBudget(now, p) {
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

// hedge starts a second attempt if an upstream that is neither stalled nor
// backed off can accept it now.
func (e *Engine) hedge(now time.Time, p *part) {
	c := p.call
	service := c.config.Services[p.service]
	u, _ := e.pickVersion(now, p, pickConstraints{
		service:     Service{ID: p.service, ColdRate: service.ColdRate},
		allowed:     e.regionFilter(c),
		reachable:   e.reaches(now, c),
		only:        e.onlyUpstream(now, p),
		tried:       p.tried,
		connections: e.sharesOf(service),
	})
	if u == nil || u.stalled(now) || now.Before(u.backoffUntil) || e.directory.withholdsHedge(now, u) {
		return
	}
	e.startAttempt(now, p, u, service)
}

// lateParts returns the parts whose newest attempt has run for longer than
// hedgeFactor times the usual latency. It also checks the relays of these parts
// for silence.
func (e *Engine) lateParts(now time.Time, c *call) []*part {
	var late []*part
	for _, p := range c.parts {
		if p.answered || p.exhausted || p.pending == 0 || len(p.attempts) == 0 {
			continue
		}
		newest := p.attempts[len(p.attempts)-1]
		usual := e.usualLatency(c.route, p.service).estimate
		if now.Sub(newest.sentAt) > newest.hedgeAfter(usual) {
			e.checkRelaySilence(now, newest, usual)
			late = append(late, p)
		}
	}
	return late
}
