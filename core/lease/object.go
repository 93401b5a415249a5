package lease

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// object tracks one platform object: the version that this host last saw and
// the call in flight for it, if any. There is at most one such call.
type object struct {
	key     string
	version uint64
	// versionKnown is set while version can be the condition of a write. It is
	// cleared when a call fails or conflicts.
	versionKnown bool
	// operation identifies the call in flight; 0 means none.
	operation uint64
	op        core.PlatformOp
	value     []byte
	startedAt time.Time
}

func (o *object) inFlight() bool { return o.operation != 0 }

// call starts a platform call for an object.
func (l *Lease) call(o *object, op core.PlatformOp, value []byte, out *core.Actions) {
	l.writer.lastOperation++
	o.operation = core.OperationsLease + l.writer.lastOperation
	o.op = op
	o.value = value
	o.startedAt = l.now
	if op == core.PlatformGet {
		l.stats.Reads++
	} else {
		l.stats.Writes++
	}
	out.Add(core.PlatformCall{
		Operation: o.operation,
		Op:        op,
		Key:       o.key,
		Version:   o.version,
		Value:     value,
		Timeout:   l.writer.callTimeout,
	})
}

// handleReply completes the call that a reply belongs to. A reply to a call that
// is no longer in flight is ignored. It returns false for a reply of another
// role.
func (l *Lease) handleReply(e core.PlatformReply, out *core.Actions) bool {
	w := &l.writer
	if e.Operation&core.OperationsMask != core.OperationsLease {
		return false
	}
	switch e.Operation {
	case w.members.operation:
		l.handleMembersReply(e, out)
	case w.shares.operation:
		l.handleSharesReply(e, out)
	}
	return true
}

// timeOutCalls fails the calls whose reply deadline has passed.
func (l *Lease) timeOutCalls(out *core.Actions) {
	for _, o := range []*object{&l.writer.members, &l.writer.shares} {
		if o.inFlight() && !l.now.Before(l.replyDeadline(o)) {
			l.handleReply(core.PlatformReply{Operation: o.operation, Kind: core.PlatformUnavailable}, out)
		}
	}
}

// replyDeadline returns when a call without a reply counts as failed.
func (l *Lease) replyDeadline(o *object) time.Time {
	return o.startedAt.Add(2 * l.config.CallTimeout)
}

// finishCall records the outcome of a call and returns the resulting state of
// the object, if the reply determines it. After a conflict or an unknown outcome
// the object must be read again; the read shows whether a write whose reply was
// lost took effect.
func (l *Lease) finishCall(o *object, e core.PlatformReply) (value []byte, hasState bool) {
	wrote := o.op != core.PlatformGet
	value = o.value
	elapsed := l.now.Sub(o.startedAt)
	o.operation = 0
	o.value = nil
	l.adaptCallTimeout(elapsed, e.Kind != core.PlatformUnavailable)
	switch e.Kind {
	case core.OK:
		l.recordContact()
		if !wrote {
			value = e.Value
		}
		o.version = e.Version
		o.versionKnown = true
		return value, true
	case core.UnknownName:
		l.recordContact()
		o.version = e.Version // the era without a revision, 0 in the first era
		o.versionKnown = true
		return nil, true
	case core.Conflict:
		l.recordContact()
		l.stats.Conflicts++
		o.versionKnown = false
		l.writer.retryNotBefore = l.now.Add(l.jitter(retryDelay))
		return nil, false
	default:
		l.stats.Unavailable++
		o.versionKnown = false
		l.backOff()
		return nil, false
	}
}

// adaptCallTimeout adapts the call timeout to the observed latency: while the
// platform is fast, a lost reply is detected soon, and a slow platform does not
// cause timeouts.
func (l *Lease) adaptCallTimeout(elapsed time.Duration, answered bool) {
	w := &l.writer
	if !answered {
		w.callTimeout = min(2*w.callTimeout, l.config.CallTimeout)
		return
	}
	w.callTimeout = min(max(callTimeoutFactor*elapsed, w.callTimeout*3/4, minCallTimeout), l.config.CallTimeout)
}

// recordContact records that the platform answered. After a gap longer than
// maxContactGap the fencing timers restart, because the other members may not
// have been able to renew during the gap either.
func (l *Lease) recordContact() {
	w := &l.writer
	if l.now.Sub(w.lastContact) > maxContactGap {
		w.contactSince = l.now
	}
	w.lastContact = l.now
	w.consecutiveFailures = 0
}

// backOff delays the next call after a failure. The writer and its backup retry
// within one interval; the other hosts back off exponentially up to maxBackoff.
func (l *Lease) backOff() {
	w := &l.writer
	w.consecutiveFailures++
	delay := l.config.Interval
	if l.ranking.ownRank >= 2 {
		delay = min(maxBackoff, delay<<min(w.consecutiveFailures, 4))
	}
	w.retryNotBefore = l.now.Add(l.jitter(delay / 2))
}

// jitter returns a random duration in [d, 2d).
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d + time.Duration(l.config.Random.Int64N(int64(d)))
}
