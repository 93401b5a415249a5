// Package nohedge provides a hedger that never hedges.
package nohedge

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// NoHedge is a core.Hedger.
type NoHedge struct{}

// Observe does nothing.
func (NoHedge) Observe(core.ServiceID, time.Duration) {}

// Delay returns false: no sub-query is hedged.
func (NoHedge) Delay(core.ServiceID) (time.Duration, bool) { return 0, false }
