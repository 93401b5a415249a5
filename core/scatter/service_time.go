package scatter

import "time"

// serviceTime is a moving estimate of the latency of an upstream at low load, as a
// multiple of the route's lowest latency.
//
// It must hold while the upstream is loaded: answers that take longer than the estimate
// have met a queue more often than not, so they weigh less than shorter ones, and the
// estimate rises at a bounded speed.
type serviceTime struct {
	value   float64
	samples int
	at      time.Time
}

const (
	// serviceRise and serviceFall are the weights of an observation above and below
	// the estimate; the first observations weigh as one of priorSamples and more.
	serviceRise  = 0.02
	serviceFall  = 0.06
	priorSamples = 8
	// maxServiceRise bounds the relative rise per second, so that a long overload
	// does not pass for a slow upstream.
	maxServiceRise = 0.03
)

// observe updates the estimate by a latency that is a multiple of it.
func (s *serviceTime) observe(now time.Time, ratio float64) {
	gain := serviceRise
	if ratio < 1 {
		gain = serviceFall
	}
	step := max(gain, 1/float64(s.samples+priorSamples)) * (ratio - 1)
	if s.samples >= confidentSamples {
		step = min(step, maxServiceRise*min(1, now.Sub(s.at).Seconds()))
	}
	s.value *= 1 + step
	s.samples++
	s.at = now
}

// lowestLatency estimates the latency of a route at low load. It is the unit in which
// the upstreams of the route's services are compared, so it must not depend on the
// load as the usual latency does.
type lowestLatency struct {
	estimate time.Duration
	at       time.Time
}

const (
	// lowestFall is the weight of an observation below the estimate, lowestRise the
	// relative rise per second while all are above.
	lowestFall = 0.1
	lowestRise = 0.02
)

func (l *lowestLatency) observe(now time.Time, latency time.Duration) {
	switch {
	case l.estimate == 0:
		l.estimate = latency
	case latency < l.estimate:
		l.estimate -= time.Duration(lowestFall * float64(l.estimate-latency))
	default:
		rise := lowestRise * min(1, now.Sub(l.at).Seconds()) * float64(l.estimate)
		l.estimate += min(time.Duration(rise), latency-l.estimate)
	}
	l.estimate = max(l.estimate, minLatencyEstimate)
	l.at = now
}
