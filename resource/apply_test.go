package resource

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
)

func TestApplyRefuses(t *testing.T) {
	version := func(v uint64) *uint64 { return &v }
	domain := Object{Kind: FailureDomain, Name: "d1", Spec: &FailureDomainSpec{State: StateIn}}
	tests := []struct {
		name  string
		edits []Edit
		kind  core.Kind
		want  []string
	}{
		{"stale version", []Edit{{Object: domain, Match: version(9)}}, core.Conflict, []string{"FailureDomain/d1: version: is 1, not 9"}},
		{"must be absent", []Edit{{Object: domain, Match: version(0)}}, core.Conflict, []string{"FailureDomain/d1: version: is 1, not 0"}},
		{"delete what is not there", deletion(Scope, "none"), core.UnknownName, []string{"Scope/none: name: does not exist"}},
		{"twice in one request", append(deletion(Scope, "all"), deletion(Scope, "all")...), core.InvalidRequest, []string{"Scope/all: name: is in the request twice"}},
		{"domain in use", deletion(FailureDomain, "d1"), core.InvalidRequest, []string{"FailureDomain/d1: name: is still named by Upstream/s1-d1", "still named by Upstream/s2-d1"}},
		{"service in use", deletion(Service, "s1"), core.InvalidRequest, []string{"still named by Upstream/s1-d1 spec.service", "by Upstream/s1-d2", "by Scope/all spec.services[0]"}},
		{"unknown names", edits(t, upstreamText(9, 8, "in")), core.InvalidRequest, []string{"spec.service: names Service/s9, which does not exist", "spec.failureDomain: names FailureDomain/d8"}},
		{"unknown service in scope", edits(t, "kind: Scope\nname: b\nspec: {services: [s1, s7], reach: 0}"), core.InvalidRequest, []string{"Scope/b: spec.services[1]: names Service/s7"}},
		{"address taken", edits(t, strings.Replace(upstreamText(1, 2, "in"), "10.0.1.2", "10.0.1.1", 1)), core.InvalidRequest, []string{"Upstream/s1-d2: spec.address: 10.0.1.1:80 is already"}},
		{"listed elsewhere", edits(t, "kind: Service\nname: s1\nspec: {upstreams: [s1-d1, s2-d1]}"), core.InvalidRequest, []string{"Service/s1: spec.upstreams[1]: names Upstream/s2-d1, which belongs", "Upstream/s1-d2: spec.service: names Service/s1, whose"}},
		{"overlap in scope", edits(t, "kind: Service\nname: s2\nspec: {versions: [{version: 7, ranges: [{from: 40, to: 100}]}]}"), core.InvalidRequest, []string{"Service/s2: spec.versions[0].ranges[0]: [40, 100) overlaps [0, 50) of Service/s1 at index version 7 within Scope/all"}},
		{"last upstream", edits(t, upstreamText(1, 1, "out")+"---\n"+upstreamText(1, 2, "leaving")), core.InvalidRequest, []string{"Upstream/s1-d1: spec.state: would leave Scope/all with a reach of 0.5", "Upstream/s1-d2: spec.state: would leave"}},
		{"last domain", edits(t, "kind: FailureDomain\nname: d1\nspec: {state: out}\n---\nkind: FailureDomain\nname: d2\nspec: {state: out}"), core.InvalidRequest, []string{"FailureDomain/d1: spec.state: would leave Scope/all with a reach of 0", "FailureDomain/d2: spec.state"}},
		{"last common index version", edits(t, "kind: Service\nname: s1\nspec: {versions: [{version: 8, ranges: [{from: 0, to: 50}]}]}"), core.InvalidRequest, []string{"Service/s1: spec: would leave Scope/all with a reach of 0"}},
		{"too many at once", manyUpstreams(MaxEdits+1, 0), core.TooLarge, []string{"513 objects in one request of at most 512"}},
	}
	d := apply(t, twoByTwo())
	before, _ := d.Encode()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Apply(d, Request{Operation: "x", Edits: tt.edits})
			checkRefused(t, err, tt.want)
			var refused *Refused
			if errors.As(err, &refused) && refused.Kind != tt.kind {
				t.Errorf("got kind %v, want %v", refused.Kind, tt.kind)
			}
			if after, _ := d.Encode(); string(after) != string(before) {
				t.Error("a refused request modified the document")
			}
		})
	}
}

// manyUpstreams returns n new upstreams, numbered from first.
func manyUpstreams(n, first int) []Edit {
	list := make([]Edit, n)
	for i := range list {
		spec := &UpstreamSpec{
			Service: "s1", FailureDomain: "d1", State: StateIn, Slots: 2, Connections: 25,
			Address:   fmt.Sprintf("10.1.%d.%d:80", (first+i)/250, (first+i)%250),
			ColdStart: ColdStart{RatePerSecond: 2, WarmTime: 1e10},
		}
		list[i] = Edit{Object: Object{Kind: Upstream, Name: fmt.Sprintf("many-%d", first+i), Spec: spec}}
	}
	return list
}

