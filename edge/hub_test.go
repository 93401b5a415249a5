package edge

import (
	"testing"

	"github.com/samphirebeam/samphirebeam/platform"
)

// TestListsDoNotEcho: hosts that follow each other pass on a list once. When
// each of two passes on what the other passed on, the list goes round for good.
func TestListsDoNotEcho(t *testing.T) {
	delivered := 0
	h := newHub(platform.DomainFeed(nil), func(platform.EventBatch) { delivered++ })
	h.setStoreUp(true)
	list := platform.Update{Reset: true, Revision: 5}
	h.apply(list)
	follower, err := h.subscribe()
	if err != nil {
		t.Fatal(err)
	}
	<-follower.updates // everything, at first
	if !h.apply(list) {
		t.Error("a list that is known asks for another")
	}
	select {
	case <-follower.updates:
		t.Error("a list that is known was passed on")
	default:
	}
	if delivered != 1 {
		t.Errorf("the core got the list %d times", delivered)
	}
}
