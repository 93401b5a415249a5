// Package expected is the admission that refuses a query at once when its
// expected time is longer than the time it has left.
package expected

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Expected is a core.Admission.
type Expected struct {
	// Factor multiplies the expected time before it is compared: above 1
	// refuses earlier.
	Factor float64
	// Most is how many queries the host coordinates at once; 0 is no bound.
	MaxRunning int
	// LeastWait is the shortest time after which a refused caller is asked to
	// come back.
	MinRetryAfter time.Duration
}

// Admit returns OK, DeadlineUnreachable with the time by which the expected
// time is too long, or Overloaded.
func (e *Expected) Admit(in core.AdmissionInput) (core.Kind, time.Duration) {
	if e.MaxRunning > 0 && in.Running >= e.MaxRunning {
		return core.Overloaded, max(e.MinRetryAfter, in.Expected)
	}
	expected := time.Duration(float64(in.Expected) * e.Factor)
	if expected <= in.Remaining {
		return core.OK, 0
	}
	return core.DeadlineUnreachable, max(e.MinRetryAfter, expected-in.Remaining)
}
