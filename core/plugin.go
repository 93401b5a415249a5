package core

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Replica is one upstream that a router may choose, with its current load.
type Replica struct {
	Upstream UpstreamID
	Owner    HostID
	// Queued and Running are taken from the owner's last report, plus the attempts
	// that this host has sent since. Wait is the estimated wait of a sub-query sent
	// now.
	Queued, Running, Limit int
	Wait                   time.Duration
	Cold                   bool
}

// Router chooses the upstream for a sub-query.
type Router interface {
	// Pick returns an index into replicas, which is not empty.
	Pick(service ServiceID, replicas []Replica) int
}

// Hedger sets the delay after which a sub-query without a reply is hedged.
type Hedger interface {
	// Observe records the duration of a successful sub-query.
	Observe(service ServiceID, took time.Duration)
	// Delay returns the hedge delay; false for no hedge.
	Delay(service ServiceID) (time.Duration, bool)
}

// AdmissionInput is the basis for the admission of a query.
type AdmissionInput struct {
	Remaining time.Duration
	// Expected is the largest sum of expected wait and service time among the
	// services needed, each at its best replica.
	Expected time.Duration
	Priority int32
	// Running is the number of queries in flight on this host.
	Running int
}

// Admission decides on arrival whether a query can be answered in time.
type Admission interface {
	// Admit returns OK, or the kind of the refusal and the delay before a retry.
	Admit(in AdmissionInput) (Kind, time.Duration)
}

// Limiter limits the work in flight on one upstream: to its slots when warm, to its
// cold-start budget when cold. Each upstream has its own Limiter.
type Limiter interface {
	// Limit returns how many attempts may run now; nextStart is the earliest
	// time at which one more may start.
	Limit(now time.Time) (limit int, nextStart time.Time)
	Started(now time.Time)
	Succeeded(now time.Time, took time.Duration)
	// Failed reports an attempt that did not succeed. The kinds Cancelled, by which
	// this host cancelled the attempt, and SnapshotGone are not failures of the
	// upstream.
	Failed(now time.Time, kind Kind)
	// Restarted reports that the upstream is, or may be, in a cold start.
	Restarted(now time.Time)
	Cold(now time.Time) bool
}

// PolicyOptions is the input of a policy constructor.
type PolicyOptions struct {
	Random *rand.Rand
	// Parameters are the settings of the policy, validated by the constructor.
	Parameters map[string]string
}

// Policies is a registry of the plug-ins of one kind. Each plug-in registers itself
// under a name.
type Policies[T any] struct {
	kind         string
	constructors map[string]func(PolicyOptions) (T, error)
}

// The registries, one per kind of policy.
var (
	Routers    = newPolicies[Router]("router")
	Hedgers    = newPolicies[Hedger]("hedger")
	Admissions = newPolicies[Admission]("admission")
	// Limiters create one Limiter per upstream.
	Limiters = newPolicies[func(*Upstream) Limiter]("limiter")
)

func newPolicies[T any](kind string) *Policies[T] {
	return &Policies[T]{kind: kind, constructors: map[string]func(PolicyOptions) (T, error){}}
}

// Register adds a policy. It is called from init functions only and panics if the
// name is already registered, which is a programming error.
func (p *Policies[T]) Register(name string, constructor func(PolicyOptions) (T, error)) {
	if _, taken := p.constructors[name]; taken {
		panic(fmt.Sprintf("%s plug-in %q registered twice", p.kind, name))
	}
	p.constructors[name] = constructor
}

// New creates the policy with the given name. For an unknown name, the error lists
// the registered names.
func (p *Policies[T]) New(name string, o PolicyOptions) (T, error) {
	constructor, known := p.constructors[name]
	if !known {
		var none T
		return none, Errorf(InvalidRequest, "unknown %s %q, known: %v", p.kind, name, p.Names())
	}
	return constructor(o)
}

// Names returns the registered names, sorted.
func (p *Policies[T]) Names() []string {
	names := make([]string, 0, len(p.constructors))
	for name := range p.constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
