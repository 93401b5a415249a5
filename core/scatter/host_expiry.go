package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// expireAfter is how long a host has to be absent before its record is
	// removed. It is expireUncertainAfter while the absence may have another
	// cause: a host that could report its followers is silent, or more than
	// massAbsenceShare of all hosts are absent together, e.g. because regions are
	// cut off from each other.
	expireAfter          = 10 * time.Minute
	expireUncertainAfter = 2 * time.Hour
	massAbsenceShare     = 0.3
	// expiryInterval is the minimum time between two removals by one host.
	expiryInterval = 10 * time.Second
)

// HostExpiry decides which hosts' records are removed from the store. Hosts
// register when they start and do not remove their records when they stop for
// good. Without expiry, hosts that no longer exist would in time hold all the
// highest ranks.
//
// Each host that reads the store decides on its own. A record is removed on
// condition of its revision, so that two hosts may decide the same, and a host
// that still runs registers again.
type HostExpiry struct {
	absentSince map[core.HostID]time.Time
	lastExpiry  time.Time
}

// Reset restarts the absence period of all hosts. It is used when this host may
// have missed signs of their presence.
func (x *HostExpiry) Reset() { x.absentSince = nil }

// MarkPresent ends the absence period of one host, because it is present after all
// or its record could not be removed.
func (x *HostExpiry) MarkPresent(id core.HostID) { delete(x.absentSince, id) }

// Update updates the absence periods from the hosts that have a record and those
// that are present. It returns the host whose record is to be removed; false if
// there is none. Certain is true if every host that others may follow has reported
// its followers.
func (x *HostExpiry) Update(now time.Time, hosts []Host, present map[core.HostID]bool, certain bool) (expired Host, found bool) {
	since := make(map[core.HostID]time.Time, len(x.absentSince))
	for _, h := range hosts {
		if present[h.ID] {
			continue
		}
		if at, known := x.absentSince[h.ID]; known {
			since[h.ID] = at
		} else {
			since[h.ID] = now
		}
	}
	x.absentSince = since
	after := expireUncertainAfter
	if certain && float64(len(since)) <= massAbsenceShare*float64(len(hosts)) {
		after = expireAfter
	}
	if now.Sub(x.lastExpiry) < expiryInterval {
		return Host{}, false
	}
	for _, h := range hosts {
		if at, absent := since[h.ID]; absent && now.Sub(at) >= after {
			x.lastExpiry = now
			return h, true
		}
	}
	return Host{}, false
}
