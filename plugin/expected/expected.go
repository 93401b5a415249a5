// Package expected provides an admission policy that refuses a query immediately
// if its expected time exceeds its remaining time.
package expected

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Expected is a core.Admission.
type Expected struct {
	// Factor multiplies the expected time before the comparison; a factor above
	// 1 refuses earlier.
	Factor float64
	// MaxRunning bounds the queries that the host coordinates concurrently; 0
	// means no bound.
	MaxRunning int
	// MinRetryAfter is the shortest wait advised to a refused caller.
	MinRetryAfter time.Duration
}

// Admit returns OK, or Overloaded or DeadlineUnreachable with the advised wait.
// For DeadlineUnreachable that is the excess of the expected time over the
// remaining time.
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
