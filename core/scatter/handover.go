package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// minHostBackoff is how long a host rests that did not take a request; it
	// doubles up to maxHostBackoff.
	minHostBackoff = 200 * time.Millisecond
	maxHostBackoff = 2 * time.Second
	// maxHandoverHosts is the most hosts that are asked to take one request.
	maxHandoverHosts = 6
	// hostSilenceTimeout without an answer, while nothing else came from the host
	// either, makes it rest.
	hostSilenceTimeout = 700 * time.Millisecond
	// remoteHandoverCost is what another failure domain costs, in requests that
	// wait at the host.
	remoteHandoverCost = 2.0
	// staleAfter without news is when a host declines requests of others, which
	// may find one that knows better.
	staleAfter = 1500 * time.Millisecond
	// defaultHandoverBudget ends a handover whose caller did not say how long it waits.
	defaultHandoverBudget = 10 * time.Second
)

// peer is what this host believes of a host that may gather for it.
type peer struct {
	Host
	running      int
	failures     int
	backoffUntil time.Time
	heardAt      time.Time
	// lostAt is when it last lost a request of this host, nextPingAt when it is
	// pinged for that.
	lostAt, nextPingAt time.Time
	// unansweredPings counts those of a watching host without an answer, the last one at
	// pingedAt.
	unansweredPings int
	pingedAt        time.Time
	// declines counts refusals in a row for want of confirmed news, until
	// declinedUntil it is asked only when all others declined as well.
	declines      int
	declinedUntil time.Time
	// overhead estimates the time of a handover apart from the host's own
	// work: the way there and back, and what this host does for it.
	overhead time.Duration
	// latency is about how long the host takes for a request, with the way there
	// and back.
	latency time.Duration
	relay   relayState
}

const (
	// initialOverhead is the estimate before the first observation.
	initialOverhead = 6 * time.Millisecond
	// initialPeerLatency is the estimate of a host's time before the first observation,
	// peerLatencyGain the weight of each.
	initialPeerLatency = 100 * time.Millisecond
	peerLatencyGain    = 0.1
	// probeFactor times the usual time without an answer, a host is asked
	// whether it is there.
	probeFactor = 2
	// overheadIncrease and overheadDecrease are the steps of the estimate, which settle
	// where one of ten handovers takes longer.
	overheadIncrease = 0.18
	overheadDecrease = 0.02
)

func (p *peer) observeOverhead(observed time.Duration) {
	if observed > p.overhead {
		p.overhead += time.Duration(overheadIncrease * float64(p.overhead))
	} else {
		p.overhead -= time.Duration(overheadDecrease * float64(p.overhead))
	}
	p.overhead = max(p.overhead, minUsual)
}

// handover is a request that another host answers.
type handover struct {
	request  Arrived
	attempts []*handoverAttempt // at hosts that have not ended it
	tried    map[core.HostID]bool
	deadline time.Time
	stale    bool
	// repeated says that a second host was asked to run what the first may have
	// run.
	repeated bool
}

// handoverAttempt is a handover at one host.
type handoverAttempt struct {
	to     *peer
	sentAt time.Time
	repeat bool
}

// shouldHandOver says whether this host lets others answer its callers' requests.
func (e *Engine) shouldHandOver(a Arrived) bool {
	if a.FromHost || len(e.fleet.peers) == 0 {
		return false
	}
	return e.fleet.role != Gatherer || !e.Ready()
}

// handOver gives a request to the host that is expected to answer it soonest.
func (e *Engine) handOver(now time.Time, a Arrived) {
	budget := a.Budget
	if budget <= 0 {
		budget = defaultHandoverBudget
	}
	h := &handover{request: a, tried: map[core.HostID]bool{}, deadline: a.At.Add(e.answerBudget(budget))}
	e.handovers[a.Call] = h
	e.timers.Add(h.deadline, func(now time.Time) {
		if e.handovers[a.Call] == h {
			e.backOffSilentHosts(now, h)
			e.endHandover(now, h, Answer{Kind: TimedOut}, false)
		}
	})
	e.tryNextHost(now, h)
}

func (e *Engine) tryNextHost(now time.Time, h *handover) {
	p := e.pickPeer(now, h)
	if p == nil && !h.stale {
		// Nobody has confirmed news: what they know has to do.
		h.stale, h.tried = true, map[core.HostID]bool{}
		p = e.pickPeer(now, h)
	}
	if p == nil {
		e.answerLocally(now, h)
		return
	}
	e.handOverTo(now, h, p, false)
}

