package lease

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// object is this host's copy of one platform object and the call that is in
// flight for it; there is at most one.
type object struct {
	key     string
	version uint64
	// known says that a conditional write may be tried on version.
	versionKnown bool
	operation    uint64
	op           core.PlatformOp
	value        []byte
	startedAt    time.Time
}

func (o *object) inFlight() bool { return o.operation != 0 }

// call starts a call of the platform.
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

// takeReply ends a call. A reply that belongs to no call in flight is late.
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

// expireCalls ends calls whose reply never came.
func (l *Lease) timeOutCalls(out *core.Actions) {
	for _, o := range []*object{&l.writer.members, &l.writer.shares} {
		if o.inFlight() && !l.now.Before(l.replyDeadline(o)) {
			l.handleReply(core.PlatformReply{Operation: o.operation, Kind: core.PlatformUnavailable}, out)
		}
	}
}

// expiry is when a call counts as lost although its end was not reported.
func (l *Lease) replyDeadline(o *object) time.Time {
	return o.startedAt.Add(2 * l.config.CallTimeout)
}

// settle notes the outcome of a call and returns the state of the object that
// it showed, if it showed one. After a conflict or an unknown outcome the
// object must be read again: the read tells whether a write took effect whose
// reply was lost.
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
		o.version = 0
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

// learnPatience adapts how long a call may take: a lost reply costs little
// while the platform is fast, and a slow platform gets its time.
func (l *Lease) adaptCallTimeout(elapsed time.Duration, answered bool) {
	w := &l.writer
	if !answered {
		w.callTimeout = min(2*w.callTimeout, l.config.CallTimeout)
		return
	}
	w.callTimeout = min(max(callTimeoutFactor*elapsed, w.callTimeout*3/4, minCallTimeout), l.config.CallTimeout)
}

// contact notes that the platform answered. After a gap the observer's clocks
// start anew, so that members who could not renew either get their time.
func (l *Lease) recordContact() {
	w := &l.writer
	if l.now.Sub(w.lastContact) > maxContactGap {
		w.contactSince = l.now
	}
	w.lastContact = l.now
	w.consecutiveFailures = 0
}

// backOff spaces the tries while the platform is away: the preferred hosts
// keep trying each second, the others ever less often.
func (l *Lease) backOff() {
	w := &l.writer
	w.consecutiveFailures++
	delay := l.config.Interval
	if l.ranking.ownRank >= 2 {
		delay = min(maxBackoff, delay<<min(w.consecutiveFailures, 4))
	}
	w.retryNotBefore = l.now.Add(l.jitter(delay / 2))
}

// jitter returns a time between d and 2d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d + time.Duration(l.config.Random.Int64N(int64(d)))
}
