package scatter

import (
	"maps"
	"time"
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
