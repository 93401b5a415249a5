package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Owner is the role of a host that dispatches sub-queries to the upstreams
// whose shares the host holds. It is a state machine without goroutines: Step
// consumes events and emits actions.
type Owner struct {
	cfg      Config
	topology *core.Topology
	stopping bool

	shares map[core.UpstreamID]*share
	// ordered holds the shares sorted by upstream id, so that the order of
	// actions does not depend on map iteration.
	ordered  []*share
	attempts map[core.AttemptID]*attempt
	expiry   expiryQueue
	dirty    []*share
	suspects suspectTable
	// warmInstances holds the last known warm instance of each upstream.
	warmInstances map[core.UpstreamID]string
	// incarnations holds the highest incarnation received from each host.
	incarnations map[core.HostID]uint64

	// senders holds the time of each host's last sub-query.
	senders      map[core.HostID]time.Time
	nextSync     time.Time
	nextDiscover time.Time
	nextReport   time.Time
	// nextWake is the earliest wakeAt of all shares; zero means none.
	nextWake time.Time
	// nextSlow is when the next running attempt becomes a straggler; zero
	// means none.
	nextSlow time.Time
	stats    Stats
}

// Stats holds the counters of an Owner since its start.
type Stats struct {
	Received, Refused, Dispatched, Answered uint64
	// Crossed counts answers that carry another attempt's id. Stray counts
	// replies that match no attempt in flight and sub-queries with the id of
	// an attempt that is still here.
	Crossed, Stray uint64
	// Restarts counts detected restarts of upstreams, Lost the attempts that
	// ended with UpstreamLost.
	Restarts, Lost uint64
	// Suspects counts losses attributed to a fingerprint, Quarantined the
	// fingerprints put into quarantine.
	Suspects, Quarantined uint64
	// Queued and Running are the current numbers of attempts.
	Queued, Running int
}

// New returns an Owner without shares. It accepts no work before its first
// TopologyChanged event. An invalid cfg gives an InvalidRequest error that
// names the field.
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
		suspects: newSuspectTable(cfg.SuspectLimit, cfg.SuspectFor),

		warmInstances: map[core.UpstreamID]string{},
		incarnations:  map[core.HostID]uint64{},
	}, nil
}

// Stats returns a snapshot of the counters.
func (o *Owner) Stats() Stats {
	stats := o.stats
	for _, s := range o.ordered {
		stats.Queued += len(s.queue)
		stats.Running += len(s.running)
	}
	return stats
}

// Idle reports whether a planned stop was requested and no attempt is left.
func (o *Owner) Idle() bool { return o.stopping && len(o.attempts) == 0 }

// Step handles one event, runs the timers that are due and dispatches what
// may start.
func (o *Owner) Step(now time.Time, event core.Event, out *core.Actions) {
	o.handle(now, event, out)
	o.runTimers(now, out)
	o.dispatchDirty(now, out)
}

func (o *Owner) handle(now time.Time, event core.Event, out *core.Actions) {
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
		o.sendSuspects(now, e.From, out)
	}
	switch body := e.Message.GetBody().(type) {
	case *peerpb.Message_SubQuery:
		id := core.AttemptID{Host: e.From, Incarnation: e.Incarnation, Sequence: body.SubQuery.Attempt}
		o.subQuery(now, id, body.SubQuery, out)
	case *peerpb.Message_SubCancel:
		id := core.AttemptID{Host: e.From, Incarnation: e.Incarnation, Sequence: body.SubCancel.Attempt}
		o.handleCancel(now, o.attempts[id], out)
	case *peerpb.Message_LoadReport:
		o.loadReport(body.LoadReport)
	case *peerpb.Message_Suspect:
		o.handleSuspect(now, e.From, body.Suspect, out)
	}
}

// Next returns the time of the earliest timer.
func (o *Owner) Next() time.Time {
	next := o.nextDiscover
	if len(o.ordered) > 0 {
		next = earlier(next, o.nextSync)
	}
	next = earlier(next, o.nextReport)
	next = earlier(next, o.nextWake)
	next = earlier(next, o.nextSlow)
	if len(o.expiry) > 0 {
		next = earlier(next, o.expiry[0].startBy)
	}
	return next
}

// earlier returns the earlier of two times; the zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func due(now, timer time.Time) bool { return !timer.IsZero() && !now.Before(timer) }

func (o *Owner) runTimers(now time.Time, out *core.Actions) {
	o.expire(now, out)
	o.reportStragglers(now, out)
	if !now.Before(o.nextDiscover) {
		o.nextDiscover = now.Add(o.cfg.DiscoverEvery)
		o.discover(now)
		o.suspects.expire(now)
	}
	if !now.Before(o.nextSync) {
		o.nextSync = now.Add(o.cfg.SyncEvery)
		o.sync(now, out)
	}
	if due(now, o.nextWake) {
		o.wakeShares(now)
	}
	if due(now, o.nextReport) {
		o.report(now, out)
	}
}

// wakeShares marks the shares whose wakeAt has come and recomputes nextWake.
func (o *Owner) wakeShares(now time.Time) {
	o.nextWake = time.Time{}
	for _, s := range o.ordered {
		if due(now, s.wakeAt) {
			o.markDirty(s)
			continue
		}
		o.nextWake = earlier(o.nextWake, s.wakeAt)
	}
}

// markDirty schedules a share for dispatch before the step ends.
func (o *Owner) markDirty(s *share) {
	if s.dirty {
		return
	}
	s.dirty = true
	o.dirty = append(o.dirty, s)
}

func (o *Owner) dispatchDirty(now time.Time, out *core.Actions) {
	for i := 0; i < len(o.dirty); i++ {
		s := o.dirty[i]
		s.dirty = false
		o.dispatchQueued(now, s, out)
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
	o.shareAcquired(now, s)
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
