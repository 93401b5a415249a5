package scatter

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// An upstream's rate limit applies to all hosts together. It is divided among the
// gatherers in fixed shares that depend only on the registered hosts, so that the
// limit holds while hosts cannot reach each other or the store. A host that is not
// registered has no share, since the others do not know of it.
//
// Hosts with nearly no share would not notice the end of a limit for long, so a host
// that finds out tells the other gatherers.

const (
	// limitUtilization is the fraction of a limit that is divided into shares. The
	// rest is for hosts that are not members.
	limitUtilization = 0.9
	// minLimitMembers plus one for each request per second of the limit is how
	// many gatherers share a limit. Each can be one request ahead of its share.
	minLimitMembers = 2
	// limitProbeRate is how many requests per second the other gatherers together
	// send, and all remaining hosts together, to find out whether the limit still
	// applies.
	limitProbeRate = 0.125
	// limitBurst is how far ahead of its share a member may be, besides one
	// request.
	limitBurst = 250 * time.Millisecond
)

// limitShare returns how many requests per second a host may send to an upstream
// that states a limit. Rank is the place of the host among all, gatherers first,
// in an order specific to the upstream; it is the number of hosts for one that is
// not registered.
func limitShare(limit float64, rank, gatherers, hosts int) float64 {
	switch members := limitMembers(limit, gatherers); {
	case rank < members:
		return max(limitUtilization*limit, limitProbeRate) / float64(members)
	case rank < gatherers:
		return limitProbeRate / float64(gatherers-members)
	default:
		return limitProbeRate / float64(max(1, hosts-gatherers))
	}
}

func limitMembers(limit float64, gatherers int) int {
	return int(min(float64(gatherers), limit+minLimitMembers))
}

// limitChangeLogged is the relative change of a stated limit from which it is
// logged again.
const limitChangeLogged = 0.1

// limitState is this host's state of the rate limit that an upstream states.
type limitState struct {
	RateLimit
	// since is when the upstream first stated it, logged the limit that was last
	// logged.
	since  time.Time
	logged float64
	// sends counts this host's sends since then; relayed and extra are those of
	// them that went through a relay and the hedges and retries.
	sends, relayed, extra int
	// interval is the time between two sends at this host's share, and nextAt
	// when the next one is due. A send may precede it by limitBurst.
	interval time.Duration
	nextAt   time.Time
	// answeredAt is when the upstream last answered, with or without a limit.
	answeredAt time.Time
}

// knownAt returns as of when this host knows whether the upstream states a limit.
// A limit that is known is kept whatever its age.
func (l *limitState) knownAt(now time.Time) time.Time {
	if l.Stated {
		return now
	}
	return l.answeredAt
}

// maxLimitInterval bounds the interval of hosts with nearly no share.
const maxLimitInterval = time.Hour

// allowedAt returns when this host may send the next request; the zero time if no
// limit is stated.
func (l *limitState) allowedAt() time.Time {
	if !l.Stated {
		return time.Time{}
	}
	return l.nextAt.Add(-limitBurst)
}

// recordSend accounts for a send.
func (l *limitState) recordSend(now time.Time) {
	if !l.Stated {
		return
	}
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	l.nextAt = l.nextAt.Add(l.interval)
}

// updateLimit sets this host's share of an upstream's limit after the limit or the
// hosts have changed. The first send under a limit is not due at once: requests
// sent before the limit was known may still be on their way.
func (d *directory) updateLimit(now time.Time, u *upstream, first bool) {
	l := &u.limit
	if !l.Stated {
		return
	}
	rank, gatherers, hosts := d.limitRank(u), len(d.hosts), max(1, d.hostCount)
	seconds := 1 / limitShare(l.PerSecond, rank, gatherers, hosts)
	l.interval = time.Duration(min(seconds, maxLimitInterval.Seconds()) * float64(time.Second))
	latest := now.Add(l.interval + limitBurst)
	if members := limitMembers(l.PerSecond, gatherers); first && rank >= members {
		// The other hosts' first requests are spread over their interval.
		position := float64(rank-members+1) / float64(max(1, gatherers-members))
		if rank >= gatherers {
			position = float64(rank-gatherers+1) / float64(max(1, hosts-gatherers))
		}
		l.nextAt = now.Add(limitBurst + time.Duration(min(1, position)*float64(l.interval)))
	} else if first || l.nextAt.After(latest) {
		l.nextAt = latest
	}
}

// limitRank returns the rank of this host for an upstream's limit, see limitShare.
func (d *directory) limitRank(u *upstream) int {
	if slices.Contains(d.hosts, d.self) {
		return d.rank(u)
	}
	return d.place
}

