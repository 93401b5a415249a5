package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// expireAfter is how long a host has to be absent before its record is
	// removed, and expireUncertainAfter while that may have another cause: a host
	// that should know is silent, or more than massAbsenceShare of all hosts are
	// absent together, as when regions are cut off from each other.
	expireAfter          = 10 * time.Minute
	expireUncertainAfter = 2 * time.Hour
	massAbsenceShare     = 0.3
	// expiryInterval is the least time between two removals by one host.
	expiryInterval = 10 * time.Second
)

// HostExpiry decides which hosts' records are removed from the store. Hosts register
// when they start, and those that end for good remove nothing: without it the
// first in rank would in time all be gone.
//
// Each host that reads the store counts by itself. A record is removed under
// its revision, so that two that decide the same do no harm, and a host that is
// there after all registers again.
type HostExpiry struct {
	absentSince map[core.HostID]time.Time
	expiredAt   time.Time
}

// Reset starts all counts anew, when this host may have missed hosts.
func (c *HostExpiry) Reset() { c.absentSince = nil }

// MarkPresent starts the count of one host anew: it is there after all, or its record
// could not be removed.
func (c *HostExpiry) MarkPresent(id core.HostID) { delete(c.absentSince, id) }

// Update takes the hosts that have a record and those that are present, and
// returns the one to forget; false is none. Certain says that every host that
// others may follow said who follows it.
func (c *HostExpiry) Update(now time.Time, hosts []Host, present map[core.HostID]bool, certain bool) (forget Host, found bool) {
	since := make(map[core.HostID]time.Time, len(c.absentSince))
	for _, h := range hosts {
		if present[h.ID] {
			continue
		}
		if at, known := c.absentSince[h.ID]; known {
			since[h.ID] = at
		} else {
			since[h.ID] = now
		}
	}
	c.absentSince = since
	after := expireUncertainAfter
	if certain && float64(len(since)) <= massAbsenceShare*float64(len(hosts)) {
		after = expireAfter
	}
	if now.Sub(c.expiredAt) < expiryInterval {
		return Host{}, false
	}
	for _, h := range hosts {
		if at, absent := since[h.ID]; absent && now.Sub(at) >= after {
			c.expiredAt = now
			return h, true
		}
	}
	return Host{}, false
}
