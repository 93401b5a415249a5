package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

const (
	// minHostBackoff is the first backoff of a host that did not accept a request;
	// it doubles up to maxHostBackoff.
	minHostBackoff = 200 * time.Millisecond
	maxHostBackoff = 2 * time.Second
	// maxHandoverHosts is the most hosts to which one request is handed over.
	maxHandoverHosts = 6
	// hostSilenceTimeout is how long a host must have held a request that reaches
	// its deadline to be backed off, if nothing was received from it meanwhile.
	hostSilenceTimeout = 700 * time.Millisecond
	// remoteHandoverCost is the cost of a host in another failure domain, in
	// running requests.
	remoteHandoverCost = 2.0
	// staleAfter is how long the registry may be unreachable before this host
	// declines requests of other hosts, which may find a host with newer data.
	staleAfter = 1500 * time.Millisecond
	// defaultHandoverBudget is the budget of a request whose caller set none.
	defaultHandoverBudget = 10 * time.Second
)

// peer is this host's view of a host that requests may be handed to.
type peer struct {
	Host
	running      int
	failures     int
	backoffUntil time.Time
	// silent is true if the host is backed off because nothing was received from it.
	silent  bool
	heardAt time.Time
	// lostAt is when the host was last backed off, nextPingAt when it is pinged
	// next to find out whether it is back.
	lostAt, nextPingAt time.Time
	// unansweredPings counts the pings in a row without an answer that were sent
	// because this host watches others for its followers, pingedAt is when the
	// last one was sent.
	unansweredPings int
	pingedAt        time.Time
	// declines counts the requests in a row that the host declined since its data
	// was stale. Until declinedUntil it is used only if no other host accepts the
	// request.
	declines      int
	declinedUntil time.Time
	// partitionedUntil is until when the host is not used since it has declined a
	// request because it reaches no upstreams.
	partitionedUntil time.Time
	// overhead estimates the time that a handover adds to the host's own work: the
	// network and the processing at this host.
	overhead time.Duration
	// latency is the moving average of the time that a handover to the host takes,
	// network included.
	latency time.Duration
	relay   relayState
}

const (
	// initialOverhead is the estimated overhead before the first observation.
	initialOverhead = 6 * time.Millisecond
	// initialPeerLatency is the estimated latency before the first observation,
	// peerLatencyGain the weight of an observation.
	initialPeerLatency = 100 * time.Millisecond
	peerLatencyGain    = 0.1
	// probeFactor times a host's latency without an answer, the host is pinged. It
	// has its latency to answer the ping, and at least minPingWait.
	probeFactor = 2
	minPingWait = 20 * time.Millisecond
	// overheadIncrease and overheadDecrease are the steps by which the estimate
	// follows an observation. It settles at the 90th percentile.
	overheadIncrease = 0.18
	overheadDecrease = 0.02
)

// observeOverhead updates the estimated overhead.
func (p *peer) observeOverhead(observed time.Duration) {
	if observed > p.overhead {
		p.overhead += time.Duration(overheadIncrease * float64(p.overhead))
	} else {
		p.overhead -= time.Duration(overheadDecrease * float64(p.overhead))
	}
	p.overhead = max(p.overhead, minLatencyEstimate)
}

// handover is a request that is handed over to another host.
type handover struct {
	request  RequestArrived
	attempts []*handoverAttempt // those that have not ended
	tried    map[core.HostID]bool
	deadline time.Time
	stale    bool // hosts may answer from stale data
	// repeated is set when the request was handed to a second host while a first
	// one may have run it.
	repeated bool
	timers   []*schedule.Timer[timerFunc]
}

// handoverAttempt is a handover at one host.
type handoverAttempt struct {
	to     *peer
	sentAt time.Time
	repeat bool
}

// shouldHandOver reports whether this host hands a request over to another host.
func (e *Engine) shouldHandOver(a RequestArrived) bool {
	if a.FromHost || len(e.fleet.peers) == 0 {
		return false
	}
	return e.fleet.role != Gatherer || !e.Ready() || e.connectivity.partitioned
}