// handOverTo gives a request to a host. A repeat is run there only if the route allows
// it, which this host does not know.
func (e *Engine) handOverTo(now time.Time, h *handover, p *peer, repeat bool) {
	run := &handoverAttempt{to: p, sentAt: now, repeat: repeat}
	h.attempts = append(h.attempts, run)
	h.tried[p.ID] = true
	p.running++
	e.out.Handovers = append(e.out.Handovers, Handover{
		Call: h.request.Call, To: p.Host, Deadline: h.deadline, Spent: now.Sub(h.request.At) + p.overhead,
		AllowStale: h.stale, Repeat: repeat,
	})
	if !repeat {
		e.timers.Add(now.Add(probeFactor*p.latency), func(now time.Time) { e.probe(now, h, run) })
	}
}

// probe pings a host that has held a request for longer than usual. Without an
// answer another host is asked to run the request.
//
// It answers hosts that freeze or are cut off: what they hold is silent, but so
// is a request that takes long.
func (e *Engine) probe(now time.Time, h *handover, run *handoverAttempt) {
	if !h.isActive(run) || h.repeated {
		return
	}
	p := run.to
	e.out.Probes = append(e.out.Probes, p.Host)
	e.timers.Add(now.Add(p.latency), func(later time.Time) {
		if h.isActive(run) && p.heardAt.Before(now) {
			e.backOffHost(later, p, HandoverEnded{Outcome: Lost, Cause: "silent"})
			e.repeatHandover(later, h)
		}
	})
}

func (h *handover) isActive(run *handoverAttempt) bool { return slices.Contains(h.attempts, run) }

// repeatHandover asks another host to run what one may have run already; false
// means that there is none.
func (e *Engine) repeatHandover(now time.Time, h *handover) bool {
	if h.repeated {
		return false
	}
	p := e.pickPeer(now, h)
	if p == nil {
		return false
	}
	h.repeated = true
	e.stats.Retries++
	e.note(Note{
		Decision: DecisionRetry, RequestID: h.request.RequestID, Upstream: core.UpstreamID(p.ID), Age: now.Sub(h.request.At), Detail: "at another host",
	})
	e.handOverTo(now, h, p, true)
	return true
}

// heardFrom notes that something came from a host.
func (e *Engine) heardFrom(now time.Time, h HostHeard) {
	if p := e.fleet.peers[h.ID]; p != nil {
		p.heardAt = now
		if h.Withdrawn && p.Domain == e.fleet.domain {
			e.contacts.nearWithdrawnAt = now
			e.decideWithdrawal(now)
		}
	}
	if d := e.contacts.of[h.ID]; d != nil {
		e.heardFromDomain(now, d.id)
	}
}

// answerLocally answers a request that no other host takes. A host that does not
// know enough for that refuses, and learns it for the requests to come.
func (e *Engine) answerLocally(now time.Time, h *handover) {
	delete(e.handovers, h.request.Call)
	e.aloneUntil = now.Add(localAnswerPeriod)
	a := h.request
	a.FromHost, a.AllowStale = true, true
	e.handleRequest(now, a)
}

// localAnswerPeriod is how long a host stays ready to send to upstreams after no other
// host took a request.
const localAnswerPeriod = 30 * time.Second

// Active says whether this host has to know the configuration and the
// upstreams.
func (e *Engine) Active(now time.Time) bool {
	return e.fleet.role != Entry || now.Before(e.aloneUntil) || len(e.fleet.peers) == 0
}

