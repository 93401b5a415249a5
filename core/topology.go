package core

import "time"

// DomainState says whether a failure domain or upstream may take work.
type DomainState int

// The states of a failure domain or upstream.
const (
	In DomainState = iota
	Leaving
	Out
)

// String returns the state as operators write it.
func (s DomainState) String() string {
	switch s {
	case In:
		return "in"
	case Leaving:
		return "leaving"
	default:
		return "out"
	}
}

// KeyRange is the half-open range [From, To) of index keys. To = 0 stands for
// the end of the key space.
type KeyRange struct {
	From uint64 `json:"from" yaml:"from"`
	To   uint64 `json:"to" yaml:"to"`
}

// Topology is the accepted configuration in the form that decisions read. It
// is never changed after it was built: a new generation is a new Topology.
type Topology struct {
	Generation uint64
	Domains    map[DomainID]DomainState
	Services   map[ServiceID]*Service
	Upstreams  map[UpstreamID]*Upstream
	Scopes     map[ScopeID]*Scope
}

// Service is one shard of an index, or the target of plain calls.
type Service struct {
	ID        ServiceID
	Upstreams []UpstreamID // sorted
	// Ranges maps an index version to the key ranges that the service holds at
	// that version; empty for a service that takes plain calls only.
	Ranges map[uint64][]KeyRange
}

// Upstream is one server and its limits.
type Upstream struct {
	ID      UpstreamID
	Service ServiceID
	Domain  DomainID
	// Address is "ip:port".
	Address string
	State   DomainState
	// Slots is how many requests the server runs at once.
	Slots int
	// Connections is the most connections that the server takes, tier-wide.
	Connections int
	Cold        ColdStart
}

// ColdStart is what an upstream bears after a start: Rate requests per second
// at first, one at a time, growing to full over Warm.
type ColdStart struct {
	Rate float64
	Warm time.Duration
}

// Scope declares what a query reaches.
type Scope struct {
	ID       ScopeID
	Services []ServiceID // sorted
	// Space is the key range that a whole answer covers.
	Space KeyRange
	// Reach is the least share of Space, between 0 and 1, that an answer needs.
	Reach float64
	// RefuseBelow answers ReachNotMet below Reach in place of a partial answer.
	RefuseBelow bool
}

// AcceptsWork reports whether an upstream may be given new work: both the upstream
// and its failure domain are in.
func (t *Topology) AcceptsWork(id UpstreamID) bool {
	u := t.Upstreams[id]
	if u == nil || u.State != In {
		return false
	}
	state, known := t.Domains[u.Domain]
	return known && state == In
}
