package scatter

import "github.com/samphirebeam/samphirebeam/core"

// FeedUpdate describes an update of a feed by its place in the store's history.
type FeedUpdate struct {
	// Reset is true if the update replaces the whole state.
	Reset bool
	// The update leads from the revision Base to Revision, both of the era Era. An
	// era of 0 is unknown and counts as the current one.
	Era, Base, Revision uint64
}

// FeedCursor decides which updates of a feed are applied. Updates come from several
// sources, some of which lag behind. The zero value has no state yet.
type FeedCursor struct {
	loaded bool
	// lapsed is true if the state is no longer kept up to date. Only a whole state that is
	// not older replaces it.
	lapsed bool
	at     core.Position
}

// FeedDecision is what is to be done with an update.
type FeedDecision int

const (
	// IgnoreUpdate means that the update is not newer than the state.
	IgnoreUpdate FeedDecision = iota
	// ApplyUpdate means that the update follows on the state or replaces it.
	ApplyUpdate
	// RequestReset means that changes before the update are missing, and its source
	// has to send the whole state.
	RequestReset
)

// Position returns the position of the state; false if there is none that is kept up to date.
func (c *FeedCursor) Position() (core.Position, bool) { return c.at, c.loaded && !c.lapsed }

// Decide returns what is to be done with an update. Restored is true if the update
// replaces the state by that of a store which was restored from an older copy.
func (c *FeedCursor) Decide(u FeedUpdate) (decision FeedDecision, restored bool) {
	at := c.positionOf(u)
	switch {
	case c.loaded && at.Compare(c.at) < 0, c.loaded && !c.lapsed && at.Compare(c.at) == 0:
		return IgnoreUpdate, false
	case u.Reset:
		return ApplyUpdate, c.loaded && at.Era != c.at.Era
	case !c.loaded || c.lapsed || at.Era != c.at.Era || u.Base > c.at.Revision:
		return RequestReset, false
	default:
		return ApplyUpdate, false
	}
}

// Advance records that an update was applied.
func (c *FeedCursor) Advance(u FeedUpdate) { c.at, c.loaded, c.lapsed = c.positionOf(u), true, false }

// Lapse records that the state is no longer kept up to date.
func (c *FeedCursor) Lapse() { c.lapsed = c.loaded }

// Invalidate discards the state, for instance because an update was applied in part.
func (c *FeedCursor) Invalidate() { c.loaded = false }

func (c *FeedCursor) positionOf(u FeedUpdate) core.Position {
	at := core.Position{Era: u.Era, Revision: u.Revision}
	if at.Era == 0 && c.loaded {
		at.Era = c.at.Era
	}
	return at
}
