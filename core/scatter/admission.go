package scatter

import "time"

// admission bounds the gathers that this host has under way at once, by what
// their parts show of the upstreams' queues. What is beyond the bound is
// refused at once, so that what is admitted meets its target.
//
// It answers waves of requests above what the upstreams can do: without it all
// parts wait in the upstreams' queues and all answers come late. The median
// part tells a wave from stragglers, which make only the last parts late.
type admission struct {
	limit float64
	cutAt time.Time
}

const (
	// mostGathers and leastGathers bound the limit.
	mostGathers  = 256
	leastGathers = 2
	// congestedShare of the target until half of the parts were in says that
	// upstreams' queues are long.
	congestedShare = 0.8
	// limitDecrease is what a congested gather leaves of the limit, at most
	// once in the time that its target allows; limitIncrease is what any other
	// adds.
	limitDecrease = 0.8
	limitIncrease = 0.5
	// lessUrgentShare of the limit is open to routes that are not the most
	// urgent ones.
	lessUrgentShare = 0.9
)

func newAdmission() admission { return admission{limit: mostGathers} }

// admits says whether one more gather may start.
func (a *admission) admits(running int, urgent bool) bool {
	limit := a.limit
	if !urgent {
		limit = max(leastGathers, limit*lessUrgentShare)
	}
	return float64(running) < limit
}

// conclude learns from a gather, from the time until half of its parts were in
// and the gathers that run beside it.
func (a *admission) conclude(now time.Time, half, target time.Duration, running int) {
	if float64(half) <= congestedShare*float64(target) {
		a.limit = min(mostGathers, a.limit+limitIncrease)
		return
	}
	if now.Sub(a.cutAt) < target {
		return
	}
	a.cutAt = now
	a.limit = max(leastGathers, limitDecrease*min(a.limit, float64(running+1)))
}
