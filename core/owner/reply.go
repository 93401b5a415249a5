package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/estimate"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// attemptTextSize is enough for most attempt ids as text.
const attemptTextSize = 96

// upstreamReply ends a running attempt.
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

// givenUp says that the connection was closed under a running attempt.
func abortedWhileRunning(r *core.UpstreamReply) bool {
	ended := r.Kind == core.Cancelled || r.Kind == core.DeadlineExceeded
	return ended && r.Ran != core.NotRun
}

// crossed says that an answer belongs to another attempt; a success must name
// its own.
func crossed(r *core.UpstreamReply) bool {
	if r.Echo == "" {
		return r.Kind == core.OK
	}
	var text [attemptTextSize]byte
	return string(r.Attempt.AppendTo(text[:0])) != r.Echo
}

// crossedReply gives up an attempt whose answer was another's. Its connection
// is out of step, and nobody knows which it is: all idle ones are closed.
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

// requeue puts an attempt back that found no connection to reuse.
func (o *Owner) requeue(now time.Time, a *attempt, out *core.Actions) {
	a.started, a.reused = time.Time{}, false
	if !now.Before(a.startBy) {
		o.answerNotRun(now, a, core.DeadlineUnreachable, minRetryAfter, out)
		return
	}
	o.enqueue(a)
}

// learn takes from a reply what it says about the upstream.
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

// failed tells the limiter of an attempt that did not succeed.
func (o *Owner) recordFailure(now time.Time, a *attempt, kind core.Kind) {
	if a.cancelled {
		kind = core.Cancelled
	}
	a.share.limiter.Failed(now, kind)
}

// lost handles an attempt whose connection broke under it.
func (o *Owner) recordLoss(now time.Time, a *attempt, r *core.UpstreamReply, out *core.Actions) {
	o.stats.Lost++
	s := a.share
	if a.reused && r.Ran == core.NotRun {
		// No connection was left to reuse: the count here was too high.
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

// connAnswered notes that the attempt's connection is idle again and which
// process answered on it; true is the one known before. A failure without an
// instance may be the client's own and does not get here.
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

// restarted notes that another process serves the upstream: it is cold.
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

// upstreamConn counts idle connections.
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

// upstreamProbe takes from a health or load endpoint what makes this host
// more careful: that the upstream drains, or that a new process answers.
// Whether it is healthy is not believed either way; replies show it.
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
		// Act once on each new name: a stale endpoint must not hold the
		// upstream down for ever. The next trial shows the truth.
		c.probedInstance = e.Instance
		c.invalidate()
	}
}
