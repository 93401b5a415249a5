package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// queue holds the parts that wait at this host for an upstream of one service,
// and measures how fast they go.
//
// It answers waves of requests above what the upstreams can do. What an upstream
// queues it serves in order of arrival; what waits here can be ordered, counted
// and refused.
type queue struct {
	parts []*part
	// ends are when the newest attempts of the service ended, as a ring; while
	// parts wait, their pace is that of the upstreams.
	ends  [paceEnds]time.Time
	count int
	// busySince is when parts began to wait, takenAt when they were last taken
	// out; those that cannot go then are put back.
	busySince, takenAt time.Time
	// running is how many attempts of this host run, latency about how long
	// they take.
	running int
	latency time.Duration
}

const (
	// paceEnds is how many ends the pace of a queue is measured over.
	paceEnds = 16
	// minPaceEnds is the least number of ends within a busy spell for which the
	// pace is measured and not estimated.
	minPaceEnds = 3
	// latencyGain is the weight of one attempt in the mean latency.
	latencyGain = 0.2
)

// begin counts an attempt.
func (q *queue) begin() { q.running++ }

// end counts the end of an attempt.
func (q *queue) end(now time.Time, latency time.Duration) {
	q.running--
	q.ends[q.count%paceEnds] = now
	q.count++
	if q.latency == 0 {
		q.latency = latency
	}
	q.latency += time.Duration(latencyGain * float64(latency-q.latency))
}

// add lets a part wait.
func (q *queue) add(now time.Time, p *part) {
	if len(q.parts) == 0 && !q.takenAt.Equal(now) {
		q.busySince = now
	}
	q.parts = append(q.parts, p)
}

// gap returns the mean time between two ends while parts wait.
func (q *queue) gap(now time.Time) time.Duration {
	in := 0
	oldest := now
	for n := range min(q.count, paceEnds) {
		at := q.ends[(q.count-1-n)%paceEnds]
		if at.Before(q.busySince) {
			break
		}
		in, oldest = in+1, at
	}
	if in < minPaceEnds {
		return q.latency / time.Duration(max(1, q.running))
	}
	return now.Sub(oldest) / time.Duration(in)
}

// expects returns how long from now a part takes to come in that waits behind
// so many others.
func (q *queue) expects(now time.Time, ahead int) time.Duration {
	return time.Duration(ahead+1)*q.gap(now) + q.latency
}

// ahead counts the parts that wait and go before those of a call.
func (q *queue) ahead(now time.Time, c *call) (count int) {
	for _, p := range q.parts {
		if p.waiting && !p.call.done && p.call.before(now, c) {
			count++
		}
	}
	return count
}

// before is the order of work that waits: what can still meet its target first,
// of that the more urgent routes, then in order of arrival. All hosts and queues
// use the same order, so that a gather is served by all of them at about the
// same time.
func (c *call) before(now time.Time, other *call) bool { return compareCalls(now, c, other) < 0 }

func compareCalls(now time.Time, a, b *call) int {
	if aLate, bLate := now.After(a.answerAt), now.After(b.answerAt); aLate != bLate {
		if aLate {
			return 1
		}
		return -1
	}
	if a.route.Priority != b.route.Priority {
		return a.route.Priority - b.route.Priority
	}
	return a.request.At.Compare(b.request.At)
}

// take empties the queue and returns its parts in order.
func (q *queue) take(now time.Time) []*part {
	parts := q.parts
	q.parts, q.takenAt = nil, now
	slices.SortStableFunc(parts, func(a, b *part) int { return compareCalls(now, a.call, b.call) })
	return parts
}

// admission is the share of the time until a gather's target within which the
// queues in front of its parts have to promise them. It learns from the gathers
// that met queues: more urgent ones come later and go before them, upstreams
// pause, and hosts that share upstreams do not know of each other.
type admission struct{ share float64 }

const (
	// firstShare is the share at first, leastShare and mostShare bound it.
	firstShare = 0.6
	leastShare = 0.1
	mostShare  = 0.8
	// shareFall and shareRise are what a gather leaves of the share that missed
	// its target or met it. They settle where one of twenty misses it.
	shareFall = 0.85
	shareRise = 1.008
)

// conclude learns from a gather that had met queues.
func (a *admission) conclude(inTarget bool) {
	if inTarget {
		a.share = min(mostShare, a.share*shareRise)
	} else {
		a.share = max(leastShare, a.share*shareFall)
	}
}

// admit decides about a gather that has just arrived by the queues in front of
// its parts: false refuses it. Of one that can be answered by its target without
// some parts, those that would come too late are not asked for, since upstreams
// would run them for nobody.
//
// It answers waves of gathers above what the upstreams can do: what is admitted
// meets its target, the rest can come back in time or go elsewhere.
func (e *Engine) admit(now time.Time, c *call) bool {
	expected := make([]time.Duration, len(c.parts))
	for i, p := range c.parts {
		if q := e.queue(p.service); len(q.parts) > 0 {
			expected[i] = q.expects(now, q.ahead(now, c))
		}
	}
	needed := slices.Sorted(slices.Values(expected))[c.needed()-1]
	left := max(0, time.Duration(e.admission.share*float64(c.answerAt.Sub(now))))
	if needed > left {
		c.expectedQueueWait = needed
		return false
	}
	if c.queued = needed > 0; !c.queued {
		return true // single queues are behind upstreams that pause, not load
	}
	for i, p := range c.parts {
		p.exhausted = expected[i] > left
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
