package resource

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// MaxDocumentSize is the most bytes of an encoded document: the platform
	// holds values up to a megabyte.
	MaxDocumentSize = 1 << 20
	// MaxChanges is how many changes the document remembers. A lost reply can
	// be settled by operation id, and a peer brought up by delta, within them.
	MaxChanges = 256
	// MaxObjectChanges is how many changes of single objects it remembers; the
	// last change is kept whatever its size.
	MaxObjectChanges = 2048
	// peekSize is enough for the head of a document, in bytes.
	peekSize = 64
	// MaxEdits is the most objects that one change takes.
	MaxEdits = 512
)

// Document is the whole accepted configuration. It is built by Apply, Patch or
// DecodeDocument, which make sure that it is valid, and never changed after
// that; the zero value is the empty document.
type Document struct {
	// Generation grows by one with each accepted change.
	Generation uint64 `json:"generation"`
	// Objects are sorted by kind and name.
	Objects []Object `json:"objects"`
	// Changes are the last accepted changes, oldest first, one a generation.
	Changes []Change `json:"changes"`

	sum uint64
}

// Change is the record of one accepted change.
type Change struct {
	Generation uint64 `json:"generation"`
	// Operation identifies the operator's request.
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
	// UnixMilli is when the accepting host built the change.
	UnixMilli int64          `json:"unixMilli"`
	Override  bool           `json:"override,omitempty"`
	Objects   []ObjectChange `json:"objects"`

	sum uint64
}

// ObjectChange is what one change did to one object.
type ObjectChange struct {
	Ref
	// From and To are the object's versions; 0 is absent.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// trim drops the oldest changes beyond the limits. What is kept is the longest
// end of the list within them, so trimming a list that was trimmed before and
// then grew gives the same as trimming it once.
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

// Find returns the object, or nil.
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

// Operation returns the accepted change of an operation id, or nil when the
// document remembers none.
func (d *Document) Operation(id string) *Change {
	for i := range d.Changes {
		if d.Changes[i].Operation == id {
			return &d.Changes[i]
		}
	}
	return nil
}

// Encode returns the document as JSON; equal documents encode equally. A
// document above MaxDocumentSize is a *Refused of kind TooLarge.
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

// Checksum returns the checksum of encoded text.
func Checksum(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// Checksum returns the checksum of all that the document holds.
func (d *Document) Checksum() uint64 { return d.sum }

// seal computes the checksum. Objects and changes keep theirs from document to
// document, so that a change costs a host what it changes, not the encoding of
// the whole.
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

func partChecksum(sum *uint64, part any) error {
	if *sum != 0 {
		return nil
	}
	encoded, err := json.Marshal(part)
	*sum = Checksum(encoded)
	return err
}

// DecodeDocument reads an encoded document and checks all that Apply
// guarantees, so that a corrupt or foreign document is an error here.
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

// PeekGeneration reads the generation at the head of an encoded document
// without reading on; false if it is not there.
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

// checkObjects checks objects of the document one by one.
func (d *Document) checkObjects(objects []Object, out *refusals) {
	for i := range objects {
		o := &objects[i]
		validateObject(o, out)
		if o.Version == 0 || o.Version > d.Generation {
			out.add(o.Ref(), "version", "%d is not within generation %d", o.Version, d.Generation)
		}
	}
}

// checkTogether checks what the parts say of each other, once each part alone
// is valid.
func (d *Document) checkConsistency(out *refusals) error {
	d.checkChanges(out)
	if len(out.list) == 0 {
		validateReferences(d, nil, out)
	}
	return out.err(core.InvalidRequest)
}

// checkChanges checks that the changes end at the document's generation
// without a gap.
func (d *Document) checkChanges(out *refusals) {
	first := d.Generation + 1 - uint64(len(d.Changes))
	for i, c := range d.Changes {
		if c.Generation != first+uint64(i) {
			out.list = append(out.list, Refusal{Field: "changes", Reason: "do not lead to the generation"})
			return
		}
	}
}
