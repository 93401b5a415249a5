package scatter

import (
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// latencyKey identifies a latency estimate. It has the name of the route, so that
// estimates survive new configuration versions. The service is empty for a
// gather, whose shards share one estimate.
type latencyKey struct {
	route   string
	service core.ServiceID
}

// latencyEstimate is a running estimate of the median latency of a route's
// attempts.
type latencyEstimate struct {
	estimate time.Duration
	// lowest is measured only if the capacity of upstreams is learned.
	lowest lowestLatency
}

const (
	// latencyStep is the relative change of the estimate by one observation.
	latencyStep = 0.02
	// minLatencyEstimate is the lower bound of the estimate.
	minLatencyEstimate = 500 * time.Microsecond
	// initialTargetShare is the initial estimate, as a share of the route's
	// target.
	initialTargetShare = 0.15
)

func (l *latencyEstimate) observe(latency time.Duration) {
	step := time.Duration(latencyStep * float64(l.estimate))
	if latency > l.estimate {
		l.estimate += step
	} else {
		l.estimate -= step
	}
	l.estimate = max(l.estimate, minLatencyEstimate)
}

func (e *Engine) usualLatency(route *Route, service core.ServiceID) *latencyEstimate {
	key := latencyKey{route: route.Name}
	if !route.IsGather() {
		key.service = service
	}
	u := e.latencies[key]
	if u == nil {
		u = &latencyEstimate{estimate: max(minLatencyEstimate, time.Duration(initialTargetShare*float64(route.Target)))}
		e.latencies[key] = u
	}
	return u
}

func joinNames[T ~string](names []T) string {
	plain := make([]string, len(names))
	for i, name := range names {
		plain[i] = string(name)
	}
	return strings.Join(plain, ",")
}
