package resource

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDeltaLeadsToTheSameDocument applies random requests and updates a reader by
// deltas at random points; the reader must end with an equal document.
func TestDeltaLeadsToTheSameDocument(t *testing.T) {
	base := apply(t, twoByTwo())
	rapid.Check(t, func(t *rapid.T) {
		d, reader := base, base
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			d = randomRequest(t, d, i)
			if rapid.Bool().Draw(t, "read") {
				reader = catchUp(t, reader, d)
			}
		}
		reader = catchUp(t, reader, d)
		want, _ := d.Encode()
		if got, _ := reader.Encode(); string(got) != string(want) {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

func randomRequest(t *rapid.T, d *Document, i int) *Document {
	name := rapid.SampledFrom([]string{"d1", "d2", "d3", "d4"}).Draw(t, "name")
	state := rapid.SampledFrom([]State{StateIn, StateLeaving, StateOut}).Draw(t, "state")
	e := Edit{
		Object: Object{Kind: FailureDomain, Name: name, Spec: &FailureDomainSpec{State: state}},
		Delete: rapid.Bool().Draw(t, "delete"),
	}
	next, err := Apply(d, Request{Operation: fmt.Sprint("r", i), Edits: []Edit{e}})
	if err != nil {
		return d
	}
	return next
}

func catchUp(t *rapid.T, reader, d *Document) *Document {
	delta, ok := DiffSince(d, reader.Generation)
	if !ok {
		if reader.Generation != d.Generation {
			t.Fatalf("no delta from %d to %d", reader.Generation, d.Generation)
		}
		return reader
	}
	data, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeDelta(data)
	if err != nil {
		t.Fatal(err)
	}
	next, err := Patch(reader, decoded)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestRacingOperatorsLoseNoAcceptedChange lets several operators read the document
// and write it conditionally in random order, and reuse operation ids as after a
// lost reply. Each accepted operation must be applied once and stay recorded.
func TestRacingOperatorsLoseNoAcceptedChange(t *testing.T) {
	base := apply(t, twoByTwo())
	rapid.Check(t, func(t *rapid.T) {
		stored := base
		views := []*Document{base, base, base}
		accepted := map[string]uint64{}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			who := rapid.IntRange(0, len(views)-1).Draw(t, "operator")
			if rapid.Bool().Draw(t, "read") {
				views[who] = stored
				continue
			}
			operation := fmt.Sprint(who, "-", rapid.IntRange(0, 5).Draw(t, "operation"))
			next, err := Apply(views[who], Request{Operation: operation, Edits: raceEdit(t, views[who], i)})
			if err != nil || next == views[who] || views[who].Generation != stored.Generation {
				continue // refused, unchanged, or the conditional write fails
			}
			if accepted[operation] != 0 {
				t.Fatalf("operation %s was applied twice", operation)
			}
			stored, views[who] = next, next
			accepted[operation] = next.Generation
		}
		for operation, generation := range accepted {
			if c := stored.Operation(operation); c == nil || c.Generation != generation {
				t.Fatalf("accepted operation %s of generation %d is lost", operation, generation)
			}
		}
	})
}

func raceEdit(t *rapid.T, d *Document, i int) []Edit {
	name := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "name")
	var version uint64
	if o := d.Find(Ref{FailureDomain, name}); o != nil {
		version = o.Version
	}
	state := []State{StateIn, StateOut}[i%2]
	return []Edit{{
		Object: Object{Kind: FailureDomain, Name: name, Spec: &FailureDomainSpec{State: state}},
		Match:  &version,
	}}
}
