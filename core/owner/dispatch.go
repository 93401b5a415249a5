package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// dispatchQueued starts the queued attempts that may start on a share. If the
// share accepts no work, it refuses the whole queue.
func (o *Owner) dispatchQueued(now time.Time, s *share, out *core.Actions) {
	s.wakeAt = time.Time{}
	if kind := o.refresh(now, s, out); kind != core.OK {
		o.flush(now, s, kind, out)
		o.releaseIdle(now, s, out)
		return
	}
	for len(s.queue) > 0 && o.hasCapacity(now, s) {
		if !o.startNext(now, s, out) {
			break
		}
	}
	o.nextWake = earlier(o.nextWake, s.wakeAt)
}

// hasCapacity reports whether one more attempt may start now. If the limits
// allow one only later, it sets the share's wakeAt.
func (o *Owner) hasCapacity(now time.Time, s *share) bool {
	limit, nextStart := s.limiter.Limit(now)
	if len(s.running)+s.settlingSlots(now) >= min(limit, s.maxInFlight()) {
		return false
	}
	if s.conns.verified == 0 {
		if !o.mayStartTrial(now, s) {
			return false
		}
		nextStart = later(nextStart, s.nextTrial(now))
	}
	if nextStart.After(now) {
		s.wakeAt = nextStart
		return false
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// startNext starts or refuses the first attempt of the queue. It returns false
// if that attempt must wait until running ones have completed.
func (o *Owner) startNext(now time.Time, s *share, out *core.Actions) bool {
	a := s.queue[0]
	kind := o.checkBeforeDispatch(now, a)
	if kind != core.OK {
		o.dequeue(a)
		o.answerNotRun(now, a, kind, minRetryAfter, out)
		return true
	}
	if !o.isolationAllows(now, a) {
		return false
	}
	o.dequeue(a)
	o.start(now, a, out)
	return true
}

// checkBeforeDispatch is the final check of one attempt; dispatchQueued has
// checked the share in the same step.
func (o *Owner) checkBeforeDispatch(now time.Time, a *attempt) core.Kind {
	if kind := o.checkSuspect(now, a); kind != core.OK {
		return kind
	}
	if kind := o.checkExclusive(now, a); kind != core.OK {
		return kind
	}
	if now.Add(a.share.service.Median).After(a.deadline) {
		return core.DeadlineUnreachable
	}
	return core.OK
}

// needsExclusive reports whether no other host may use the upstream while the
// attempt runs: for at-most-once work and during a cold start.
func needsExclusive(now time.Time, a *attempt) bool {
	return a.query.Once || a.share.cold(now)
}

// checkExclusive checks that an attempt which needs exclusive use of the
// upstream is expected to complete while this host has it.
func (o *Owner) checkExclusive(now time.Time, a *attempt) core.Kind {
	if !needsExclusive(now, a) {
		return core.OK
	}
	end := now.Add(a.share.service.Median)
	if end.Before(o.cfg.Owners.ExclusiveUntil(a.share.up.ID)) {
		return core.OK
	}
	return core.PlatformUnavailable
}

func (o *Owner) start(now time.Time, a *attempt, out *core.Actions) {
	s := a.share
	exclusive := needsExclusive(now, a)
	s.reserveConn(a)
	d := core.Dispatch{
		Upstream: s.up, Attempt: a.id, Query: a.query,
		Deadline: a.deadline, ReuseOnly: a.reused,
	}
	o.setTimeBounds(now, a, exclusive, &d)
	a.started = now
	o.scheduleSlowReport(a)
	a.suspect = o.suspects.contains(now, a.fingerprint)
	s.lastStart = now
	s.running = append(s.running, a)
	o.attempts[a.id] = a
	s.limiter.Started(now)
	o.stats.Dispatched++
	out.Add(d)
}

// setTimeBounds limits the start and the deadline of an attempt that needs
// exclusive use of the upstream to the exclusive period. The same holds for a
// trial, since it may reach a process that has just started. Without an exclusive
// period a trial must start while the last answer still verifies the process.
func (o *Owner) setTimeBounds(now time.Time, a *attempt, exclusive bool, d *core.Dispatch) {
	until := o.cfg.Owners.ExclusiveUntil(a.share.up.ID)
	trial := !a.reused
	switch {
	case exclusive, trial && now.Before(until):
		d.StartBy = until
		d.Deadline = earlier(d.Deadline, until)
	case trial:
		d.StartBy = a.share.conns.verifiedAt.Add(verificationAge)
	}
}

// reserveConn removes a connection for the attempt from the counts of idle
// ones, a verified one if there is any.
func (s *share) reserveConn(a *attempt) {
	switch {
	case s.conns.verified > 0:
		s.conns.verified--
		a.reused = true
	case s.conns.unverified > 0:
		s.conns.unverified--
	}
	s.conns.trialUnanswered = s.conns.trialUnanswered || !a.reused
}
