package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config holds what a Gateway needs. A limit left at zero takes its default.
type Config struct {
	Self core.HostID
	// Incarnation is the start of this host in unix microseconds. Attempts and
	// calls are numbered from it, so that the numbers of a restarted host do
	// not repeat as long as it uses fewer than one a microsecond.
	Incarnation uint64

	Router    core.Router
	Hedger    core.Hedger
	Admission core.Admission
	Members   core.Membership
	Owners    core.Ownership

	// HopMargin is taken off the remaining time at each hop between hosts, but
	// never more than an eighth of it.
	HopMargin time.Duration
	// MaxRemaining bounds the time that a caller may ask for.
	MaxRemaining time.Duration
	// MaxQuestion bounds the question, in bytes.
	MaxQuestionBytes int
	// MaxItems bounds the limit of a query.
	MaxItems uint32

	// ExtraFraction is the budget for hedges and retries, as a fraction of the
	// sub-queries sent; ExtraBurst is how much of it may be saved up, and
	// HedgeReserve the part of that which only retries may use.
	ExtraFraction float64
	ExtraBurst    float64
	HedgeReserve  float64

	// MaxAttempts bounds the attempts at one sub-query.
	MaxAttempts int
	// RetryDelay is the wait before an upstream is tried again; it doubles.
	RetryDelay time.Duration
	// MaxRestarts bounds how often a query moves to another index version.
	MaxRestarts int
	// GoneFor is how long an index version that a shard said is gone is passed
	// over.
	GoneTTL time.Duration

	// SweepEvery is the interval of the check for lost and silent hosts.
	SweepInterval time.Duration
	// SilentAfter is how long a home may be unheard before the ingress runs
	// the query itself.
	SilentHomeTimeout time.Duration
	// RetryAfter is told to refused callers when nothing better is known.
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

// shrink takes the margin of one hop off a remaining time and returns what is
// left in microseconds, at least one.
func (c *Config) subtractHopMargin(remaining time.Duration) int64 {
	left := remaining - min(c.HopMargin, remaining/8)
	return max(1, left.Microseconds())
}
