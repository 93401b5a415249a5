// Package lease decides which host holds the share of each upstream. The hosts
// of a cell keep two objects in the platform: the members with their renewals,
// and the shares with their holders. Both are written only by conditional
// updates. The writer is the host of the cell that rendezvous hashing ranks
// first; any other host replaces it when it does not answer. See
// docs/design/006-shares.md.
package lease

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Lease runs the lease protocol on one host, both as a holder of shares and as a
// writer of the cell's objects. It implements core.Role and core.Ownership.
type Lease struct {
	config   Config
	now      time.Time
	next     time.Time
	ranking  ranking
	topology *core.Topology
	stats    Stats

	table  table
	holder holder
	writer writer
}

// New returns a Lease without a membership and with an empty table. Its first
// timer is due immediately.
func New(c Config) (*Lease, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	c.setDefaults()
	l := &Lease{config: c, next: time.Unix(0, 0)}
	l.holder = newHolder()
	l.writer = newWriter(c.Cell)
	l.writer.callTimeout = c.CallTimeout
	l.table.pushed = map[core.HostID]sentTable{}
	return l, nil
}

// Step processes one event. It returns early for an event of another role
// unless a timer is due.
func (l *Lease) Step(now time.Time, event core.Event, out *core.Actions) {
	l.now = now
	if !l.handle(event, out) && now.Before(l.next) {
		return
	}
	l.ranking.update(l.config.Cell, l.config.Members)
	l.runHolder(out)
	l.runWriter(out)
	l.next = l.nextTimer()
}

// Next returns when the earliest timer is due.
func (l *Lease) Next() time.Time { return l.next }

// handle processes an event and returns false for an event of another role.
func (l *Lease) handle(event core.Event, out *core.Actions) bool {
	switch e := event.(type) {
	case core.PeerMessage:
		return l.handleMessage(e, out)
	case core.PlatformReply:
		return l.handleReply(e, out)
	case core.PlatformChanged:
		return l.handleObjectChange(e, out)
	case core.TopologyChanged:
		l.topology = e.Topology
		l.writer.planDue = true
		return true
	case core.StopRequested:
		l.beginStop()
		return true
	default:
		return false
	}
}

func (l *Lease) handleMessage(e core.PeerMessage, out *core.Actions) bool {
	switch body := e.Message.GetBody().(type) {
	case *peerpb.Message_LeaseRenew:
		l.handleRenew(e, body.LeaseRenew, out)
	case *peerpb.Message_LeaseRenewed:
		l.handleRenewReply(e.From, body.LeaseRenewed, out)
	case *peerpb.Message_LeaseTable:
		l.adoptTable(body.LeaseTable.GetVersion(), body.LeaseTable.GetDocument(), out)
	default:
		return false
	}
	return true
}

// nextTimer returns when the earliest timer is due.
func (l *Lease) nextTimer() time.Time {
	return earliestOf(l.nextHolderTimer(), l.nextWriterTimer())
}

// earliestOf returns the earliest nonzero time, or zero if all are zero.
func earliestOf(times ...time.Time) time.Time {
	var earliest time.Time
	for _, t := range times {
		if t.IsZero() {
			continue
		}
		if earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	return earliest
}

// latestOf returns the latest of the times.
func latestOf(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
