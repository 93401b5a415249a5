package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// call is an unanswered request of a caller of this host.
type call struct {
	id       core.CallID
	number   uint64
	query    *peerpb.Query
	deadline time.Time
	sent     time.Time
	// awaitedHome is the home whose reply is awaited, or empty.
	awaitedHome core.HostID
	// waiter is set while this host runs the query itself.
	waiter *waiter
	expiry *timer
	// mayHaveRun is set from the forwarding to a home until the home replies
	// that the query was not run.
	mayHaveRun bool
}

func (g *Gateway) onCallerRequest(now time.Time, e core.CallerRequest, out *core.Actions) {
	if e.Query.GetOnce() || g.byCaller[e.Call] != nil {
		return
	}
	g.stats.Calls++
	if refused := g.refuseAtIngress(e.Query); refused != nil {
		g.answerCaller(e.Call, refused, out)
		return
	}
	c := &call{
		id:       e.Call,
		number:   g.nextSequence(),
		query:    e.Query,
		deadline: now.Add(microseconds(e.Query.GetRemainingUs())),
		sent:     now,
	}
	g.calls[c.number] = c
	g.byCaller[c.id] = c
	home := g.homeOf(fingerprintOf(e.Query))
	if home == g.config.Self {
		g.runLocally(now, c, out)
		return
	}
	g.forwardToHome(now, c, home, out)
}

func (g *Gateway) refuseAtIngress(q *peerpb.Query) *peerpb.QueryReply {
	if g.stopping {
		return g.refusal(core.Stopping, 0, "this host is stopping")
	}
	if err := g.validate(q); err != nil {
		return g.refusal(err.Kind, 0, err.Detail)
	}
	return nil
}

// forwardToHome forwards the query to its home with a shorter deadline, so that
// a partial answer arrives before the caller's deadline.
func (g *Gateway) forwardToHome(now time.Time, c *call, home core.HostID, out *core.Actions) {
	forwarded := &peerpb.Query{
		Call:        c.number,
		RequestId:   c.query.GetRequestId(),
		Scope:       c.query.GetScope(),
		Service:     c.query.GetService(),
		Question:    c.query.GetQuestion(),
		RemainingUs: g.config.subtractHopMargin(c.deadline.Sub(now)),
		Priority:    c.query.GetPriority(),
		Limit:       c.query.GetLimit(),
		Rights:      c.query.GetRights(),
	}
	c.awaitedHome = home
	c.mayHaveRun = true
	c.expiry = g.timers.add(c.deadline, func(now time.Time, out *core.Actions) { g.expireCall(c, out) })
	g.peer(now, home).calls[c.number] = c
	out.Send(home, &peerpb.Message{Body: &peerpb.Message_Query{Query: forwarded}})
}

func (g *Gateway) expireCall(c *call, out *core.Actions) {
	detail := "no reply of the home " + string(c.awaitedHome) + " by the deadline"
	g.finishCall(c, &peerpb.QueryReply{
		Kind:   int32(core.DeadlineExceeded),
		Ran:    int32(core.RanUnknown),
		Detail: detail,
	}, out)
}

// runLocally runs a call on this host, as its home or in place of it. The waiter
// answers it by the deadline, if need be with the results so far.
func (g *Gateway) runLocally(now time.Time, c *call, out *core.Actions) {
	g.timers.stop(c.expiry)
	c.expiry = nil
	c.waiter = &waiter{deadline: c.deadline}
	c.waiter.reply = func(_ time.Time, reply *peerpb.QueryReply, out *core.Actions) {
		g.finishCall(c, reply, out)
	}
	g.joinOrStart(now, c.query, c.waiter, out)
}

// takeOverCall runs a call whose home is lost, silent or unable to serve it. A
// successful reply that still arrives from a silent home is accepted as well.
func (g *Gateway) takeOverCall(now time.Time, c *call, out *core.Actions) {
	if c.waiter != nil {
		return
	}
	g.stats.HomesLost++
	g.runLocally(now, c, out)
}

