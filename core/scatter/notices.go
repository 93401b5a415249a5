package scatter

import (
	"iter"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// maxNotices bounds the number of upstreams whose notices are kept.
	maxNotices = 8192
	// maxRetryAfter bounds the backoff that an upstream may request.
	maxRetryAfter = 5 * time.Minute
)

// Notice is what an upstream reports about itself along with an answer.
type Notice struct {
	// Leaving is true if the upstream is about to stop.
	Leaving bool
	// RetryAfter is the backoff that the upstream requests from the host whose
	// request it rejected; 0 for none.
	RetryAfter time.Duration
	// Limit is the rate limit that the upstream states.
	Limit RateLimit
}

// RateLimit is a limit on the requests that an upstream accepts from all hosts
// together. It applies until the upstream answers without one.
type RateLimit struct {
	Stated    bool
	PerSecond float64
}

// Notices keeps the notices of upstreams. The key includes the start of the
// upstream, since a notice does not apply to a later start under the same ID.
// Registry entries do not clear notices, because an entry may be older.
//
// It is not safe for concurrent use.
type Notices struct {
	byStart map[noticeKey]recordedNotice
}

// noticeKey identifies one start of an upstream.
type noticeKey struct {
	id      core.UpstreamID
	address string
	started int64
}

type recordedNotice struct {
	at      time.Time
	leaving bool
	// until is the end of the backoff that the upstream requested.
	until time.Time
	// limit is the rate limit in force, limitAt when it was last stated.
	limit   RateLimit
	limitAt time.Time
}

// NewNotices returns an empty Notices.
func NewNotices() *Notices { return &Notices{byStart: map[noticeKey]recordedNotice{}} }

func noticeKeyOf(u Upstream) noticeKey { return noticeKey{u.ID, u.Address, u.Started} }

// Record stores a notice; changed is false if it adds nothing to what is stored.
// SentAt is when the request was sent that the upstream answered with the notice,
// or zero if the notice does not come from an answer. A limit ends with an answer
// without one, unless the request was sent before the limit was last stated.
func (n *Notices) Record(now, sentAt time.Time, from Upstream, notice Notice) (changed bool) {
	key := noticeKeyOf(from)
	known, found := n.byStart[key]
	limitEnds := known.limit.Stated && !notice.Limit.Stated && sentAt.After(known.limitAt)
	if !notice.Leaving && notice.RetryAfter <= 0 && !notice.Limit.Stated && !limitEnds {
		return false
	}
	if !found && len(n.byStart) >= maxNotices {
		n.evictOldest()
	}
	until := known.until
	if notice.RetryAfter > 0 {
		if end := now.Add(min(notice.RetryAfter, maxRetryAfter)); end.After(until) {
			until = end
		}
	}
	limit, limitAt := known.limit, known.limitAt
	if notice.Limit.Stated {
		limit, limitAt = notice.Limit, now
	} else if limitEnds {
		limit = RateLimit{}
	}
	changed = notice.Leaving && !known.leaving || until.After(known.until) || limit != known.limit
	n.byStart[key] = recordedNotice{at: now, leaving: known.leaving || notice.Leaving, until: until, limit: limit, limitAt: limitAt}
	return changed
}

func (n *Notices) evictOldest() {
	var oldest noticeKey
	var at time.Time
	for key, known := range n.byStart {
		if at.IsZero() || known.at.Before(at) {
			oldest, at = key, known.at
		}
	}
	delete(n.byStart, oldest)
}

// Lookup returns the stored notice of an upstream, with the remaining backoff as
// RetryAfter.
func (n *Notices) Lookup(now time.Time, u Upstream) Notice {
	known := n.byStart[noticeKeyOf(u)]
	return Notice{Leaving: known.leaving, RetryAfter: max(0, known.until.Sub(now)), Limit: known.limit}
}

// LimitSince returns the limit that an upstream has stated after the given time.
func (n *Notices) LimitSince(u Upstream, since time.Time) RateLimit {
	known := n.byStart[noticeKeyOf(u)]
	if !known.limitAt.After(since) {
		return RateLimit{}
	}
	return known.limit
}

// EndLimit ends the limit of a start of an upstream, unless it was stated after the
// given time. It reports whether there was one.
func (n *Notices) EndLimit(id core.UpstreamID, address string, started int64, at time.Time) bool {
	key := noticeKey{id, address, started}
	known := n.byStart[key]
	if !known.limit.Stated || !at.After(known.limitAt) {
		return false
	}
	known.limit = RateLimit{}
	n.byStart[key] = known
	return true
}

// Forbids reports whether no request may be sent to the upstream at present.
func (n Notice) Forbids() bool { return n.Leaving || n.RetryAfter > 0 }

// recordNotice applies the notice that came with the end of an attempt to the
// state of its upstream.
func (e *Engine) recordNotice(now time.Time, a *attempt, r AttemptEnded) {
	u, sentAt := a.to, time.Time{}
	if r.Outcome == Succeeded || r.Outcome == Failed || r.Outcome == NotExecuted {
		sentAt = a.sentAt
		u.limit.answeredAt = now
	}
	if !e.directory.notices.Record(now, sentAt, u.Upstream, r.Notice) {
		return
	}
	known := e.directory.notices.Lookup(now, u.Upstream)
	if u.limit.Stated && !known.Limit.Stated {
		e.reportLimitEnd(u, sentAt)
	}
	e.setLimit(now, u, known.Limit, "")
	if known.Leaving && !u.leaving {
		u.leaving = true
		e.noteUpstream(u, DecisionUpstreamLeaving)
	}
	end := now.Add(known.RetryAfter)
	if !end.After(u.withheldUntil) {
		return
	}
	u.withheldUntil = end
	e.note(Note{Decision: DecisionUpstreamWithheld, Upstream: u.ID, Service: u.Service, Version: e.Version(), Age: known.RetryAfter, Detail: u.Address})
	e.timers.Add(end, func(now time.Time) { e.dispatchQueued(now, u.Service) })
}

// availableAt returns when the first upstream that may run a part and can be
// reached accepts requests, according to the notices; false if there is none.
func (e *Engine) availableAt(now time.Time, p *part) (at time.Time, found bool) {
	for u := range e.eligible(now, p) {
		free := u.withheldUntil
		if allowed := e.limitAllowsAt(now, u, p); allowed.After(free) {
			free = allowed
		}
		if !found || free.Before(at) {
			at, found = free, true
		}
	}
	return at, found
}

// eligible returns the upstreams that may run a part and can be reached, whether
// they accept requests now or later.
func (e *Engine) eligible(now time.Time, p *part) iter.Seq[*upstream] {
	reaches := e.reaches(now, p.call)
	return func(yield func(*upstream) bool) {
		for _, u := range e.directory.byService[p.service] {
			if e.directory.acceptsWork(u) && !e.directory.superseded(now, u) && p.call.allowsRegion(e.options.Regions[u.Domain]) && reaches(u.Domain) && !yield(u) {
				return
			}
		}
	}
}
