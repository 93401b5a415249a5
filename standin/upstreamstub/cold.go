package upstreamstub

import (
	"fmt"
	"time"
)

// coldBurst sets the burst size of a cold upstream: one request plus those of
// this duration at its current rate.
const coldBurst = 100 * time.Millisecond

// ColdBudget is a token bucket with a growing rate and concurrency limit. It
// decides whether a cold upstream can run one more request.
type ColdBudget struct {
	spec     ColdStart
	slots    int
	fullRate float64 // requests per second when warm

	cold    bool
	started time.Time
	tokens  float64
	updated time.Time
}

// NewColdBudget returns the budget of a warm upstream; full is its rate when
// warm, in requests per second.
func NewColdBudget(spec ColdStart, slots int, full float64) ColdBudget {
	return ColdBudget{spec: spec, slots: slots, fullRate: full}
}

// Restart begins a cold start.
func (b *ColdBudget) Restart(now time.Time) {
	b.cold = b.spec.Warm > 0
	b.started, b.updated = now, now
	b.tokens = 1
}

// warmth returns the progress of the cold start, from 0 to 1.
func (b *ColdBudget) warmth(now time.Time) float64 {
	if !b.cold {
		return 1
	}
	return min(1, float64(now.Sub(b.started))/float64(b.spec.Warm))
}

// String describes the budget for the report of an overload.
func (b *ColdBudget) String() string {
	return fmt.Sprintf("%v since the start, %.2f requests left of its rate", b.updated.Sub(b.started), b.tokens)
}

// Allow counts a request that starts now while running others are held. It
// returns false if the load exceeds the budget.
func (b *ColdBudget) Allow(now time.Time, running int) bool {
	warmth := b.warmth(now)
	if warmth >= 1 {
		b.cold = false
		return true
	}
	rate := b.spec.Rate + (b.fullRate-b.spec.Rate)*warmth
	b.tokens += rate * now.Sub(b.updated).Seconds()
	b.tokens = min(b.tokens, 1+rate*coldBurst.Seconds())
	b.updated = now
	allowed := 1 + int(float64(b.slots-1)*warmth)
	if running >= allowed || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
