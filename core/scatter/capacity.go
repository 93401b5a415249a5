package scatter

import (
	"math"
	"time"
)

// capacity is what this host has learned of how much load one upstream handles well.
//
// It answers loads in which upstreams of one service differ in speed, slow down for a
// while, or become slow long before their declared slots are in use. The latency of
// each answer already shows the requests of all hosts, so hosts that apply the same
// rule arrive at similar values without messages: each one reduces its own window
// when answers take much longer than at low load, and grows it otherwise.
//
// A nil capacity learns nothing and permits everything.
type capacity struct {
	// service is the latency at low load as a multiple of the route's lowest
	// latency, for direct and for relayed attempts: a relay's measurement does not
	// contain the way to the relay.
	service [2]serviceTime
	path    int // index of the last observation in service
	// recent is a moving average of the latency as a multiple of service, and
	// recentAt the time of its last observation.
	recent   float64
	recentAt time.Time
	// slowFrom and slowTo are the first and the last time at which requests were
	// sent whose answers were slow; zero if the last answer was not. Lasting is
	// true if these answers are slow for another reason than a pause.
	slowFrom, slowTo time.Time
	lasting          bool
	// window is how many requests this host may have in flight. It is at least 1,
	// so that no upstream is starved.
	window float64
	// shrunk is true once an answer was slow. Until then the window grows by one for
	// each window of answers, or a host that starts under load refuses requests.
	shrunk bool
	// bound is true if the window has held back a request since the last answer.
	bound bool
	// sentAt is the time of the last send, and passedOver the number of requests
	// that went to other upstreams since then.
	sentAt     time.Time
	passedOver int
	// reported is the belief that was last logged.
	reported capacityBelief
}

// capacitySample is one answer, as the estimate uses it.
type capacitySample struct {
	sentAt  time.Time
	latency time.Duration
	unit    time.Duration // the lowest latency of the route
	relayed bool
	// partial is true if the latency contains more than the upstream's work, as for
	// a relayed attempt whose relay has measured nothing.
	partial bool
	cold    bool
	// limit is the bound by connections and slots, which the window never exceeds.
	limit int
}

// capacityBelief is what a capacity holds to be true at one time.
type capacityBelief struct {
	// service is the latency at low load as a multiple of the route's lowest, and
	// slowdown by how much a lasting slow-down multiplies it.
	service, slowdown float64
	window            float64
	// confidence is between 0 without answers and 1, age that of the last answer.
	confidence float64
	age        time.Duration
	at         time.Time
}

const (
	// slowRatio is how many times the latency at low load a slow answer takes.
	slowRatio = 3.0
	// maxPause is the longest time that a pause can add to an answer. The pauses
	// of upstreams last up to 250 ms, and the queue after them takes some time.
	maxPause = 300 * time.Millisecond
	// congestedRatio is the latency, as a multiple of the one at low load, above
	// which more load does not help. At 1.5 hedges are withheld too often: the
	// p99 under pauses of 120 ms rises from 35 to 48 ms.
	congestedRatio = 2.0
	// toleratedRatio is the latency above which the window shrinks. It shrinks by
	// windowGain of the excess at each answer, by minGradient at most, and grows
	// by windowGain of windowGrowth times its root.
	toleratedRatio = 1.5
	minGradient    = 0.5
	windowGain     = 0.1
	windowGrowth   = 0.1
	// retryInterval and minPassedOver bound the trials of an upstream that was slow.
	// With 16 instead of 8 requests between two trials, hosts that send five
	// requests per second find out too late that a slow-down has ended.
	retryInterval = 1200 * time.Millisecond
	minPassedOver = 8
	// confidentSamples is the number of answers at which the confidence is a half.
	confidentSamples = 20
)

func newCapacity() *capacity {
	return &capacity{recent: 1, window: 1, service: [2]serviceTime{{value: 1}, {value: 1}}}
}

// observe updates the estimates after an answer. An answer of a cold upstream, one
// that met a pause and one whose latency contains more than the upstream's work count
// only for the recent latency.
func (c *capacity) observe(now time.Time, s capacitySample) {
	c.path = 0
	if s.relayed {
		c.path = 1
	}
	service := &c.service[c.path]
	ratio := float64(s.latency) / float64(s.unit) / service.value
	c.updateRecent(now, s, ratio)
	if s.cold || s.partial || ratio > slowRatio && !c.lasting {
		return
	}
	service.observe(now, min(ratio, congestedRatio))
	c.adapt(s, ratio)
}