// handOver hands a request over to the host with the lowest cost.
func (e *Engine) handOver(now time.Time, a RequestArrived) {
	budget := a.Budget
	if budget <= 0 {
		budget = defaultHandoverBudget
	}
	deadline := a.At.Add(e.answerBudget(budget))
	if !e.endsBeforeStop(now, deadline, e.usualHandoverLatency()) {
		e.refuseUnrouted(now, a, "this host stops before the request is expected to end")
		return
	}
	h := &handover{request: a, tried: map[core.HostID]bool{}, deadline: e.endBy(deadline)}
	e.startHandover(h)
	e.tryNextHost(now, h)
}

// usualHandoverLatency returns the longest average time that handovers to a host take.
func (e *Engine) usualHandoverLatency() (longest time.Duration) {
	for _, p := range e.fleet.peers {
		longest = max(longest, p.latency)
	}
	return longest
}

// startHandover registers a handover, which ends at its deadline.
func (e *Engine) startHandover(h *handover) {
	e.handovers[h.request.Call] = h
	e.addHandoverTimer(h, h.deadline, func(now time.Time) {
		if e.handovers[h.request.Call] == h {
			e.backOffSilentHosts(now, h)
			e.endHandover(now, h, Answer{Kind: TimedOut}, false)
		}
	})
}

// addHandoverTimer runs fire at the given time unless the handover has ended by then.
func (e *Engine) addHandoverTimer(h *handover, at time.Time, fire timerFunc) {
	h.timers = append(h.timers, e.timers.Add(at, fire))
}

// removeHandover removes a handover from the open ones and stops its timers, which hold the
// request.
func (e *Engine) removeHandover(h *handover) {
	delete(e.handovers, h.request.Call)
	for _, timer := range h.timers {
		e.timers.Stop(timer)
	}
	h.timers = nil
}

// tryNextHost hands a request to the best host that was not tried yet. If there is
// none, hosts may answer from stale data, and after that this host answers.
func (e *Engine) tryNextHost(now time.Time, h *handover) {
	p := e.pickPeer(now, h)
	if p == nil && !h.stale {
		// No host has confirmed data, so stale data must do.
		h.stale, h.tried = true, map[core.HostID]bool{}
		p = e.pickPeer(now, h)
	}
	if p == nil {
		e.answerLocally(now, h)
		return
	}
	e.handOverTo(now, h, p, false)
}

// handOverTo hands a request over to one host. The host runs a repeat only if the
// route allows that; this host may not have the configuration to decide.
func (e *Engine) handOverTo(now time.Time, h *handover, p *peer, repeat bool) {
	attempt := &handoverAttempt{to: p, sentAt: now, repeat: repeat}
	h.attempts = append(h.attempts, attempt)
	h.tried[p.ID] = true
	p.running++
	e.out.Handovers = append(e.out.Handovers, Handover{
		Call: h.request.Call, To: p.Host, Deadline: h.deadline, Spent: now.Sub(h.request.At) + p.overhead,
		AllowStale: h.stale, Repeat: repeat, SeenVersion: e.newestSeen(),
	})
	if !repeat {
		e.addHandoverTimer(h, now.Add(probeFactor*p.latency), func(now time.Time) { e.probe(now, h, attempt) })
	}
}

// probe pings a host that has not answered a request for longer than usual. If the
// ping is not answered either, the request is repeated at another host.
//
// The ping distinguishes a host that is frozen or cut off from one that works on a
// long request.
func (e *Engine) probe(now time.Time, h *handover, attempt *handoverAttempt) {
	if !h.isActive(attempt) || h.repeated {
		return
	}
	p := attempt.to
	e.out.Probes = append(e.out.Probes, p.Host)
	e.addHandoverTimer(h, now.Add(max(minPingWait, p.latency)), func(later time.Time) {
		if h.isActive(attempt) && p.heardAt.Before(now) {
			e.backOffSilentHost(later, p)
			e.repeatHandover(later, h)
		}
	})
}

// isActive reports whether an attempt has not ended.
func (h *handover) isActive(attempt *handoverAttempt) bool {
	return slices.Contains(h.attempts, attempt)
}

// repeatHandover hands a request that may have run to a second host. It returns
// false if there is no such host or the request was repeated before.
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

// heardFrom records that something was received from a host.
func (e *Engine) heardFrom(now time.Time, h HostAlive) {
	if p := e.fleet.peers[h.ID]; p != nil {
		p.recordHeard(now)
		if h.Withdrawn && p.Domain == e.fleet.domain {
			e.domains.localWithdrawnAt = now
			e.decideWithdrawal(now)
		}
	}
	if d := e.domains.byHost[h.ID]; d != nil {
		e.recordDomainAlive(now, d.id)
	}
}

