package core

import "time"

// DomainState is the administrative state of a failure domain or an upstream.
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

// KeyRange is the half-open range [From, To) of index keys. To = 0 means the end of
// the key space.
type KeyRange struct {
	From uint64 `json:"from" yaml:"from"`
	To   uint64 `json:"to" yaml:"to"`
}

// Topology is the accepted configuration, compiled for use by the roles. It is
// immutable: each new generation is a new Topology.
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
	// Ranges maps an index version to the key ranges of the service at that version;
	// empty for a service that serves plain calls only.
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
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the largest number of connections to the server from all hosts
	// together.
	Connections int
	Cold        ColdStart
}

// ColdStart describes the load that an upstream tolerates after a start: at first
// Rate requests per second, one at a time, rising to full load over Warm.
type ColdStart struct {
	Rate float64
	Warm time.Duration
}

// Scope declares the services and the key range that a query covers.
type Scope struct {
	ID       ScopeID
	Services []ServiceID // sorted
	// Space is the key range that a complete answer covers.
	Space KeyRange
	// Reach is the smallest fraction of Space, from 0 to 1, that an answer must cover.
	Reach float64
	// RefuseBelow selects an answer of kind ReachNotMet, instead of a partial answer,
	// if the coverage is below Reach.
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
