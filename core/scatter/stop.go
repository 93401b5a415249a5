package scatter

import (
	"maps"
	"slices"
	"time"
)

// stopMargin times the usual latency of a request has to fit into the time until this
// host stops for the request to be accepted. Otherwise its deadline has to.
const stopMargin = 5

// Stopping reports that this host stops. Each request is answered by the time Until.
type Stopping struct{ Until time.Time }

func (Stopping) isEvent() {}

// stopBy schedules the final answers of the requests that are still open when this
// host stops.
func (e *Engine) stopBy(now, until time.Time) {
	e.stopsAt = until
	e.quarantine.stopping = true
	e.publishSuspects(now, true)
	e.timers.Add(until, e.answerAll)
}

// answerAll gives all open requests their final answer.
func (e *Engine) answerAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		if c := e.calls[id]; !c.request.FromHost || !e.moveCall(now, c, "this host stops") {
			e.timeOut(now, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.handovers)) {
		e.endHandover(now, e.handovers[id], Answer{Kind: TimedOut}, false)
	}
}

// endBy returns the earlier of a request's deadline and the time at which this host
// stops.
func (e *Engine) endBy(deadline time.Time) time.Time {
	if !e.stopsAt.IsZero() && e.stopsAt.Before(deadline) {
		return e.stopsAt
	}
	return deadline
}

// endsBeforeStop reports whether a request with a deadline, which usually takes the
// given time, can be expected to end before this host stops.
func (e *Engine) endsBeforeStop(now, deadline time.Time, usual time.Duration) bool {
	return e.stopsAt.IsZero() || !deadline.After(e.stopsAt) || now.Add(stopMargin*usual).Before(e.stopsAt)
}
