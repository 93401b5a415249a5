package scatter

import (
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// usualKey is a route by name, which outlives versions, and a service's kind
// of work; all shards of a gather share one estimate.
type usualKey struct {
	route   string
	service core.ServiceID
}

// usualTime estimates the median latency of a route's attempts.
type usualTime struct{ estimate time.Duration }

const (
	// usualStep is how far one observation moves the estimate of a median.
	usualStep = 0.02
	// minUsual bounds the estimate from below.
	minUsual = 500 * time.Microsecond
	// usualOfTarget is the first estimate, as a share of the route's target.
	usualOfTarget = 0.15
)

func (u *usualTime) observe(latency time.Duration) {
	step := time.Duration(usualStep * float64(u.estimate))
	if latency > u.estimate {
		u.estimate += step
	} else {
		u.estimate -= step
	}
	u.estimate = max(u.estimate, minUsual)
}

func (e *Engine) usualOf(route *Route, service core.ServiceID) *usualTime {
	key := usualKey{route: route.Name}
	if !route.IsGather() {
		key.service = service
	}
	u := e.usual[key]
	if u == nil {
		u = &usualTime{estimate: max(minUsual, time.Duration(usualOfTarget*float64(route.Target)))}
		e.usual[key] = u
	}
	return u
}

func joined[T ~string](names []T) string {
	plain := make([]string, len(names))
	for i, name := range names {
		plain[i] = string(name)
	}
	return strings.Join(plain, ",")
}
