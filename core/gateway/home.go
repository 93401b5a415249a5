package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// remoteCall identifies a call that an ingress host forwarded to this home.
type remoteCall struct {
	from   core.HostID
	number uint64
}

// waiter is a request that waits for the answer of a flight.
type waiter struct {
	deadline time.Time
	reply    func(now time.Time, reply *peerpb.QueryReply, out *core.Actions)
	flight   *flight
	expiry   *timer
}

// onQuery handles a query that an ingress forwarded to this host as its home.
func (g *Gateway) onQuery(now time.Time, from core.HostID, q *peerpb.Query, out *core.Actions) {
	key := remoteCall{from, q.GetCall()}
	if q.GetOnce() || g.waiters[key] != nil {
		return
	}
	w := &waiter{deadline: now.Add(microseconds(q.GetRemainingUs()))}
	w.reply = func(_ time.Time, reply *peerpb.QueryReply, out *core.Actions) {
		delete(g.waiters, key)
		final := copyReply(reply, key.number)
		out.Send(from, &peerpb.Message{Body: &peerpb.Message_QueryReply{QueryReply: final}})
	}
	if g.stopping {
		w.reply(now, g.refusal(core.Stopping, 0, "the home is stopping"), out)
		return
	}
	g.waiters[key] = w
	g.joinOrStart(now, q, w, out)
}

func (g *Gateway) onQueryCancel(key remoteCall, out *core.Actions) {
	w := g.waiters[key]
	if w == nil {
		return
	}
	delete(g.waiters, key)
	g.removeWaiter(w, out)
}

// Run runs one request on this host and calls done exactly once, with the final
// reply. It accepts requests even while this host is stopping, since the role
// that calls it accepted them before the stop.
func (g *Gateway) Run(
	now time.Time,
	q *peerpb.Query,
	done func(now time.Time, reply *peerpb.QueryReply, out *core.Actions),
	out *core.Actions,
) {
	g.stats.Calls++
	w := &waiter{deadline: now.Add(microseconds(q.GetRemainingUs()))}
	w.reply = func(now time.Time, reply *peerpb.QueryReply, out *core.Actions) {
		g.countAnswer(reply)
		done(now, copyReply(reply, q.GetCall()), out)
	}
	g.joinOrStart(now, q, w, out)
}

// joinOrStart adds a waiter to a running flight of the same question, or starts
// a new flight if the query is admitted.
func (g *Gateway) joinOrStart(now time.Time, q *peerpb.Query, w *waiter, out *core.Actions) {
	if err := g.validate(q); err != nil {
		w.reply(now, g.refusal(err.Kind, 0, err.Detail), out)
		return
	}
	p := g.planOf(now, q)
	if p == nil {
		w.reply(now, g.refusal(core.SnapshotGone, 0, "no index version covers the scope without gap or overlap"), out)
		return
	}
	key := fingerprintOf(q)
	if running := g.findJoinable(key, q, p); running != nil {
		g.stats.Shared++
		running.shared = true
		running.priority = max(running.priority, q.GetPriority())
		g.addWaiter(running, w)
		return
	}
	kind, retryAfter := g.admit(now, p, q, w.deadline)
	if kind != core.OK {
		w.reply(now, g.refusal(kind, retryAfter, "refused at admission"), out)
		return
	}
	f := g.newFlight(key, q, p, w.deadline)
	g.addWaiter(f, w)
	g.startParts(now, f, out)
}

func (g *Gateway) planOf(now time.Time, q *peerpb.Query) *plan {
	if q.GetService() != "" {
		return g.planner.forService(core.ServiceID(q.GetService()))
	}
	return g.planner.forScope(now, g.planner.topology.Scopes[core.ScopeID(q.GetScope())])
}

// findJoinable returns a running flight with the same question, rights, limit
// and plan, or nil. At-most-once work is never shared, because each such
// request calls for a separate run.
func (g *Gateway) findJoinable(key core.Fingerprint, q *peerpb.Query, p *plan) *flight {
	if q.GetOnce() {
		return nil
	}
	for _, f := range g.flights[key] {
		if !f.query.GetOnce() && sameQuestion(f.query, q) && f.plan.equal(p) {
			return f
		}
	}
	return nil
}

func (g *Gateway) admit(now time.Time, p *plan, q *peerpb.Query, deadline time.Time) (core.Kind, time.Duration) {
	return g.config.Admission.Admit(core.AdmissionInput{
		Remaining: deadline.Sub(now),
		Expected:  g.expectedLatency(now, p),
		Priority:  q.GetPriority(),
		Running:   g.running,
	})
}

// expectedLatency estimates the latency of a query: the longest expected time of
// a part of the plan, each at the replica with the shortest wait, plus two hops.
// It is 0 if nothing is known of the services.
func (g *Gateway) expectedLatency(now time.Time, p *plan) time.Duration {
	var longest time.Duration
	for i := range p.shards {
		service := p.shards[i].service
		replicas, _ := g.replicasOf(now, service)
		if len(replicas) == 0 {
			continue
		}
		best := replicas[0].Wait
		for _, r := range replicas[1:] {
			best = min(best, r.Wait)
		}
		longest = max(longest, best+g.loads.typicalServiceTime(now, service))
	}
	if longest == 0 {
		return 0
	}
	return longest + 2*g.config.HopMargin
}

// addWaiter adds a waiter to a flight and extends the flight's deadline to the
// waiter's if that is later.
func (g *Gateway) addWaiter(f *flight, w *waiter) {
	w.flight = f
	f.waiters = append(f.waiters, w)
	if w.deadline.After(f.deadline) {
		f.deadline = w.deadline
	}
	w.expiry = g.timers.add(w.deadline, func(now time.Time, out *core.Actions) { g.expireWaiter(now, w, out) })
}

// expireWaiter answers a waiter at its deadline with the results so far. The
// flight continues for the other waiters.
func (g *Gateway) expireWaiter(now time.Time, w *waiter, out *core.Actions) {
	f := w.flight
	reply := g.composeReply(now, f, core.DeadlineExceeded)
	g.removeWaiter(w, out)
	w.reply(now, reply, out)
}

// removeWaiter removes a waiter from its flight and cancels the flight if it was
// the last one.
func (g *Gateway) removeWaiter(w *waiter, out *core.Actions) {
	f := w.flight
	if f == nil {
		return
	}
	w.flight = nil
	g.timers.stop(w.expiry)
	at := slices.Index(f.waiters, w)
	f.waiters = slices.Delete(f.waiters, at, at+1)
	if len(f.waiters) == 0 {
		g.removeFlight(f, out)
	}
}
