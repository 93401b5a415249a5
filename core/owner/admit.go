package owner

import (
	"container/heap"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

const (
	// comeBackLater is the wait advised where no estimate exists.
	comeBackLater = time.Second
	// comeBackSoon is the shortest wait advised.
	comeBackSoon = 10 * time.Millisecond
	// longestRemaining bounds the time left that a message may claim.
	longestRemaining = time.Hour
)

// subQuery queues an attempt or refuses it at once.
func (o *Owner) subQuery(now time.Time, id core.AttemptID, q *peerpb.SubQuery, out *core.Actions) {
	if o.attempts[id] != nil {
		o.stats.Stray++
		return
	}
	o.stats.Received++
	o.senders[id.Host] = now
	a := &attempt{id: id, query: q, arrived: now}
	copy(a.print[:], q.Fingerprint)
	a.deadline = now.Add(remaining(q))
	kind, comeBack := o.admit(now, a, out)
	if kind != core.OK {
		o.stats.Refused++
		o.answerNotRun(now, a, kind, comeBack, out)
		return
	}
	o.enqueue(a)
	o.touch(a.share)
}

func remaining(q *peerpb.SubQuery) time.Duration {
	us := min(max(q.RemainingUs, 0), longestRemaining.Microseconds())
	return time.Duration(us) * time.Microsecond
}

// admit returns OK, or the kind of the refusal and when to come back.
func (o *Owner) admit(now time.Time, a *attempt, out *core.Actions) (core.Kind, time.Duration) {
	s := o.shareFor(now, core.UpstreamID(a.query.Upstream))
	if s == nil {
		return core.NoOwner, comeBackSoon
	}
	a.share = s
	if kind := o.look(now, s, out); kind != core.OK {
		return kind, comeBackLater
	}
	if kind := o.suspicion(now, a); kind != core.OK {
		return kind, o.suspects.comeBack(now, a.print)
	}
	if kind := o.rights(now, a); kind != core.OK {
		return kind, comeBackLater
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

// evict refuses the last of a full queue in favour of an attempt that comes
// before it; false when none does.
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

// shareFor returns the share of an upstream that this host holds or still
// has work of, nil for any other.
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

// dequeue takes a waiting attempt out of all queues.
func (o *Owner) dequeue(a *attempt) {
	heap.Remove(&a.share.queue, a.queueIndex)
	heap.Remove(&o.expiry, a.expiryIndex)
	delete(o.attempts, a.id)
}

// flush answers the whole queue of a share, which was not run.
func (o *Owner) flush(now time.Time, s *share, kind core.Kind, out *core.Actions) {
	for len(s.queue) > 0 {
		a := s.queue[0]
		o.dequeue(a)
		o.answerNotRun(now, a, kind, comeBackSoon, out)
	}
}

// expire answers the attempts that can no longer meet their deadline.
func (o *Owner) expire(now time.Time, out *core.Actions) {
	for len(o.expiry) > 0 && !now.Before(o.expiry[0].startBy) {
		a := o.expiry[0]
		o.dequeue(a)
		o.touch(a.share)
		o.answerNotRun(now, a, core.DeadlineUnreachable, a.share.waitFor(now, 0), out)
	}
}

// cancelled gives up an attempt at its home's wish. On a cold upstream one that
// runs is left to end: only its reply says when the upstream has room again,
// and there one attempt too many makes it fall over.
func (o *Owner) cancelled(now time.Time, a *attempt, out *core.Actions) {
	runs := a != nil && !a.started.IsZero()
	if runs && a.share.held && a.share.cold(now) {
		a.cancelled = true
		return
	}
	o.cancel(now, a, out)
}

// cancel drops a waiting attempt, or closes the connection of a running one:
// its slot is free only some time after the upstream's reply comes.
func (o *Owner) cancel(now time.Time, a *attempt, out *core.Actions) {
	if a == nil || a.cancelled {
		return
	}
	if a.started.IsZero() {
		o.dequeue(a)
		o.touch(a.share)
		o.answerNotRun(now, a, core.Cancelled, 0, out)
		return
	}
	a.cancelled = true
	out.Add(core.CancelDispatch{Upstream: a.share.up.ID, Attempt: a.id})
}

// peerLost gives up the work of a host that is gone. Work that runs at most
// once is left to end, since its outcome counts without anyone waiting.
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

func (o *Owner) answerNotRun(now time.Time, a *attempt, kind core.Kind, comeBack time.Duration, out *core.Actions) {
	if core.AnswerTo(kind).HasRetryAfter {
		comeBack = max(comeBack, comeBackSoon)
	}
	o.answer(now, a, &peerpb.SubReply{
		Kind:         int32(kind),
		Ran:          int32(core.NotRun),
		RetryAfterUs: comeBack.Microseconds(),
	}, out)
}

// answer completes a reply and sends it to the attempt's origin.
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
