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
	if givenUp(r) {
		s.settling = append(s.settling, now.Add(o.cfg.CancelSettle))
	}
	if !a.reused {
		s.lastStart = now
	}
	delete(o.attempts, a.id)
	o.touch(s)
	if crossed(r) {
		o.crossedReply(now, a, out)
		return
	}
	o.learn(now, a, r, out)
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
func givenUp(r *core.UpstreamReply) bool {
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
func (o *Owner) crossedReply(now time.Time, a *attempt, out *core.Actions) {
	o.stats.Crossed++
	a.share.conns.proven, a.share.conns.fresh = 0, 0
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
		o.answerNotRun(now, a, core.DeadlineUnreachable, comeBackSoon, out)
		return
	}
	o.enqueue(a)
}

// learn takes from a reply what it says about the upstream.
func (o *Owner) learn(now time.Time, a *attempt, r *core.UpstreamReply, out *core.Actions) {
	s := a.share
	took := now.Sub(a.started)
	if r.Echo == "" && r.Ran != core.NotRun {
		s.conns.ending++
	}
	if r.Kind == core.UpstreamLost {
		o.lost(now, a, r, out)
		return
	}
	if r.Kind == core.OK || r.Instance != "" {
		same := o.connAnswered(now, a, r)
		if same && a.started.After(s.conns.lostAt) {
			o.retract(now, s, out)
		}
	}
	if r.Kind == core.OK {
		s.service.Observe(took)
		s.limiter.Succeeded(now, took)
		o.absolve(now, a, out)
	} else {
		o.failed(now, a, r.Kind)
	}
	if r.Instance != s.conns.previous || r.Instance == "" {
		s.drain.replied(now, a.started, r, o.cfg.DrainFor)
	}
}

// failed tells the limiter of an attempt that did not succeed.
func (o *Owner) failed(now time.Time, a *attempt, kind core.Kind) {
	if a.cancelled {
		kind = core.Cancelled
	}
	a.share.limiter.Failed(now, kind)
}

// lost handles an attempt whose connection broke under it.
func (o *Owner) lost(now time.Time, a *attempt, r *core.UpstreamReply, out *core.Actions) {
	o.stats.Lost++
	s := a.share
	if a.reused && r.Ran == core.NotRun {
		// No connection was left to reuse: the count here was too high.
		s.conns.proven = 0
		s.conns.lost(now)
		return
	}
	o.failed(now, a, core.UpstreamLost)
	if r.Ran != core.NotRun && !a.cancelled {
		s.conns.lost(now)
		o.suspect(now, a, out)
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
	same := c.seen && r.Instance == c.instance && (a.reused || r.Instance != "" || s.proven(now))
	switch {
	case !c.seen:
		c.seen, c.instance = true, r.Instance
	case !same:
		o.restarted(now, s, r.Instance)
	}
	c.answered(a)
	return same
}

// restarted notes that another process serves the upstream: it is cold.
func (o *Owner) restarted(now time.Time, s *share, instance string) {
	o.stats.Restarts++
	s.conns = connections{
		seen: true, instance: instance, previous: s.conns.instance, ending: s.conns.ending,
	}
	s.service = estimate.Service{}
	s.lostPrints = nil
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
		s.conns.fresh++
	} else {
		s.conns.broke(now)
	}
	o.touch(s)
}

// upstreamProbe takes from a health or load endpoint what makes this host
// more careful: that the upstream drains, or that a new process answers.
// Whether it is healthy is not believed either way; replies show it.
func (o *Owner) upstreamProbe(now time.Time, e core.UpstreamProbe) {
	s := o.shares[e.Upstream]
	if s == nil {
		return
	}
	o.touch(s)
	c := &s.conns
	if e.Instance != "" && e.Instance == c.previous {
		return
	}
	if e.Draining {
		s.drain.probed(now, e.Instance, o.cfg.DrainFor)
	} else if s.drain.denied(now, o.cfg.DrainQuiet, e.Instance) {
		o.drainEnded(now, s)
	}
	if e.Instance != "" && e.Instance != c.instance && e.Instance != c.probed {
		// Act once on each new name: a stale endpoint must not hold the
		// upstream down for ever. The next trial shows the truth.
		c.probed = e.Instance
		c.unproven()
	}
}
