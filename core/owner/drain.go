package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// disbelieveFor is how long probes that say an upstream drains are not
// believed after its replies showed otherwise.
const ignoreProbesFor = time.Minute

// drain is what is known of an upstream that said it drains.
type drain struct {
	active   bool
	instance string
	// until ends the drain when nothing more is heard.
	until time.Time
	// quietSince is when probes began to deny it.
	quietSince time.Time
	// probedAt is when a probe last started it; a reply to later work that
	// does not drain has probes disbelieved until disbelieved.
	probedAt, ignoreProbesUntil time.Time
}

func (d *drain) begin(now time.Time, instance string, keepFor time.Duration) {
	d.active, d.until, d.quietSince = true, now.Add(keepFor), time.Time{}
	if instance != "" {
		d.instance = instance
	}
}

// replied takes a reply to an attempt started at that time.
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

// probed takes a probe that says the upstream drains. It does not prolong a
// drain: a stuck endpoint must not hold the upstream down without a trial.
func (d *drain) recordDrainingProbe(now time.Time, instance string, keepFor time.Duration) {
	d.quietSince = time.Time{}
	if d.active || now.Before(d.ignoreProbesUntil) {
		return
	}
	d.probedAt = now
	d.begin(now, instance, keepFor)
}

// denied takes a probe without a drain; it returns true when the drain ends.
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

// drainEnded lets work start again, as after a restart.
func (o *Owner) drainEnded(now time.Time, s *share) {
	s.drain = drain{probedAt: s.drain.probedAt}
	s.conns.invalidate()
	s.limiter.Restarted(now)
}
