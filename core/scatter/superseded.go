package scatter

import "time"

const (
	// otherInstanceBackoff is for how long an upstream gets nothing after another one
	// answered at its address. It doubles each time, up to maxOtherInstanceBackoff.
	otherInstanceBackoff    = 5 * time.Second
	maxOtherInstanceBackoff = time.Minute
)

// recordOtherInstance records that another upstream answered at the address, so that this
// one has ended, unless that answer was wrong.
func (u *upstream) recordOtherInstance(now time.Time) {
	u.otherInstanceUntil = now.Add(min(maxOtherInstanceBackoff, otherInstanceBackoff<<min(u.otherInstances, 8)))
	u.otherInstances++
}

// superseded reports whether another upstream is known to use an upstream's address.
// A request to it would reach that one, and count there as an extra send.
func (d *directory) superseded(now time.Time, u *upstream) bool {
	other := d.byAddress[u.Address]
	return now.Before(u.otherInstanceUntil) || other != nil && other.ID != u.ID && other.Started > u.Started
}
