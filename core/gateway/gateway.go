package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Gateway is the query coordinator of one host. It is not safe for concurrent
// use.
type Gateway struct {
	config   Config
	timers   timers
	planner  planner
	loads    loads
	budget   budget
	stats    Stats
	stopping bool

	// sequence is the last number given to an attempt, a call or a flight.
	sequence uint64
	calls    map[uint64]*call
	byCaller map[core.CallID]*call
	waiters  map[remoteCall]*waiter
	// flights holds the running flights. Those of one fingerprint differ in
	// their plan, or in their question if hashes collide.
	flights map[core.Fingerprint][]*flight
	// running is the number of flights.
	running    int
	attempts   map[uint64]*attempt
	peers      map[core.HostID]*peer
	sweepTimer *timer

	// replicas and keys are buffers that are reused to avoid allocations.
	replicas []core.Replica
	keys     []uint64
}

var (
	_ core.Role   = (*Gateway)(nil)
	_ core.Runner = (*Gateway)(nil)
)

// New returns a Gateway without a topology. It refuses every request until the
// first TopologyChanged event.
func New(config Config) (*Gateway, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config.setDefaults()
	return &Gateway{
		config:   config,
		planner:  planner{goneUntil: map[goneKey]time.Time{}, goneTTL: config.GoneTTL},
		loads:    newLoads(config.HopMargin),
		budget:   newBudget(&config),
		sequence: config.Incarnation,
		calls:    map[uint64]*call{},
		byCaller: map[core.CallID]*call{},
		waiters:  map[remoteCall]*waiter{},
		flights:  map[core.Fingerprint][]*flight{},
		attempts: map[uint64]*attempt{},
		peers:    map[core.HostID]*peer{},
	}, nil
}

// Step handles one event and then runs the timers that are due. The event is
// handled first, so that a reply is used even if a timer that is due at the
// same time would abandon its attempt.
func (g *Gateway) Step(now time.Time, event core.Event, out *core.Actions) {
	switch e := event.(type) {
	case core.CallerRequest:
		g.onCallerRequest(now, e, out)
	case core.CallerGone:
		g.onCallerGone(e.Call, out)
	case core.PeerMessage:
		g.onMessage(now, e, out)
	case core.PeerLost:
		g.onHostLost(now, e.Host, out)
	case core.TopologyChanged:
		g.planner.setTopology(e.Topology)
		g.loads.prune(e.Topology)
	case core.StopRequested:
		g.stopping = true
	}
	g.timers.run(now, out)
}

func (g *Gateway) onMessage(now time.Time, e core.PeerMessage, out *core.Actions) {
	if p := g.peers[e.From]; p != nil {
		p.lastHeard = now
	}
	switch body := e.Message.GetBody().(type) {
	case *peerpb.Message_SubReply:
		g.onSubReply(now, e.From, body.SubReply, out)
	case *peerpb.Message_SubSlow:
		g.onSubSlow(now, e.From, body.SubSlow, out)
	case *peerpb.Message_Query:
		g.onQuery(now, e.From, body.Query, out)
	case *peerpb.Message_QueryReply:
		g.onQueryReply(now, e.From, body.QueryReply, out)
	case *peerpb.Message_QueryCancel:
		g.onQueryCancel(remoteCall{e.From, body.QueryCancel.GetCall()}, out)
	case *peerpb.Message_LoadReport:
		for _, load := range body.LoadReport.GetLoads() {
			g.loads.applyReport(now, load)
		}
	}
}

// Next returns the time at which the earliest timer is due, or the zero time
// if no timer is set.
func (g *Gateway) Next() time.Time { return g.timers.next() }

// Idle reports whether this host has no unfinished call, query or attempt.
func (g *Gateway) Idle() bool {
	return len(g.calls) == 0 && g.running == 0
}

func (g *Gateway) nextSequence() uint64 {
	g.sequence++
	return g.sequence
}
