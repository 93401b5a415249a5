package lease

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Stats holds counters since the start of the process.
type Stats struct {
	// Reads and Writes count platform calls; a change of the members that a
	// watch reports counts as a read.
	Reads, Writes          uint64
	Conflicts, Unavailable uint64
	Renewals, Confirmed    uint64
	Fallbacks              uint64
	// Fences counts this host's attempts to remove an expired member.
	Fences      uint64
	Joins, Lost uint64
	Releases    uint64
	// Tables counts the table versions adopted, Pushes the tables sent.
	Tables, Pushes uint64
	Malformed      uint64
}

// Status is a snapshot of a host's lease for operators.
type Status struct {
	Term           uint64
	TableVersion   uint64
	Epoch          uint64
	Members        int
	Shares, Held   int
	Moving, Free   int
	ExclusiveUntil time.Time
	HeldUntil      time.Time
	Writer         core.HostID
	Stopping       bool
}

// Stats returns the counters.
func (l *Lease) Stats() Stats { return l.stats }

// TableVersion returns the version of this host's table; 0 means none.
func (l *Lease) TableVersion() uint64 { return l.table.version }

// ShareStatus is the holder of one upstream's share.
type ShareStatus struct {
	Upstream core.UpstreamID
	// Owner is empty while no host holds the share.
	Owner core.HostID
	Epoch uint64
}

// Shares returns the holders of all shares according to this host's table,
// sorted by upstream.
func (l *Lease) Shares() []ShareStatus {
	var all []ShareStatus
	for _, s := range l.table.shares.GetShares() {
		all = append(all, ShareStatus{
			Upstream: core.UpstreamID(s.GetUpstream()),
			Owner:    l.table.hosts[s.GetTerm()],
			Epoch:    s.GetEpoch(),
		})
	}
	return all
}

// Status returns a snapshot of this host's lease.
func (l *Lease) Status() Status {
	s := Status{
		Term:         l.holder.term,
		TableVersion: l.table.version,
		Epoch:        l.table.shares.GetEpoch(),
		Members:      len(l.table.hosts),
		Shares:       len(l.table.byID),
		HeldUntil:    l.holder.heldUntil,
		Stopping:     l.holder.stopping,
	}
	if !l.holder.confirmedAt.IsZero() {
		s.ExclusiveUntil = l.holder.confirmedAt.Add(l.config.LeaseDuration)
	}
	if len(l.ranking.hosts) > 0 {
		s.Writer = l.ranking.hosts[0]
	}
	for id, share := range l.table.byID {
		if l.heldShare(id) != nil {
			s.Held++
		}
		if share.GetMoving() {
			s.Moving++
		}
		if share.GetTerm() == 0 {
			s.Free++
		}
	}
	return s
}
