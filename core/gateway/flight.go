package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// flight is one run of a question, for all who wait for it.
type flight struct {
	key core.Fingerprint
	// query is the first waiter's.
	query         *peerpb.Query
	id            string
	quarantineKey []byte
	plan          *plan
	parts         []*part
	// open counts the parts that have not ended.
	openParts int
	waiters   []*waiter
	shared    bool
	// deadline is the latest of the waiters'.
	deadline time.Time
	// orderKey is the first waiter's deadline in unix microseconds. It stays
	// the same when the flight is extended or restarted, because owners serve
	// the sub-queries of one query by it.
	orderKey        int64
	priority        int32
	attempts, extra uint32
	// ran is what is known of all attempts so far, in every restart.
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
	// kind is the failure to report: the last one, but never one that says "not
	// run" after one that does not.
	kind   core.Kind
	ran    core.Ran
	active []*attempt
	// sent counts all attempts, refused those that an owner turned down without
	// any load on an upstream, waits the delayed retries.
	attempts, refused, backoffs int
	tried                       []core.UpstreamID
	// lost holds the upstreams that died with an attempt on them, unsettled
	// those that may run an attempt of which nothing more will be heard.
	lost, unresolved []core.UpstreamID
	// first is when the first attempt was sent, wait how long it was expected
	// to queue then.
	firstSent    time.Time
	expectedWait time.Duration
	// retried says that an attempt was a retry, which is not hedged.
	retried bool
	// slow is when the first attempt was said to straggle.
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

// attempt is one sub-query under way.
type attempt struct {
	id       uint64
	part     *part
	upstream core.UpstreamID
	host     core.HostID
	sent     time.Time
	// until is the flight's deadline when the attempt was sent.
	deadline time.Time
	hedge    bool
	// slow says that the owner called it a straggler.
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

// launch starts all parts of the flight's plan.
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

// restart drops all that was gathered and runs the flight on another index
// version.
func (g *Gateway) restart(now time.Time, f *flight, next *plan, out *core.Actions) {
	g.stats.Restarts++
	f.restarts++
	g.cancelAllAttempts(f, out)
	f.plan = next
	g.startParts(now, f, out)
}

// review ends the flight once nothing is open or nothing more can help.
func (g *Gateway) finishIfDecided(now time.Time, f *flight, out *core.Actions) {
	if f.ended {
		return
	}
	if f.openParts == 0 || f.reachUnattainable() {
		g.finish(f, g.composeReply(now, f, core.Cancelled), now, out)
	}
}

// hopeless says that the scope refuses partial answers and the parts that
// failed already keep the answer below the declared reach.
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

// finish answers all waiters and ends what still runs.
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

// remove takes a flight off the tables and cancels its attempts.
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

// abandon cancels all attempts and timers of a flight.
func (g *Gateway) cancelAllAttempts(f *flight, out *core.Actions) {
	for _, p := range f.parts {
		g.cancelAttempts(p, out)
	}
}

// cancelAttempts gives up what still runs for a part. A cancelled attempt may
// have run.
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

// noteRan keeps the most that is known: run before unknown before not run.
func (f *flight) recordRan(ran core.Ran) { f.ran = combineRan(f.ran, ran) }

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
