package resource

import (
	"fmt"
	"strings"
	"testing"
)

// twoByTwo declares two failure domains, two services with one upstream in each
// domain, and a scope over both services.
func twoByTwo() string {
	var b strings.Builder
	for d := 1; d <= 2; d++ {
		fmt.Fprintf(&b, "kind: FailureDomain\nname: d%d\n---\n", d)
	}
	for s := 1; s <= 2; s++ {
		fmt.Fprintf(&b, "kind: Service\nname: s%d\nspec:\n  versions:\n  - version: 7\n    ranges: [{from: %d, to: %d}]\n---\n", s, (s-1)*50, s*50)
		for d := 1; d <= 2; d++ {
			fmt.Fprintf(&b, "%s---\n", upstreamText(s, d, "in"))
		}
	}
	b.WriteString("kind: Scope\nname: all\nspec: {services: [s1, s2], space: {from: 0, to: 100}, reach: 1}\n")
	return b.String()
}

func upstreamText(service, domain int, state string) string {
	return fmt.Sprintf("kind: Upstream\nname: s%d-d%d\nspec:\n  service: s%d\n  failureDomain: d%d\n"+
		"  address: 10.0.%d.%d:80\n  state: %s\n  slots: 2\n  connections: 25\n"+
		"  coldStart: {ratePerSecond: 2, warmTime: 10s}\n", service, domain, service, domain, service, domain, state)
}

func edits(t testing.TB, text string) []Edit {
	t.Helper()
	objects, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	list := make([]Edit, len(objects))
	for i, o := range objects {
		list[i] = Edit{Object: o}
	}
	return list
}

func deletion(kind Kind, name string) []Edit {
	return []Edit{{Object: Object{Kind: kind, Name: name}, Delete: true}}
}

// apply builds a document by one request per text.
func apply(t testing.TB, texts ...string) *Document {
	t.Helper()
	d := &Document{}
	for i, text := range texts {
		next, err := Apply(d, Request{Operation: fmt.Sprint("op", i), Edits: edits(t, text)})
		if err != nil {
			t.Fatal(err)
		}
		d = next
	}
	return d
}