// answerLocally handles a request here that no other host accepts. If the
// configuration or the upstreams are not known here, the request is refused, and
// this host follows both for the next requests.
func (e *Engine) answerLocally(now time.Time, h *handover) {
	e.removeHandover(h)
	e.aloneUntil = now.Add(localAnswerPeriod)
	a := h.request
	a.FromHost, a.AllowStale, a.returned = true, true, true
	e.answerRequest(now, a)
}

// localAnswerPeriod is how long a host stays ready to send to upstreams after no
// other host accepted a request.
const localAnswerPeriod = 30 * time.Second

// Active reports whether this host must follow the configuration and the list of
// upstreams. A partitioned host does, so that it can gather again at once, and so does one
// that still works on calls.
func (e *Engine) Active(now time.Time) bool {
	return e.fleet.role != Entry || now.Before(e.aloneUntil) || len(e.fleet.peers) == 0 || e.fleet.selfPartitioned || len(e.calls) > 0
}

// pickPeer returns the host with the lowest cost for a handover, or nil. It prefers
// hosts in this host's failure domain and those with few running requests of this
// host.
func (e *Engine) pickPeer(now time.Time, h *handover) *peer {
	if len(h.tried) >= maxHandoverHosts {
		return nil
	}
	var best *peer
	bestCost := math.Inf(1)
	for rank, host := range e.fleet.handoverTargets() {
		p := e.fleet.peers[host.ID]
		if p == nil || h.tried[p.ID] || e.unusableFor(now, h, p) != "" {
			continue
		}
		if cost := e.handoverCost(now, p, rank) + e.options.Random(); cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// unusableFor returns why a request cannot be handed over to a host now; empty if it can.
func (e *Engine) unusableFor(now time.Time, h *handover, p *peer) string {
	switch {
	case e.inOtherRegion(p) && h.request.HasBody:
		return "in another region, and the request has a body"
	case now.Before(p.backoffUntil):
		return "backed off"
	case now.Before(p.partitionedUntil):
		return "reaches no upstreams"
	case !h.stale && now.Before(p.declinedUntil):
		return "its data was stale"
	}
	return ""
}

func (e *Engine) inOtherRegion(p *peer) bool {
	return e.options.Regions[p.Domain] != e.options.Regions[e.fleet.domain]
}

// handoverCost returns the cost of handing a request over to a host of the given rank, in
// running requests of a host with one core.
func (e *Engine) handoverCost(now time.Time, p *peer, rank int) float64 {
	cost := float64(p.running) / max(p.Cores, 0.01)
	if p.Domain != e.fleet.domain {
		cost += remoteHandoverCost
	}
	if rank >= e.fleet.gatherers() {
		cost += standbyHandoverCost
	}
	if e.inOtherRegion(p) {
		cost += otherRegionHandoverCost
	}
	if e.fleet.silent(now, p) {
		cost += silentHostCost
	}
	if d := e.domains.byID[p.Domain]; d != nil && d.unresponsive() {
		cost += silentDomainHandoverCost
	}
	return cost
}

// otherRegionHandoverCost is the cost of a host in another region, in running
// requests. A request with a body is never handed to another region, since this
// host does not know which regions its route allows.
const otherRegionHandoverCost = 2000

// silentDomainHandoverCost is the cost of a host in a failure domain from which
// nothing is received, in running requests.
const silentDomainHandoverCost = 500

// standbyHandoverCost is the cost of a standby, in running requests: it is used
// only while the gatherers are backed off.
const standbyHandoverCost = 1000

// handleHandoverEnd processes the end of a handover attempt.
func (e *Engine) handleHandoverEnd(now time.Time, r HandoverEnded) {
	h := e.handovers[r.Call]
	if h == nil {
		return
	}
	at := slices.IndexFunc(h.attempts, func(attempt *handoverAttempt) bool { return attempt.to.ID == r.To })
	if at < 0 {
		return
	}
	attempt := h.attempts[at]
	h.attempts = slices.Delete(h.attempts, at, at+1)
	p := attempt.to
	p.running--
	e.seenVersion = max(e.seenVersion, r.Version)
	if r.Outcome != Unreached && r.Outcome != Lost {
		p.recordHeard(now)
		e.recordDomainAlive(now, p.Domain)
	}
	switch {
	case r.OverQuota:
		p.failures, p.declines = 0, 0
		e.finishHandover(now, h, Answer{Kind: PassedOn, Payload: r.Payload})
		return
	case r.Outcome == Succeeded || r.Outcome == Failed:
		p.failures, p.declines = 0, 0
		if !h.repeated {
			p.observeOverhead(now.Sub(h.request.At) - r.Took)
		}
		p.latency += time.Duration(peerLatencyGain * float64(now.Sub(attempt.sentAt)-p.latency))
		e.endHandover(now, h, Answer{Kind: PassedOn, Payload: r.Payload}, r.Outcome == Succeeded)
		return
	case r.Outcome != NotExecuted:
		e.backOffHost(now, p, r)
	case r.Partitioned:
		p.partitionedUntil = now.Add(recoveryInterval)
		e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Age: recoveryInterval, Detail: "reaches no upstreams"})
	case !attempt.repeat:
		p.declinedUntil = now.Add(min(maxHostBackoff, minHostBackoff<<min(p.declines, 8)))
		p.declines++
		e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Detail: r.Cause})
	}
	switch {
	case !attempt.repeat && r.Outcome.SurelyNotRun():
		e.tryNextHost(now, h)
	case attempt.repeat && (r.Outcome == Unreached || r.Partitioned) && e.replaceRepeat(now, h), e.repeatHandover(now, h), len(h.attempts) > 0:
	default:
		e.endHandover(now, h, Answer{Kind: UpstreamsFailed}, false)
	}
}

