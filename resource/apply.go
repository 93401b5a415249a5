package resource

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Request is an operator's request to change objects: either all edits apply
// or none does.
type Request struct {
	// Operation is the idempotency key: a request that is sent again with the
	// same operation is accepted only once.
	Operation string
	Operator  string
	Time      time.Time
	// Override also accepts a change that leaves a scope below its declared
	// reach.
	Override bool
	Edits    []Edit
}

// Edit writes or deletes one object.
type Edit struct {
	// Object is the new state; for a deletion only its kind and name are used.
	Object Object
	Delete bool
	// Match is the version that the object must have for the edit to apply. Nil
	// sets no condition; 0 requires that the object does not exist.
	Match *uint64
}

// Apply returns the document that results from the request. It returns d itself
// if d already records the request's operation, or if the request changes
// nothing. An invalid request returns a *Refused with every reason.
func Apply(d *Document, r Request) (*Document, error) {
	if r.Operation != "" && d.Operation(r.Operation) != nil {
		return d, nil
	}
	if err := validateEdits(r.Edits); err != nil {
		return nil, err
	}
	var out refusals
	if checkVersions(d, r.Edits, &out); len(out.list) > 0 {
		return nil, out.err(core.Conflict)
	}
	if checkDeletions(d, r.Edits, &out); len(out.list) > 0 {
		return nil, out.err(core.UnknownName)
	}
	next, change := buildNext(d, r)
	if len(change.Objects) == 0 {
		return d, nil
	}
	if err := validateChange(d, next, r); err != nil {
		return nil, err
	}
	if _, err := next.Encode(); err != nil {
		return nil, err
	}
	return next, next.computeChecksum()
}

func checkVersions(d *Document, edits []Edit, out *refusals) {
	for _, e := range edits {
		if e.Match == nil {
			continue
		}
		var version uint64
		if o := d.Find(e.Object.Ref()); o != nil {
			version = o.Version
		}
		if version != *e.Match {
			out.add(e.Object.Ref(), "version", "is %d, not %d: the object changed meanwhile", version, *e.Match)
		}
	}
}

func checkDeletions(d *Document, edits []Edit, out *refusals) {
	for _, e := range edits {
		if e.Delete && d.Find(e.Object.Ref()) == nil {
			out.add(e.Object.Ref(), "name", "does not exist")
		}
	}
}

func validateEdits(edits []Edit) error {
	if len(edits) > MaxEdits {
		return newTextRefusal(core.TooLarge, 0, fmt.Sprintf("%d objects in one request of at most %d", len(edits), MaxEdits))
	}
	var out refusals
	seen := map[Ref]bool{}
	for i := range edits {
		ref := edits[i].Object.Ref()
		if seen[ref] {
			out.add(ref, "name", "is in the request twice")
		}
		seen[ref] = true
		if !edits[i].Delete {
			validateObject(&edits[i].Object, &out)
		}
	}
	return out.err(core.InvalidRequest)
}

func validateChange(before, after *Document, r Request) error {
	deleted := map[Ref]bool{}
	for _, e := range r.Edits {
		if e.Delete {
			deleted[e.Object.Ref()] = true
		}
	}
	var out refusals
	if validateReferences(after, deleted, &out); len(out.list) > 0 {
		return out.err(core.InvalidRequest)
	}
	if !r.Override {
		validateSafety(before, after, r.Edits, &out)
	}
	return out.err(core.InvalidRequest)
}

// buildNext returns the document and the change that result from the request,
// without validating them.
func buildNext(d *Document, r Request) (*Document, *Change) {
	next := &Document{Generation: d.Generation + 1, Objects: slices.Clone(d.Objects)}
	change := Change{
		Generation: next.Generation,
		Operation:  r.Operation,
		Operator:   r.Operator,
		UnixMilli:  r.Time.UnixMilli(),
		Override:   r.Override,
	}
	for _, e := range r.Edits {
		if c, changed := next.applyEdit(e); changed {
			change.Objects = append(change.Objects, c)
		}
	}
	next.Changes = trimChanges(append(slices.Clone(d.Changes), change))
	return next, &change
}

// SameSpec reports whether two objects have equal specs.
func SameSpec(a, b *Object) bool { return reflect.DeepEqual(a.Spec, b.Spec) }

// applyEdit applies one edit to a document under construction. It returns false
// if the edit changes nothing.
func (d *Document) applyEdit(e Edit) (ObjectChange, bool) {
	c := ObjectChange{Ref: e.Object.Ref()}
	i, found := d.search(c.Ref)
	if found {
		c.From = d.Objects[i].Version
	}
	if e.Delete {
		d.Objects = slices.Delete(d.Objects, i, i+1)
		return c, true
	}
	if found && SameSpec(&d.Objects[i], &e.Object) {
		return c, false
	}
	c.To = d.Generation
	o := Object{Kind: e.Object.Kind, Name: e.Object.Name, Version: c.To, Spec: e.Object.Spec}
	if found {
		d.Objects[i] = o
	} else {
		d.Objects = slices.Insert(d.Objects, i, o)
	}
	return c, true
}
