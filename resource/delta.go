package resource

import (
	"encoding/json"
	"slices"

	"github.com/samphirebeam/samphirebeam/core"
)

// Delta holds what changed from generation Since to a later Generation.
type Delta struct {
	Since      uint64   `json:"since"`
	Generation uint64   `json:"generation"`
	Objects    []Object `json:"objects"`
	Deleted    []Ref    `json:"deleted,omitempty"`
	Changes    []Change `json:"changes"`
	// Checksum is the checksum of the resulting document.
	Checksum uint64 `json:"checksum"`
}

// DiffSince returns what changed after a generation. It returns false if the
// document no longer holds the changes since then, or if since is not older than
// the document.
func DiffSince(d *Document, since uint64) (*Delta, bool) {
	if since >= d.Generation || d.Generation-since > uint64(len(d.Changes)) {
		return nil, false
	}
	delta := &Delta{
		Since:      since,
		Generation: d.Generation,
		Changes:    d.Changes[len(d.Changes)-int(d.Generation-since):],
		Checksum:   d.sum,
	}
	for _, ref := range changedRefs(delta.Changes) {
		if o := d.Find(ref); o != nil {
			delta.Objects = append(delta.Objects, *o)
		} else {
			delta.Deleted = append(delta.Deleted, ref)
		}
	}
	return delta, true
}

// changedRefs returns the sorted refs of all changed objects, without
// duplicates.
func changedRefs(changes []Change) []Ref {
	var refs []Ref
	for _, change := range changes {
		for _, o := range change.Objects {
			refs = append(refs, o.Ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return slices.Compact(refs)
}

// Patch returns the document that results from applying a delta to d. A delta
// that starts after d's generation, or ends at or before it, returns Conflict. A
// result that is invalid or has another checksum returns InvalidRequest. A delta
// may start before d's generation, since it holds the final state of every
// object that it changes.
func Patch(d *Document, delta *Delta) (*Document, error) {
	if delta.Since > d.Generation || delta.Generation <= d.Generation {
		return nil, core.Errorf(core.Conflict, "delta from generation %d to %d, document at %d", delta.Since, delta.Generation, d.Generation)
	}
	known := d.Generation - delta.Since
	if known > uint64(len(delta.Changes)) {
		return nil, core.Errorf(core.InvalidRequest, "delta to generation %d lacks changes", delta.Generation)
	}
	next := patchObjects(d, delta)
	next.Changes = trimChanges(append(slices.Clone(d.Changes), delta.Changes[known:]...))
	if err := next.computeChecksum(); err != nil {
		return nil, err
	}
	if next.sum != delta.Checksum {
		return nil, core.Errorf(core.InvalidRequest, "delta to generation %d has another checksum", delta.Generation)
	}
	// Objects that the delta does not contain were already validated in d.
	var out refusals
	next.checkObjects(delta.Objects, &out)
	if err := next.checkConsistency(&out); err != nil {
		return nil, err
	}
	return next, nil
}

func patchObjects(d *Document, delta *Delta) *Document {
	next := &Document{Generation: delta.Generation, Objects: slices.Clone(d.Objects)}
	for _, ref := range delta.Deleted {
		if i, found := next.search(ref); found {
			next.Objects = slices.Delete(next.Objects, i, i+1)
		}
	}
	for _, o := range delta.Objects {
		if i, found := next.search(o.Ref()); found {
			next.Objects[i] = o
		} else {
			next.Objects = slices.Insert(next.Objects, i, o)
		}
	}
	return next
}

// Encode returns the delta as JSON.
func (d *Delta) Encode() ([]byte, error) { return json.Marshal(d) }

// DecodeDelta reads an encoded delta.
func DecodeDelta(data []byte) (*Delta, error) {
	d := &Delta{}
	if err := unmarshalStrict(data, d); err != nil {
		return nil, core.Errorf(core.InvalidRequest, "configuration delta: %v", err)
	}
	return d, nil
}
