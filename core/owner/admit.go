package owner

import (
	"container/heap"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

const (
	// defaultRetryAfter is advised where no estimate of the wait exists.
	defaultRetryAfter = time.Second
	// minRetryAfter is the shortest wait advised.
	minRetryAfter = 10 * time.Millisecond
	// maxRemaining bounds the remaining time that a message may carry.
	maxRemaining = time.Hour
)

// subQuery queues an attempt or refuses it immediately.
func (o *Owner) subQuery(now time.Time, id core.AttemptID, q *peerpb.SubQuery, out *core.Actions) {
	if o.attempts[id] != nil {
		o.stats.Stray++
		return
	}
	o.stats.Received++
	o.senders[id.Host] = now
	a := &attempt{id: id, query: q, arrived: now}
	copy(a.fingerprint[:], q.Fingerprint)
	a.deadline = now.Add(remaining(q))
	kind, retryAfter := o.admit(now, a, out)
	if kind != core.OK {
		o.stats.Refused++
		o.answerNotRun(now, a, kind, retryAfter, out)
		return
	}
	o.enqueue(a)
	o.markDirty(a.share)
}

func remaining(q *peerpb.SubQuery) time.Duration {
	us := min(max(q.RemainingUs, 0), maxRemaining.Microseconds())
	return time.Duration(us) * time.Microsecond
}

// admit returns OK, or the kind of the refusal and the advised wait before a
// retry.
func (o *Owner) admit(now time.Time, a *attempt, out *core.Actions) (core.Kind, time.Duration) {
	s := o.shareFor(now, core.UpstreamID(a.query.Upstream))
	if s == nil {
		return core.NoOwner, minRetryAfter
	}
	a.share = s
	if kind := o.refresh(now, s, out); kind != core.OK {
		return kind, defaultRetryAfter
	}
	if kind := o.checkSuspect(now, a); kind != core.OK {
		return kind, o.suspects.retryAfter(now, a.fingerprint)
	}
	if kind := o.checkExclusive(now, a); kind != core.OK {
		return kind, defaultRetryAfter
	}
	wait := s.waitFor(now, s.ahead(a))
	if now.Add(wait + s.service.Median).After(a.deadline) {
		return core.DeadlineUnreachable, wait
	}
	if len(s.queue) >= o.cfg.QueueLimit && !o.evict(now, a, out) {
		return core.Overloaded, wait
	}
	a.startBy = a.deadline.Add(-s.service.Median)
	return core.OK, 0
}

// evict refuses the last attempt of a full queue if a precedes it. It returns
// false if a would itself be the last.
func (o *Owner) evict(now time.Time, a *attempt, out *core.Actions) bool {
	last := a
	for _, other := range a.share.queue {
		if last.before(other) {
			last = other
		}
	}
	if last == a {
		return false
	}
	o.dequeue(last)
	o.stats.Refused++
	o.answerNotRun(now, last, core.Overloaded, a.share.waitFor(now, len(a.share.queue)), out)
	return true
}

// shareFor returns the share of an upstream that this host holds or still has
// work for, and nil otherwise. A newly held share is created.
func (o *Owner) shareFor(now time.Time, id core.UpstreamID) *share {
	if s := o.shares[id]; s != nil {
		return s
	}
	up := o.topology.Upstreams[id]
	if up == nil || !o.cfg.Owners.Holds(now, id) {
		return nil
	}
	return o.newShare(now, up)
}

func (o *Owner) enqueue(a *attempt) {
	o.attempts[a.id] = a
	heap.Push(&a.share.queue, a)
	heap.Push(&o.expiry, a)
}

// dequeue removes a waiting attempt from the share's queue, the expiry queue
// and the table of attempts.
func (o *Owner) dequeue(a *attempt) {
	heap.Remove(&a.share.queue, a.queueIndex)
	heap.Remove(&o.expiry, a.expiryIndex)
	delete(o.attempts, a.id)
}

// flush refuses all queued attempts of a share as not run.
func (o *Owner) flush(now time.Time, s *share, kind core.Kind, out *core.Actions) {
	for len(s.queue) > 0 {
		a := s.queue[0]
		o.dequeue(a)
		o.answerNotRun(now, a, kind, minRetryAfter, out)
	}
}

// expire refuses the queued attempts that can no longer meet their deadline.
func (o *Owner) expire(now time.Time, out *core.Actions) {
	for len(o.expiry) > 0 && !now.Before(o.expiry[0].startBy) {
		a := o.expiry[0]
		o.dequeue(a)
		o.markDirty(a.share)
		o.answerNotRun(now, a, core.DeadlineUnreachable, a.share.waitFor(now, 0), out)
	}
}

// handleCancel cancels an attempt on request of its origin. On a cold upstream
// a running attempt is left to complete: only its reply shows when the
// upstream has capacity again, and a single excess attempt can overload an
// upstream during its cold start.
func (o *Owner) handleCancel(now time.Time, a *attempt, out *core.Actions) {
	runs := a != nil && !a.started.IsZero()
	if runs && a.share.held && a.share.cold(now) {
		a.cancelled = true
		return
	}
	o.cancel(now, a, out)
}

// cancel drops a waiting attempt, or closes the connection of a running one.
// The slot of a running attempt is freed CancelSettle after its reply.
func (o *Owner) cancel(now time.Time, a *attempt, out *core.Actions) {
	if a == nil || a.cancelled {
		return
	}
	if a.started.IsZero() {
		o.dequeue(a)
		o.markDirty(a.share)
		o.answerNotRun(now, a, core.Cancelled, 0, out)
		return
	}
	a.cancelled = true
	out.Add(core.CancelDispatch{Upstream: a.share.up.ID, Attempt: a.id})
}

// peerLost cancels the work of a lost host. A running at-most-once attempt is
// left to complete, since its effect matters even if nobody receives the
// reply.
func (o *Owner) peerLost(now time.Time, host core.HostID, out *core.Actions) {
	delete(o.senders, host)
	for _, s := range o.ordered {
		for _, a := range s.running {
			if a.id.Host == host && !a.query.Once {
				o.cancel(now, a, out)
			}
		}
		for _, a := range waitingFrom(s, host) {
			o.cancel(now, a, out)
		}
	}
}

func waitingFrom(s *share, host core.HostID) []*attempt {
	var found []*attempt
	for _, a := range s.queue {
		if a.id.Host == host {
			found = append(found, a)
		}
	}
	return found
}

func (o *Owner) answerNotRun(now time.Time, a *attempt, kind core.Kind, retryAfter time.Duration, out *core.Actions) {
	if core.AnswerTo(kind).HasRetryAfter {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	o.answer(now, a, &peerpb.SubReply{
		Kind:         int32(kind),
		Ran:          int32(core.NotRun),
		RetryAfterUs: retryAfter.Microseconds(),
	}, out)
}

// answer fills in the timings and the load of a reply and sends it to the
// attempt's origin.
func (o *Owner) answer(now time.Time, a *attempt, r *peerpb.SubReply, out *core.Actions) {
	o.stats.Answered++
	r.Attempt = a.id.Sequence
	r.Upstream = a.query.Upstream
	queueEnd := now
	if !a.started.IsZero() {
		queueEnd = a.started
		r.ServiceUs = now.Sub(a.started).Microseconds()
	}
	r.QueueUs = queueEnd.Sub(a.arrived).Microseconds()
	if a.share != nil {
		r.Load = a.share.load(now)
	}
	out.Send(a.id.Host, &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: r}})
}
