package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/estimate"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// share is this host's right to dispatch to one upstream, with its queue,
// running attempts, connections and limiter.
type share struct {
	up      *core.Upstream
	limiter core.Limiter
	queue   waitQueue
	running []*attempt
	// settling holds, earliest first, the times until which the slots of
	// aborted attempts count as occupied. See Config.CancelSettle.
	settling []time.Time
	service  estimate.Service
	conns    connections

	// held and allowed are the results of the last check of the ownership and
	// of the topology.
	held, allowed bool
	// releasedAt is when the share was last released since it began to move
	// to another host.
	releasedAt time.Time
	// drain tracks whether the upstream itself is draining.
	drain drain
	// wakeAt is when the next attempt may start or a settling slot is freed;
	// zero means none.
	wakeAt time.Time
	// lostFingerprints holds the fingerprints of the attempts lost since an
	// answer last identified the instance.
	lostFingerprints []core.Fingerprint
	// lastStart is the last start of an attempt, or the end of the last trial.
	lastStart time.Time
	reported  loadKey
	dirty     bool
}

// maxInFlight bounds the attempts in flight regardless of the limiter.
func (s *share) maxInFlight() int { return min(s.up.Slots, s.up.Connections) }

// cold reports whether the upstream is, or may be, in a cold start.
func (s *share) cold(now time.Time) bool {
	return s.limiter.Cold(now) || !s.verified(now)
}

// settlingSlots returns the number of slots that aborted attempts may still
// occupy, and sets wakeAt no later than when the first of them is freed.
func (s *share) settlingSlots(now time.Time) int {
	for len(s.settling) > 0 && !now.Before(s.settling[0]) {
		s.settling = s.settling[1:]
	}
	if len(s.settling) > 0 {
		s.wakeAt = earlier(s.wakeAt, s.settling[0])
	}
	return len(s.settling)
}

func (s *share) remove(a *attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// loadKey is the part of a load whose change triggers a load report.
type loadKey struct {
	queued, running, limit int
	cold                   bool
}

func (s *share) loadKey(now time.Time) loadKey {
	limit, _ := s.limiter.Limit(now)
	return loadKey{
		queued:  len(s.queue),
		running: len(s.running),
		limit:   min(limit, s.maxInFlight()),
		cold:    s.cold(now),
	}
}

func (s *share) load(now time.Time) *peerpb.Load {
	key := s.loadKey(now)
	return &peerpb.Load{
		Upstream: string(s.up.ID),
		Queued:   uint32(key.queued),
		Running:  uint32(key.running),
		Limit:    uint32(max(key.limit, 0)),
		WaitUs:   s.waitFor(now, key.queued).Microseconds(),
		Cold:     key.cold,
	}
}

// warmInstance returns the instance known to be warm, or "".
func (s *share) warmInstance(now time.Time) string {
	if s.cold(now) {
		return ""
	}
	return s.conns.instance
}

// waitFor estimates the queueing time of an attempt behind the given number of
// queued ones. During a cold start the spacing of starts usually exceeds the
// service time and determines the wait.
func (s *share) waitFor(now time.Time, ahead int) time.Duration {
	limit, start := s.limiter.Limit(now)
	wait := s.service.Wait(len(s.running)+ahead, min(limit, s.maxInFlight()))
	if s.conns.verified == 0 {
		start = later(start, s.nextTrial(now))
	}
	if !start.After(now) {
		return wait
	}
	first := start.Sub(now)
	gap := first
	if !s.lastStart.IsZero() {
		gap = start.Sub(s.lastStart)
	}
	return max(wait, first+gap*time.Duration(ahead))
}

// ahead counts the queued attempts that precede a.
func (s *share) ahead(a *attempt) int {
	count := 0
	for _, other := range s.queue {
		if other.before(a) {
			count++
		}
	}
	return count
}
