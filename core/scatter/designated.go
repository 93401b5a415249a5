package scatter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// onlyUpstream returns the one upstream that may run a part of a request that
// came from another host; nil is any.
//
// That host may ask a second one to run the request should this one fall
// silent, and neither knows what upstreams the other asked. So that they keep to
// the route's number of upstreams together, the second one asks none but the
// part's designated upstream, which is among those of the first one by the time
// that it has asked as many as it may.
func (e *Engine) onlyUpstream(now time.Time, p *part) *upstream {
	c := p.call
	if !c.request.FromHost || !c.route.Repeatable || c.route.MaxUpstreams < 2 {
		return nil
	}
	if len(e.directory.byService[p.service]) <= c.route.MaxUpstreams {
		return nil // there are no more that could have been asked
	}
	if !c.request.Repeat && p.ran() < c.route.MaxUpstreams-1 {
		return nil
	}
	designated := e.designated(p)
	if designated == nil || c.request.Repeat {
		return designated
	}
	// One that cannot be reached runs nothing for the second host either.
	unreached := now.Before(designated.backoffUntil) && designated.consecutiveLosses < maxConsecutiveLosses
	if unreached || slices.Contains(p.ranAt(), designated) {
		return nil
	}
	return designated
}

// designated returns the same upstream of a part's service on each host that
// knows the same ones.
func (e *Engine) designated(p *part) (chosen *upstream) {
	var best uint64
	for _, u := range e.directory.byService[p.service] {
		if !e.directory.acceptsWork(u) || !p.call.route.allowsRegion(e.options.Regions[u.Domain]) {
			continue
		}
		if order := xxhash.Sum64String(p.call.request.RequestID + "\x00" + string(u.ID)); chosen == nil || order < best {
			chosen, best = u, order
		}
	}
	return chosen
}
