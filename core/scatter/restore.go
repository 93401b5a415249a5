package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// restoreGrace is how long after the store was restored from an older copy what was
// known before stays in force beside what the store lists. Within that time its
// writers write again what it lost.
const restoreGrace = 5 * time.Second

// retained is a set of entries of the store, with those known before a restore.
type retained[K comparable, V any] struct {
	listed map[K]V
	before map[K]V
	until  time.Time
}

// list replaces the entries, and returns those in force. Restored is true if the
// list is the first one after a restore.
func (r *retained[K, V]) list(now time.Time, listed map[K]V, restored bool) map[K]V {
	if restored {
		r.before, r.until = r.inForce(now), now.Add(restoreGrace)
	}
	r.listed = listed
	return r.inForce(now)
}

// inForce returns the entries that are listed or still kept from before a restore.
func (r *retained[K, V]) inForce(now time.Time) map[K]V {
	if !now.Before(r.until) {
		r.before = nil
	}
	all := maps.Clone(r.before)
	if all == nil {
		all = make(map[K]V, len(r.listed))
	}
	maps.Copy(all, r.listed)
	return all
}

// restoredEntries protects the list of upstreams from entries of a restored registry
// that show them as they were: ready although they drain, at an earlier start, or
// registered although they have left.
type restoredEntries struct {
	until time.Time
	// held are such entries, which apply if nothing else is known of them until the
	// end of the grace period.
	held map[core.UpstreamID]Upstream
	// removed holds the starts that have left, and since when.
	removed map[UpstreamStart]time.Time
}

const (
	// removalMemory is how long a removed start is remembered. The copy from which
	// the registry is restored is some seconds old.
	removalMemory = time.Minute
	// maxRemovals bounds the number of removed starts that are remembered.
	maxRemovals = 8192
)

// begin starts the grace period after a restore.
func (r *restoredEntries) begin(now time.Time) {
	r.until = now.Add(restoreGrace)
	r.held = map[core.UpstreamID]Upstream{}
}

// active reports whether the registry was restored recently.
func (r *restoredEntries) active(now time.Time) bool { return now.Before(r.until) }

// recordRemoval records that a start of an upstream has left the registry.
func (r *restoredEntries) recordRemoval(now time.Time, start UpstreamStart) {
	if r.removed == nil {
		r.removed = map[UpstreamStart]time.Time{}
	}
	if len(r.removed) >= maxRemovals {
		maps.DeleteFunc(r.removed, func(_ UpstreamStart, at time.Time) bool { return now.Sub(at) > removalMemory })
	}
	if len(r.removed) < maxRemovals {
		r.removed[start] = now
	}
}

// recordEntry records that an upstream is registered.
func (r *restoredEntries) recordEntry(entry Upstream) {
	delete(r.removed, entry.Start())
	delete(r.held, entry.ID)
}

func (r *restoredEntries) wasRemoved(now time.Time, start UpstreamStart) bool {
	at, found := r.removed[start]
	return found && now.Sub(at) <= removalMemory
}

// isOutdated reports whether an entry of a registry that was restored from an older
// copy shows an upstream as it was before a change that is known here.
func (d *directory) isOutdated(now time.Time, entry Upstream) bool {
	if !d.restored.active(now) {
		return false
	}
	u := d.byID[entry.ID]
	if u == nil {
		before := d.detached.byKey[noticeKeyOf(entry)] // if the core was replaced
		return d.restored.wasRemoved(now, entry.Start()) || before != nil && before.Draining && !entry.Draining
	}
	return entry.Started < u.Started || entry.Started == u.Started && u.Draining && !entry.Draining
}

// acceptHeld applies the outdated entries that nobody has corrected until the end of
// the restore grace period.
func (d *directory) acceptHeld(now time.Time, note func(*upstream, Decision)) {
	if d.restored.active(now) {
		return // restored once more
	}
	for _, id := range slices.Sorted(maps.Keys(d.restored.held)) {
		if decision := d.put(now, d.restored.held[id]); decision != "" {
			note(d.byID[id], decision)
		}
	}
	d.restored.held = nil
}
