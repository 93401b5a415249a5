package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// subscriberBuffer is how many updates are queued for one follower. A follower
// that falls further behind is disconnected, and starts again with the full
// state.
const subscriberBuffer = 64

// hub holds the latest state of one feed and passes changes to this host's core
// and to the hosts that follow this one. Several sources may deliver updates at
// the same time; a revision is applied once.
type hub struct {
	feed    *platform.Feed
	deliver func(platform.EventBatch)

	mu     sync.Mutex
	cursor scatter.FeedCursor
	// followed is false while this host does not keep the feed up to date.
	followed       bool
	objects        map[string]platform.Change
	sources        int // sources that are up: the store reader and streams
	storeUp        bool
	storeUpSince   time.Time
	storeFailedAt  time.Time // when this host's own store reader last failed
	storeFailing   bool      // whether its last call failed
	storeFailed    bool      // whether it failed right before storeUpSince
	sourceLostAt   time.Time // when the last source was lost
	onSourceChange func(up bool, gap scatter.SourceGap)
	// onIgnored is called for an update of another era of the store that is ignored
	// as not newer than the state at hand.
	onIgnored func(u platform.Update, at core.Position)
	// onRestored is called when the state of a restored store was applied.
	onRestored  func(at core.Position)
	subscribers map[*subscriber]struct{}
}

// subscriber is the subscription of one host that follows this one.
type subscriber struct {
	updates chan *edgepb.FeedUpdate // closed when the subscription ends
}

func newHub(feed *platform.Feed, deliver func(platform.EventBatch)) *hub {
	return &hub{
		feed: feed, deliver: deliver, followed: true,
		objects: map[string]platform.Change{}, subscribers: map[*subscriber]struct{}{},
		onIgnored: func(platform.Update, core.Position) {}, onRestored: func(core.Position) {},
	}
}

// redeliver delivers the full state to the core again.
func (h *hub) redeliver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isLoadedLocked() {
		h.deliver(h.feed.Events(h.fullUpdate()))
	}
}

// setFollowed states whether this host keeps the feed up to date. Once it does not, updates
// are ignored, and the state at hand counts as not loaded.
func (h *hub) setFollowed(followed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followed = followed
	if !followed {
		h.cursor.Lapse()
		h.sourceLostAt = time.Time{}
	}
}

// apply applies an update from a source. It returns false if changes before the
// update are missing; the source then has to send the full state.
func (h *hub) apply(u platform.Update) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.followed {
		return true // from a source that is being closed
	}
	step := u.Step()
	decision, restored := h.cursor.Decide(step)
	switch decision {
	case scatter.RequestReset:
		return false
	case scatter.IgnoreUpdate:
		// Two hosts that follow each other would otherwise forward a list of the
		// same revision back and forth forever.
		if at, _ := h.cursor.Position(); u.Era != at.Era {
			h.onIgnored(u, at)
		}
		h.applyNewerVersions(u)
		return true
	}
	u.Restored = restored
	if u.Reset && !h.feed.Versioned() {
		clear(h.objects)
	}
	for _, c := range u.Changes {
		name := c.Object.Meta.Name
		if c.Removed {
			delete(h.objects, name)
		} else if !h.feed.Outdated(c.Object, h.objects[name].Object) {
			h.objects[name] = c
		}
	}
	if u.Reset && h.feed.Versioned() {
		u.Changes = h.allObjects() // the source may have an older version
	}
	// If the delivery panics, the full state is requested again.
	h.cursor.Invalidate()
	h.deliver(h.feed.Events(u))
	h.cursor.Advance(step)
	h.publish(u)
	if restored {
		h.onRestored(u.Position())
	}
	return true
}

// applyNewerVersions applies those objects of an ignored update that have a higher
// version than the ones at hand: a restored store lists older ones until their writer
// writes them again, while other hosts still hold the newest. The caller holds h.mu.
func (h *hub) applyNewerVersions(u platform.Update) {
	var newer []platform.Change
	for _, c := range u.Changes {
		if !c.Removed && h.feed.Outdated(h.objects[c.Object.Meta.Name].Object, c.Object) {
			newer = append(newer, c)
			h.objects[c.Object.Meta.Name] = c
		}
	}
	if len(newer) > 0 {
		h.deliver(h.feed.Events(platform.Update{Changes: newer}))
		h.publish(h.fullUpdate())
	}
}

// contains reports whether the state has an object.
func (h *hub) contains(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, found := h.objects[name]
	return found
}

// object returns an object of the state, or an empty one.
func (h *hub) object(name string) platform.StoredObject {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.objects[name].Object
}

