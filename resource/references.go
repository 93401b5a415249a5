package resource

import (
	"fmt"
	"slices"

	"github.com/samphirebeam/samphirebeam/core"
)

// referenceChecker checks the references between the objects of a document.
type referenceChecker struct {
	doc *Document
	// deleted holds the objects that the change deletes. A reference to one of
	// them is reported on the deleted object, not on the referring one.
	deleted map[Ref]bool
	out     *refusals
}

// validateReferences reports references to missing objects and conflicts between
// objects: an upstream missing from its service's list or listed by another
// service, an address that is used twice, and overlapping key ranges within a
// scope.
func validateReferences(d *Document, deleted map[Ref]bool, out *refusals) {
	r := &referenceChecker{doc: d, deleted: deleted, out: out}
	upstreamsByService := map[string][]string{}
	addresses := map[string]Ref{}
	for i := range d.Objects {
		o := &d.Objects[i]
		if spec, ok := o.Spec.(*UpstreamSpec); ok {
			r.checkUpstream(o.Ref(), spec, addresses)
			upstreamsByService[spec.Service] = append(upstreamsByService[spec.Service], o.Name)
		}
	}
	for i := range d.Objects {
		o := &d.Objects[i]
		switch spec := o.Spec.(type) {
		case *ServiceSpec:
			r.checkService(o.Ref(), spec, upstreamsByService[o.Name])
		case *ScopeSpec:
			r.checkScope(o.Ref(), spec)
		}
	}
}

// requireExists reports whether the object to exists, and adds a refusal if it
// does not.
func (r *referenceChecker) requireExists(from Ref, field string, to Ref) bool {
	if r.doc.Find(to) != nil {
		return true
	}
	if r.deleted[to] {
		r.out.add(to, "name", "is still named by %s %s", from, field)
		return false
	}
	r.out.add(from, field, "names %s, which does not exist", to)
	return false
}

func (r *referenceChecker) checkUpstream(ref Ref, spec *UpstreamSpec, addresses map[string]Ref) {
	r.requireExists(ref, "spec.failureDomain", Ref{FailureDomain, spec.FailureDomain})
	if r.requireExists(ref, "spec.service", Ref{Service, spec.Service}) {
		service := r.doc.Find(Ref{Service, spec.Service}).Spec.(*ServiceSpec)
		if len(service.Upstreams) > 0 && !slices.Contains(service.Upstreams, ref.Name) {
			r.out.add(ref, "spec.service", "names Service/%s, whose spec.upstreams does not list it", spec.Service)
		}
	}
	if other, taken := addresses[spec.Address]; taken {
		r.out.add(ref, "spec.address", "%s is already the address of %s", spec.Address, other)
		return
	}
	addresses[spec.Address] = ref
}

func (r *referenceChecker) checkService(ref Ref, spec *ServiceSpec, serviceUpstreams []string) {
	for i, name := range spec.Upstreams {
		field := fmt.Sprintf("spec.upstreams[%d]", i)
		if r.requireExists(ref, field, Ref{Upstream, name}) && !slices.Contains(serviceUpstreams, name) {
			r.out.add(ref, field, "names Upstream/%s, which belongs to another service", name)
		}
	}
}

func (r *referenceChecker) checkScope(ref Ref, spec *ScopeSpec) {
	complete := true
	for i, name := range spec.Services {
		field := fmt.Sprintf("spec.services[%d]", i)
		complete = r.requireExists(ref, field, Ref{Service, name}) && complete
	}
	if complete {
		r.checkOverlaps(ref, spec)
	}
}

// serviceRange is a key range with the service and field that declare it.
type serviceRange struct {
	core.KeyRange
	service string
	field   string
}

// checkOverlaps reports key ranges of a scope's services that overlap at the same
// index version: a merge would count those keys twice.
func (r *referenceChecker) checkOverlaps(ref Ref, spec *ScopeSpec) {
	byVersion := map[uint64][]serviceRange{}
	for _, name := range spec.Services {
		service := r.doc.Find(Ref{Service, name}).Spec.(*ServiceSpec)
		for i, v := range service.Versions {
			for j, keys := range v.Ranges {
				field := fmt.Sprintf("spec.versions[%d].ranges[%d]", i, j)
				byVersion[v.Version] = append(byVersion[v.Version], serviceRange{keys, name, field})
			}
		}
	}
	for version, ranges := range byVersion {
		slices.SortFunc(ranges, func(a, b serviceRange) int { return compareRanges(a.KeyRange, b.KeyRange) })
		for i := 1; i < len(ranges); i++ {
			if lastKey(ranges[i-1].KeyRange) >= ranges[i].From {
				r.reportOverlap(ref, version, ranges[i-1], ranges[i])
			}
		}
	}
}

// reportOverlap reports an overlap on the service that changed last.
func (r *referenceChecker) reportOverlap(scope Ref, version uint64, a, b serviceRange) {
	newer, other := b, a
	refA, refB := Ref{Service, a.service}, Ref{Service, b.service}
	if r.doc.Find(refA).Version > r.doc.Find(refB).Version {
		newer, other = a, b
	}
	r.out.add(Ref{Service, newer.service}, newer.field, "%s overlaps %s of Service/%s at index version %d within %s",
		formatRange(newer.KeyRange), formatRange(other.KeyRange), other.service, version, scope)
}
