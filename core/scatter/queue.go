package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// queue holds the parts that wait at this host for an upstream of one service,
// and measures the service rate.
//
// It is needed when more requests arrive than the upstreams can serve. An
// upstream serves its own queue in order of arrival, whereas the parts that wait
// here can be ordered by urgency, counted and refused.
type queue struct {
	parts []*part
	// endTimes is a ring of the times at which the newest attempts ended. While
	// parts wait, attempts end at the rate at which the upstreams serve them.
	endTimes [rateSamples]time.Time
	endCount int
	// backlogSince is when parts began to wait. drainedAt is when the queue was
	// last drained; parts that cannot be sent then are added again at that time.
	backlogSince, drainedAt time.Time
	// running is the number of this host's running attempts, latency the moving
	// average of their duration.
	running int
	latency time.Duration
	// wakesAt is when the queue is next drained because a rate limit allows it.
	wakesAt time.Time
}

const (
	// rateSamples is the number of ended attempts over which the service rate is
	// measured.
	rateSamples = 16
	// minRateSamples is the least number of attempts that must have ended during
	// a backlog for the rate to be measured. With fewer it is estimated from the
	// latency.
	minRateSamples = 3
	// latencyGain is the weight of one attempt in the moving average of the
	// latency.
	latencyGain = 0.2
)

// attemptStarted counts an attempt.
func (q *queue) attemptStarted() { q.running++ }

// attemptEnded counts the end of an attempt.
func (q *queue) attemptEnded(now time.Time, latency time.Duration) {
	q.running--
	q.endTimes[q.endCount%rateSamples] = now
	q.endCount++
	if q.latency == 0 {
		q.latency = latency
	}
	q.latency += time.Duration(latencyGain * float64(latency-q.latency))
}

// forgetRate discards the measured service rate and latency.
func (q *queue) forgetRate() { q.endCount, q.latency = 0, 0 }

// add appends a part to the queue.
func (q *queue) add(now time.Time, p *part) {
	if len(q.parts) == 0 && !q.drainedAt.Equal(now) {
		q.backlogSince = now
	}
	q.parts = append(q.parts, p)
}

// completionInterval returns the mean time between the ends of two attempts
// while parts wait.
func (q *queue) completionInterval(now time.Time) time.Duration {
	samples := 0
	oldest := now
	for n := range min(q.endCount, rateSamples) {
		at := q.endTimes[(q.endCount-1-n)%rateSamples]
		if at.Before(q.backlogSince) {
			break
		}
		samples, oldest = samples+1, at
	}
	if samples < minRateSamples {
		return q.latency / time.Duration(max(1, q.running))
	}
	return now.Sub(oldest) / time.Duration(samples)
}

// expectedWait returns the expected time until the answer to a part that waits
// behind the given number of others.
func (q *queue) expectedWait(now time.Time, ahead int) time.Duration {
	return time.Duration(ahead+1)*q.completionInterval(now) + q.latency
}

// ahead counts the queued parts that are served before those of a call.
func (q *queue) ahead(now time.Time, c *call) (count int) {
	for _, p := range q.parts {
		if p.waiting && !p.call.done && p.call.before(now, c) {
			count++
		}
	}
	return count
}

// before reports whether the parts of a call are served before those of another:
// calls that can still meet their target first, then by priority of the team or route, then
// by the fair shares of teams, then in order of arrival. All queues of a host use the same
// order, so that the parts of a gather are served at about the same time.
func (c *call) before(now time.Time, other *call) bool { return compareCalls(now, c, other) < 0 }

func compareCalls(now time.Time, a, b *call) int {
	if aLate, bLate := now.After(a.answerAt), now.After(b.answerAt); aLate != bLate {
		if aLate {
			return 1
		}
		return -1
	}
	if aRank, bRank := a.priority(), b.priority(); aRank != bRank {
		return aRank - bRank
	}
	return cmp.Or(cmp.Compare(a.usedShare(), b.usedShare()), a.request.At.Compare(b.request.At))
}

// drain empties the queue and returns its parts in the order of service.
func (q *queue) drain(now time.Time) []*part {
	parts := q.parts
	q.parts, q.drainedAt = nil, now
	slices.SortStableFunc(parts, func(a, b *part) int { return compareCalls(now, a.call, b.call) })
	return parts
}

// admission is the admission control of gathers. A gather is admitted if its parts
// are expected within share of the time that is left until its answer. The share
// adapts to the outcome of the gathers that met queues, since the expectation is
// optimistic: more urgent gathers that arrive later are served first, upstreams
// pause, and hosts that share upstreams do not see each other's queues.
type admission struct{ share float64 }

const (
	// The share starts at initialAdmissionShare and stays between
	// minAdmissionShare and maxAdmissionShare.
	initialAdmissionShare = 0.6
	minAdmissionShare     = 0.1
	maxAdmissionShare     = 0.8
	// admissionDecrease and admissionIncrease are the factors applied to the share
	// after a gather that missed or met its target. The share settles where one
	// gather in twenty misses its target.
	admissionDecrease = 0.85
	admissionIncrease = 1.008
)

// observe adjusts the share after a gather that met queues.
func (a *admission) observe(inTarget bool) {
	if inTarget {
		a.share = min(maxAdmissionShare, a.share*admissionIncrease)
	} else {
		a.share = max(minAdmissionShare, a.share*admissionDecrease)
	}
}

// admit decides by the queues in front of its parts whether a gather that has just
// arrived is admitted. If the gather can be answered by its target without some
// parts, those that would come too late are not sent, since upstreams would run
// them for nothing.
//
// When more gathers arrive than the upstreams can serve, those that are admitted
// meet their target. The others are refused early enough to be retried or sent
// elsewhere.
func (e *Engine) admit(now time.Time, c *call) bool {
	expected := make([]time.Duration, len(c.parts))
	for i, p := range c.parts {
		if q := e.queue(p.service); len(q.parts) > 0 {
			expected[i] = q.expectedWait(now, q.ahead(now, c))
		}
		expected[i] = max(expected[i], e.limitWait(now, p))
	}
	needed := slices.Sorted(slices.Values(expected))[c.minParts()-1]
	left := max(0, time.Duration(e.admission.share*float64(c.answerAt.Sub(now))))
	if needed > left {
		c.expectedQueueWait = needed
		return false
	}
	if c.queued = needed > 0; !c.queued {
		return true // queues at few services come from paused upstreams, not load
	}
	for i, p := range c.parts {
		p.dropped = expected[i] > left
		p.exhausted = p.dropped
	}
	return true
}

func (e *Engine) queue(id core.ServiceID) *queue {
	q := e.queues[id]
	if q == nil {
		q = &queue{}
		e.queues[id] = q
	}
	return q
}
