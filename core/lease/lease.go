// Package lease decides which host holds which upstream's share. The hosts of
// a cell keep two objects in the platform: the members with their renewals,
// and the shares with their holders. Both are written by conditional update
// only, by the host of the cell that rendezvous hashing prefers, which any
// other replaces when it does not answer. See docs/design/006-shares.md.
package lease

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Lease is one host's part in the lease protocol. It implements core.Role and
// core.Ownership.
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

// New returns a Lease that knows nothing yet. Next is due at once.
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

// Step takes one event. An event of another role costs next to nothing.
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

// take handles an event; false is an event of another role.
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

// earliest returns the first timer that is due.
func (l *Lease) nextTimer() time.Time {
	return earliestOf(l.nextHolderTimer(), l.nextWriterTimer())
}

// first returns the earliest time that is not zero.
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

// latest returns the last of the times.
func latestOf(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
