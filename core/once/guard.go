package once

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Guard is the role that handles requests marked once. It is the ingress for
// those that callers send to this host, and the home for those whose partition
// this host holds.
type Guard struct {
	cfg        Config
	partitions []*partition
	dedup      dedupTable
	stopping   bool
	// stopDeadline is when a planned stop no longer waits for the platform.
	stopDeadline time.Time

	operations map[uint64]replyHandler
	lastOp     uint64
	calls      map[uint64]*call
	// lastCall is the last call number; numbering starts at the incarnation.
	lastCall uint64
	// nextCall is a lower bound of the earliest timer of a call; zero if none.
	nextCall time.Time
	nextTick time.Time
	stats    Stats
}

// Stats holds the counters of a Guard since its start.
type Stats struct {
	// Accepted counts requests that were run here, Replayed resends answered
	// with a recorded outcome, and Joined resends of a request still running.
	Accepted, Replayed, Joined uint64
	Refused, Unknown           uint64
	// Writes and Reads count platform calls.
	Writes, Reads uint64
	// Held is the current number of partitions held, Remembered that of requests
	// in the deduplication table.
	Held, Remembered int
}

// replyHandler handles the reply to a platform call.
type replyHandler func(now time.Time, r core.PlatformReply, out *core.Actions)

// New returns a Guard that holds no partition yet. The error has the kind
// InvalidRequest and names the invalid field.
func New(cfg Config) (*Guard, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &Guard{
		cfg:        cfg,
		dedup:      newDedupTable(cfg.MaxOutcomes),
		operations: map[uint64]replyHandler{},
		calls:      map[uint64]*call{},
		// Call numbers differ between incarnations, so that a reply to an earlier
		// incarnation does not match a call of this one.
		lastCall: cfg.Incarnation,
	}
	for number := range cfg.Partitions {
		g.partitions = append(g.partitions, newPartition(number, cfg.Partitions))
	}
	return g, nil
}

// Stats returns a copy of the counters.
func (g *Guard) Stats() Stats {
	stats := g.stats
	stats.Remembered = len(g.dedup.entries)
	for _, p := range g.partitions {
		if p.held {
			stats.Held++
		}
	}
	return stats
}

// Idle reports whether this role has completed the planned stop.
func (g *Guard) Idle() bool {
	if !g.stopping || len(g.calls) > 0 || g.dedup.running > 0 {
		return false
	}
	return !slices.ContainsFunc(g.partitions, func(p *partition) bool { return p.held })
}

// Step handles one event and runs the timers that are due.
func (g *Guard) Step(now time.Time, event core.Event, out *core.Actions) {
	switch e := event.(type) {
	case core.CallerRequest:
		if e.Query.Once {
			g.callerRequest(now, e, out)
		}
	case core.CallerGone:
		g.dropCall(e.Call)
	case core.PeerMessage:
		g.peerMessage(now, e, out)
	case core.PeerLost:
		g.failCallsTo(e.Host, out)
	case core.PlatformReply:
		g.platformReply(now, e, out)
	case core.StopRequested:
		g.stopping = true
		g.stopDeadline = now.Add(g.cfg.CallTimeout)
		g.nextTick = now
	}
	g.runTimers(now, out)
}

// Next returns when the earliest timer is due.
func (g *Guard) Next() time.Time {
	if g.nextCall.IsZero() || g.nextTick.Before(g.nextCall) {
		return g.nextTick
	}
	return g.nextCall
}

func (g *Guard) runTimers(now time.Time, out *core.Actions) {
	if !g.nextCall.IsZero() && !now.Before(g.nextCall) {
		g.runCalls(now, out)
	}
	if now.Before(g.nextTick) {
		return
	}
	g.nextTick = now.Add(g.cfg.PollEvery)
	for _, p := range g.partitions {
		g.advance(now, p, out)
	}
}

func (g *Guard) peerMessage(now time.Time, e core.PeerMessage, out *core.Actions) {
	switch body := e.Message.GetBody().(type) {
	case *peerpb.Message_Query:
		if body.Query.Once {
			g.accept(now, origin{e.From, body.Query.Call}, body.Query, out)
		}
	case *peerpb.Message_QueryReply:
		g.handleHomeReply(now, e.From, body.QueryReply, out)
	}
}

// call makes a platform call; then handles the reply.
func (g *Guard) call(c core.PlatformCall, then replyHandler, out *core.Actions) {
	g.lastOp++
	c.Operation = core.OperationsOnce | g.lastOp
	c.Timeout = g.cfg.CallTimeout
	g.operations[c.Operation] = then
	if c.Op == core.PlatformGet {
		g.stats.Reads++
	} else {
		g.stats.Writes++
	}
	out.Add(c)
}

func (g *Guard) platformReply(now time.Time, r core.PlatformReply, out *core.Actions) {
	then := g.operations[r.Operation]
	if then == nil {
		return
	}
	delete(g.operations, r.Operation)
	then(now, r, out)
}

func reply(kind core.Kind, ran core.Ran, retryAfter time.Duration, detail string) *peerpb.QueryReply {
	return &peerpb.QueryReply{
		Kind: int32(kind), Ran: int32(ran), Detail: detail, RetryAfterUs: retryAfter.Microseconds(),
	}
}
