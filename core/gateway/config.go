package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config holds the dependencies and limits of a Gateway. A limit of zero is
// replaced by its default.
type Config struct {
	Self core.HostID
	// Incarnation is the start time of this host in Unix microseconds. Attempts
	// and calls are numbered from it, so that a restarted host does not reuse
	// numbers as long as it uses fewer than one per microsecond.
	Incarnation uint64

	Router    core.Router
	Hedger    core.Hedger
	Admission core.Admission
	Members   core.Membership
	Owners    core.Ownership

	// HopMargin is subtracted from the remaining time at each hop between
	// hosts, but at most an eighth of the remaining time.
	HopMargin time.Duration
	// MaxRemaining is the longest deadline that a caller may set, from now.
	MaxRemaining time.Duration
	// MaxQuestionBytes is the largest size of a question.
	MaxQuestionBytes int
	// MaxItems is the highest limit of items that a query may set.
	MaxItems uint32

	// ExtraFraction is the budget for hedges and retries as a fraction of the
	// sub-queries sent. ExtraBurst is the most attempts that the budget can
	// accumulate; HedgeReserve of them are available to retries only.
	ExtraFraction float64
	ExtraBurst    float64
	HedgeReserve  float64

	// MaxAttempts bounds the attempts at one sub-query.
	MaxAttempts int
	// RetryDelay is the first delay before an upstream that was already tried
	// is tried again; it doubles with each further delay.
	RetryDelay time.Duration
	// MaxRestarts bounds how often a query is restarted on another index version.
	MaxRestarts int
	// GoneTTL is how long an index version is avoided after a shard reported
	// that it no longer has it.
	GoneTTL time.Duration

	// SweepInterval is the interval of the check for lost and silent hosts.
	SweepInterval time.Duration
	// SilentHomeTimeout is how long no message may arrive from a home before
	// the ingress runs the query itself.
	SilentHomeTimeout time.Duration
	// DefaultRetryAfter is the retry delay sent to refused callers when there
	// is no better estimate.
	DefaultRetryAfter time.Duration
}

func (c *Config) validate() error {
	missing := c.Self == "" || c.Router == nil || c.Hedger == nil ||
		c.Admission == nil || c.Members == nil || c.Owners == nil
	if missing {
		return core.Errorf(core.InvalidRequest, "gateway: Self, Router, Hedger, Admission, Members and Owners are needed")
	}
	if c.ExtraFraction < 0 || c.ExtraFraction > 1 {
		return core.Errorf(core.InvalidRequest, "gateway: ExtraFraction %v is not between 0 and 1", c.ExtraFraction)
	}
	return nil
}

func (c *Config) setDefaults() {
	setDefault(&c.HopMargin, 3*time.Millisecond)
	setDefault(&c.MaxRemaining, time.Minute)
	setDefault(&c.MaxQuestionBytes, 1<<20)
	setDefault(&c.MaxItems, 10_000)
	setDefault(&c.ExtraFraction, 0.05)
	setDefault(&c.ExtraBurst, 20)
	setDefault(&c.HedgeReserve, 5)
	setDefault(&c.MaxAttempts, 4)
	setDefault(&c.RetryDelay, 5*time.Millisecond)
	setDefault(&c.MaxRestarts, 2)
	setDefault(&c.GoneTTL, 30*time.Second)
	setDefault(&c.SweepInterval, 25*time.Millisecond)
	setDefault(&c.SilentHomeTimeout, 75*time.Millisecond)
	setDefault(&c.DefaultRetryAfter, 100*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// subtractHopMargin subtracts the margin of one hop from a remaining time and
// returns the result in microseconds, at least 1.
func (c *Config) subtractHopMargin(remaining time.Duration) int64 {
	left := remaining - min(c.HopMargin, remaining/8)
	return max(1, left.Microseconds())
}
