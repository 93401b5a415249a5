package scatter

import (
	"fmt"
	"math"
	"time"
)

const (
	// beliefChangeLogged is the relative change of a belief that is logged.
	beliefChangeLogged = 0.25
	// beliefLogInterval is the minimum time between two entries for one upstream,
	// and beliefLogsPerSecond bounds those for all: a host sends to up to 675
	// upstreams.
	beliefLogInterval   = 2 * time.Second
	beliefLogsPerSecond = 5
)

// CapacityStats counts decisions by the learned capacity of upstreams.
type CapacityStats struct {
	// Changes counts the beliefs that changed by more than a quarter, Bounded how
	// often a window was the only reason not to pick an upstream, Trials the requests
	// sent to an upstream that was slow, and HedgesWithheld the hedges that were not
	// sent to a congested one.
	Changes, Bounded, Trials, HedgesWithheld uint64
}

// beliefLog bounds the log entries on changes of beliefs.
type beliefLog struct {
	since   time.Time
	entries int
}

func (l *beliefLog) allows(now time.Time) bool {
	if now.Sub(l.since) >= time.Second {
		l.since, l.entries = now, 0
	}
	l.entries++
	return l.entries <= beliefLogsPerSecond
}

// differs reports whether a belief differs from an earlier one by more than a quarter.
func (b capacityBelief) differs(earlier capacityBelief) bool {
	far := func(a, b float64) bool { return math.Abs(a-b) > beliefChangeLogged*b }
	return far(b.service*b.slowdown, earlier.service*earlier.slowdown) || far(b.window, earlier.window)
}

// learnCapacity updates the learned capacity of an upstream after a success.
func (e *Engine) learnCapacity(now time.Time, a *attempt, r AttemptEnded, latency time.Duration, usual *latencyEstimate) {
	u := a.to
	if u.capacity == nil || latency <= 0 {
		return
	}
	service := a.part.call.config.Services[a.part.service]
	s := capacitySample{
		sentAt: a.sentAt, latency: latency,
		relayed: a.via != nil, partial: a.via != nil && r.Took == 0,
		cold:  service.ColdRate > 0 && a.sentAt.Before(u.coldUntil),
		limit: e.sharesOf(service).maxInFlight(u, e.fleet.domain),
	}
	if !s.cold && !s.partial {
		usual.lowest.observe(now, latency)
	}
	if s.unit = usual.lowest.estimate; s.unit <= 0 {
		return
	}
	u.capacity.observe(now, s)
	e.reportCapacity(now, u)
}

// reportCapacity logs a change of belief.
func (e *Engine) reportCapacity(now time.Time, u *upstream) {
	c := u.capacity
	b := c.belief(now)
	switch {
	case b.confidence < 0.5:
		return
	case c.reported.at.IsZero():
		c.reported = b
		return
	case now.Sub(c.reported.at) < beliefLogInterval || !b.differs(c.reported):
		return
	}
	before := c.reported
	c.reported = b
	e.directory.capacityStats.Changes++
	if !e.directory.beliefLog.allows(now) {
		return
	}
	e.note(Note{
		Decision: DecisionUpstreamCapacity, Upstream: u.ID, Service: u.Service, Version: e.Version(), Age: now.Sub(before.at),
		Detail: fmt.Sprintf("latency %.2f of the route's lowest, was %.2f; window %.1f, was %.1f; confidence %.2f",
			b.service*b.slowdown, before.service*before.slowdown, b.window, before.window, b.confidence),
	})
}

// hedgeAfter returns how long an attempt may run before its part is hedged. The request
// that finds out whether an upstream is still slow is hedged after the usual latency, so
// that trials do not determine the p99.
func (a *attempt) hedgeAfter(usual time.Duration) time.Duration {
	if a.trial {
		return usual
	}
	return hedgeFactor * usual
}

// recordSend accounts for a send to an upstream in all that bounds sends to it, and
// counts for the other upstreams of its service that it went past them.
func (d *directory) recordSend(now time.Time, u *upstream, s Service) {
	d.recordColdSend(now, u, s)
	u.limit.recordSend(now)
	if u.capacity == nil {
		return
	}
	for _, other := range d.byService[u.Service] {
		if other.capacity != nil {
			other.capacity.passedOver++
		}
	}
	u.capacity.recordSend(now)
}

// capacityAllows reports whether the learned window lets this host send one more request.
func (d *directory) capacityAllows(u *upstream) bool {
	if u.capacity.allows(len(u.running)) {
		return true
	}
	d.capacityStats.Bounded++
	return false
}

// withholdsHedge reports whether a hedge to an upstream would make a congestion worse.
func (d *directory) withholdsHedge(now time.Time, u *upstream) bool {
	if !u.capacity.congested(now) {
		return false
	}
	d.capacityStats.HedgesWithheld++
	return true
}
