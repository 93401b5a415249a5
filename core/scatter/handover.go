package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// suspectFirst is how long a host rests that did not take a request; it
	// doubles up to suspectMost.
	suspectFirst = 200 * time.Millisecond
	suspectMost  = 2 * time.Second
	// handoverTries is the most hosts that are asked to take one request.
	handoverTries = 6
	// silentAfter without an answer, while nothing else came from the host
	// either, makes it rest.
	silentAfter = 700 * time.Millisecond
	// remoteHandover is what another failure domain costs, in requests that
	// wait at the host.
	remoteHandover = 2.0
	// staleAfter without news is when a host declines requests of others, which
	// may find one that knows better.
	staleAfter = 1500 * time.Millisecond
	// unknownBudget ends a handover whose caller did not say how long it waits.
	unknownBudget = 10 * time.Second
)

// peer is what this host believes of a host that may gather for it.
type peer struct {
	Host
	running  int
	suspects int
	restsTo  time.Time
	heardAt  time.Time
	// lostAt is when it last lost a request of this host, askAt when it is
	// pinged for that.
	lostAt, askAt time.Time
	// pings counts those of a watching host without an answer, the last one at
	// pingedAt.
	pings    int
	pingedAt time.Time
	// declines counts refusals in a row for want of confirmed news, until
	// declinesTo it is asked only when all others declined as well.
	declines   int
	declinesTo time.Time
	// overhead estimates the time of a handover apart from the host's own
	// work: the way there and back, and what this host does for it.
	overhead time.Duration
	// took is about how long the host takes for a request, with the way there
	// and back.
	took  time.Duration
	relay relayLoad
}

const (
	// firstOverhead is the estimate before the first observation.
	firstOverhead = 6 * time.Millisecond
	// firstTook is the estimate of a host's time before the first observation,
	// tookGain the weight of each.
	firstTook = 100 * time.Millisecond
	tookGain  = 0.1
	// probeFactor times the usual time without an answer, a host is asked
	// whether it is there.
	probeFactor = 2
	// overheadRise and overheadFall are the steps of the estimate, which settle
	// where one of ten handovers takes longer.
	overheadRise = 0.18
	overheadFall = 0.02
)

func (p *peer) observeOverhead(observed time.Duration) {
	if observed > p.overhead {
		p.overhead += time.Duration(overheadRise * float64(p.overhead))
	} else {
		p.overhead -= time.Duration(overheadFall * float64(p.overhead))
	}
	p.overhead = max(p.overhead, minLatencyEstimate)
}

// handover is a request that another host answers.
type handover struct {
	arrived  RequestArrived
	runs     []*handoverRun // at hosts that have not ended it
	tried    map[core.HostID]bool
	deadline time.Time
	stale    bool
	// repeated says that a second host was asked to run what the first may have
	// run.
	repeated bool
}

// handoverRun is a handover at one host.
type handoverRun struct {
	to     *peer
	sentAt time.Time
	repeat bool
}

// handsOver says whether this host lets others answer its callers' requests.
func (e *Engine) handsOver(a RequestArrived) bool {
	if a.FromHost || len(e.fleet.peers) == 0 {
		return false
	}
	return e.fleet.role != Gatherer || !e.Ready()
}

// handOver gives a request to the host that is expected to answer it soonest.
func (e *Engine) handOver(now time.Time, a RequestArrived) {
	budget := a.Budget
	if budget <= 0 {
		budget = unknownBudget
	}
	h := &handover{arrived: a, tried: map[core.HostID]bool{}, deadline: a.At.Add(e.withWayBack(budget))}
	e.handovers[a.Call] = h
	e.timers.Add(h.deadline, func(now time.Time) {
		if e.handovers[a.Call] == h {
			e.suspectSilent(now, h)
			e.endHandover(now, h, Answer{Kind: TimedOut}, false)
		}
	})
	e.tryHandover(now, h)
}

func (e *Engine) tryHandover(now time.Time, h *handover) {
	p := e.pickPeer(now, h)
	if p == nil && !h.stale {
		// Nobody has confirmed news: what they know has to do.
		h.stale, h.tried = true, map[core.HostID]bool{}
		p = e.pickPeer(now, h)
	}
	if p == nil {
		e.answerAlone(now, h)
		return
	}
	e.runAt(now, h, p, false)
}

