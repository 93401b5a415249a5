// Package slots provides a limiter with a constant limit, the number of the
// upstream's slots. It ignores cold starts and serves as a baseline.
package slots

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Limiter is a core.Limiter with a constant limit.
type Limiter struct{ slots int }

// New returns the limiter of an upstream.
func New(u *core.Upstream) *Limiter { return &Limiter{slots: u.Slots} }

// Limit returns the number of slots; the next attempt may start at any time.
func (l *Limiter) Limit(time.Time) (int, time.Time) { return l.slots, time.Time{} }

// Started does nothing.
func (l *Limiter) Started(time.Time) {}

// Succeeded does nothing.
func (l *Limiter) Succeeded(time.Time, time.Duration) {}

// Failed does nothing.
func (l *Limiter) Failed(time.Time, core.Kind) {}

// Restarted does nothing.
func (l *Limiter) Restarted(time.Time) {}

// Cold returns false: cold starts are ignored.
func (l *Limiter) Cold(time.Time) bool { return false }
