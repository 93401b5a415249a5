package scatter

import (
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// latencyKey is a route by name, which outlives versions, and a service's kind
// of work; all shards of a gather share one estimate.
type latencyKey struct {
	route   string
	service core.ServiceID
}

// latencyEstimate estimates the median latency of a route's attempts.
type latencyEstimate struct{ estimate time.Duration }

const (
	// latencyStep is how far one observation moves the estimate of a median.
	latencyStep = 0.02
	// minLatencyEstimate bounds the estimate from below.
	minLatencyEstimate = 500 * time.Microsecond
	// initialTargetShare is the first estimate, as a share of the route's target.
	initialTargetShare = 0.15
)

func (u *latencyEstimate) observe(latency time.Duration) {
	step := time.Duration(latencyStep * float64(u.estimate))
	if latency > u.estimate {
		u.estimate += step
	} else {
		u.estimate -= step
	}
	u.estimate = max(u.estimate, minLatencyEstimate)
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
