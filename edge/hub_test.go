package edge

import (
	"slices"
	"strings"
	"testing"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// TestHubIgnoresListOfKnownRevision guards against an endless loop: two hosts that
// follow each other would forward a list of the same revision back and forth.
func TestHubIgnoresListOfKnownRevision(t *testing.T) {
	delivered := 0
	h := newHub(platform.DomainFeed(nil), func(platform.EventBatch) { delivered++ })
	h.setStoreUp(true, false)
	list := platform.Update{Reset: true, Revision: 5}
	h.apply(list)
	follower, err := h.subscribe()
	if err != nil {
		t.Fatal(err)
	}
	<-follower.updates // the full state
	if !h.apply(list) {
		t.Error("a list of a known revision requests another list")
	}
	select {
	case <-follower.updates:
		t.Error("a list of a known revision was forwarded")
	default:
	}
	if delivered != 1 {
		t.Errorf("the core got the list %d times", delivered)
	}
}

// TestRestoredStateIsDroppedAsOld: after the store is restored from a copy its
// revisions are lower than the known ones, and were given out before.
func TestRestoredStateIsDroppedAsOld(t *testing.T) {
	var got [][]string
	h := newHub(platform.DomainFeed(nil), func(batch platform.EventBatch) {
		var names []string
		for domain := range batch.Events[0].(scatter.DomainsOut).Domains {
			names = append(names, string(domain))
		}
		slices.Sort(names)
		got = append(got, names)
	})
	out := func(names ...string) (changes []platform.Change) {
		for _, name := range names {
			changes = append(changes, platform.Change{Object: platform.StoredObject{Meta: platform.Meta{Name: name}}})
		}
		return changes
	}
	for i, step := range []struct {
		update  platform.Update
		applied bool
		want    string // domains out afterwards
	}{
		{platform.Update{Reset: true, Era: 1, Revision: 60, Changes: out("d1")}, true, "d1"},
		{platform.Update{Era: 1, Base: 60, Revision: 63, Changes: out("d2")}, true, "d1 d2"},
		// Changes of the next era do not follow on this one, even with a known base.
		{platform.Update{Era: 2, Base: 61, Revision: 64, Changes: out("d3")}, false, "d1 d2"},
		{platform.Update{Reset: true, Era: 2, Revision: 61, Changes: out("d1")}, true, "d1"},
		{platform.Update{Era: 2, Base: 61, Revision: 62, Changes: out("d4")}, true, "d1 d4"},
		// A host that still follows the past is ignored.
		{platform.Update{Era: 1, Base: 63, Revision: 64, Changes: out("d5")}, true, "d1 d4"},
		{platform.Update{Reset: true, Era: 1, Revision: 70, Changes: out("d6")}, true, "d1 d4"},
		// A host of a version without eras counts as up to date.
		{platform.Update{Base: 62, Revision: 63, Changes: out("d7")}, true, "d1 d4 d7"},
	} {
		if applied := h.apply(step.update); applied != step.applied {
			t.Errorf("step %d: applied %v", i, applied)
		}
		if last := strings.Join(got[len(got)-1], " "); last != step.want {
			t.Errorf("step %d: out are %q, want %q", i, last, step.want)
		}
	}
}
