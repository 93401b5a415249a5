package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/estimate"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// share is this host's right to one upstream, with the work there.
type share struct {
	up      *core.Upstream
	limiter core.Limiter
	queue   waitQueue
	running []*attempt
	// settling are the ends of the slots that attempts which were given up may
	// still take, earliest first.
	settling []time.Time
	service  estimate.Service
	conns    connections

	// held and allowed are what the last look at the ownership and at the
	// topology said.
	held, allowed bool
	// releasedAt is when the share was last given up since it began to drain.
	releasedAt time.Time
	// drain is set while the upstream itself drains.
	drain drain
	// wake is when the limiter lets the next attempt start; zero is none.
	wakeAt time.Time
	// lostPrints are the fingerprints lost here since a process last showed
	// which it is.
	lostFingerprints []core.Fingerprint
	// lostAt is when the last attempt was lost here.
	lastStart time.Time
	reported  loadKey
	dirty     bool
}

// cap is the most attempts that may be in flight under any limiter.
func (s *share) maxInFlight() int { return min(s.up.Slots, s.up.Connections) }

// cold says that the upstream is, or may be, in a cold start.
func (s *share) cold(now time.Time) bool {
	return s.limiter.Cold(now) || !s.verified(now)
}

// settle returns how many slots attempts that were given up may still take,
// and has the share looked at again when the first is free.
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

// loadKey is the part of a load whose change is worth a report.
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

// warmInstance is the process known to be warm, empty if there is none.
func (s *share) warmInstance(now time.Time) string {
	if s.cold(now) {
		return ""
	}
	return s.conns.instance
}

// waitFor estimates the wait of an attempt with so many queued before it. On
// a cold upstream the starts are spaced, which counts for more than the
// service time.
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

// ahead counts the queued attempts that come before a.
func (s *share) ahead(a *attempt) int {
	count := 0
	for _, other := range s.queue {
		if other.before(a) {
			count++
		}
	}
	return count
}