func TestOverrideAcceptsALowerReach(t *testing.T) {
	d := apply(t, twoByTwo())
	out := edits(t, upstreamText(1, 1, "out")+"---\n"+upstreamText(1, 2, "out"))
	next, err := Apply(d, Request{Operation: "x", Edits: out, Override: true})
	if err != nil || !next.Operation("x").Override {
		t.Fatalf("got %v, %v", next, err)
	}
	// A change to a scope that is already below its reach needs no override.
	if _, err := Apply(next, Request{Operation: "y", Edits: edits(t, upstreamText(2, 1, "out"))}); err != nil {
		t.Error(err)
	}
}

func TestOneOfTwoDomainsMayLeave(t *testing.T) {
	d := apply(t, twoByTwo(), "kind: FailureDomain\nname: d1\nspec: {state: leaving}")
	topology := Compile(d)
	if topology.AcceptsWork("s1-d1") || !topology.AcceptsWork("s1-d2") || topology.Generation != 2 {
		t.Errorf("got %+v", topology)
	}
	scope := topology.Scopes["all"]
	if len(scope.Services) != 2 || scope.Reach != 1 || scope.RefuseBelow || len(topology.Services["s1"].Upstreams) != 2 {
		t.Errorf("got %+v, %+v", scope, topology.Services["s1"])
	}
}

func TestOperationAppliesOnce(t *testing.T) {
	d := apply(t, twoByTwo(), upstreamText(1, 1, "out"))
	again, err := Apply(d, Request{Operation: "op1", Edits: edits(t, upstreamText(1, 1, "in"))})
	if err != nil || again != d {
		t.Fatalf("the same operation was applied twice: %v", err)
	}
	same, err := Apply(d, Request{Operation: "op2", Edits: edits(t, upstreamText(1, 1, "out"))})
	if err != nil || same != d {
		t.Errorf("an edit that changes nothing created a generation: %v", err)
	}
}

func TestDocumentIsRefused(t *testing.T) {
	d := apply(t, twoByTwo())
	good, _ := d.Encode()
	tests := map[string]func(string) string{
		"cut":               func(s string) string { return s[:len(s)/2] },
		"unknown field":     func(s string) string { return strings.Replace(s, `"slots"`, `"slotz"`, 1) },
		"unknown kind":      func(s string) string { return strings.Replace(s, `"Scope"`, `"Scone"`, 1) },
		"missing reference": func(s string) string { return strings.ReplaceAll(s, `"name":"d1"`, `"name":"d0"`) },
		"order":             func(s string) string { return strings.Replace(s, `"name":"d1"`, `"name":"d3"`, 1) },
		"object too new":    func(s string) string { return strings.Replace(s, `"version":1`, `"version":2`, 1) },
		"changes too old":   func(s string) string { return strings.Replace(s, `"generation":1`, `"generation":2`, 1) },
		"too large":         func(string) string { return strings.Repeat(" ", MaxDocumentSize+1) },
	}
	for name, corrupt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeDocument([]byte(corrupt(string(good)))); err == nil {
				t.Error("accepted")
			}
		})
	}
	if generation, ok := PeekGeneration(good); !ok || generation != 1 {
		t.Errorf("peeked at generation %d, %v", generation, ok)
	}
	back, err := DecodeDocument(good)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := back.Encode(); string(again) != string(good) {
		t.Error("encoding is not stable")
	}
}

// TestDocumentStaysWithinItsLimits adds upstreams until the size limit refuses
// them, and checks that the kept changes stay within their limits.
func TestDocumentStaysWithinItsLimits(t *testing.T) {
	d := apply(t, twoByTwo())
	for first := 0; ; first += MaxEdits {
		next, err := Apply(d, Request{Operation: fmt.Sprint("many", first), Edits: manyUpstreams(MaxEdits, first)})
		if err != nil {
			checkRefused(t, err, []string{"the configuration would take"})
			break
		}
		d = next
		kept := 0
		for _, c := range d.Changes {
			kept += len(c.Objects)
		}
		if kept > MaxObjectChanges {
			t.Fatalf("keeps %d object changes", kept)
		}
	}
	if len(d.Objects) < 3000 {
		t.Errorf("only %d objects fit", len(d.Objects))
	}
	t.Logf("%d objects fit", len(d.Objects))
	d = apply(t, twoByTwo())
	for i := range 2 * MaxChanges {
		state := []State{StateOut, StateIn}[i%2]
		e := Edit{Object: Object{Kind: FailureDomain, Name: "d1", Spec: &FailureDomainSpec{State: state}}}
		next, err := Apply(d, Request{Operation: fmt.Sprint("x", i), Edits: []Edit{e}})
		if err != nil {
			t.Fatal(err)
		}
		d = next
	}
	if len(d.Changes) != MaxChanges || d.Operation(fmt.Sprint("x", 2*MaxChanges-1)) == nil {
		t.Errorf("keeps %d changes", len(d.Changes))
	}
}
