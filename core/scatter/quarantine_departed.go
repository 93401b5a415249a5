package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// departedFinders keeps the findings of hosts whose records are gone. A host that withdraws
// its findings stores a record without them; a missing record only says that the host is gone,
// and the request still crashes the upstreams that run it.
type departedFinders struct {
	last   map[core.HostID][]Suspect // as last stored
	goneAt map[core.HostID]time.Time
}

// include returns the stored findings with those of the hosts that are gone, until these expire.
func (d *departedFinders) include(now time.Time, stored map[core.HostID][]Suspect) map[core.HostID][]Suspect {
	all := maps.Clone(stored)
	if all == nil {
		all = map[core.HostID][]Suspect{}
	}
	goneAt := map[core.HostID]time.Time{}
	for id, suspects := range d.last {
		if _, present := stored[id]; present {
			continue
		}
		at, known := d.goneAt[id]
		if !known {
			at = now
		}
		suspects = slices.DeleteFunc(slices.Clone(suspects), func(s Suspect) bool { return now.Sub(at) > s.keptFor() })
		if len(suspects) > 0 {
			all[id], goneAt[id] = suspects, at
		}
	}
	d.last, d.goneAt = all, goneAt
	return all
}

// keptFor returns how long the findings against a fingerprint count, as at the host that
// found them.
func (s Suspect) keptFor() time.Duration {
	if len(s.Ended) >= quarantineAfter {
		return quarantineTTL
	}
	return suspicionTTL
}
