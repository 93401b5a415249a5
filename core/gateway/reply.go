package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// outcome is how one attempt ended.
type outcome struct {
	kind       core.Kind
	ran        core.Ran
	retryAfter time.Duration
	result     result
	// serviceTime is the time on the upstream, 0 if unknown.
	serviceTime time.Duration
}

func (g *Gateway) onSubReply(now time.Time, from core.HostID, r *peerpb.SubReply, out *core.Actions) {
	if r.GetLoad() != nil {
		g.loads.applyReport(now, r.GetLoad())
	}
	a := g.attempts[r.GetAttempt()]
	if a == nil {
		g.stats.LateReplies++
		return
	}
	if a.host != from {
		// Not from the host that the attempt was sent to: keep waiting.
		g.stats.Mismatched++
		return
	}
	o := g.outcomeOf(a, r)
	g.endAttempt(now, a, o, out)
}

// outcomeOf converts a reply to an outcome and checks that it matches its
// attempt. A mismatched reply counts as a failed attempt, so that the
// sub-query is retried and the reply never merged.
func (g *Gateway) outcomeOf(a *attempt, r *peerpb.SubReply) outcome {
	o := outcome{
		kind:        core.Kind(r.GetKind()),
		ran:         ranOf(r),
		retryAfter:  microseconds(r.GetRetryAfterUs()),
		serviceTime: microseconds(max(0, r.GetServiceUs())),
	}
	fits := r.GetUpstream() == "" || r.GetUpstream() == string(a.upstream)
	if o.kind == core.OK && fits {
		o.result, fits = g.checkResult(a.part, r)
	}
	if !fits {
		g.stats.Mismatched++
		return outcome{kind: core.UpstreamFailed, ran: core.RanUnknown}
	}
	return o
}

func ranOf(r *peerpb.SubReply) core.Ran {
	ran := core.Ran(r.GetRan())
	switch {
	case core.Kind(r.GetKind()) == core.OK:
		return core.HasRun
	case ran == core.NotRun || ran == core.HasRun:
		return ran
	default:
		return core.RanUnknown
	}
}

// endAttempt applies the outcome of an attempt to its part and flight.
func (g *Gateway) endAttempt(now time.Time, a *attempt, o outcome, out *core.Actions) {
	g.removeAttempt(a)
	f := a.part.flight
	f.recordRan(o.ran)
	switch {
	case o.kind == core.OK:
		g.completePart(now, a, o, out)
	case o.kind == core.Quarantined:
		g.endQuarantined(now, a.part, o, out)
	case o.kind == core.SnapshotGone && f.plan.scope != nil:
		g.onSnapshotGone(now, a, o, out)
	default:
		g.onAttemptFailed(now, a, o, out)
	}
	g.finishIfDecided(now, f, out)
}

// completePart stores a part's result and cancels its other attempts.
func (g *Gateway) completePart(now time.Time, a *attempt, o outcome, out *core.Actions) {
	p := a.part
	p.state = partDone
	p.kind = core.OK
	p.result = o.result
	p.upstream = a.upstream
	p.latency = now.Sub(p.firstSent)
	p.flight.openParts--
	if a.hedge {
		g.stats.HedgeWins++
	}
	g.observeServiceTime(now, p, o.serviceTime)
	g.cancelAttempts(p, out)
}

// observeServiceTime records the service time of a successful sub-query. For the
// hedger, the time of a part with a straggler is at least as long as the
// straggler has been running; the hedge's shorter time alone would bias the
// hedge delay downwards.
func (g *Gateway) observeServiceTime(now time.Time, p *part, took time.Duration) {
	if took == 0 {
		return
	}
	g.loads.observeServiceTime(now, p.shard.service, took)
	if !p.slowSince.IsZero() {
		took = max(took, g.hedgeDelay(p)+now.Sub(p.slowSince))
	}
	g.config.Hedger.Observe(p.shard.service, took)
}

// endQuarantined ends the whole flight without retries: the question has crashed
// upstreams and must not reach others.
func (g *Gateway) endQuarantined(now time.Time, p *part, o outcome, out *core.Actions) {
	f := p.flight
	g.failPart(now, p, o.kind, o.ran, out)
	g.cancelAllAttempts(f, out)
	reply := &peerpb.QueryReply{
		Kind:         int32(core.Quarantined),
		Ran:          int32(f.ran),
		Detail:       "the question is quarantined: upstreams were lost while running it",
		IndexVersion: f.plan.version,
		Wanted:       f.plan.wanted,
		Shards:       f.accounts(now, core.Cancelled),
		RetryAfterUs: g.retryAfterFor(core.Quarantined, o.retryAfter).Microseconds(),
		Shared:       f.shared,
		Attempts:     f.attempts,
		Extra:        f.extra,
	}
	g.finish(f, reply, now, out)
}

// onSnapshotGone restarts the query on another index version if there is enough
// time left. Otherwise it retries on another replica, which may still have the
// old version.
func (g *Gateway) onSnapshotGone(now time.Time, a *attempt, o outcome, out *core.Actions) {
	f := a.part.flight
	g.planner.markGone(now, a.part.shard.service, f.plan.version)
	if next := g.restartPlan(now, f); next != nil {
		g.restart(now, f, next, out)
		return
	}
	f.detail = "the index version went away while the query ran"
	g.onAttemptFailed(now, a, o, out)
}

// restartTimeFactor times the expected latency must remain for a restart, since
// a restart discards the results so far.
const restartTimeFactor = 2

func (g *Gateway) restartPlan(now time.Time, f *flight) *plan {
	if f.restarts >= g.config.MaxRestarts {
		return nil
	}
	next := g.planner.alternativeTo(now, f.plan)
	if next == nil || now.Add(restartTimeFactor*g.expectedLatency(now, next)).After(f.deadline) {
		return nil
	}
	return next
}
