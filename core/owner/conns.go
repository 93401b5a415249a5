package owner

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// proofAge is how long an answer of the known process proves that the upstream
// has not restarted, when no connection to it is left: this host closes
// connections itself, by cancelling.
const verificationAge = time.Second

// connections is what is known of the connections to one upstream.
//
// A process that restarts loses all its connections. So work on a connection
// that has answered before cannot reach a restarted process, and only work on
// an unproven connection can: that is one attempt at a time.
type connections struct {
	// proven counts the idle connections that have answered as instance.
	verified int
	// fresh counts the idle connections that have not answered yet.
	unverified int
	// instance is the process that answered last; previous the one before,
	// whose late answers prove nothing.
	instance, previous string
	// seen says that instance is known; probed is the last unknown process
	// that a probe named.
	instanceKnown  bool
	probedInstance string
	// provenAt is the start of the last attempt that instance answered, when
	// it was alive for certain; zero once a connection broke, which lostAt is
	// the time of.
	verifiedAt, lostAt time.Time
	// ending counts the connections that ended under an attempt and whose
	// UpstreamConn is still to come.
	pendingClose int
	// tried says that the last trial has brought no answer.
	trialUnanswered bool
	requestedAt     time.Time
}

// unproven forgets what the connections had shown.
func (c *connections) invalidate() {
	c.unverified += c.verified
	c.verified = 0
	c.verifiedAt = time.Time{}
}

// broke notes that a connection ended. Of the idle ones nobody says which: the
// careful guess is a proven one.
func (c *connections) recordClosed(now time.Time) {
	switch {
	case c.pendingClose > 0:
		c.pendingClose--
		return
	case c.verified > 0:
		c.verified--
	case c.unverified > 0:
		c.unverified--
	}
	c.recordLoss(now)
}

// lost notes that the upstream may have restarted.
func (c *connections) recordLoss(now time.Time) {
	c.lostAt = now
	c.verifiedAt = time.Time{}
}

// answered notes that the known process answered an attempt on a connection
// that is idle now. An answer to what started before a loss may have left a
// process that died since.
func (c *connections) recordAnswer(a *attempt) {
	c.verified++
	if !a.reused {
		c.trialUnanswered = false
	}
	if a.started.After(c.lostAt) {
		c.verifiedAt = later(c.verifiedAt, a.started)
	}
}

// recent says that the known process answered a moment ago.
func (c *connections) recentlyVerified(now time.Time) bool {
	return !c.verifiedAt.IsZero() && now.Sub(c.verifiedAt) < verificationAge
}

// proven says that an answer or a connection shows that the upstream has not
// restarted.
func (s *share) verified(now time.Time) bool {
	if s.conns.verified > 0 || s.conns.recentlyVerified(now) {
		return true
	}
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return a.reused && !a.cancelled })
}

// trial says that an attempt runs on an unproven connection.
func (s *share) trialRunning() bool {
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return !a.reused })
}

// trialAt is the earliest start of a trial: while nothing proves that the
// upstream is warm, trials keep to the rate of a cold start.
func (s *share) nextTrial(now time.Time) time.Time {
	known := s.verified(now) && !s.conns.trialUnanswered
	if known || s.up.Cold.Rate <= 0 || s.lastStart.IsZero() {
		return now
	}
	gap := time.Duration(float64(time.Second) / s.up.Cold.Rate)
	return s.lastStart.Add(gap)
}

// mayTry says that one attempt may go out on an unproven connection. Without
// the sole right to the upstream only a recent answer allows it: after a pause
// this host's other connections may be dead without its knowing, and another
// host may be starting the upstream up.
func (o *Owner) mayStartTrial(now time.Time, s *share) bool {
	if s.trialRunning() {
		return false
	}
	return s.conns.recentlyVerified(now) || now.Before(o.cfg.Owners.ExclusiveUntil(s.up.ID))
}

// wantConns asks for idle connections to a warm upstream, at most once per
// DiscoverEvery.
func (o *Owner) requestConns(now time.Time, s *share, out *core.Actions) {
	have := s.conns.verified + s.conns.unverified + len(s.running)
	due := now.Sub(s.conns.requestedAt) >= o.cfg.DiscoverEvery
	if have >= s.maxInFlight() || !due || s.cold(now) || o.refusal(now, s) != core.OK {
		return
	}
	s.conns.requestedAt = now
	out.Add(core.OpenConns{Upstream: s.up, Want: s.maxInFlight()})
}