// runAt gives a request to a host. A repeat is run there only if the route allows
// it, which this host does not know.
func (e *Engine) runAt(now time.Time, h *handover, p *peer, repeat bool) {
	run := &handoverRun{to: p, sentAt: now, repeat: repeat}
	h.runs = append(h.runs, run)
	h.tried[p.ID] = true
	p.running++
	e.out.Handovers = append(e.out.Handovers, Handover{
		Call: h.arrived.Call, To: p.Host, Deadline: h.deadline, Spent: now.Sub(h.arrived.At) + p.overhead,
		AllowStale: h.stale, Repeat: repeat,
	})
	if !repeat {
		e.timers.Add(now.Add(probeFactor*p.took), func(now time.Time) { e.probe(now, h, run) })
	}
}

// probe pings a host that has held a request for longer than usual. Without an
// answer another host is asked to run the request.
//
// It answers hosts that freeze or are cut off: what they hold is silent, but so
// is a request that takes long.
func (e *Engine) probe(now time.Time, h *handover, run *handoverRun) {
	if !h.runsAt(run) || h.repeated {
		return
	}
	p := run.to
	e.out.Probes = append(e.out.Probes, p.Host)
	e.timers.Add(now.Add(p.took), func(later time.Time) {
		if h.runsAt(run) && p.heardAt.Before(now) {
			e.rest(later, p, HandoverEnded{Outcome: Lost, Cause: "silent"})
			e.repeatHandover(later, h)
		}
	})
}

func (h *handover) runsAt(run *handoverRun) bool { return slices.Contains(h.runs, run) }

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
		Decision: DecisionRetry, RequestID: h.arrived.RequestID, Upstream: core.UpstreamID(p.ID), Age: now.Sub(h.arrived.At), Detail: "at another host",
	})
	e.runAt(now, h, p, true)
	return true
}

// heardFrom notes that something came from a host.
func (e *Engine) heardFrom(now time.Time, h HostAlive) {
	if p := e.fleet.peers[h.ID]; p != nil {
		p.heardAt = now
		if h.Withdrawn && p.Domain == e.fleet.domain {
			e.domains.localWithdrawnAt = now
			e.decideWithdrawal(now)
		}
	}
	if d := e.domains.byHost[h.ID]; d != nil {
		e.recordDomainAlive(now, d.id)
	}
}

// answerAlone answers a request that no other host takes. A host that does not
// know enough for that refuses, and learns it for the requests to come.
func (e *Engine) answerAlone(now time.Time, h *handover) {
	delete(e.handovers, h.arrived.Call)
	e.aloneUntil = now.Add(aloneFor)
	a := h.arrived
	a.FromHost, a.AllowStale = true, true
	e.arrive(now, a)
}

// aloneFor is how long a host stays ready to send to upstreams after no other
// host took a request.
const aloneFor = 30 * time.Second

// Active says whether this host has to know the configuration and the
// upstreams.
func (e *Engine) Active(now time.Time) bool {
	return e.fleet.role != Entry || now.Before(e.aloneUntil) || len(e.fleet.peers) == 0
}

