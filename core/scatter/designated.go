package scatter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// onlyUpstream returns the one upstream that may run a part of a request that was
// handed over by another host, or nil if any upstream may.
//
// If this host becomes silent, the other host may repeat the request at a second
// host, and neither of the two can see which upstreams the other one has used. To
// keep both together within the route's MaxUpstreams, the second host uses only
// the part's designated upstream. The first host reserves its last send for that
// upstream, if it has not been used before.
func (e *Engine) onlyUpstream(now time.Time, p *part) *upstream {
	c := p.call
	if !c.request.FromHost || !c.route.Repeatable || c.route.MaxUpstreams < 2 {
		return nil
	}
	if len(e.directory.byService[p.service]) <= c.route.MaxUpstreams {
		return nil // all upstreams together are within the limit
	}
	if !c.request.Repeat && p.possibleRuns() < c.route.MaxUpstreams-1 {
		return nil
	}
	designated := e.designated(p)
	if designated == nil || c.request.Repeat {
		return designated
	}
	// An unreachable upstream does not run the part for the second host either.
	unreached := now.Before(designated.backoffUntil) && designated.consecutiveLosses < maxConsecutiveLosses || e.directory.superseded(now, designated)
	if unreached || slices.Contains(p.possiblyRanAt(), designated) {
		return nil
	}
	return designated
}

// designated returns the designated upstream of a part. All hosts with the same
// list of upstreams return the same one.
func (e *Engine) designated(p *part) (chosen *upstream) {
	var best uint64
	for _, u := range e.directory.byService[p.service] {
		if !e.directory.acceptsWork(u) || e.limitedVersion(u) || !p.call.allowsRegion(e.options.Regions[u.Domain]) {
			continue
		}
		if hash := xxhash.Sum64String(p.call.request.RequestID + "\x00" + string(u.ID)); chosen == nil || hash < best {
			chosen, best = u, hash
		}
	}
	return chosen
}
