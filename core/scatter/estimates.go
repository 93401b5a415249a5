package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// initialWindow is the congestion window of an upstream that has not answered
	// yet; windowDecrease is the factor by which a shed request reduces a window.
	initialWindow  = 1
	windowDecrease = 0.7
	// slownessGain is the weight of one observation in the moving averages.
	slownessGain = 0.25
	// slownessHalfLife is the half-life of an estimate without observations. The
	// decay lets an upstream that was slow be tried again.
	slownessHalfLife = 1500 * time.Millisecond
	// maxSlowness bounds the effect of one observation.
	maxSlowness = 20.0
	// stallFactor is how many times a route's usual latency, and minStall the
	// minimum time, a request may be unanswered before its upstream counts as
	// stalled.
	stallFactor = 3
	minStall    = 30 * time.Millisecond
	// stalledCost is added to the cost of a stalled upstream, in multiples of the
	// usual latency.
	stalledCost = 4.0
	// failureCost is the cost of a share of failed answers of 1, in multiples of
	// the usual latency.
	failureCost = 8.0
	// remoteCost is the factor on the cost of an upstream in another failure
	// domain.
	remoteCost = 1.8
)

// shrink reduces the window after the upstream shed a request.
//
// When a service has too few upstreams left, requests then wait in the queue of
// this host, by priority, instead of being shed by the upstream and sent again.
func (u *upstream) shrink() {
	u.window = max(1, windowDecrease*min(u.window, float64(len(u.running)+1)))
}

// grow increases the window after an answer, by about one for each window of
// answers.
func (u *upstream) grow(limit int) {
	u.window = min(max(u.window+1/u.window, 1), max(1, float64(limit)))
}

// cost returns the expected latency of a new request in multiples of the usual
// latency, with penalties for failures, stalls and other failure domains.
func (d *directory) cost(now time.Time, u *upstream) float64 {
	slots := float64(max(1, u.Slots))
	cost := u.slownessAt(now) * (1 + float64(len(u.running))/slots)
	if u.capacity != nil {
		cost = u.capacity.cost(now, len(u.running), u.Slots)
	}
	cost += failureCost * u.failureShare * u.decay(now)
	if u.stalled(now) {
		cost += stalledCost
	}
	if u.Domain != d.domain {
		cost *= remoteCost
	}
	return cost + u.tieBreak
}

// stalled reports whether a running request is overdue. What counts as overdue
// depends on the usual latency of the request's own route, so that a long request
// of a slow route does not mark an upstream as stalled.
func (u *upstream) stalled(now time.Time) bool {
	return slices.ContainsFunc(u.running, func(a *attempt) bool { return now.After(a.overdueAt) })
}

func (u *upstream) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(u.observedAt)) / float64(slownessHalfLife))
}

func (u *upstream) slownessAt(now time.Time) float64 {
	return 1 + (u.slowness-1)*u.decay(now)
}

// observe updates the estimates after an answer, whose latency is given as a
// multiple of the usual one.
func (u *upstream) observe(now time.Time, ratio float64, failed bool) {
	current, failing := u.slownessAt(now), u.failureShare*u.decay(now)
	u.slowness = current + slownessGain*(min(ratio, maxSlowness)-current)
	u.failureShare = failing * (1 - slownessGain)
	if failed {
		u.failureShare += slownessGain
	}
	u.observedAt = now
}
