package core

import (
	"time"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Event is an input to the decision core. Only the types in this package implement
// it.
type Event interface{ event() }

// CallerRequest is a request that a caller sent to this host. Messages of package
// peerpb are immutable once they are passed to the core.
type CallerRequest struct {
	Call  CallID
	Query *peerpb.Query
}

// CallerGone reports that the caller of an open call disconnected.
type CallerGone struct{ Call CallID }

// PeerMessage is a message from another host, or from this host to itself.
type PeerMessage struct {
	From        HostID
	Incarnation uint64
	Message     *peerpb.Message
}

// PeerLost reports that the stream from or to a host broke. Messages in flight may
// be lost.
type PeerLost struct{ Host HostID }

// UpstreamReply is the end of one dispatched attempt.
type UpstreamReply struct {
	Upstream UpstreamID
	Attempt  AttemptID
	Kind     Kind
	Ran      Ran
	// Echo is the attempt id that the upstream sent back. It differs from Attempt if
	// the answer belongs to another attempt.
	Echo string
	// Instance identifies the upstream's process; empty if not sent.
	Instance     string
	IndexVersion uint64
	Covered      []*peerpb.KeyRange
	Items        []*peerpb.Item
	Payload      []byte
	Draining     bool
	RetryAfter   time.Duration
	// NewConnection is set if a connection was opened for the attempt.
	NewConnection bool
}

// UpstreamConn reports that an idle connection was opened, or that a connection
// ended. If the connection ended during an attempt, the event follows right after
// the UpstreamReply. Connections closed by request of the core are not reported.
type UpstreamConn struct {
	Upstream UpstreamID
	Open     bool
}

// UpstreamProbe is the result of a health or load endpoint, which may be delayed or
// wrong.
type UpstreamProbe struct {
	Upstream UpstreamID
	Healthy  bool
	Draining bool
	Instance string
}

// TopologyChanged delivers a newer accepted configuration.
type TopologyChanged struct{ Topology *Topology }

// PlatformReply is the result of a PlatformCall.
type PlatformReply struct {
	Operation uint64
	// Kind is OK, Conflict (the version did not match), UnknownName (no such
	// object) or PlatformUnavailable (the outcome is unknown).
	Kind Kind
	// Version is that of the object; with UnknownName it holds only the era of the
	// platform, see PositionOf.
	Version uint64
	Value   []byte
}

// PlatformChanged is a newer state of a watched object. An object that was lost in a
// restore of the platform has a version without a revision and no value.
type PlatformChanged struct {
	Key     string
	Version uint64
	Value   []byte
}

// HostListed is the platform's list of hosts, which may be outdated.
type HostListed struct{ Hosts []HostInfo }

// HostInfo is one entry of the host list.
type HostInfo struct {
	Host    HostID
	Address string // "ip:port" of the peer service
	Domain  DomainID
	Leaving bool
}

// StopRequested starts the planned stop of this host.
type StopRequested struct{}

// Tick only runs the timers that are due.
type Tick struct{}

func (CallerRequest) event()   {}
func (CallerGone) event()      {}
func (PeerMessage) event()     {}
func (PeerLost) event()        {}
func (UpstreamReply) event()   {}
func (UpstreamConn) event()    {}
func (UpstreamProbe) event()   {}
func (TopologyChanged) event() {}
func (PlatformReply) event()   {}
func (PlatformChanged) event() {}
func (HostListed) event()      {}
func (StopRequested) event()   {}
func (Tick) event()            {}
