package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// scheduleSlowReport sets when an attempt that has just started becomes a
// straggler.
func (o *Owner) scheduleSlowReport(a *attempt) {
	after := time.Duration(a.query.GetSlowAfterUs()) * time.Microsecond
	if after <= 0 {
		return
	}
	a.slowAt = a.started.Add(after)
	o.nextSlow = earlier(o.nextSlow, a.slowAt)
}

// reportStragglers sends one SubSlow per straggling attempt to its origin. The
// scan covers running attempts only, whose number the slots bound.
func (o *Owner) reportStragglers(now time.Time, out *core.Actions) {
	if !due(now, o.nextSlow) {
		return
	}
	o.nextSlow = time.Time{}
	for _, s := range o.ordered {
		for _, a := range s.running {
			o.reportIfStraggler(now, a, out)
		}
	}
}

func (o *Owner) reportIfStraggler(now time.Time, a *attempt, out *core.Actions) {
	if !due(now, a.slowAt) {
		o.nextSlow = earlier(o.nextSlow, a.slowAt)
		return
	}
	a.slowAt = time.Time{}
	if a.cancelled {
		return
	}
	slow := &peerpb.SubSlow{Attempt: a.id.Sequence}
	out.Send(a.id.Host, &peerpb.Message{Body: &peerpb.Message_SubSlow{SubSlow: slow}})
}
