package resource

import (
	"slices"

	"github.com/samphirebeam/samphirebeam/core"
)

// validateSafety reports each scope whose declared reach could be met before the
// change but not after it. A scope that was already below its reach does not
// block a change. The refusal is reported on the edits that may reduce capacity.
func validateSafety(before, after *Document, edits []Edit, out *refusals) {
	oldTopology, newTopology := Compile(before), Compile(after)
	for _, id := range sortedScopes(newTopology) {
		scope := newTopology.Scopes[id]
		oldScope := oldTopology.Scopes[id]
		if oldScope == nil || reachableFraction(oldTopology, oldScope) < oldScope.Reach {
			continue
		}
		fraction := reachableFraction(newTopology, scope)
		if fraction >= scope.Reach {
			continue
		}
		for _, edit := range reducingEdits(edits) {
			out.add(edit.Object.Ref(), safetyField(edit),
				"would leave Scope/%s with a reach of %.3g, below its declared %.3g; send it with override to do so all the same",
				id, fraction, scope.Reach)
		}
	}
}

// reducingEdits returns the edits that may reduce capacity, or all edits if there
// are none.
func reducingEdits(edits []Edit) []Edit {
	var reducing []Edit
	for _, e := range edits {
		if e.Delete || mayReduceCapacity(e.Object.Spec) {
			reducing = append(reducing, e)
		}
	}
	if len(reducing) == 0 {
		return edits
	}
	return reducing
}

func mayReduceCapacity(s Spec) bool {
	switch spec := s.(type) {
	case *FailureDomainSpec:
		return spec.State != StateIn
	case *UpstreamSpec:
		return spec.State != StateIn
	default:
		return true
	}
}

func safetyField(e Edit) string {
	if e.Delete {
		return "name"
	}
	switch e.Object.Kind {
	case FailureDomain, Upstream:
		return "spec.state"
	default:
		return "spec"
	}
}

func sortedScopes(t *core.Topology) []core.ScopeID {
	ids := make([]core.ScopeID, 0, len(t.Scopes))
	for id := range t.Scopes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reachableFraction returns the fraction of a scope's space that is held by
// services with at least one usable upstream. It is computed at the newest index
// version that covers the whole space, and is 0 if there is no such version.
func reachableFraction(t *core.Topology, scope *core.Scope) float64 {
	version := newestCompleteVersion(t, scope)
	if version == 0 {
		return 0
	}
	var covered float64
	for _, id := range scope.Services {
		if !hasUsableUpstream(t, t.Services[id]) {
			continue
		}
		for _, keys := range t.Services[id].Ranges[version] {
			covered += keyCount(keys)
		}
	}
	return covered / keyCount(scope.Space)
}

func hasUsableUpstream(t *core.Topology, s *core.Service) bool {
	return slices.ContainsFunc(s.Upstreams, t.AcceptsWork)
}

// newestCompleteVersion returns the newest index version that all services of the
// scope declare and whose ranges tile its space, or 0 if there is none.
func newestCompleteVersion(t *core.Topology, scope *core.Scope) uint64 {
	var newest uint64
	for version := range t.Services[scope.Services[0]].Ranges {
		if version > newest && tiles(rangesAt(t, scope, version), scope.Space) {
			newest = version
		}
	}
	return newest
}

// rangesAt returns the sorted ranges of all services of a scope at a version, or
// nil if any of them does not declare that version.
func rangesAt(t *core.Topology, scope *core.Scope, version uint64) []core.KeyRange {
	var all []core.KeyRange
	for _, id := range scope.Services {
		ranges := t.Services[id].Ranges[version]
		if len(ranges) == 0 {
			return nil
		}
		all = append(all, ranges...)
	}
	slices.SortFunc(all, compareRanges)
	return all
}
