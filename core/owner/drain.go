package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// ignoreProbesFor is how long draining probes of an upstream are ignored after
// its replies have contradicted them.
const ignoreProbesFor = time.Minute

// drain tracks an upstream that has announced that it drains.
type drain struct {
	active   bool
	instance string
	// until ends the drain if no further announcement arrives.
	until time.Time
	// quietSince is when probes began to show no draining.
	quietSince time.Time
	// probedAt is when a probe last started the drain. A success without
	// draining of an attempt that started later makes draining probes ignored
	// until ignoreProbesUntil.
	probedAt, ignoreProbesUntil time.Time
}

func (d *drain) begin(now time.Time, instance string, keepFor time.Duration) {
	d.active, d.until, d.quietSince = true, now.Add(keepFor), time.Time{}
	if instance != "" {
		d.instance = instance
	}
}

// recordReply handles a reply to an attempt that started at the given time.
func (d *drain) recordReply(now, started time.Time, r *core.UpstreamReply, keepFor time.Duration) {
	switch {
	case r.Draining:
		d.ignoreProbesUntil = time.Time{}
		d.begin(now, r.Instance, keepFor)
	case r.Kind == core.OK && !d.probedAt.IsZero() && started.After(d.probedAt):
		d.probedAt = time.Time{}
		d.ignoreProbesUntil = now.Add(ignoreProbesFor)
	}
}

// recordDrainingProbe handles a probe that reports draining. It does not extend
// an active drain: a stuck endpoint must not block the upstream without a trial.
func (d *drain) recordDrainingProbe(now time.Time, instance string, keepFor time.Duration) {
	d.quietSince = time.Time{}
	if d.active || now.Before(d.ignoreProbesUntil) {
		return
	}
	d.probedAt = now
	d.begin(now, instance, keepFor)
}

// recordClearProbe handles a probe that reports no draining. It returns true
// if that ends the drain.
func (d *drain) recordClearProbe(now time.Time, quiet time.Duration, instance string) bool {
	if !d.active {
		return false
	}
	if instance != "" && d.instance != "" && instance != d.instance {
		return true
	}
	if d.quietSince.IsZero() {
		d.quietSince = now
	}
	return now.Sub(d.quietSince) >= quiet
}

func (d *drain) expired(now time.Time) bool { return d.active && due(now, d.until) }

// drainEnded resumes dispatch, with a cold start as after a restart.
func (o *Owner) drainEnded(now time.Time, s *share) {
	s.drain = drain{probedAt: s.drain.probedAt}
	s.conns.invalidate()
	s.limiter.Restarted(now)
}