// limitAllowsAt returns when an upstream's limit lets this host send a part after
// those that are queued before it; the zero time if no limit is stated.
func (e *Engine) limitAllowsAt(now time.Time, u *upstream, p *part) time.Time {
	if !u.limit.Stated {
		return time.Time{}
	}
	turns := e.queue(p.service).ahead(now, p.call) / len(e.directory.byService[p.service])
	return u.limit.allowedAt().Add(time.Duration(turns) * u.limit.interval)
}

// limitWait returns how long a part of a call has to wait at least because all
// upstreams that may run it state limits.
func (e *Engine) limitWait(now time.Time, p *part) time.Duration {
	var first time.Time
	for u := range e.eligible(now, p) {
		if !u.limit.Stated {
			return 0
		}
		if at := e.limitAllowsAt(now, u, p); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return max(0, first.Sub(now))
}

// wakeForLimit schedules the dispatch of a service's queued parts for when the
// first limit allows another send.
func (e *Engine) wakeForLimit(now time.Time, id core.ServiceID) {
	var first time.Time
	for _, u := range e.directory.byService[id] {
		if at := u.limit.allowedAt(); at.After(now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	q := e.queue(id)
	if first.IsZero() || q.wakesAt.After(now) && !first.Before(q.wakesAt) {
		return
	}
	q.wakesAt = first
	e.timers.Add(first, func(now time.Time) { e.dispatchQueued(now, id) })
}

// reportLimitEnd tells the other gatherers that a limit has ended.
func (e *Engine) reportLimitEnd(u *upstream, at time.Time) {
	end := LimitEnd{ID: u.ID, Address: u.Address, Started: u.Started, At: at, By: e.options.Self}
	for _, h := range e.fleet.ranked[:e.fleet.gatherers()] {
		if h.ID != e.options.Self {
			end.To = append(end.To, h)
		}
	}
	if len(end.To) > 0 {
		e.out.LimitEnds = append(e.out.LimitEnds, end)
	}
}

// handleLimitEnd applies a report of another host.
func (e *Engine) handleLimitEnd(now time.Time, end LimitEnd) {
	if !e.directory.notices.EndLimit(end.ID, end.Address, end.Started, end.At) {
		return
	}
	u := e.directory.byID[end.ID]
	if u == nil || u.Address != end.Address || u.Started != end.Started {
		return
	}
	if end.At.After(u.limit.answeredAt) {
		u.limit.answeredAt = end.At
	}
	e.setLimit(now, u, RateLimit{}, "reported by "+string(end.By))
	e.dispatchQueued(now, u.Service)
}

// setLimit applies the limit that an upstream states, and logs a change. How is added
// to the log entry of its end.
func (e *Engine) setLimit(now time.Time, u *upstream, limit RateLimit, how string) {
	before := u.limit
	switch {
	case !limit.Stated && !before.Stated:
		return
	case !limit.Stated:
		u.limit = limitState{answeredAt: before.answeredAt}
		e.note(Note{
			Decision: DecisionUpstreamUnlimited, Upstream: u.ID, Service: u.Service, Version: e.Version(), Age: now.Sub(before.since),
			Parts: before.sends, Extra: before.extra,
			Detail: strings.TrimSpace(fmt.Sprintf("%d sends, %d relayed, %d extra %s", before.sends, before.relayed, before.extra, how)),
		})
		return
	case !before.Stated:
		u.limit = limitState{since: now, answeredAt: before.answeredAt}
		e.stats.Limited++
	}
	changed := u.limit.RateLimit != limit
	u.limit.RateLimit = limit
	if changed {
		e.directory.updateLimit(now, u, !before.Stated)
	}
	if !before.Stated || math.Abs(limit.PerSecond-before.logged) > limitChangeLogged*before.logged {
		u.limit.logged = limit.PerSecond
		e.note(Note{
			Decision: DecisionUpstreamLimited, Upstream: u.ID, Service: u.Service, Version: e.Version(),
			Detail: fmt.Sprintf("%.3g requests/s from all hosts", limit.PerSecond),
		})
	}
}

// countLimitedSend counts an attempt that ended at an upstream that states a limit.
func (e *Engine) countLimitedSend(a *attempt) {
	u := a.to
	if !u.limit.Stated {
		return
	}
	u.limit.sends++
	e.stats.LimitedSends++
	if a.via != nil {
		u.limit.relayed++
		e.stats.LimitedRelayed++
	}
	if a.extra {
		u.limit.extra++
		e.stats.LimitedExtra++
	}
}
