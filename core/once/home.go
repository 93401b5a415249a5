package once

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// accept handles a request as the home of its key: it runs the request, answers
// it as a resend, or refuses it.
func (g *Guard) accept(now time.Time, from origin, q *peerpb.Query, out *core.Actions) {
	if e := g.dedup.entries[q.RequestId]; e != nil {
		g.resend(from, e, q, out)
		return
	}
	issued, timed := issueTime(q.RequestId)
	if !timed {
		g.acceptUntimed(now, from, q, out)
		return
	}
	p := g.partitionOf(q.RequestId)
	if r := g.refusalFor(now, p, issued); r != nil {
		g.sendRefusal(from, r, out)
		return
	}
	p.lastAccepted = max(p.lastAccepted, issued)
	e := &entry{requestID: q.RequestId, fingerprint: fingerprintOf(q), issued: issued, partition: p, waiters: []origin{from}}
	g.dedup.add(e)
	g.run(now, e, q, out)
}

// resend handles a request whose id was accepted before.
func (g *Guard) resend(from origin, e *entry, q *peerpb.Query, out *core.Actions) {
	switch {
	case e.fingerprint != fingerprintOf(q):
		g.sendRefusal(from, reply(core.InvalidRequest, core.NotRun, 0, "the request id was used for another request"), out)
	case e.outcome != nil:
		g.stats.Replayed++
		g.answer(from, e.outcome, out)
	default:
		g.stats.Joined++
		e.waiters = append(e.waiters, from)
	}
}

// refusalFor returns the refusal of a key that may not be accepted, nil if it
// may be.
func (g *Guard) refusalFor(now time.Time, p *partition, issued int64) *peerpb.QueryReply {
	switch {
	case !p.held || (p.closing && issued >= p.to):
		return notHeldReply(g.cfg.PollEvery)
	case issued < p.from:
		return reply(core.OutcomeUnknown, core.RanUnknown, 0, "the key is older than this host's interval")
	case issued >= p.to:
		return g.refusalAfterInterval(now, p, issued)
	case g.dedup.full():
		return reply(core.Overloaded, core.NotRun, g.cfg.PollEvery, "too many requests that run once")
	}
	return nil
}

// refusalAfterInterval returns the refusal of a key issued after the interval.
// No other host can have accepted the key until another host may take over the
// partition.
func (g *Guard) refusalAfterInterval(now time.Time, p *partition, issued int64) *peerpb.QueryReply {
	retryAfter := max(time.UnixMilli(issued).Sub(now), g.cfg.PollEvery)
	exclusiveUntil := time.UnixMilli(p.to).Add(g.cfg.TakeoverWait - g.cfg.ClockSkew)
	if now.Before(exclusiveUntil) {
		return reply(core.KeyOutOfWindow, core.NotRun, retryAfter, "the key is later than this host's interval")
	}
	return reply(core.PlatformUnavailable, core.RanUnknown, g.cfg.PollEvery, "the interval cannot be extended")
}

func (g *Guard) sendRefusal(from origin, r *peerpb.QueryReply, out *core.Actions) {
	g.stats.Refused++
	g.answer(from, r, out)
}

// run passes an accepted request, already recorded in the deduplication table,
// to the runner.
func (g *Guard) run(now time.Time, e *entry, q *peerpb.Query, out *core.Actions) {
	g.stats.Accepted++
	g.cfg.Runner.Run(now, q, func(_ time.Time, r *peerpb.QueryReply, out *core.Actions) {
		g.complete(e, r, out)
	}, out)
}

// complete records the outcome. A request that was certainly not run is removed,
// so that a resend may run.
func (g *Guard) complete(e *entry, r *peerpb.QueryReply, out *core.Actions) {
	switch core.Ran(r.Ran) {
	case core.NotRun:
		g.dedup.remove(e)
	case core.HasRun:
		g.dedup.finish(e, r)
	default:
		g.stats.Unknown++
		r = reply(core.OutcomeUnknown, core.RanUnknown, 0, core.Kind(r.Kind).String()+": "+r.Detail)
		g.dedup.finish(e, r)
	}
	g.answerAll(e, r, out)
}

func (g *Guard) answerAll(e *entry, r *peerpb.QueryReply, out *core.Actions) {
	for _, from := range e.waiters {
		g.answer(from, r, out)
	}
	e.waiters = nil
}

func (g *Guard) answer(to origin, r *peerpb.QueryReply, out *core.Actions) {
	r = proto.Clone(r).(*peerpb.QueryReply)
	r.Call = to.call
	out.Send(to.host, &peerpb.Message{Body: &peerpb.Message_QueryReply{QueryReply: r}})
}
