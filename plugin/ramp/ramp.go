// Package ramp is the limiter that keeps to an upstream's declared cold start.
//
// A cold upstream gets one attempt at a time and Rate of them a second. Each
// success raises its warmth by a step, each failure halves it, and the warmth
// never gets ahead of a straight line from 0 to 1 over Warm, which starts at
// the first success. Rate and concurrency follow the warmth; at 1 the upstream
// is warm and gets its slots, less a short back-off after it shed work.
package ramp

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// meanWeight is the weight of one service time in the mean.
	meanWeight = 1.0 / 8
	// failureFactor multiplies the warmth on a failure.
	failureFactor = 0.5
)

// Limiter bounds the work in flight on one upstream.
type Limiter struct {
	slots   int
	cold    core.ColdStart
	options Options

	warming bool
	// warmth is between 0, just started, and 1, warm.
	warmup float64
	// lineFrom is where the line that bounds the warmth starts; zero until
	// the first success.
	ceilingFrom time.Time
	lastStart   time.Time
	// mean is of the service times since the restart, shortest of all.
	mean, shortest time.Duration

	// reduced is by how much a warm limit is lowered, until restoreAt.
	reduced   int
	restoreAt time.Time
}

// New returns the limiter of an upstream, which starts warm.
func New(u *core.Upstream, options Options) *Limiter {
	return &Limiter{slots: u.Slots, cold: u.Cold, options: options}
}

// Limit returns how many attempts may run, and when the next may start.
func (l *Limiter) Limit(now time.Time) (int, time.Time) {
	if !l.warming {
		return l.warmLimit(now), time.Time{}
	}
	limit := int(l.warmup * float64(l.slots))
	return max(1, limit), l.nextStart()
}

func (l *Limiter) warmLimit(now time.Time) int {
	if now.Before(l.restoreAt) {
		return max(1, l.slots-l.reduced)
	}
	return l.slots
}

// nextStart spaces the starts by the rate that the warmth allows.
func (l *Limiter) nextStart() time.Time {
	if l.cold.Rate <= 0 || l.lastStart.IsZero() {
		return time.Time{}
	}
	gap := time.Duration(float64(time.Second) / l.rate())
	return l.lastStart.Add(gap)
}

// rate returns the starts per second: Rate at first, growing with the warmth
// to what all slots together do at the mean service time.
func (l *Limiter) rate() float64 {
	if l.mean <= 0 {
		return l.cold.Rate
	}
	full := float64(l.slots) / l.mean.Seconds()
	growth := max(full-l.cold.Rate, 0) * l.warmup
	return l.cold.Rate + growth
}

// Started notes the start of an attempt.
func (l *Limiter) Started(now time.Time) { l.lastStart = now }

// Succeeded notes a success.
func (l *Limiter) Succeeded(now time.Time, took time.Duration) {
	if l.warming {
		l.delayNextStart(now)
	}
	l.observe(took)
	if !l.warming {
		return
	}
	if l.ceilingFrom.IsZero() {
		l.ceilingFrom = now
	}
	l.warmup = min(l.warmup+l.increment(), l.ceiling(now))
	l.warming = l.warmup < 1
}

func (l *Limiter) observe(took time.Duration) {
	if l.mean == 0 {
		l.mean = took
	}
	if l.shortest == 0 || took < l.shortest {
		l.shortest = took
	}
	l.mean += time.Duration(float64(took-l.mean) * meanWeight)
}

// ended moves the last start to when the upstream can have seen it: an attempt
// that was delayed on its way must not bring the next one closer.
func (l *Limiter) delayNextStart(now time.Time) {
	if arrived := now.Add(-l.shortest); arrived.After(l.lastStart) {
		l.lastStart = arrived
	}
}

// step returns by how much one success raises the warmth.
func (l *Limiter) increment() float64 {
	needed := l.cold.Rate * l.cold.Warm.Seconds() / l.options.Growth
	return 1 / max(needed, 1)
}

func (l *Limiter) ceiling(now time.Time) float64 {
	if l.cold.Warm <= 0 {
		return 1
	}
	return float64(now.Sub(l.ceilingFrom)) / float64(l.cold.Warm)
}

// Failed notes a failure: it halves the warmth of a cold upstream, and backs
// off for a short time from a warm one that shed work.
func (l *Limiter) Failed(now time.Time, kind core.Kind) {
	switch {
	case l.warming:
		l.delayNextStart(now)
		if kind != core.Cancelled && kind != core.SnapshotGone {
			l.halveWarmup(now)
		}
	case kind == core.UpstreamShed:
		l.backOff(now)
	}
}

// cool halves the warmth, and has the line start so that it meets it.
func (l *Limiter) halveWarmup(now time.Time) {
	l.warmup *= failureFactor
	if !l.ceilingFrom.IsZero() {
		l.ceilingFrom = now.Add(-time.Duration(l.warmup * float64(l.cold.Warm)))
	}
}

func (l *Limiter) backOff(now time.Time) {
	if !now.Before(l.restoreAt) {
		l.reduced = 0
	}
	l.reduced = min(l.reduced+1, l.slots-1)
	l.restoreAt = now.Add(l.options.BackOff)
}

// Restarted starts the ramp afresh. A limiter that has seen no start yet takes
// this moment for one, since another host may have sent work just before.
func (l *Limiter) Restarted(now time.Time) {
	l.warming = true
	l.warmup = 0
	l.ceilingFrom = time.Time{}
	l.mean = 0
	if l.lastStart.IsZero() {
		l.lastStart = now
	}
}

// Cold says whether the ramp goes on.
func (l *Limiter) Cold(time.Time) bool { return l.warming }
