package owner

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// verificationAge is how long an answer of the known instance shows that the
// upstream has not restarted once no connection to it is left. Connections can
// be gone without a restart, since a cancel closes the attempt's connection.
const verificationAge = time.Second

// connections tracks the idle connections to one upstream.
//
// A restart breaks all connections to a process. An attempt on a verified
// connection, one that has answered before, can therefore not reach a restarted
// process. An attempt on an unverified connection can; such an attempt is a
// trial, and only one runs at a time.
type connections struct {
	// verified counts the idle connections that have answered as instance.
	verified int
	// unverified counts the other idle connections.
	unverified int
	// instance is the process that answered last, previous the one before it,
	// whose late answers are ignored.
	instance, previous string
	// instanceKnown is set once instance is valid; a valid instance may be
	// empty. probedInstance is the last unknown instance returned by a probe.
	instanceKnown  bool
	probedInstance string
	// verifiedAt is the start of the last attempt that instance answered: it
	// is certain to have been running then. It is zero after a connection
	// broke; lostAt is when that happened.
	verifiedAt, lostAt time.Time
	// pendingClose counts the connections that ended during an attempt and
	// whose UpstreamConn event has not arrived yet.
	pendingClose int
	// trialUnanswered is set from the start of a trial until a trial is
	// answered.
	trialUnanswered bool
	// requestedAt is when idle connections were last requested.
	requestedAt time.Time
}

// invalidate turns all verified connections into unverified ones.
func (c *connections) invalidate() {
	c.unverified += c.verified
	c.verified = 0
	c.verifiedAt = time.Time{}
}

// recordClosed records the end of a connection. If it was an idle one, the event
// does not identify it; it is assumed to be a verified one, to be safe.
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

// recordLoss records that the upstream may have restarted.
func (c *connections) recordLoss(now time.Time) {
	c.lostAt = now
	c.verifiedAt = time.Time{}
}

// recordAnswer records an answer of the known instance on a connection that is
// now idle. An answer to an attempt that started before a loss does not renew
// verifiedAt: the process may have sent it before it crashed.
func (c *connections) recordAnswer(a *attempt) {
	c.verified++
	if !a.reused {
		c.trialUnanswered = false
	}
	if a.started.After(c.lostAt) {
		c.verifiedAt = later(c.verifiedAt, a.started)
	}
}

// recentlyVerified reports whether the last verification is still valid.
func (c *connections) recentlyVerified(now time.Time) bool {
	return !c.verifiedAt.IsZero() && now.Sub(c.verifiedAt) < verificationAge
}

// verified reports whether an idle connection, a recent answer or an attempt
// running on a verified connection shows that the upstream has not restarted.
func (s *share) verified(now time.Time) bool {
	if s.conns.verified > 0 || s.conns.recentlyVerified(now) {
		return true
	}
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return a.reused && !a.cancelled })
}

// trialRunning reports whether an attempt runs on an unverified connection.
func (s *share) trialRunning() bool {
	return slices.ContainsFunc(s.running, func(a *attempt) bool { return !a.reused })
}

// nextTrial returns the earliest start of a trial. While the upstream is not
// verified, or the last trial is unanswered, trials are spaced by the cold-start
// rate.
func (s *share) nextTrial(now time.Time) time.Time {
	known := s.verified(now) && !s.conns.trialUnanswered
	if known || s.up.Cold.Rate <= 0 || s.lastStart.IsZero() {
		return now
	}
	gap := time.Duration(float64(time.Second) / s.up.Cold.Rate)
	return s.lastStart.Add(gap)
}

// mayStartTrial reports whether an attempt may start on an unverified
// connection. Without exclusive use of the upstream this requires a recent
// answer: after a pause of this host its other connections may have broken
// unnoticed, and another host may be warming up the upstream.
func (o *Owner) mayStartTrial(now time.Time, s *share) bool {
	if s.trialRunning() {
		return false
	}
	return s.conns.recentlyVerified(now) || now.Before(o.cfg.Owners.ExclusiveUntil(s.up.ID))
}

// requestConns requests idle connections to a warm upstream, at most once per
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
