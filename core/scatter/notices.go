package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// maxNotices bounds the upstreams of which a notice is remembered.
	maxNotices = 8192
	// maxRetryAfter bounds how long an upstream may ask a host to back off.
	maxRetryAfter = 5 * time.Minute
)

// Notice is what an upstream says of itself beside an answer.
type Notice struct {
	// Leaving says that the upstream is about to stop.
	Leaving bool
	// RetryAfter is for how long the upstream asks the host that it turned away
	// to back off; 0 asks nothing.
	RetryAfter time.Duration
}

// Notices remembers the notices of upstreams. It holds them by start of the
// upstream, since a new start under the same ID neither leaves nor is full.
// Entries of the registry do not clear them: they can be older.
//
// It is not safe for concurrent use.
type Notices struct {
	byStart map[noticeKey]recordedNotice
}

// noticeKey names one start of an upstream.
type noticeKey struct {
	id      core.UpstreamID
	address string
	started int64
}

type recordedNotice struct {
	at      time.Time
	leaving bool
	// until is when the upstream takes requests of this host again.
	until time.Time
}

// NewNotices returns an empty memory.
func NewNotices() *Notices { return &Notices{byStart: map[noticeKey]recordedNotice{}} }

func noticeKeyOf(u Upstream) noticeKey { return noticeKey{u.ID, u.Address, u.Started} }

// Record remembers a notice; news is false when it says nothing that was not
// known.
func (n *Notices) Record(now time.Time, from Upstream, notice Notice) (news bool) {
	if !notice.Leaving && notice.RetryAfter <= 0 {
		return false
	}
	key := noticeKeyOf(from)
	known, found := n.byStart[key]
	if !found && len(n.byStart) >= maxNotices {
		n.evictOldest()
	}
	until := known.until
	if notice.RetryAfter > 0 {
		if end := now.Add(min(notice.RetryAfter, maxRetryAfter)); end.After(until) {
			until = end
		}
	}
	news = notice.Leaving && !known.leaving || until.After(known.until)
	n.byStart[key] = recordedNotice{at: now, leaving: known.leaving || notice.Leaving, until: until}
	return news
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

// Lookup returns what is known of an upstream: whether it leaves, and how much longer
// to back off.
func (n *Notices) Lookup(now time.Time, u Upstream) Notice {
	known := n.byStart[noticeKeyOf(u)]
	return Notice{Leaving: known.leaving, RetryAfter: max(0, known.until.Sub(now))}
}

// Forbids says that an upstream is to get no request at present.
func (n Notice) Forbids() bool { return n.Leaving || n.RetryAfter > 0 }

// recordNotice updates what is believed of an upstream.
func (e *Engine) recordNotice(now time.Time, u *upstream, notice Notice) {
	if !e.directory.notices.Record(now, u.Upstream, notice) {
		return
	}
	known := e.directory.notices.Lookup(now, u.Upstream)
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
	e.timers.Add(end, func(now time.Time) { e.serveWaiting(now, u.Service) })
}

// availableAt returns when the first upstream that may run a part and can be reached
// takes requests, as far as they said; false when there is none.
func (e *Engine) availableAt(now time.Time, p *part) (at time.Time, found bool) {
	reaches := e.reaches(now, p.call)
	for _, u := range e.directory.byService[p.service] {
		if e.directory.acceptsWork(u) && p.call.route.allowsRegion(e.options.Regions[u.Domain]) && reaches(u.Domain) && (!found || u.withheldUntil.Before(at)) {
			at, found = u.withheldUntil, true
		}
	}
	return at, found
}