// replaceRepeat repeats a request at one more host, in place of a host that was
// not reached or reaches no upstreams itself.
func (e *Engine) replaceRepeat(now time.Time, h *handover) bool {
	h.repeated = false
	return e.repeatHandover(now, h)
}

// backOffHost stops handovers to a host for a backoff that doubles each time, and
// pings the host after it.
func (e *Engine) backOffHost(now time.Time, p *peer, r HandoverEnded) {
	wait := min(maxHostBackoff, minHostBackoff<<min(p.failures, 8))
	p.failures++
	p.silent, p.backoffUntil = false, now.Add(wait)
	p.lostAt = now
	e.schedulePing(now, p, wait)
	e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Age: wait, Detail: r.Outcome.String() + ": " + r.Cause})
}

// backOffSilentHost backs off a host until something is received from it, or for the
// usual period.
func (e *Engine) backOffSilentHost(now time.Time, p *peer) {
	e.backOffHost(now, p, HandoverEnded{Outcome: Lost, Cause: "silent"})
	p.silent = true
}

// recordHeard records that something was received from the host.
func (p *peer) recordHeard(now time.Time) {
	p.heardAt = now
	if p.silent {
		p.silent, p.backoffUntil = false, now
	}
}

// backOffSilentHosts backs off the hosts that have let a request reach its
// deadline and from which nothing was received since they were sent it.
func (e *Engine) backOffSilentHosts(now time.Time, h *handover) {
	for _, attempt := range h.attempts {
		if now.Sub(attempt.sentAt) >= hostSilenceTimeout && attempt.to.heardAt.Before(attempt.sentAt) && !now.Before(attempt.to.backoffUntil) {
			e.backOffSilentHost(now, attempt.to)
		}
	}
}

// endHandover answers a request that was handed over. Served is whether the
// request counts as served when this host decides whether to turn callers away.
func (e *Engine) endHandover(now time.Time, h *handover, answer Answer, served bool) {
	e.recordResult(now, served)
	e.finishHandover(now, h, answer)
}

// finishHandover answers a request that was handed over, whose answer says nothing about
// whether this host can serve callers.
func (e *Engine) finishHandover(now time.Time, h *handover, answer Answer) {
	answer.Call = h.request.Call
	e.dropHandover(h)
	e.out.Answers = append(e.out.Answers, answer)
	e.note(Note{
		Decision: DecisionAnswer, RequestID: h.request.RequestID, Age: now.Sub(h.request.At),
		Detail: "handed over: " + answer.Kind.String(),
	})
}

// dropHandover removes a handover and cancels its attempts that have not ended.
func (e *Engine) dropHandover(h *handover) {
	e.removeHandover(h)
	for _, attempt := range h.attempts {
		attempt.to.running--
	}
	if len(h.attempts) > 0 {
		e.out.CancelledHandovers = append(e.out.CancelledHandovers, h.request.Call)
	}
	h.attempts = nil
}
