package edge

import (
	"sync"

	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// subscriberBuffer is how many updates wait for one follower; one that falls
// further behind is cut off, and begins anew with everything.
const subscriberBuffer = 64

// hub keeps the newest state of one feed and hands changes to this host's core
// and to the hosts that follow this one. Updates may come from several sources
// at once; each changes the state once.
type hub struct {
	feed    *platform.Feed
	deliver func(platform.EventBatch)

	mu          sync.Mutex
	known       bool
	revision    uint64
	objects     map[string]platform.Change
	sources     int // that are up
	storeUp     bool
	onSource    func(up bool)
	subscribers map[*subscriber]struct{}
}

// subscriber is one host that follows this one.
type subscriber struct {
	updates chan *edgepb.FeedUpdate // closed when it is cut off
}

func newHub(feed *platform.Feed, deliver func(platform.EventBatch)) *hub {
	return &hub{
		feed: feed, deliver: deliver,
		objects: map[string]platform.Change{}, subscribers: map[*subscriber]struct{}{},
	}
}

// retell delivers everything again.
func (h *hub) retell() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known {
		h.deliver(h.feed.Events(h.whole()))
	}
}

// apply takes an update from a source. False means that changes before it are
// missing: the source has to send everything.
func (h *hub) apply(u platform.Update) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !u.Reset && (!h.known || u.Base > h.revision):
		return false
	case h.known && u.Revision <= h.revision:
		// Not newer than what is known. Hosts that follow each other would pass
		// on a list of the same revision for good.
		return true
	}
	if u.Reset {
		clear(h.objects)
	}
	for _, c := range u.Changes {
		if c.Removed {
			delete(h.objects, c.Object.Meta.Name)
		} else {
			h.objects[c.Object.Meta.Name] = c
		}
	}
	// Should the delivery end in a panic, everything is asked for again.
	h.known, h.revision = false, u.Revision
	h.deliver(h.feed.Events(u))
	h.known = true
	h.publish(u)
	return true
}

// publish hands an update to the followers; the lock is held.
func (h *hub) publish(u platform.Update) {
	if len(h.subscribers) == 0 {
		return
	}
	encoded, err := h.encode(u)
	for s := range h.subscribers {
		if err != nil {
			h.cutLocked(s)
			continue
		}
		select {
		case s.updates <- encoded:
		default:
			h.cutLocked(s)
		}
	}
}

func (h *hub) encode(u platform.Update) (*edgepb.FeedUpdate, error) {
	changes, err := platform.EncodeChanges(u.Changes)
	if err != nil {
		return nil, err
	}
	return &edgepb.FeedUpdate{Feed: h.feed.Name, Reset_: u.Reset, Base: u.Base, Revision: u.Revision, Changes: changes}, nil
}

// whole returns everything as one update; the lock is held.
func (h *hub) whole() platform.Update {
	u := platform.Update{Reset: true, Revision: h.revision, Changes: make([]platform.Change, 0, len(h.objects))}
	for _, c := range h.objects {
		u.Changes = append(u.Changes, c)
	}
	return u
}

// snapshot returns what is known, which may be old; nil when nothing is.
func (h *hub) snapshot() (*edgepb.FeedUpdate, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known {
		return nil, nil
	}
	return h.encode(h.whole())
}

// subscribe returns a subscriber whose first update is everything; nil while
// this host does not read the store itself.
func (h *hub) subscribe() (*subscriber, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || !h.storeUp {
		return nil, nil
	}
	whole, err := h.encode(h.whole())
	if err != nil {
		return nil, err
	}
	s := &subscriber{updates: make(chan *edgepb.FeedUpdate, subscriberBuffer)}
	s.updates <- whole
	h.subscribers[s] = struct{}{}
	return s, nil
}

// cut ends a subscriber.
func (h *hub) cut(s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutLocked(s)
}

func (h *hub) cutLocked(s *subscriber) {
	if _, found := h.subscribers[s]; found {
		delete(h.subscribers, s)
		close(s.updates)
	}
}

// setStoreUp notes that this host's own reading of the store works or not.
// Followers of a host that cannot read are cut off and turn elsewhere.
func (h *hub) setStoreUp(up bool) {
	h.mu.Lock()
	changed := h.storeUp != up
	h.storeUp = up
	if !up {
		for s := range h.subscribers {
			h.cutLocked(s)
		}
	}
	h.mu.Unlock()
	if changed {
		h.countSource(up)
	}
}

// isKnown says whether the feed has brought something.
func (h *hub) isKnown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// reads says whether this host's own reading of the store works.
func (h *hub) reads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeUp
}

// countSource notes that a source came up or went down.
func (h *hub) countSource(up bool) {
	h.mu.Lock()
	before := h.sources > 0
	if up {
		h.sources++
	} else {
		h.sources--
	}
	after := h.sources > 0
	notify := h.onSource
	h.mu.Unlock()
	if before != after && notify != nil {
		notify(after)
	}
}
