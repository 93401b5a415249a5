package core

import (
	"time"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Actions collects the actions of a step in order.
type Actions struct{ List []Action }

// Add appends an action.
func (a *Actions) Add(action Action) { a.List = append(a.List, action) }

// Send appends a message to a host.
func (a *Actions) Send(to HostID, m *peerpb.Message) {
	a.Add(SendPeer{To: to, Message: m})
}

// Reset empties the list and keeps its capacity.
func (a *Actions) Reset() {
	clear(a.List)
	a.List = a.List[:0]
}

// Role is one deterministic state machine of a host. A role ignores events that it
// does not handle. The time passed to successive calls never decreases.
type Role interface {
	// Step processes one event and runs the timers that are due at now.
	Step(now time.Time, event Event, out *Actions)
	// Next returns when the earliest timer is due; the zero time if there is none.
	Next() time.Time
}

// Membership is the view of package member that the other roles use.
type Membership interface {
	Self() HostID
	// Live returns the hosts considered alive and not stopping, sorted. It includes
	// this host unless this host is stopping.
	Live() []HostID
	IsLive(HostID) bool
	// DomainOf returns a host's failure domain; empty if unknown.
	DomainOf(HostID) DomainID
}

// Ownership is the view of package lease that the other roles use.
type Ownership interface {
	// OwnerOf returns the host that holds an upstream's share.
	OwnerOf(UpstreamID) (HostID, bool)
	// Holds reports whether this host holds the share and may dispatch repeatable
	// work while the upstream is warm.
	Holds(now time.Time, id UpstreamID) bool
	// ExclusiveUntil returns when this host's exclusive right to the share ends
	// unless renewed. Work on a cold upstream, and work that runs at most once, must
	// start and end before that time. The zero time means no exclusive right.
	ExclusiveUntil(id UpstreamID) time.Time
	// KnownWarm reports whether the share was received by planned handover with the
	// upstream warm; otherwise a new holder treats the upstream as cold.
	KnownWarm(id UpstreamID) bool
	// Draining reports whether this host is about to release the share: it starts no
	// new work on it and calls Release once nothing is in flight.
	Draining(id UpstreamID) bool
	Release(now time.Time, id UpstreamID, warm bool, out *Actions)
}

// Runner runs one request until its final reply. Package gateway implements it, and
// package once uses it for requests that run at most once.
type Runner interface {
	// Run starts the request. It calls done exactly once, in this step or a later
	// one.
	Run(now time.Time, q *peerpb.Query, done func(now time.Time, r *peerpb.QueryReply, out *Actions), out *Actions)
}
