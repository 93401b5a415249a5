package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// callback is called once by a timer, at or after its time.
type callback = func(now time.Time, out *core.Actions)

type timer = schedule.Timer[callback]

// timers holds the pending timers of a gateway.
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