func (g *Gateway) onQueryReply(now time.Time, from core.HostID, reply *peerpb.QueryReply, out *core.Actions) {
	c := g.calls[reply.GetCall()]
	if c == nil || c.awaitedHome != from {
		g.stats.LateAnswers++
		return
	}
	g.stopAwaitingHome(c)
	notRun := core.Ran(reply.GetRan()) == core.NotRun
	if notRun {
		c.mayHaveRun = false
	}
	kind := core.Kind(reply.GetKind())
	switch {
	case notRun && homeUnavailable(kind):
		g.takeOverCall(now, c, out)
	case c.waiter != nil && kind != core.OK:
		// The home failed, but the run on this host may still succeed.
	default:
		g.finishCall(c, reply, out)
	}
}

// homeUnavailable reports whether a refusal is due to the home rather than the
// query: the home is unreachable, is stopping, or has an older configuration
// than this host, which has validated the request.
func homeUnavailable(kind core.Kind) bool {
	return kind == core.HostLost || kind == core.Stopping || kind == core.UnknownName || kind == core.PlatformUnavailable
}

// stopAwaitingHome removes a call from those that await their home's reply.
func (g *Gateway) stopAwaitingHome(c *call) {
	if p := g.peers[c.awaitedHome]; p != nil {
		delete(p.calls, c.number)
	}
	c.awaitedHome = ""
}

// finishCall sends the final answer of a call, unless it was already answered.
func (g *Gateway) finishCall(c *call, reply *peerpb.QueryReply, out *core.Actions) {
	if g.calls[c.number] != c {
		return
	}
	g.closeCall(c, out)
	final := copyReply(reply, uint64(c.id))
	if c.mayHaveRun && core.Ran(final.Ran) == core.NotRun {
		final.Ran = int32(core.RanUnknown)
	}
	g.answerCaller(c.id, final, out)
}

// closeCall removes a call and cancels its run at the home and on this host.
func (g *Gateway) closeCall(c *call, out *core.Actions) {
	delete(g.calls, c.number)
	delete(g.byCaller, c.id)
	g.timers.stop(c.expiry)
	if c.awaitedHome != "" {
		cancel := &peerpb.QueryCancel{Call: c.number}
		out.Send(c.awaitedHome, &peerpb.Message{Body: &peerpb.Message_QueryCancel{QueryCancel: cancel}})
		g.stopAwaitingHome(c)
	}
	if c.waiter != nil {
		g.removeWaiter(c.waiter, out)
	}
}

func (g *Gateway) onCallerGone(id core.CallID, out *core.Actions) {
	if c := g.byCaller[id]; c != nil {
		g.closeCall(c, out)
	}
}

func (g *Gateway) answerCaller(id core.CallID, reply *peerpb.QueryReply, out *core.Actions) {
	reply.Call = uint64(id)
	g.countAnswer(reply)
	out.Add(core.AnswerCaller{Call: id, Reply: reply})
}

func (g *Gateway) countAnswer(reply *peerpb.QueryReply) {
	g.stats.Answers++
	if reply.GetKind() != int32(core.OK) && reply.GetRan() == int32(core.NotRun) {
		g.stats.Refused++
	}
}

// copyReply copies a reply for one call. A flight's reply is shared by its
// waiters and must not be modified.
func copyReply(r *peerpb.QueryReply, call uint64) *peerpb.QueryReply {
	return &peerpb.QueryReply{
		Call:         call,
		Kind:         r.Kind,
		Ran:          r.Ran,
		Detail:       r.Detail,
		IndexVersion: r.IndexVersion,
		Items:        r.Items,
		Payload:      r.Payload,
		Wanted:       r.Wanted,
		Covered:      r.Covered,
		ReachMet:     r.ReachMet,
		Shards:       r.Shards,
		RetryAfterUs: r.RetryAfterUs,
		Shared:       r.Shared,
		Attempts:     r.Attempts,
		Extra:        r.Extra,
	}
}