// pickPeer prefers this host's failure domain and the host with the fewest of
// this host's requests.
func (e *Engine) pickPeer(now time.Time, h *handover) *peer {
	if len(h.tried) >= maxHandoverHosts {
		return nil
	}
	var best *peer
	bestCost := math.Inf(1)
	for at, host := range e.fleet.able() {
		p := e.fleet.peers[host.ID]
		far := p != nil && e.options.Regions[p.Domain] != e.options.Regions[e.fleet.domain]
		if p == nil || far && h.request.HasBody || h.tried[p.ID] || now.Before(p.backoffUntil) || !h.stale && now.Before(p.declinedUntil) {
			continue
		}
		cost := float64(p.running)/max(p.Power, 0.01) + e.options.Random()
		if p.Domain != e.fleet.domain {
			cost += remoteHandoverCost
		}
		if at >= e.fleet.gatherers() {
			cost += standbyHandoverCost
		}
		if far {
			cost += otherRegionHandoverCost
		}
		if e.fleet.silent(now, p) {
			cost += silentHandover
		}
		if d := e.contacts.byID[p.Domain]; d != nil && d.dark() {
			cost += silentDomainHandoverCost
		}
		if cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// otherRegionHandoverCost is what another region costs. This host does not know the route's
// regions, so no body leaves its own.
const otherRegionHandoverCost = 2000

// silentDomainHandoverCost is what a host in a failure domain costs from which nothing comes.
const silentDomainHandoverCost = 500

// standbyHandoverCost is what a standby costs, in requests that wait: it is asked
// only when the gatherers rest.
const standbyHandoverCost = 1000

// handleHandoverEnd takes the end of a handover at a host.
func (e *Engine) handleHandoverEnd(now time.Time, r HandoverEnded) {
	h := e.handovers[r.Call]
	if h == nil {
		return
	}
	at := slices.IndexFunc(h.attempts, func(run *handoverAttempt) bool { return run.to.ID == r.To })
	if at < 0 {
		return
	}
	run := h.attempts[at]
	h.attempts = slices.Delete(h.attempts, at, at+1)
	p := run.to
	p.running--
	if r.Outcome != Unreached && r.Outcome != Lost {
		p.heardAt = now
		e.heardFromDomain(now, p.Domain)
	}
	switch {
	case r.Outcome == Succeeded || r.Outcome == Failed:
		p.failures, p.declines = 0, 0
		if !h.repeated {
			p.observeOverhead(now.Sub(h.request.At) - r.Took)
		}
		p.latency += time.Duration(peerLatencyGain * float64(now.Sub(run.sentAt)-p.latency))
		e.endHandover(now, h, Answer{Kind: PassedOn, Payload: r.Payload}, r.Outcome == Succeeded)
		return
	case r.Outcome != NotExecuted:
		e.backOffHost(now, p, r)
	case !run.repeat:
		p.declinedUntil = now.Add(min(maxHostBackoff, minHostBackoff<<min(p.declines, 8)))
		p.declines++
		e.note(Note{Decision: DecisionPeer, Upstream: core.UpstreamID(p.ID), Detail: r.Cause})
	}
	switch {
	case !run.repeat && r.Outcome.SurelyNotRun():
		e.tryNextHost(now, h)
	case run.repeat && r.Outcome == Unreached && e.replaceRepeat(now, h), e.repeatHandover(now, h), len(h.attempts) > 0:
	default:
		e.endHandover(now, h, Answer{Kind: UpstreamsFailed}, false)
	}
}

// replaceRepeat asks one more host in the place of one that was not reached.
func (e *Engine) replaceRepeat(now time.Time, h *handover) bool {
	h.repeated = false
	return e.repeatHandover(now, h)
}

// backOffHost keeps requests away from a host for a while.
func (e *Engine) backOffHost(now time.Time, p *peer, r HandoverEnded) {
	wait := min(maxHostBackoff, minHostBackoff<<min(p.failures, 8))
	p.failures++
	p.backoffUntil = now.Add(wait)
	p.lostAt = now
	e.askLater(now, p, wait)
	e.note(Note{Decision: DecisionPeer, Upstream: core.UpstreamID(p.ID), Age: wait, Detail: r.Outcome.String() + ": " + r.Cause})
}

// backOffSilentHosts makes a host rest that let a request run into its deadline.
func (e *Engine) backOffSilentHosts(now time.Time, h *handover) {
	for _, run := range h.attempts {
		if now.Sub(run.sentAt) >= hostSilenceTimeout && run.to.heardAt.Before(run.sentAt) && !now.Before(run.to.backoffUntil) {
			e.backOffHost(now, run.to, HandoverEnded{Outcome: Lost, Cause: "silent"})
		}
	}
}

func (e *Engine) endHandover(now time.Time, h *handover, answer Answer, served bool) {
	e.conclude(now, served)
	answer.Call = h.request.Call
	e.dropHandover(h)
	e.out.Answers = append(e.out.Answers, answer)
	e.note(Note{
		Decision: DecisionAnswer, RequestID: h.request.RequestID, Age: now.Sub(h.request.At),
		Detail: "handed over: " + answer.Kind.String(),
	})
}

// dropHandover forgets a handover and ends it at the hosts that still have it.
func (e *Engine) dropHandover(h *handover) {
	delete(e.handovers, h.request.Call)
	for _, run := range h.attempts {
		run.to.running--
	}
	if len(h.attempts) > 0 {
		e.out.CallsGone = append(e.out.CallsGone, h.request.Call)
	}
	h.attempts = nil
}