// pickPeer prefers this host's failure domain and the host with the fewest of
// this host's requests.
func (e *Engine) pickPeer(now time.Time, h *handover) *peer {
	if len(h.tried) >= handoverTries {
		return nil
	}
	var best *peer
	bestCost := math.Inf(1)
	for at, host := range e.fleet.handoverTargets() {
		p := e.fleet.peers[host.ID]
		far := p != nil && e.options.Regions[p.Domain] != e.options.Regions[e.fleet.domain]
		if p == nil || far && h.arrived.HasBody || h.tried[p.ID] || now.Before(p.restsTo) || !h.stale && now.Before(p.declinesTo) {
			continue
		}
		cost := float64(p.running)/max(p.Cores, 0.01) + e.options.Random()
		if p.Domain != e.fleet.domain {
			cost += remoteHandover
		}
		if at >= e.fleet.gatherers() {
			cost += standbyHandover
		}
		if far {
			cost += farHandover
		}
		if e.fleet.silent(now, p) {
			cost += silentHostCost
		}
		if d := e.domains.byID[p.Domain]; d != nil && d.unresponsive() {
			cost += darkHandover
		}
		if cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// farHandover is what another region costs. This host does not know the route's
// regions, so no body leaves its own.
const farHandover = 2000

// darkHandover is what a host in a failure domain costs from which nothing comes.
const darkHandover = 500

// standbyHandover is what a standby costs, in requests that wait: it is asked
// only when the gatherers rest.
const standbyHandover = 1000

// handedOver takes the end of a handover at a host.
func (e *Engine) handedOver(now time.Time, r HandoverEnded) {
	h := e.handovers[r.Call]
	if h == nil {
		return
	}
	at := slices.IndexFunc(h.runs, func(run *handoverRun) bool { return run.to.ID == r.To })
	if at < 0 {
		return
	}
	run := h.runs[at]
	h.runs = slices.Delete(h.runs, at, at+1)
	p := run.to
	p.running--
	if r.Outcome != Unreached && r.Outcome != Lost {
		p.heardAt = now
		e.recordDomainAlive(now, p.Domain)
	}
	switch {
	case r.Outcome == Succeeded || r.Outcome == Failed:
		p.suspects, p.declines = 0, 0
		if !h.repeated {
			p.observeOverhead(now.Sub(h.arrived.At) - r.Took)
		}
		p.took += time.Duration(tookGain * float64(now.Sub(run.sentAt)-p.took))
		e.endHandover(now, h, Answer{Kind: PassedOn, Payload: r.Payload}, r.Outcome == Succeeded)
		return
	case r.Outcome != NotExecuted:
		e.rest(now, p, r)
	case !run.repeat:
		p.declinesTo = now.Add(min(suspectMost, suspectFirst<<min(p.declines, 8)))
		p.declines++
		e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Detail: r.Cause})
	}
	switch {
	case !run.repeat && r.Outcome.SurelyNotRun():
		e.tryHandover(now, h)
	case run.repeat && r.Outcome == Unreached && e.retryRepeat(now, h), e.repeatHandover(now, h), len(h.runs) > 0:
	default:
		e.endHandover(now, h, Answer{Kind: UpstreamsFailed}, false)
	}
}

// retryRepeat asks one more host in the place of one that was not reached.
func (e *Engine) retryRepeat(now time.Time, h *handover) bool {
	h.repeated = false
	return e.repeatHandover(now, h)
}

// rest keeps requests away from a host for a while.
func (e *Engine) rest(now time.Time, p *peer, r HandoverEnded) {
	wait := min(suspectMost, suspectFirst<<min(p.suspects, 8))
	p.suspects++
	p.restsTo = now.Add(wait)
	p.lostAt = now
	e.schedulePing(now, p, wait)
	e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Age: wait, Detail: r.Outcome.String() + ": " + r.Cause})
}

// suspectSilent makes a host rest that let a request run into its deadline.
func (e *Engine) suspectSilent(now time.Time, h *handover) {
	for _, run := range h.runs {
		if now.Sub(run.sentAt) >= silentAfter && run.to.heardAt.Before(run.sentAt) && !now.Before(run.to.restsTo) {
			e.rest(now, run.to, HandoverEnded{Outcome: Lost, Cause: "silent"})
		}
	}
}

func (e *Engine) endHandover(now time.Time, h *handover, answer Answer, served bool) {
	e.recordResult(now, served)
	answer.Call = h.arrived.Call
	e.dropHandover(h)
	e.out.Answers = append(e.out.Answers, answer)
	e.note(Note{
		Decision: DecisionAnswer, RequestID: h.arrived.RequestID, Age: now.Sub(h.arrived.At),
		Detail: "handed over: " + answer.Kind.String(),
	})
}

// dropHandover forgets a handover and ends it at the hosts that still have it.
func (e *Engine) dropHandover(h *handover) {
	delete(e.handovers, h.arrived.Call)
	for _, run := range h.runs {
		run.to.running--
	}
	if len(h.runs) > 0 {
		e.out.CancelledHandovers = append(e.out.CancelledHandovers, h.arrived.Call)
	}
	h.runs = nil
}
