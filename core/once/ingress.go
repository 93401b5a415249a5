package once

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

const (
	// callBase distinguishes the call numbers of this package from those of the
	// gateway, which uses the same message types.
	callBase = uint64(1) << 63
	// resendEvery is the delay before a request is sent again after no host held
	// the partition.
	resendEvery     = 100 * time.Millisecond
	maxCallDuration = time.Hour
)

// call is an open caller request at its ingress.
type call struct {
	id       core.CallID
	query    *peerpb.Query
	home     core.HostID
	deadline time.Time
	// resendAt is when the request is sent again; zero while a reply from the
	// home is outstanding.
	resendAt time.Time
}

func (c *call) nextTimer() time.Time {
	if !c.resendAt.IsZero() && c.resendAt.Before(c.deadline) {
		return c.resendAt
	}
	return c.deadline
}

func (g *Guard) callerRequest(now time.Time, e core.CallerRequest, out *core.Actions) {
	if e.Query.RequestId == "" {
		r := reply(core.InvalidRequest, core.NotRun, 0, "a request that runs once needs a request id")
		out.Add(core.AnswerCaller{Call: e.Call, Reply: r})
		return
	}
	g.lastCall++
	sequence := callBase | g.lastCall
	q := proto.Clone(e.Query).(*peerpb.Query)
	q.Call = sequence
	q.RequestId = canonical(q.RequestId)
	us := min(max(q.RemainingUs, 0), maxCallDuration.Microseconds())
	c := &call{id: e.Call, query: q, deadline: now.Add(time.Duration(us) * time.Microsecond)}
	g.calls[sequence] = c
	g.sendToHome(now, c, out)
	g.schedule(c)
}

// schedule sets nextCall to the timer of a call if that is earlier.
func (g *Guard) schedule(c *call) {
	if at := c.nextTimer(); g.nextCall.IsZero() || at.Before(g.nextCall) {
		g.nextCall = at
	}
}

// sendToHome sends a request to the home of its partition, which may be this
// host.
func (g *Guard) sendToHome(now time.Time, c *call, out *core.Actions) {
	home, found := g.homeOf(g.partitionOf(c.query.RequestId))
	if !found {
		c.resendAt = now.Add(resendEvery)
		return
	}
	c.home, c.resendAt = home, time.Time{}
	q := proto.Clone(c.query).(*peerpb.Query)
	q.RemainingUs = c.deadline.Sub(now).Microseconds()
	out.Send(home, &peerpb.Message{Body: &peerpb.Message_Query{Query: q}})
}

// handleHomeReply ends a call. A home that does not hold the partition has not
// run the request, so the request is sent again later, to the home at that time.
func (g *Guard) handleHomeReply(now time.Time, from core.HostID, r *peerpb.QueryReply, out *core.Actions) {
	c := g.calls[r.Call]
	if c == nil || c.home != from || !c.resendAt.IsZero() {
		return
	}
	if core.Kind(r.Kind) == core.NoOwner && now.Add(resendEvery).Before(c.deadline) {
		c.resendAt = now.Add(resendEvery)
		g.schedule(c)
		return
	}
	g.finish(r.Call, c, r, out)
}

func (g *Guard) finish(sequence uint64, c *call, r *peerpb.QueryReply, out *core.Actions) {
	delete(g.calls, sequence)
	out.Add(core.AnswerCaller{Call: c.id, Reply: r})
}

// failCallsTo answers the calls sent to a lost host as unknown, since it may
// have run them.
func (g *Guard) failCallsTo(host core.HostID, out *core.Actions) {
	for _, sequence := range g.sortedCalls() {
		c := g.calls[sequence]
		if c.home == host && c.resendAt.IsZero() {
			g.finish(sequence, c, reply(core.OutcomeUnknown, core.RanUnknown, 0, "the host that ran it is lost"), out)
		}
	}
}

func (g *Guard) dropCall(id core.CallID) {
	for sequence, c := range g.calls {
		if c.id == id {
			delete(g.calls, sequence)
		}
	}
}

// runCalls resends the calls whose partition had no holder, and ends those that
// reached their deadline.
func (g *Guard) runCalls(now time.Time, out *core.Actions) {
	g.nextCall = time.Time{}
	for _, sequence := range g.sortedCalls() {
		c := g.calls[sequence]
		switch {
		case !now.Before(c.deadline) && c.resendAt.IsZero():
			g.finish(sequence, c, reply(core.OutcomeUnknown, core.RanUnknown, 0, "no outcome by the deadline"), out)
		case !now.Before(c.deadline):
			g.finish(sequence, c, notHeldReply(g.cfg.PollEvery), out)
		case !c.resendAt.IsZero() && !now.Before(c.resendAt):
			g.sendToHome(now, c, out)
			g.schedule(c)
		default:
			g.schedule(c)
		}
	}
}

// sortedCalls returns the numbers of the open calls in ascending order, since
// the order of actions must not depend on map iteration.
func (g *Guard) sortedCalls() []uint64 {
	if len(g.calls) == 0 {
		return nil
	}
	sequences := make([]uint64, 0, len(g.calls))
	for sequence := range g.calls {
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences
}

// notHeldReply answers that no known host holds the key's partition. This send
// was not run; an earlier one with the same id may have been.
func notHeldReply(retryAfter time.Duration) *peerpb.QueryReply {
	return reply(core.NoOwner, core.RanUnknown, retryAfter, "no host holds the key's partition now")
}
