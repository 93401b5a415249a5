package scatter

import "time"

// refuse ends a call that has not run at any upstream.
func (e *Engine) refuse(now time.Time, c *call, why string) {
	e.stats.Refused++
	kind := Refused
	if c.request.Repeat {
		kind = Declined // the request may have run at another host
	}
	e.finish(now, c, Answer{Call: c.id, Kind: kind, RetryAfter: e.retryAfter(now, c)}, why)
}

// refuseUnrouted refuses a request whose route cannot be determined yet.
func (e *Engine) refuseUnrouted(now time.Time, a RequestArrived, why string) {
	e.recordResult(now, false)
	e.stats.Refused++
	kind := Refused
	if a.Repeat {
		kind = Declined
	}
	e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: kind, RetryAfter: unroutedRetryAfter})
	e.note(Note{Decision: DecisionRefuse, RequestID: a.RequestID, Detail: why})
}

// unroutedRetryAfter is the retry delay of a request that a starting host refuses.
// It is short, since another host may accept the request at once.
const unroutedRetryAfter = 100 * time.Millisecond

// retryAfterFraction times the route's target is the mean retry delay of a refused
// request. Delays are spread evenly from half to one and a half times the mean, so
// that requests that were refused together are not retried together.
const retryAfterFraction = 0.5

// maxRetryAfterFraction times the time that the caller has left is the longest
// retry delay. Callers that are given a longer delay retry before it has passed.
const maxRetryAfterFraction = 1.0 / 3

// retryAfter returns the retry delay of a call that is refused.
func (e *Engine) retryAfter(now time.Time, c *call) time.Duration {
	wait := time.Duration((0.5 + e.options.Random()) * max(retryAfterFraction*float64(c.route.Target), float64(c.expectedQueueWait)))
	for _, p := range c.parts {
		if at, found := e.availableAt(now, p); found {
			wait = max(wait, at.Sub(now))
		}
	}
	left := time.Duration(maxRetryAfterFraction * float64(c.deadline.Sub(now)))
	if until, quarantined := e.quarantine.until(now, c.request.Fingerprint); quarantined {
		return until.Sub(now)
	}
	if e.domains.isolated() {
		return max(0, left) // it takes seconds until callers are moved to another failure domain
	}
	return max(0, min(wait, left))
}
