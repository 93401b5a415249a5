package member

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// State is what is believed of a host.
type State int32

// The states of a host, in the order in which they override each other at one
// incarnation.
const (
	// Unknown: named by the settings or the host list, never heard of.
	Unknown State = iota
	Alive
	// Suspect: did not answer; it may still refute.
	Suspect
	// Stopping: on a planned stop; reachable, takes nothing new.
	Stopping
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "stopping", "dead"}[s]
}

// peer is what this host knows of another.
type peer struct {
	info core.HostInfo
	// incarnation is the host's start in unix microseconds plus the number of
	// its refutations.
	incarnation uint64
	state       State
	stateSince  time.Time
	// unanswered is when the oldest heartbeat without any answer was sent.
	unansweredSince time.Time
	// vouched says that others reach the host while this one does not: its
	// refutation came by gossip. This host then raises no new suspicion.
	refutedByGossip  bool
	configGeneration uint64
	leaseVersion     uint64
	// spread is how many more heartbeats carry this state.
	remainingSends int
}

// live says whether the host takes new work as far as this one can tell.
func (p *peer) live(now time.Time, limit time.Duration) bool {
	return (p.state == Alive || p.state == Suspect) && !p.unreachable(now, limit)
}

// unreachable says that the host has not answered this one for so long,
// whatever others say of it.
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

// overrides says whether a record is news about the peer.
func (p *peer) supersededBy(r *peerpb.MemberState) bool {
	if r.GetIncarnation() != p.incarnation {
		return r.GetIncarnation() > p.incarnation
	}
	return State(r.GetState()) > p.state
}
