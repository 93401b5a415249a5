package resource

import (
	"bytes"
	"cmp"
	"encoding/json"

	"github.com/samphirebeam/samphirebeam/core"
)

// Kind is the type name of an object.
type Kind string

// The kinds of objects.
const (
	FailureDomain Kind = "FailureDomain"
	Service       Kind = "Service"
	Upstream      Kind = "Upstream"
	Scope         Kind = "Scope"
)

// Kinds returns every kind, referenced kinds before those that refer to them.
func Kinds() []Kind { return []Kind{FailureDomain, Service, Upstream, Scope} }

// State determines whether a failure domain or upstream receives work.
type State string

// The states.
const (
	StateIn      State = "in"
	StateLeaving State = "leaving"
	StateOut     State = "out"
)

var coreStates = map[State]core.DomainState{
	StateIn:      core.In,
	StateLeaving: core.Leaving,
	StateOut:     core.Out,
}

// BelowReach selects the answer to a query that does not meet its scope's reach.
type BelowReach string

// The choices for BelowReach.
const (
	BelowReachPartial BelowReach = "partial"
	BelowReachRefuse  BelowReach = "refuse"
)

// Ref identifies an object by kind and name.
type Ref struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Spec is what an operator declares of one object: *FailureDomainSpec,
// *ServiceSpec, *UpstreamSpec or *ScopeSpec.
type Spec interface {
	kind() Kind
	// setDefaults fills in fields that the operator omitted.
	setDefaults()
	// validate reports each invalid field with its path and a reason, without
	// looking at other objects.
	validate(report func(field, reason string))
}

// Object is one declared object.
type Object struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
	// Version is the generation of the document in which the object last
	// changed. In a change, a version other than 0 is a condition.
	Version uint64 `json:"version,omitempty" yaml:"version,omitempty"`
	Spec    Spec   `json:"spec" yaml:"spec"`
	// Status is reported by the system. It is ignored in requests and not stored
	// in the document.
	Status *Status `json:"status,omitempty" yaml:"status,omitempty"`

	// sum caches the object's checksum; 0 means that it is not computed yet.
	sum uint64
}

// Status reports how far an object's version is rolled out.
type Status struct {
	// InForce is true if every live host applies this version of the object.
	InForce bool `json:"inForce" yaml:"inForce"`
	// Hosts is the number of live hosts, HostsInForce how many of them apply this
	// version.
	Hosts        int `json:"hosts" yaml:"hosts"`
	HostsInForce int `json:"hostsInForce" yaml:"hostsInForce"`
}

// Ref returns the object's kind and name.
func (o *Object) Ref() Ref { return Ref{o.Kind, o.Name} }

// FailureDomainSpec declares a failure domain.
type FailureDomainSpec struct {
	// State is "in" when left out.
	State State `json:"state" yaml:"state"`
}

// ServiceSpec declares a service: either one shard of an index, or a target of
// plain calls, which has no index versions.
type ServiceSpec struct {
	// Upstreams is optional. If set, it must list every upstream whose spec names
	// this service.
	Upstreams []string       `json:"upstreams,omitempty" yaml:"upstreams,omitempty"`
	Versions  []IndexVersion `json:"versions,omitempty" yaml:"versions,omitempty"`
}

// IndexVersion declares the key ranges that a service holds at an index version.
type IndexVersion struct {
	Version uint64          `json:"version" yaml:"version"`
	Ranges  []core.KeyRange `json:"ranges" yaml:"ranges"`
}

// UpstreamSpec declares one upstream server and its limits.
type UpstreamSpec struct {
	Service       string `json:"service" yaml:"service"`
	FailureDomain string `json:"failureDomain" yaml:"failureDomain"`
	// Address is "ip:port".
	Address string `json:"address" yaml:"address"`
	// State is "in" when left out.
	State State `json:"state" yaml:"state"`
	// Slots is how many requests the server runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the maximum number of connections to the server from all
	// hosts together.
	Connections int       `json:"connections" yaml:"connections"`
	ColdStart   ColdStart `json:"coldStart" yaml:"coldStart"`
}

// ColdStart declares the load that an upstream can handle after a start.
type ColdStart struct {
	// RatePerSecond is the initial request rate.
	RatePerSecond float64 `json:"ratePerSecond" yaml:"ratePerSecond"`
	// WarmTime is how long the ramp to full load takes, such as "30s".
	WarmTime Duration `json:"warmTime" yaml:"warmTime"`
}

// ScopeSpec declares the services that a query is sent to.
type ScopeSpec struct {
	Services []string `json:"services" yaml:"services"`
	// Space is the key range that a complete answer covers.
	Space core.KeyRange `json:"space" yaml:"space"`
	// Reach is the minimum fraction of Space, 0 to 1, that an answer must cover.
	Reach float64 `json:"reach" yaml:"reach"`
	// BelowReach is "partial" when left out.
	BelowReach BelowReach `json:"belowReach" yaml:"belowReach"`
}

func (*FailureDomainSpec) kind() Kind { return FailureDomain }
func (*ServiceSpec) kind() Kind       { return Service }
func (*UpstreamSpec) kind() Kind      { return Upstream }
func (*ScopeSpec) kind() Kind         { return Scope }

func (s *FailureDomainSpec) setDefaults() { s.State = cmp.Or(s.State, StateIn) }
func (s *UpstreamSpec) setDefaults()      { s.State = cmp.Or(s.State, StateIn) }
func (s *ScopeSpec) setDefaults()         { s.BelowReach = cmp.Or(s.BelowReach, BelowReachPartial) }

func (s *ServiceSpec) setDefaults() {
	// An empty list and an omitted one mean the same. Both become nil, since
	// Apply compares specs with DeepEqual.
	if len(s.Upstreams) == 0 {
		s.Upstreams = nil
	}
	if len(s.Versions) == 0 {
		s.Versions = nil
	}
}

// newSpec returns an empty spec of a kind, or nil for an unknown kind.
func newSpec(k Kind) Spec {
	switch k {
	case FailureDomain:
		return &FailureDomainSpec{}
	case Service:
		return &ServiceSpec{}
	case Upstream:
		return &UpstreamSpec{}
	case Scope:
		return &ScopeSpec{}
	default:
		return nil
	}
}

// rawObject is an Object whose spec is not decoded yet, since its type depends on
// the kind.
type rawObject struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
	Status  *Status         `json:"status"`
}

// UnmarshalJSON decodes an object. Unknown kinds and unknown fields are errors.
func (o *Object) UnmarshalJSON(data []byte) error {
	var raw rawObject
	if err := unmarshalStrict(data, &raw); err != nil {
		return err
	}
	spec := newSpec(raw.Kind)
	if spec == nil {
		return core.Errorf(core.InvalidRequest, "unknown kind %q", raw.Kind)
	}
	if len(raw.Spec) > 0 {
		if err := unmarshalStrict(raw.Spec, spec); err != nil {
			return err
		}
	}
	spec.setDefaults()
	*o = Object{Kind: raw.Kind, Name: raw.Name, Version: raw.Version, Spec: spec, Status: raw.Status}
	return nil
}

func unmarshalStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
