package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// firing is what a timer runs once, at or after its time.
type callback = func(now time.Time, out *core.Actions)

type timer = schedule.Timer[callback]

// timers is the gateway's schedule.
type timers struct{ schedule schedule.Timers[callback] }

func (t *timers) add(at time.Time, fire callback) *timer { return t.schedule.Add(at, fire) }

func (t *timers) stop(which *timer) { t.schedule.Stop(which) }

func (t *timers) run(now time.Time, out *core.Actions) {
	for {
		fire, due := t.schedule.Pop(now)
		if !due {
			return
		}
		fire(now, out)
	}
}

func (t *timers) next() time.Time { return t.schedule.Next() }
