package member

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// State is the state of a host in another host's view.
type State int32

// The states of a host, in the order in which they override each other at one
// incarnation.
const (
	// Unknown: listed in the settings or the host list, but no record received.
	Unknown State = iota
	Alive
	// Suspect: did not answer heartbeats or lost its stream; may still refute.
	Suspect
	// Stopping: in a planned stop; reachable, but accepts no new work.
	Stopping
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "stopping", "dead"}[s]
}

// peer is this host's record of another host.
type peer struct {
	info core.HostInfo
	// incarnation is the host's start time in Unix microseconds plus the number
	// of its refutations.
	incarnation uint64
	state       State
	stateSince  time.Time
	// unansweredSince is when the oldest heartbeat without a later answer was
	// sent; zero if all are answered.
	unansweredSince time.Time
	// refutedByGossip is set if the host refuted a suspicion through another host
	// while it left this host's heartbeats unanswered, so that only the link to
	// it may be broken. This host then raises no new suspicion.
	refutedByGossip  bool
	configGeneration uint64
	leaseVersion     uint64
	// remainingSends is how many more heartbeats carry this state.
	remainingSends int
}

// live reports whether the host is expected to accept new work.
func (p *peer) live(now time.Time, limit time.Duration) bool {
	return (p.state == Alive || p.state == Suspect) && !p.unreachable(now, limit)
}

// unreachable reports whether the host has left this host's heartbeats unanswered
// for at least limit, regardless of its state in the view of others.
func (p *peer) unreachable(now time.Time, limit time.Duration) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= limit
}

func (p *peer) record() *peerpb.MemberState {
	return &peerpb.MemberState{
		Host:             string(p.info.Host),
		Incarnation:      p.incarnation,
		State:            int32(p.state),
		Address:          p.info.Address,
		Domain:           string(p.info.Domain),
		ConfigGeneration: p.configGeneration,
	}
}

// supersededBy reports whether a received record is newer than the peer's.
func (p *peer) supersededBy(r *peerpb.MemberState) bool {
	if r.GetIncarnation() != p.incarnation {
		return r.GetIncarnation() > p.incarnation
	}
	return State(r.GetState()) > p.state
}
