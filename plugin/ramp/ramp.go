// Package ramp provides a limiter that follows an upstream's declared cold start.
//
// A cold upstream starts with one attempt at a time and Rate attempts per
// second. Its warm-up level rises by a fixed increment per success and is halved
// by a failure. It never exceeds a ceiling that rises linearly from 0 to 1 over
// the duration Warm, from the first success on. Rate and concurrency grow with
// the level. At level 1 the upstream is warm and gets all its slots, less a
// short back-off after it has shed work.
package ramp

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// meanWeight is the weight of one service time in the moving average.
	meanWeight = 1.0 / 8
	// failureFactor multiplies the warm-up level on a failure.
	failureFactor = 0.5
)

// Limiter bounds the attempts in flight on one upstream.
type Limiter struct {
	slots   int
	cold    core.ColdStart
	options Options

	warming bool
	// warmup is the warm-up level, from 0 (just started) to 1 (warm).
	warmup float64
	// ceilingFrom is when the ceiling of the warm-up level is 0; zero until the
	// first success.
	ceilingFrom time.Time
	lastStart   time.Time
	// mean is the moving average of the service times since the restart,
	// shortest the minimum of all service times.
	mean, shortest time.Duration

	// reduced is the reduction of a warm limit until restoreAt.
	reduced   int
	restoreAt time.Time
}

// New returns a limiter in the warm state.
func New(u *core.Upstream, options Options) *Limiter {
	return &Limiter{slots: u.Slots, cold: u.Cold, options: options}
}

// Limit returns the number of attempts that may run and the earliest start of
// the next one.
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

// nextStart spaces the starts by the current rate.
func (l *Limiter) nextStart() time.Time {
	if l.cold.Rate <= 0 || l.lastStart.IsZero() {
		return time.Time{}
	}
	gap := time.Duration(float64(time.Second) / l.rate())
	return l.lastStart.Add(gap)
}

// rate returns the starts per second. It grows with the warm-up level from Rate
// to the throughput of all slots at the mean service time.
func (l *Limiter) rate() float64 {
	if l.mean <= 0 {
		return l.cold.Rate
	}
	full := float64(l.slots) / l.mean.Seconds()
	growth := max(full-l.cold.Rate, 0) * l.warmup
	return l.cold.Rate + growth
}

// Started records the start of an attempt.
func (l *Limiter) Started(now time.Time) { l.lastStart = now }

// Succeeded records a success and its service time.
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

// delayNextStart moves the last start forward to the latest time at which the
// attempt that just ended can have arrived at the upstream. Otherwise an attempt
// that was delayed on its way would shorten the gap to the next one.
func (l *Limiter) delayNextStart(now time.Time) {
	if arrived := now.Add(-l.shortest); arrived.After(l.lastStart) {
		l.lastStart = arrived
	}
}

// increment returns the rise of the warm-up level per success.
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

// Failed records a failure. It halves the warm-up level of a cold upstream and
// backs off from a warm one that shed work.
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

// halveWarmup halves the warm-up level and moves the ceiling down to it.
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

// Restarted begins a new cold start. If no start was recorded yet, now counts as
// one, since another host may have sent an attempt just before.
func (l *Limiter) Restarted(now time.Time) {
	l.warming = true
	l.warmup = 0
	l.ceilingFrom = time.Time{}
	l.mean = 0
	if l.lastStart.IsZero() {
		l.lastStart = now
	}
}

// Cold reports whether the cold start is in progress.
func (l *Limiter) Cold(time.Time) bool { return l.warming }
