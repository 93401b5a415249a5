package resource

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// MaxDocumentSize is the largest encoded document, in bytes: the platform
	// stores values of up to one megabyte.
	MaxDocumentSize = 1 << 20
	// MaxChanges is how many of the last changes the document keeps. Only for
	// these can a lost reply be resolved by operation id and a peer be updated
	// by delta.
	MaxChanges = 256
	// MaxObjectChanges bounds the object changes in all kept changes together;
	// the last change is kept whatever its size.
	MaxObjectChanges = 2048
	// peekSize is how many bytes of an encoded document PeekGeneration reads; the
	// generation is the first field.
	peekSize = 64
	// MaxEdits is the maximum number of objects in one request.
	MaxEdits = 512
)

// Document is the whole accepted configuration. Apply, Patch and DecodeDocument
// return only valid documents, which are immutable from then on. The zero value
// is the empty document.
type Document struct {
	// Generation grows by one with each accepted change.
	Generation uint64 `json:"generation"`
	// Objects are sorted by kind and name.
	Objects []Object `json:"objects"`
	// Changes are the last accepted changes, oldest first, one per generation.
	Changes []Change `json:"changes"`

	sum uint64
}

// Change is the record of one accepted change.
type Change struct {
	Generation uint64 `json:"generation"`
	// Operation identifies the operator's request.
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
	// UnixMilli is the time at which the accepting host created the change.
	UnixMilli int64          `json:"unixMilli"`
	Override  bool           `json:"override,omitempty"`
	Objects   []ObjectChange `json:"objects"`

	sum uint64
}

// ObjectChange is the effect of one change on one object.
type ObjectChange struct {
	Ref
	// From and To are the object's versions before and after the change; 0 means
	// that the object did not exist.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// trimChanges drops the oldest changes beyond MaxChanges and MaxObjectChanges. It
// keeps the longest suffix within these limits, so the result is the same whether
// a list is trimmed after every append or only once.
func trimChanges(changes []Change) []Change {
	objects := 0
	for i := len(changes) - 1; i >= 0; i-- {
		objects += len(changes[i].Objects)
		kept := len(changes) - i
		if kept > 1 && (kept > MaxChanges || objects > MaxObjectChanges) {
			return changes[i+1:]
		}
	}
	return changes
}

// Find returns the object, or nil if it does not exist.
func (d *Document) Find(ref Ref) *Object {
	i, found := d.search(ref)
	if !found {
		return nil
	}
	return &d.Objects[i]
}

func (d *Document) search(ref Ref) (int, bool) {
	return slices.BinarySearchFunc(d.Objects, ref, func(o Object, r Ref) int {
		return compareRefs(o.Ref(), r)
	})
}

// Operation returns the accepted change with an operation id, or nil if it is not
// among the changes that the document keeps.
func (d *Document) Operation(id string) *Change {
	for i := range d.Changes {
		if d.Changes[i].Operation == id {
			return &d.Changes[i]
		}
	}
	return nil
}

// Encode returns the document as JSON; equal documents have equal encodings. A
// document larger than MaxDocumentSize returns a *Refused of kind TooLarge.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxDocumentSize {
		return nil, documentTooLarge(len(data))
	}
	return data, nil
}

func documentTooLarge(size int) error {
	var out refusals
	out.list = append(out.list, Refusal{
		Field:  "document",
		Reason: core.Errorf(core.TooLarge, "the configuration would take %d bytes of the %d that the platform holds", size, MaxDocumentSize).Detail,
	})
	return out.err(core.TooLarge)
}

// Checksum returns the checksum of an encoded value.
func Checksum(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// Checksum returns the checksum of the document's generation, objects and
// changes.
func (d *Document) Checksum() uint64 { return d.sum }

// computeChecksum sets the checksum as a sum over objects and changes. Their own
// checksums are cached and copied to the next document, so that a host encodes
// only what a change touched and not the whole document.
func (d *Document) computeChecksum() error {
	d.sum = d.Generation
	for i := range d.Objects {
		o := &d.Objects[i]
		if err := partChecksum(&o.sum, o); err != nil {
			return err
		}
		d.sum += o.sum
	}
	for i := range d.Changes {
		c := &d.Changes[i]
		if err := partChecksum(&c.sum, c); err != nil {
			return err
		}
		d.sum += c.sum
	}
	return nil
}

// partChecksum sets the checksum of one object or change unless it is cached.
func partChecksum(sum *uint64, part any) error {
	if *sum != 0 {
		return nil
	}
	encoded, err := json.Marshal(part)
	*sum = Checksum(encoded)
	return err
}

// DecodeDocument reads an encoded document and verifies everything that Apply
// guarantees, so that a corrupt document or one of another origin is an error.
func DecodeDocument(data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, documentTooLarge(len(data))
	}
	d := &Document{}
	if err := unmarshalStrict(data, d); err != nil {
		return nil, core.Errorf(core.InvalidRequest, "configuration document: %v", err)
	}
	var out refusals
	d.checkObjects(d.Objects, &out)
	for i := 1; i < len(d.Objects); i++ {
		if ref := d.Objects[i].Ref(); compareRefs(d.Objects[i-1].Ref(), ref) >= 0 {
			out.add(ref, "name", "is out of order or there twice")
		}
	}
	if err := d.checkConsistency(&out); err != nil {
		return nil, err
	}
	return d, d.computeChecksum()
}

// PeekGeneration reads the generation from the start of an encoded document
// without decoding the rest. It returns false if the first field is another one.
func PeekGeneration(data []byte) (uint64, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data[:min(len(data), peekSize)]))
	for _, want := range []json.Token{json.Delim('{'), "generation"} {
		if token, err := decoder.Token(); err != nil || token != want {
			return 0, false
		}
	}
	var generation uint64
	err := decoder.Decode(&generation)
	return generation, err == nil
}

// checkObjects validates each object on its own.
func (d *Document) checkObjects(objects []Object, out *refusals) {
	for i := range objects {
		o := &objects[i]
		validateObject(o, out)
		if o.Version == 0 || o.Version > d.Generation {
			out.add(o.Ref(), "version", "%d is not within generation %d", o.Version, d.Generation)
		}
	}
}

// checkConsistency checks the list of changes, and then the references between
// objects if nothing was refused so far.
func (d *Document) checkConsistency(out *refusals) error {
	d.checkChanges(out)
	if len(out.list) == 0 {
		validateReferences(d, nil, out)
	}
	return out.err(core.InvalidRequest)
}

// checkChanges checks that the changes have consecutive generations and that the
// last one is the document's.
func (d *Document) checkChanges(out *refusals) {
	first := d.Generation + 1 - uint64(len(d.Changes))
	for i, c := range d.Changes {
		if c.Generation != first+uint64(i) {
			out.list = append(out.list, Refusal{Field: "changes", Reason: "do not lead to the generation"})
			return
		}
	}
}
