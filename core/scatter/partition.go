package scatter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// A partitioned host has other hosts answer its callers' requests. Where new connections
// are refused to it, it still uses those that are open, for what no other host accepts.

const (
	// trialRequestInterval is the time between two requests that a host which is
	// refused new connections tries to answer itself if no other host accepts them,
	// unless an upstream has answered over an open connection within openConnectionTTL.
	trialRequestInterval = 200 * time.Millisecond
	openConnectionTTL    = time.Second
)

// unreachableUpstreams is logged as the reason why a partitioned host does not answer a
// request itself.
const unreachableUpstreams = "this host does not reach the upstreams"

// OpenConnectionsMayWork reports whether a partitioned host may send over
// connections that are still open. New ones are refused to it.
func (e *Engine) OpenConnectionsMayWork() bool { return e.connectivity.refused }

// enterPartition has other hosts answer the calls that this host cannot answer any more.
func (e *Engine) enterPartition(now time.Time, round *checkRound) {
	c := &e.connectivity
	e.stats.Partitions++
	e.note(Note{
		Decision: DecisionPartitioned, Age: since(now, c.answeredAt), UpstreamsLost: len(c.failing), Attempt: round.checks,
		Detail: fmt.Sprintf("no connection to an upstream can be opened, %d of %d refused", round.refused, round.checks),
	})
	c.partitioned, c.refused, c.since, c.succeededRounds = true, round.refused == round.checks, now, 0
	e.directory.replaced = true
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		if call := e.calls[id]; e.expectedParts(now, call) < call.minParts() {
			e.moveCall(now, call, unreachableUpstreams)
		}
	}
}

// expectedParts counts the parts of a call that have been answered or can still be:
// their attempts are relayed, or sent over a connection that may work.
func (e *Engine) expectedParts(now time.Time, c *call) (count int) {
	silent := now.Sub(e.connectivity.answeredAt) >= silentAfter
	for _, p := range c.parts {
		running := func(a *attempt) bool {
			return e.attempts[a.id] != nil && (a.via != nil || !silent && now.Sub(a.sentAt) < unansweredAfter)
		}
		if p.answered || slices.ContainsFunc(p.attempts, running) {
			count++
		}
	}
	return count
}

// moveCall has another host answer a call that this host cannot answer any more. It
// returns false if there is none, or if the call must not run once more.
func (e *Engine) moveCall(now time.Time, c *call, why string) bool {
	ran := c.mayHaveRun()
	if c.request.returned || ran && !e.mayRunOnceMore(c) {
		return false
	}
	if c.request.FromHost {
		kind := Declined
		if ran {
			kind = Interrupted
		}
		e.cancelSilentAttempts(c)
		c.queued = false // its end says nothing about queues
		e.finish(now, c, Answer{Call: c.id, Kind: kind, Partitioned: e.connectivity.partitioned}, why)
		return true
	}
	h := &handover{request: c.request, tried: map[core.HostID]bool{}, deadline: c.deadline, repeated: ran}
	p := e.pickPeer(now, h)
	if p == nil {
		return false
	}
	e.cancelSilentAttempts(c)
	c.queued = false
	e.removeCall(now, c)
	e.startHandover(h)
	e.note(Note{
		Decision: DecisionRetry, RequestID: c.request.RequestID, Route: c.route.Name, Upstream: core.UpstreamID(p.ID), Version: c.config.Version,
		Age: now.Sub(c.request.At), Detail: "at another host: " + why,
	})
	e.handOverTo(now, h, p, ran)
	return true
}

// cancelSilentAttempts cancels the attempts of a call unless connections that are open
// may still work: cancelling an attempt closes its connection.
func (e *Engine) cancelSilentAttempts(c *call) {
	if !e.connectivity.refused {
		e.cancelAttempts(c)
	}
}

// mayRunOnceMore reports whether another host may send the parts of a call once
// more, each to its designated upstream.
func (e *Engine) mayRunOnceMore(c *call) bool {
	if !c.route.Repeatable || c.route.MaxUpstreams < 2 {
		return false
	}
	return !slices.ContainsFunc(c.parts, func(p *part) bool {
		used := p.possiblyRanAt()
		return len(used) >= c.route.MaxUpstreams && len(e.directory.byService[p.service]) > c.route.MaxUpstreams &&
			!slices.Contains(used, e.designated(p))
	})
}

// leavePartition discards what this host has concluded about upstreams while it
// could not reach them.
func (e *Engine) leavePartition(now time.Time) {
	c := &e.connectivity
	e.note(Note{Decision: DecisionReconnected, Age: now.Sub(c.since)})
	c.partitioned, c.refused, c.since = false, false, now
	e.directory.replaced = e.fleet.selfPartitioned
	clear(c.failing)
	for _, u := range e.directory.byID {
		u.forgetEstimates()
	}
	for _, q := range e.queues {
		q.forgetRate()
	}
	e.admission.share = initialAdmissionShare
	for _, id := range slices.Sorted(maps.Keys(e.queues)) {
		e.dispatchQueued(now, id)
	}
}

// openConnectionsWork reports whether upstreams answer a partitioned host over
// connections that are open.
func (e *Engine) openConnectionsWork(now time.Time) bool {
	return e.connectivity.refused && now.Sub(e.connectivity.answeredAt) < openConnectionTTL
}

// mayTryUpstreams reports whether a partitioned host should try to answer a request
// that no other host accepts. The trial must be harmless if it fails.
func (e *Engine) mayTryUpstreams(now time.Time, r *Route) bool {
	c := &e.connectivity
	switch {
	case !c.partitioned || e.openConnectionsWork(now):
		return true
	case !c.refused || !r.Repeatable || now.Sub(c.trialAt) < trialRequestInterval:
		return false
	}
	c.trialAt = now
	return true
}

// since returns the time that has passed since then, or 0 if then is the zero time.
func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
