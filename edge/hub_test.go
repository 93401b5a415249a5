package edge

import (
	"testing"

	"github.com/samphirebeam/samphirebeam/platform"
)

// TestHubIgnoresListOfKnownRevision guards against an endless loop: two hosts that
// follow each other would forward a list of the same revision back and forth.
func TestHubIgnoresListOfKnownRevision(t *testing.T) {
	delivered := 0
	h := newHub(platform.DomainFeed(nil), func(platform.EventBatch) { delivered++ })
	h.setStoreUp(true)
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
