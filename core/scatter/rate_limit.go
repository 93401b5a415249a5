package scatter

import (
	"fmt"
	"math"
	"time"
)

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
}

// setLimit applies the limit that an upstream states, and logs a change.
func (e *Engine) setLimit(now time.Time, u *upstream, limit RateLimit) {
	before := u.limit
	switch {
	case !limit.Stated && !before.Stated:
		return
	case !limit.Stated:
		u.limit = limitState{}
		e.note(Note{
			Decision: DecisionUpstreamUnlimited, Upstream: u.ID, Service: u.Service, Version: e.Version(), Age: now.Sub(before.since),
			Parts: before.sends, Extra: before.extra, Detail: fmt.Sprintf("%d sends, %d relayed, %d extra", before.sends, before.relayed, before.extra),
		})
		return
	case !before.Stated:
		u.limit = limitState{since: now}
	}
	u.limit.RateLimit = limit
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
