package resource

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestDecodeRefuses(t *testing.T) {
	upstream := upstreamText(1, 1, "in")
	tests := []struct {
		name, text string
		want       []string
	}{
		{"syntax", "kind: [", []string{"line 1: "}},
		{"not an object", "just text", []string{`kind: is ""`}},
		{"unknown kind", "kind: Rack\nname: r", []string{`line 1: Rack/r: kind: is "Rack"`}},
		{"bad name", "kind: Service\nname: Big_Name", []string{"Service/Big_Name: name: must be"}},
		{"unknown field", "kind: Service\nname: s\nspec:\n  shards: 3", []string{"line 4: Service/s: spec.shards: is not a known field"}},
		{"unknown deep field", strings.Replace(upstream, "warmTime", "warm", 1), []string{"line 10: Upstream/s1-d1: spec.coldStart.warm: is not a known field"}},
		{"unknown top field", "kind: Service\nname: s\nlabels: {}", []string{"line 3: Service/s: labels: is not a known field"}},
		{"field twice", "kind: Service\nname: s\nspec: {}\nspec: {}", []string{"line 4: Service/s: spec: is there twice"}},
		{"wrong type", strings.Replace(upstream, "slots: 2", "slots: two", 1), []string{"line 8: Upstream/s1-d1: spec.slots: cannot unmarshal"}},
		{"bad unit", strings.Replace(upstream, "10s", "10", 1), []string{"line 10: Upstream/s1-d1: spec.coldStart.warmTime: time: missing unit"}},
		{"list wanted", "kind: Service\nname: s\nspec: {versions: 3}", []string{"line 3: Service/s: spec.versions: must be a list"}},
		{"alias", "kind: Service\nname: &a s\nspec: {upstreams: [*a]}", []string{"spec.upstreams[0]: aliases are not taken"}},
		{"state", "kind: FailureDomain\nname: d\nspec: {state: gone}", []string{`FailureDomain/d: spec.state: is "gone"; must be in, leaving or out`}},
		{"limits", "kind: Upstream\nname: u\nspec: {address: 'host:80', slots: 0, connections: -1}", []string{
			"Upstream/u: spec.service: must name", "Upstream/u: spec.failureDomain: must name", "spec.address: is \"host:80\"; must be ip:port",
			"spec.slots: is 0", "spec.connections: is -1", "spec.coldStart.ratePerSecond: must be above 0", "spec.coldStart.warmTime: must be above 0",
		}},
		{"versions", "kind: Service\nname: s\nspec: {versions: [{version: 0, ranges: []}, {version: 2, ranges: [{from: 5, to: 5}]}, {version: 2, ranges: [{from: 0, to: 0}, {from: 9, to: 10}]}]}", []string{
			"spec.versions[0].version: must be above 0", "spec.versions[0].ranges: must hold", "spec.versions[1].ranges[0].to: 5 must be above",
			"spec.versions[2].version: 2 is declared twice", "spec.versions[2].ranges: [0, end) overlaps [9, 10)",
		}},
		{"scope", "kind: Scope\nname: a\nspec: {services: [s, s], space: {from: 9, to: 3}, reach: 1.5, belowReach: maybe}", []string{
			"spec.services[1]: \"s\" is listed twice", "spec.space.to: 3 must be above", "spec.reach: is 1.5; must be 0 to 1", "spec.belowReach: is \"maybe\"",
		}},
		{"reach no number", "kind: Scope\nname: a\nspec: {services: [s], reach: .nan}", []string{"spec.reach: is NaN"}},
		{"several objects", "kind: Service\nname: s\nspec: {x: 1}\n---\nkind: Scope\nname: a\nspec: {y: 1}", []string{"line 3: Service/s: spec.x", "line 7: Scope/a: spec.y"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(tt.text))
			checkRefused(t, err, tt.want)
		})
	}
}

// checkRefused checks that err holds exactly one refusal per wanted text, and
// that each text is found.
func checkRefused(t *testing.T, err error, want []string) {
	t.Helper()
	var refused *Refused
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a refusal", err)
	}
	if len(refused.Refusals) != len(want) {
		t.Errorf("got %d refusals, want %d: %v", len(refused.Refusals), len(want), err)
	}
	for _, text := range want {
		found := false
		for _, refusal := range refused.Refusals {
			found = found || strings.Contains(refusal.String(), text)
		}
		if !found {
			t.Errorf("no refusal contains %q in: %v", text, err)
		}
	}
}

func TestDecodeTakesJSONAndYAML(t *testing.T) {
	texts := []string{
		"kind: Service\nname: s\nspec:\n  versions:\n  - version: 7\n    ranges:\n    - {from: 0, to: 18446744073709551615}\n",
		`{"kind":"Service","name":"s","spec":{"versions":[{"version":7,"ranges":[{"from":0,"to":18446744073709551615}]}]}}`,
		"[\n\t{\"kind\": \"Service\",\n\t\"name\": \"s\", \"status\": {\"hosts\": 3}, \"spec\": {\"versions\": [{\"version\": 7, \"ranges\": [{\"from\": 0, \"to\": 18446744073709551615}]}]}}\n]",
	}
	for _, text := range texts {
		objects, err := Decode([]byte(text))
		if err != nil || len(objects) != 1 {
			t.Fatalf("%s: got %v, %v", text, objects, err)
		}
		if got := objects[0].Spec.(*ServiceSpec).Versions[0].Ranges[0].To; got != 1<<64-1 {
			t.Errorf("%s: got to = %d", text, got)
		}
	}
}

// FuzzDecode looks for texts that crash the decoder, or whose objects differ
// after being encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(twoByTwo())
	f.Add(`[{"kind":"Scope","name":"a","spec":{"services":["s"],"reach":0.5}}]`)
	f.Add("kind: Service\nname: &a s\nspec: {upstreams: [*a], <<: {}}\n---\n...\n? x\n: y")
	f.Fuzz(func(t *testing.T, text string) {
		objects, err := Decode([]byte(text))
		if err != nil {
			return
		}
		for i := range objects {
			written, err := json.Marshal(objects[i])
			if err != nil {
				t.Fatal(err)
			}
			again, err := Decode(written)
			if err != nil || !SameSpec(&again[0], &objects[i]) {
				t.Fatalf("%s: got %+v, %v", written, again, err)
			}
		}
	})
}
