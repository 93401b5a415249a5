package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// flight is one run of a question, shared by all requests that wait for it.
type flight struct {
	key core.Fingerprint
	// query is the query of the first waiter.
	query         *peerpb.Query
	id            string
	quarantineKey []byte
	plan          *plan
	parts         []*part
	// openParts counts the parts in state partOpen.
	openParts int
	waiters   []*waiter
	shared    bool
	// deadline is the latest deadline of the waiters.
	deadline time.Time
	// orderKey is the first waiter's deadline in Unix microseconds. Owners order
	// their queues by it, so it does not change when the flight is extended or
	// restarted.
	orderKey        int64
	priority        int32
	attempts, extra uint32
	// ran combines the outcomes of all attempts so far, including those before
	// a restart.
	ran        core.Ran
	restarts   int
	detail     string
	retryAfter time.Duration
	ended      bool
}

// part is one shard's share of a flight.
type part struct {
	flight *flight
	shard  *shard
	state  partState
	// kind is the failure to report: the last one, except that a failure without
	// a run does not replace one after which the sub-query may have run.
	kind   core.Kind
	ran    core.Ran
	active []*attempt
	// attempts counts all attempts, refused those that ended without running on
	// an upstream, backoffs the retries that were delayed.
	attempts, refused, backoffs int
	tried                       []core.UpstreamID
	// lost holds the upstreams that were lost while they may have been running
	// an attempt, unresolved those that may still be running an attempt whose
	// outcome is unknown.
	lost, unresolved []core.UpstreamID
	// firstSent is when the first attempt was sent, expectedWait its expected
	// time in the owner's queue.
	firstSent    time.Time
	expectedWait time.Duration
	// retried is set when an attempt was a budgeted retry: the part is not
	// hedged any more.
	retried bool
	// slowSince is when an attempt was first reported as a straggler.
	slowSince              time.Time
	hedgeTimer, retryTimer *timer
	result                 result
	upstream               core.UpstreamID
	latency                time.Duration
}

type partState int

const (
	partOpen partState = iota
	partDone
	partFailed
)

// attempt is one sub-query in flight.
type attempt struct {
	id       uint64
	part     *part
	upstream core.UpstreamID
	host     core.HostID
	sent     time.Time
	// deadline is the flight's deadline when the attempt was sent.
	deadline time.Time
	hedge    bool
	// straggling is set when the owner has reported the attempt as a straggler.
	straggling bool
}

func (g *Gateway) newFlight(key core.Fingerprint, q *peerpb.Query, p *plan, deadline time.Time) *flight {
	f := &flight{
		key:           key,
		query:         q,
		id:            string(g.config.Self) + "-" + strconv.FormatUint(g.nextSequence(), 36),
		quarantineKey: quarantineKeyOf(q),
		plan:          p,
		deadline:      deadline,
		orderKey:      deadline.UnixMicro(),
		priority:      q.GetPriority(),
	}
	g.flights[key] = append(g.flights[key], f)
	g.running++
	g.stats.Flights++
	return f
}

// startParts starts all parts of the flight's plan.
func (g *Gateway) startParts(now time.Time, f *flight, out *core.Actions) {
	parts := make([]part, len(f.plan.shards))
	f.parts = make([]*part, len(parts))
	f.openParts = len(parts)
	for i := range parts {
		parts[i].flight = f
		parts[i].shard = &f.plan.shards[i]
		f.parts[i] = &parts[i]
	}
	for _, p := range f.parts {
		g.tryPart(now, p, attemptRule{}, out)
	}
	g.finishIfDecided(now, f, out)
}

// restart discards the results so far and runs the flight on another index
// version.
func (g *Gateway) restart(now time.Time, f *flight, next *plan, out *core.Actions) {
	g.stats.Restarts++
	f.restarts++
	g.cancelAllAttempts(f, out)
	f.plan = next
	g.startParts(now, f, out)
}

// finishIfDecided finishes the flight once no part is open or the open parts
// can no longer change the outcome.
func (g *Gateway) finishIfDecided(now time.Time, f *flight, out *core.Actions) {
	if f.ended {
		return
	}
	if f.openParts == 0 || f.reachUnattainable() {
		g.finish(f, g.composeReply(now, f, core.Cancelled), now, out)
	}
}

// reachUnattainable reports whether the scope refuses answers below its
// declared reach and the parts that failed make this reach unattainable.
func (f *flight) reachUnattainable() bool {
	scope := f.plan.scope
	if scope == nil || !scope.RefuseBelow {
		return false
	}
	if !slices.ContainsFunc(f.parts, func(p *part) bool { return p.state == partFailed }) {
		return false
	}
	var possible []span
	for _, p := range f.parts {
		switch p.state {
		case partOpen:
			possible = append(possible, p.shard.wanted...)
		case partDone:
			possible = append(possible, p.result.covered...)
		}
	}
	return coveredFraction(possible, f.plan.space) < scope.Reach
}

// finish sends the reply to all waiters and cancels the attempts in flight.
func (g *Gateway) finish(f *flight, reply *peerpb.QueryReply, now time.Time, out *core.Actions) {
	waiters := f.waiters
	f.waiters = nil
	g.removeFlight(f, out)
	for _, w := range waiters {
		w.flight = nil
		g.timers.stop(w.expiry)
	}
	for _, w := range waiters {
		w.reply(now, reply, out)
	}
}

// removeFlight removes a flight from the tables and cancels its attempts.
func (g *Gateway) removeFlight(f *flight, out *core.Actions) {
	if f.ended {
		return
	}
	f.ended = true
	g.running--
	g.cancelAllAttempts(f, out)
	kept := g.flights[f.key][:0]
	for _, other := range g.flights[f.key] {
		if other != f {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(g.flights, f.key)
		return
	}
	g.flights[f.key] = kept
}

// cancelAllAttempts cancels all attempts and timers of a flight.
func (g *Gateway) cancelAllAttempts(f *flight, out *core.Actions) {
	for _, p := range f.parts {
		g.cancelAttempts(p, out)
	}
}

// cancelAttempts cancels the attempts and timers of a part. A cancelled attempt
// may have run.
func (g *Gateway) cancelAttempts(p *part, out *core.Actions) {
	g.timers.stop(p.hedgeTimer)
	g.timers.stop(p.retryTimer)
	for len(p.active) > 0 {
		g.cancelAttempt(p.active[0], out)
	}
}

func (g *Gateway) cancelAttempt(a *attempt, out *core.Actions) {
	g.removeAttempt(a)
	a.part.flight.recordRan(core.RanUnknown)
	cancel := &peerpb.SubCancel{Attempt: a.id}
	out.Send(a.host, &peerpb.Message{Body: &peerpb.Message_SubCancel{SubCancel: cancel}})
}

func (f *flight) recordRan(ran core.Ran) { f.ran = combineRan(f.ran, ran) }

// combineRan combines the outcomes of two attempts: HasRun if either has run,
// NotRun if neither has, else RanUnknown.
func combineRan(a, b core.Ran) core.Ran {
	switch {
	case a == core.HasRun || b == core.HasRun:
		return core.HasRun
	case a == core.NotRun && b == core.NotRun:
		return core.NotRun
	default:
		return core.RanUnknown
	}
}
