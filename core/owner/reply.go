package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/estimate"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// attemptTextSize in bytes holds most attempt ids as text without allocation.
const attemptTextSize = 96

// upstreamReply completes a running attempt.
func (o *Owner) upstreamReply(now time.Time, r *core.UpstreamReply, out *core.Actions) {
	a := o.attempts[r.Attempt]
	if a == nil || a.started.IsZero() || a.share.up.ID != r.Upstream {
		o.stats.Stray++
		return
	}
	s := a.share
	s.remove(a)
	if abortedWhileRunning(r) {
		s.settling = append(s.settling, now.Add(o.cfg.CancelSettle))
	}
	if !a.reused {
		s.lastStart = now
	}
	delete(o.attempts, a.id)
	o.markDirty(s)
	if crossed(r) {
		o.handleCrossedReply(now, a, out)
		return
	}
	o.recordReply(now, a, r, out)
	if a.reused && r.Kind == core.UpstreamLost && r.Ran == core.NotRun && !a.query.Once && !a.cancelled {
		o.requeue(now, a, out)
		return
	}
	o.answer(now, a, &peerpb.SubReply{
		Kind:         int32(r.Kind),
		Ran:          int32(r.Ran),
		IndexVersion: r.IndexVersion,
		Covered:      r.Covered,
		Items:        r.Items,
		Payload:      r.Payload,
		RetryAfterUs: r.RetryAfter.Microseconds(),
	}, out)
}

// abortedWhileRunning reports whether the connection was closed while the
// attempt was possibly still running.
func abortedWhileRunning(r *core.UpstreamReply) bool {
	ended := r.Kind == core.Cancelled || r.Kind == core.DeadlineExceeded
	return ended && r.Ran != core.NotRun
}

// crossed reports whether an answer belongs to another attempt. A success
// without an echoed attempt id counts as crossed.
func crossed(r *core.UpstreamReply) bool {
	if r.Echo == "" {
		return r.Kind == core.OK
	}
	var text [attemptTextSize]byte
	return string(r.Attempt.AppendTo(text[:0])) != r.Echo
}

// handleCrossedReply fails an attempt that received another attempt's answer.
// Requests and answers on that connection are out of step, and the connection
// cannot be identified, so all idle ones are closed.
func (o *Owner) handleCrossedReply(now time.Time, a *attempt, out *core.Actions) {
	o.stats.Crossed++
	a.share.conns.verified, a.share.conns.unverified = 0, 0
	a.share.limiter.Failed(now, core.UpstreamFailed)
	out.Add(core.CloseConns{Upstream: a.share.up.ID})
	o.answer(now, a, &peerpb.SubReply{
		Kind: int32(core.UpstreamFailed),
		Ran:  int32(core.RanUnknown),
	}, out)
}

// requeue returns an attempt to the queue that found no connection to reuse.
func (o *Owner) requeue(now time.Time, a *attempt, out *core.Actions) {
	a.started, a.reused = time.Time{}, false
	if !now.Before(a.startBy) {
		o.answerNotRun(now, a, core.DeadlineUnreachable, minRetryAfter, out)
		return
	}
	o.enqueue(a)
}

// recordReply updates the state of the upstream from a reply.
func (o *Owner) recordReply(now time.Time, a *attempt, r *core.UpstreamReply, out *core.Actions) {
	s := a.share
	took := now.Sub(a.started)
	if r.Echo == "" && r.Ran != core.NotRun {
		s.conns.pendingClose++
	}
	if r.Kind == core.UpstreamLost {
		o.recordLoss(now, a, r, out)
		return
	}
	if r.Kind == core.OK || r.Instance != "" {
		same := o.connAnswered(now, a, r)
		if same && a.started.After(s.conns.lostAt) {
			o.retractLosses(now, s, out)
		}
	}
	if r.Kind == core.OK {
		s.service.Observe(took)
		s.limiter.Succeeded(now, took)
		o.clearSuspect(now, a, out)
	} else {
		o.recordFailure(now, a, r.Kind)
	}
	if r.Instance != s.conns.previous || r.Instance == "" {
		s.drain.recordReply(now, a.started, r, o.cfg.DrainFor)
	}
}

// recordFailure reports a failed attempt to the limiter.
func (o *Owner) recordFailure(now time.Time, a *attempt, kind core.Kind) {
	if a.cancelled {
		kind = core.Cancelled
	}
	a.share.limiter.Failed(now, kind)
}

// recordLoss handles an attempt whose connection broke.
func (o *Owner) recordLoss(now time.Time, a *attempt, r *core.UpstreamReply, out *core.Actions) {
	o.stats.Lost++
	s := a.share
	if a.reused && r.Ran == core.NotRun {
		// No connection was left to reuse: the count was too high.
		s.conns.verified = 0
		s.conns.recordLoss(now)
		return
	}
	o.recordFailure(now, a, core.UpstreamLost)
	if r.Ran != core.NotRun && !a.cancelled {
		s.conns.recordLoss(now)
		o.recordSuspect(now, a, out)
	}
}

// connAnswered records that the attempt's connection is idle again and which
// instance answered on it. It returns true if that is the instance known
// before. The caller excludes failures without an instance, which may come from
// the client itself.
func (o *Owner) connAnswered(now time.Time, a *attempt, r *core.UpstreamReply) bool {
	s := a.share
	c := &s.conns
	if r.Instance != "" && r.Instance == c.previous {
		return false
	}
	same := c.instanceKnown && r.Instance == c.instance && (a.reused || r.Instance != "" || s.verified(now))
	switch {
	case !c.instanceKnown:
		c.instanceKnown, c.instance = true, r.Instance
	case !same:
		o.restarted(now, s, r.Instance)
	}
	c.recordAnswer(a)
	return same
}

// restarted resets the share for a new instance, which starts cold.
func (o *Owner) restarted(now time.Time, s *share, instance string) {
	o.stats.Restarts++
	s.conns = connections{
		instanceKnown: true, instance: instance, previous: s.conns.instance, pendingClose: s.conns.pendingClose,
	}
	s.service = estimate.Service{}
	s.lostFingerprints = nil
	s.drain = drain{}
	s.limiter.Restarted(now)
}

// upstreamConn updates the counts of idle connections.
func (o *Owner) upstreamConn(now time.Time, e core.UpstreamConn) {
	s := o.shares[e.Upstream]
	if s == nil {
		return
	}
	if e.Open {
		s.conns.unverified++
	} else {
		s.conns.recordClosed(now)
	}
	o.markDirty(s)
}

// upstreamProbe handles the result of a health or load probe. A probe can only
// restrict dispatch: the upstream drains, or a new instance answers. Its health
// status is ignored in both directions, since the replies show it.
func (o *Owner) upstreamProbe(now time.Time, e core.UpstreamProbe) {
	s := o.shares[e.Upstream]
	if s == nil {
		return
	}
	o.markDirty(s)
	c := &s.conns
	if e.Instance != "" && e.Instance == c.previous {
		return
	}
	if e.Draining {
		s.drain.recordDrainingProbe(now, e.Instance, o.cfg.DrainFor)
	} else if s.drain.recordClearProbe(now, o.cfg.DrainQuiet, e.Instance) {
		o.drainEnded(now, s)
	}
	if e.Instance != "" && e.Instance != c.instance && e.Instance != c.probedInstance {
		// Invalidate once per new instance: a stale endpoint must not block
		// the upstream forever. The next trial verifies the process.
		c.probedInstance = e.Instance
		c.invalidate()
	}
}
