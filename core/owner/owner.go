package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Owner is the role that runs the shares held by this host.
type Owner struct {
	cfg      Config
	topology *core.Topology
	stopping bool

	shares map[core.UpstreamID]*share
	// ordered holds the shares by upstream id: actions must not depend on the
	// order of a map.
	ordered  []*share
	attempts map[core.AttemptID]*attempt
	expiry   expiryQueue
	dirty    []*share
	suspects suspects
	// warmInstances is the process of each upstream last known to be warm.
	warmInstances map[core.UpstreamID]string
	// incarnations is the latest that each host was heard as.
	incarnations map[core.HostID]uint64

	// senders is when each host last sent a sub-query.
	senders      map[core.HostID]time.Time
	nextSync     time.Time
	nextDiscover time.Time
	nextReport   time.Time
	// wake is the earliest wake of a share; zero is none.
	wake time.Time
	// slowNext is when the next running attempt becomes a straggler.
	slowNext time.Time
	stats    Stats
}

// Stats counts what an Owner has done since its start.
type Stats struct {
	Received, Refused, Dispatched, Answered uint64
	// Crossed counts answers with another attempt's id, Stray replies to no
	// attempt in flight.
	Crossed, Stray uint64
	// Restarts counts cold starts seen, Lost attempts lost with a connection.
	Restarts, Lost uint64
	// Suspects and Quarantined count fingerprints by what they became.
	Suspects, Quarantined uint64
	// Queued and Running are the attempts here now.
	Queued, Running int
}

// New returns an Owner without shares; it needs a TopologyChanged before it
// takes work. The error is InvalidRequest and names the field.
func New(cfg Config) (*Owner, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Owner{
		cfg:      cfg,
		topology: &core.Topology{},
		shares:   map[core.UpstreamID]*share{},
		attempts: map[core.AttemptID]*attempt{},
		senders:  map[core.HostID]time.Time{},
		suspects: newSuspects(cfg.SuspectLimit, cfg.SuspectFor),

		warmInstances: map[core.UpstreamID]string{},
		incarnations:  map[core.HostID]uint64{},
	}, nil
}

// Stats returns the counters.
func (o *Owner) Stats() Stats {
	stats := o.stats
	for _, s := range o.ordered {
		stats.Queued += len(s.queue)
		stats.Running += len(s.running)
	}
	return stats
}

// Idle says that a planned stop has nothing left to do here.
func (o *Owner) Idle() bool { return o.stopping && len(o.attempts) == 0 }

// Step takes one event and runs the timers that are due.
func (o *Owner) Step(now time.Time, event core.Event, out *core.Actions) {
	o.take(now, event, out)
	o.runTimers(now, out)
	o.pumpDirty(now, out)
}

func (o *Owner) take(now time.Time, event core.Event, out *core.Actions) {
	switch e := event.(type) {
	case core.PeerMessage:
		o.peerMessage(now, e, out)
	case core.UpstreamReply:
		o.upstreamReply(now, &e, out)
	case core.UpstreamConn:
		o.upstreamConn(now, e)
	case core.UpstreamProbe:
		o.upstreamProbe(now, e)
	case core.PeerLost:
		o.peerLost(now, e.Host, out)
	case core.TopologyChanged:
		o.topology = e.Topology
		o.nextSync, o.nextDiscover = now, now
	case core.StopRequested:
		o.stopping = true
		o.nextSync = now
	}
}

func (o *Owner) peerMessage(now time.Time, e core.PeerMessage, out *core.Actions) {
	if e.Incarnation > o.incarnations[e.From] {
		o.incarnations[e.From] = e.Incarnation
		o.greet(now, e.From, out)
	}
	switch body := e.Message.GetBody().(type) {
	case *peerpb.Message_SubQuery:
		id := core.AttemptID{Host: e.From, Incarnation: e.Incarnation, Sequence: body.SubQuery.Attempt}
		o.subQuery(now, id, body.SubQuery, out)
	case *peerpb.Message_SubCancel:
		id := core.AttemptID{Host: e.From, Incarnation: e.Incarnation, Sequence: body.SubCancel.Attempt}
		o.cancelled(now, o.attempts[id], out)
	case *peerpb.Message_LoadReport:
		o.loadReport(body.LoadReport)
	case *peerpb.Message_Suspect:
		o.suspectMessage(now, e.From, body.Suspect, out)
	}
}

// Next returns when the earliest timer is due.
func (o *Owner) Next() time.Time {
	next := o.nextDiscover
	if len(o.ordered) > 0 {
		next = earlier(next, o.nextSync)
	}
	next = earlier(next, o.nextReport)
	next = earlier(next, o.wake)
	next = earlier(next, o.slowNext)
	if len(o.expiry) > 0 {
		next = earlier(next, o.expiry[0].startBy)
	}
	return next
}

// earlier returns the earlier of two timers, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func due(now, timer time.Time) bool { return !timer.IsZero() && !now.Before(timer) }

func (o *Owner) runTimers(now time.Time, out *core.Actions) {
	o.expire(now, out)
	o.tellSlow(now, out)
	if !now.Before(o.nextDiscover) {
		o.nextDiscover = now.Add(o.cfg.DiscoverEvery)
		o.discover(now)
		o.suspects.expire(now)
	}
	if !now.Before(o.nextSync) {
		o.nextSync = now.Add(o.cfg.SyncEvery)
		o.sync(now, out)
	}
	if due(now, o.wake) {
		o.wakeShares(now)
	}
	if due(now, o.nextReport) {
		o.report(now, out)
	}
}

// wakeShares marks the shares whose limiter lets the next attempt start.
func (o *Owner) wakeShares(now time.Time) {
	o.wake = time.Time{}
	for _, s := range o.ordered {
		if due(now, s.wake) {
			o.touch(s)
			continue
		}
		o.wake = earlier(o.wake, s.wake)
	}
}

// touch has a share looked at before the step ends.
func (o *Owner) touch(s *share) {
	if s.dirty {
		return
	}
	s.dirty = true
	o.dirty = append(o.dirty, s)
}

func (o *Owner) pumpDirty(now time.Time, out *core.Actions) {
	for i := 0; i < len(o.dirty); i++ {
		s := o.dirty[i]
		s.dirty = false
		o.pump(now, s, out)
		if o.nextReport.IsZero() && s.loadKey(now) != s.reported {
			o.nextReport = now.Add(o.cfg.ReportEvery)
		}
	}
	clear(o.dirty)
	o.dirty = o.dirty[:0]
}

func (o *Owner) newShare(now time.Time, up *core.Upstream) *share {
	s := &share{up: up, limiter: o.cfg.Limiter(up), allowed: o.topology.AcceptsWork(up.ID)}
	o.shares[up.ID] = s
	at, _ := slices.BinarySearchFunc(o.ordered, up.ID, compareShare)
	o.ordered = slices.Insert(o.ordered, at, s)
	o.gain(now, s)
	return s
}

func (o *Owner) dropShare(s *share) {
	delete(o.shares, s.up.ID)
	if at, found := slices.BinarySearchFunc(o.ordered, s.up.ID, compareShare); found {
		o.ordered = slices.Delete(o.ordered, at, at+1)
	}
}

func compareShare(s *share, id core.UpstreamID) int {
	return strings.Compare(string(s.up.ID), string(id))
}