// updateRecent updates the moving average of the latency. Answers of a lasting
// slow-down have twice the weight. A normal answer to a request that was sent after
// the slow ones ends a slow-down or pause at once.
func (c *capacity) updateRecent(now time.Time, s capacitySample, ratio float64) {
	current, gain := c.recentRatio(now), slownessGain
	switch {
	case ratio > slowRatio:
		c.recordSlow(s)
	case s.sentAt.After(c.slowTo) && !c.slowFrom.IsZero():
		c.slowFrom, c.slowTo, c.lasting = time.Time{}, time.Time{}, false
		current = min(current, max(1, ratio))
	}
	if c.lasting {
		gain = 2 * slownessGain
	}
	c.recent, c.recentAt = current+gain*(min(ratio, maxSlowness)-current), now
}

// recordSlow distinguishes a slow-down from a pause. The requests that meet a pause
// are sent within its length and are not delayed by more.
func (c *capacity) recordSlow(s capacitySample) {
	if c.slowFrom.IsZero() || s.sentAt.Before(c.slowFrom) {
		c.slowFrom = s.sentAt
	}
	if s.sentAt.After(c.slowTo) {
		c.slowTo = s.sentAt
	}
	excess := s.latency - time.Duration(c.service[c.path].value*float64(s.unit))
	c.lasting = c.lasting || excess > maxPause || c.slowTo.Sub(c.slowFrom) > maxPause
}

// adapt changes the window after an answer: it shrinks in proportion to how much longer
// than at low load the answer took, and otherwise grows.
func (c *capacity) adapt(s capacitySample, ratio float64) {
	c.shrunk = c.shrunk || ratio > toleratedRatio
	if c.bound && !c.shrunk {
		c.window += 1 / c.window
	}
	gradient := min(1, max(minGradient, toleratedRatio/ratio))
	target := c.window*gradient + windowGrowth*math.Sqrt(c.window)
	c.window += windowGain * (target - c.window)
	c.window = min(max(c.window, 1), float64(max(1, s.limit)))
	c.bound = false
}

// recentRatio returns the recent latency as a multiple of the one at low load. It
// returns to 1 without observations.
func (c *capacity) recentRatio(now time.Time) float64 {
	return 1 + (c.recent-1)*math.Exp2(-float64(now.Sub(c.recentAt))/float64(slownessHalfLife))
}

// cost returns the expected latency of one more request, as a multiple of the route's
// lowest.
func (c *capacity) cost(now time.Time, running, slots int) float64 {
	return c.service[c.path].value * c.recentRatio(now) * (1 + float64(running)/float64(max(1, slots)))
}

// allows reports whether this host may send one more request.
func (c *capacity) allows(running int) bool {
	if c == nil || running < int(c.window) {
		return true
	}
	c.bound = true
	return false
}

// congested reports whether answers take much longer than at low load, so that a hedge
// would add to a load that is too high already.
func (c *capacity) congested(now time.Time) bool {
	return c != nil && c.recentRatio(now) > congestedRatio
}

// wantsTrial reports whether an upstream that was slow should be tried again although
// others are expected to be faster.
func (c *capacity) wantsTrial(now time.Time, running int) bool {
	return c != nil && running == 0 && c.recent > congestedRatio && c.passedOver >= minPassedOver && now.Sub(c.sentAt) >= retryInterval
}

// wasSlow reports whether the last answers were slow, however long ago. A request that
// is sent there nevertheless is hedged early.
func (c *capacity) wasSlow() bool { return c != nil && c.recent > slowRatio }

// recordSend records that a request was sent.
func (c *capacity) recordSend(now time.Time) { c.sentAt, c.passedOver = now, 0 }

// forget discards what was concluded from answers that did not come in time.
func (c *capacity) forget() {
	if c != nil {
		c.recent, c.slowFrom, c.slowTo, c.lasting = 1, time.Time{}, time.Time{}, false
	}
}

// belief returns the current belief.
func (c *capacity) belief(now time.Time) capacityBelief {
	s := c.service[c.path]
	b := capacityBelief{service: s.value, slowdown: 1, window: c.window, at: now}
	b.confidence = float64(s.samples) / float64(s.samples+confidentSamples)
	if !c.recentAt.IsZero() {
		b.age = now.Sub(c.recentAt)
	}
	if c.lasting {
		b.slowdown = c.recent
	}
	return b
}
