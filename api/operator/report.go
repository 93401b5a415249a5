package operator

import (
	"errors"
	"slices"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/resource"
)

// applyAcceptable applies the acceptable part of a request: it removes refused
// edits and applies the remaining ones again until no edit is refused.
func applyAcceptable(d *resource.Document, request resource.Request) (*resource.Document, *ChangeReport) {
	refused := map[resource.Ref]ObjectReport{}
	remaining := request
	remaining.Edits = slices.Clone(request.Edits)
	for len(remaining.Edits) > 0 {
		next, err := resource.Apply(d, remaining)
		if err == nil {
			return next, buildReport(next, request, refused)
		}
		remaining.Edits = removeRefused(remaining.Edits, err, refused)
	}
	return d, buildReport(d, request, refused)
}

// removeRefused adds the edits whose objects an error names to refused, and
// returns the other edits. An error that names none of them refuses all.
func removeRefused(edits []resource.Edit, err error, refused map[resource.Ref]ObjectReport) []resource.Edit {
	kind, reasons := core.Internal, []resource.Refusal{{Reason: err.Error()}}
	var r *resource.Refused
	if errors.As(err, &r) {
		kind, reasons = r.Kind, r.Refusals
	}
	ownReasons := func(e resource.Edit) []resource.Refusal {
		var own []resource.Refusal
		for _, reason := range reasons {
			if reason.Object == e.Object.Ref().String() {
				own = append(own, reason)
			}
		}
		return own
	}
	var remaining []resource.Edit
	for _, e := range edits {
		own := ownReasons(e)
		if len(own) == 0 {
			remaining = append(remaining, e)
			continue
		}
		refused[e.Object.Ref()] = refusedReport(e, kind, own)
	}
	if len(remaining) < len(edits) {
		return remaining
	}
	for _, e := range edits {
		refused[e.Object.Ref()] = refusedReport(e, kind, reasons)
	}
	return nil
}

func refusedReport(e resource.Edit, kind core.Kind, reasons []resource.Refusal) ObjectReport {
	return ObjectReport{Object: e.Object.Ref().String(), Outcome: OutcomeRefused, Kind: kind.String(), Errors: reasons}
}

// buildReport reports the outcome of each object of a request; d is the document
// that contains the accepted part.
func buildReport(d *resource.Document, request resource.Request, refused map[resource.Ref]ObjectReport) *ChangeReport {
	changed := map[resource.Ref]bool{}
	if change := d.Operation(request.Operation); change != nil {
		for _, o := range change.Objects {
			changed[o.Ref] = true
		}
	}
	report := &ChangeReport{Operation: request.Operation, Generation: d.Generation}
	for _, e := range request.Edits {
		ref := e.Object.Ref()
		one, isRefused := refused[ref]
		if !isRefused {
			one = ObjectReport{Object: ref.String(), Outcome: OutcomeUnchanged, Version: versionOf(d, ref)}
			if changed[ref] {
				one.Outcome = OutcomeAccepted
			}
		}
		report.Objects = append(report.Objects, one)
	}
	return report
}

// versionOf returns the version of an object, or 0 if it does not exist.
func versionOf(d *resource.Document, ref resource.Ref) uint64 {
	if o := d.Find(ref); o != nil {
		return o.Version
	}
	return 0
}

// reportEarlier reports on a request whose operation id was already accepted.
// Objects of the earlier change are reported as accepted. Others are unchanged if
// the document already holds the requested spec, and refused otherwise.
func reportEarlier(d *resource.Document, earlier *resource.Change, request resource.Request) *ChangeReport {
	versions := map[resource.Ref]uint64{}
	for _, o := range earlier.Objects {
		versions[o.Ref] = o.To
	}
	report := &ChangeReport{Operation: request.Operation, Generation: earlier.Generation}
	for _, e := range request.Edits {
		ref := e.Object.Ref()
		version, accepted := versions[ref]
		one := ObjectReport{Object: ref.String(), Outcome: OutcomeAccepted, Version: version}
		if !accepted {
			one = refusedReport(e, core.Conflict, []resource.Refusal{{
				Object: ref.String(),
				Reason: "is not among what this operation id was accepted for; send it under a new one",
			}})
			if o := d.Find(ref); o != nil && !e.Delete && resource.SameSpec(o, &e.Object) {
				one = ObjectReport{Object: ref.String(), Outcome: OutcomeUnchanged, Version: o.Version}
			}
		}
		report.Objects = append(report.Objects, one)
	}
	return report
}
