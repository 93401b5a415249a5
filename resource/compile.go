package resource

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Compile builds the topology of a document.
func Compile(d *Document) *core.Topology {
	t := &core.Topology{
		Generation: d.Generation,
		Domains:    map[core.DomainID]core.DomainState{},
		Services:   map[core.ServiceID]*core.Service{},
		Upstreams:  map[core.UpstreamID]*core.Upstream{},
		Scopes:     map[core.ScopeID]*core.Scope{},
	}
	for i := range d.Objects {
		name := d.Objects[i].Name
		switch spec := d.Objects[i].Spec.(type) {
		case *FailureDomainSpec:
			t.Domains[core.DomainID(name)] = coreStates[spec.State]
		case *ServiceSpec:
			t.Services[core.ServiceID(name)] = compileService(name, spec)
		case *UpstreamSpec:
			t.Upstreams[core.UpstreamID(name)] = compileUpstream(name, spec)
		case *ScopeSpec:
			t.Scopes[core.ScopeID(name)] = compileScope(name, spec)
		}
	}
	attachUpstreams(t)
	return t
}

func compileService(name string, spec *ServiceSpec) *core.Service {
	s := &core.Service{ID: core.ServiceID(name), Ranges: map[uint64][]core.KeyRange{}}
	for _, v := range spec.Versions {
		s.Ranges[v.Version] = slices.SortedFunc(slices.Values(v.Ranges), compareRanges)
	}
	return s
}

func compileUpstream(name string, spec *UpstreamSpec) *core.Upstream {
	return &core.Upstream{
		ID:          core.UpstreamID(name),
		Service:     core.ServiceID(spec.Service),
		Domain:      core.DomainID(spec.FailureDomain),
		Address:     spec.Address,
		State:       coreStates[spec.State],
		Slots:       spec.Slots,
		Connections: spec.Connections,
		Cold: core.ColdStart{
			Rate: spec.ColdStart.RatePerSecond,
			Warm: time.Duration(spec.ColdStart.WarmTime),
		},
	}
}

func compileScope(name string, spec *ScopeSpec) *core.Scope {
	s := &core.Scope{
		ID:          core.ScopeID(name),
		Space:       spec.Space,
		Reach:       spec.Reach,
		RefuseBelow: spec.BelowReach == BelowReachRefuse,
	}
	for _, service := range spec.Services {
		s.Services = append(s.Services, core.ServiceID(service))
	}
	slices.Sort(s.Services)
	return s
}

// attachUpstreams fills in the sorted upstream list of each service.
func attachUpstreams(t *core.Topology) {
	for id, u := range t.Upstreams {
		service := t.Services[u.Service]
		service.Upstreams = append(service.Upstreams, id)
	}
	for _, service := range t.Services {
		slices.Sort(service.Upstreams)
	}
}