// publish queues an update for all followers. The caller holds h.mu.
func (h *hub) publish(u platform.Update) {
	if len(h.subscribers) == 0 {
		return
	}
	encoded, err := h.encode(u)
	for s := range h.subscribers {
		if err != nil {
			h.unsubscribeLocked(s)
			continue
		}
		select {
		case s.updates <- encoded:
		default:
			h.unsubscribeLocked(s)
		}
	}
}

func (h *hub) encode(u platform.Update) (*edgepb.FeedUpdate, error) {
	changes, err := platform.EncodeChanges(u.Changes)
	if err != nil {
		return nil, err
	}
	return &edgepb.FeedUpdate{Feed: h.feed.Name, Reset_: u.Reset, Era: u.Era, Base: u.Base, Revision: u.Revision, Changes: changes}, nil
}

// fullUpdate returns the full state as one update. The caller holds h.mu.
func (h *hub) fullUpdate() platform.Update {
	at, _ := h.cursor.Position()
	return platform.Update{Reset: true, Era: at.Era, Revision: at.Revision, Changes: h.allObjects()}
}

// allObjects returns all objects of the state as changes. The caller holds h.mu.
func (h *hub) allObjects() []platform.Change { return slices.Collect(maps.Values(h.objects)) }

// snapshot returns the full state, which may be outdated, or nil when the feed
// has not been loaded.
func (h *hub) snapshot() (*edgepb.FeedUpdate, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isLoadedLocked() {
		return nil, nil
	}
	return h.encode(h.fullUpdate())
}

// subscribe returns a subscriber whose first update is the full state, or nil
// while this host's own store reader is not up.
func (h *hub) subscribe() (*subscriber, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isLoadedLocked() || !h.storeUp {
		return nil, nil
	}
	full, err := h.encode(h.fullUpdate())
	if err != nil {
		return nil, err
	}
	full.StoreUpUs, full.StoreFailed = max(1, time.Since(h.storeUpSince).Microseconds()), h.storeFailed
	s := &subscriber{updates: make(chan *edgepb.FeedUpdate, subscriberBuffer)}
	s.updates <- full
	h.subscribers[s] = struct{}{}
	return s, nil
}

// unsubscribe ends a subscription.
func (h *hub) unsubscribe(s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsubscribeLocked(s)
}

func (h *hub) unsubscribeLocked(s *subscriber) {
	if _, found := h.subscribers[s]; found {
		delete(h.subscribers, s)
		close(s.updates)
	}
}

// setStoreUp records whether this host's own store reader works; failed is true if its
// last call failed. When it stops working, all followers are disconnected, so that they
// follow another reader.
func (h *hub) setStoreUp(up, failed bool) {
	h.mu.Lock()
	changed := h.storeUp != up
	h.storeUp = up
	if up && changed {
		h.storeUpSince, h.storeFailed, h.storeFailing = time.Now(), h.storeFailing, false
	}
	if failed {
		h.storeFailedAt, h.storeFailing = time.Now(), true
	}
	if !up {
		for s := range h.subscribers {
			h.unsubscribeLocked(s)
		}
	}
	h.mu.Unlock()
	if changed {
		h.sourceChanged(up, scatter.RegistrySource{})
	}
}

// isLoaded reports whether the feed's state has been loaded.
func (h *hub) isLoaded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLoadedLocked()
}

func (h *hub) isLoadedLocked() bool {
	_, loaded := h.cursor.Position()
	return loaded
}

// isStoreUp reports whether this host's own store reader works.
func (h *hub) isStoreUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeUp
}

// sourceChanged counts a source that came up or went down. A source that came up is
// described by from, or is this host's own store reader.
func (h *hub) sourceChanged(up bool, from scatter.RegistrySource) {
	h.mu.Lock()
	before := h.sources > 0
	if up {
		h.sources++
	} else {
		h.sources--
	}
	after := h.sources > 0
	now := time.Now()
	gap := scatter.SourceGap{Source: from}
	if before && !after && h.followed {
		h.sourceLostAt = now
	}
	if !before && after && !h.sourceLostAt.IsZero() {
		// A lost source is noticed up to followSilenceTimeout late.
		heardAt := h.sourceLostAt.Add(-followSilenceTimeout)
		gap.Length, gap.StoreFailed = now.Sub(heardAt), h.storeFailedAt.After(heardAt)
	}
	notify := h.onSourceChange
	h.mu.Unlock()
	if before != after && notify != nil {
		notify(after, gap)
	}
}
