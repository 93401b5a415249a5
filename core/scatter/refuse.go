package scatter

import "time"

// refuse ends a call of which nothing has run.
func (e *Engine) refuse(now time.Time, c *call, why string) {
	e.stats.Refused++
	kind := Refused
	if c.request.Repeat {
		kind = Declined // it may have run at another host
	}
	e.finish(now, c, Answer{Call: c.id, Kind: kind, RetryAfter: e.retryAfter(now, c)}, why)
}

// refuseUnrouted refuses a request before its route is known.
func (e *Engine) refuseUnrouted(now time.Time, a RequestArrived, why string) {
	e.recordResult(now, false)
	e.stats.Refused++
	kind := Refused
	if a.Repeat {
		kind = Declined
	}
	e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: kind, RetryAfter: unroutedRetry})
	e.note(Note{Decision: DecisionRefuse, RequestID: a.RequestID, Detail: why})
}

// unroutedRetry is when a request may come back that met a starting host;
// another host may take it at once.
const unroutedRetry = 100 * time.Millisecond

// retryShare is the mean wait before a refused request comes back, as a share
// of the route's target. It is spread evenly from half to one and a half times
// this, so that what was refused together does not return together.
const retryShare = 0.5

// maxRetryOfLeft is the longest wait, as a share of the time left to the
// caller: callers that are told more come back earlier than that.
const maxRetryOfLeft = 1.0 / 3

func (e *Engine) retryAfter(now time.Time, c *call) time.Duration {
	wait := time.Duration((0.5 + e.options.Random()) * max(retryShare*float64(c.route.Target), float64(c.expectedQueueWait)))
	for _, p := range c.parts {
		if at, found := e.availableAt(now, p); found {
			wait = max(wait, at.Sub(now))
		}
	}
	left := time.Duration(maxRetryOfLeft * float64(c.deadline.Sub(now)))
	if until, quarantined := e.quarantine.until(now, c.request.Fingerprint); quarantined {
		return until.Sub(now)
	}
	if e.domains.isolated() {
		return max(0, left) // callers reach another failure domain after seconds
	}
	return max(0, min(wait, left))
}
