package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// replicasOf returns the upstreams of a service that are in service and whose
// owner is reachable. If there are none, the kind is TakenOut or NoOwner. The
// slice is valid until the next call.
func (g *Gateway) replicasOf(now time.Time, id core.ServiceID) ([]core.Replica, core.Kind) {
	replicas := g.replicas[:0]
	reason := core.TakenOut
	if service := g.planner.topology.Services[id]; service != nil {
		for _, upstream := range service.Upstreams {
			if !g.planner.topology.AcceptsWork(upstream) {
				continue
			}
			reason = core.NoOwner
			owner, owned := g.config.Owners.OwnerOf(upstream)
			if !owned || !g.reachable(owner) {
				continue
			}
			replica := g.loads.replica(now, id, upstream, owner)
			if replica.Limit == 0 {
				replica.Limit = g.planner.topology.Upstreams[upstream].Slots
			}
			replicas = append(replicas, replica)
		}
	}
	g.replicas = replicas
	return replicas, reason
}

// reachable reports whether a host can be sent work. It includes this host even
// while it is stopping, since it still serves the upstreams that it has not yet
// handed over.
func (g *Gateway) reachable(host core.HostID) bool {
	return host == g.config.Self || g.config.Members.IsLive(host)
}

// pick selects a replica with the router. It bypasses the router if there is
// only one, so as not to advance routers that keep a sequence.
func (g *Gateway) pick(service core.ServiceID, replicas []core.Replica) core.Replica {
	if len(replicas) == 1 {
		return replicas[0]
	}
	return replicas[g.config.Router.Pick(service, replicas)]
}

// sendAttempt sends a sub-query to a replica's owner and registers the attempt.
// extra marks it as extra load in the counters and the sub-query.
func (g *Gateway) sendAttempt(now time.Time, p *part, r core.Replica, extra, hedge bool, out *core.Actions) {
	f := p.flight
	a := &attempt{
		id:       g.nextSequence(),
		part:     p,
		upstream: r.Upstream,
		host:     r.Owner,
		sent:     now,
		deadline: f.deadline,
		hedge:    hedge,
	}
	if p.firstSent.IsZero() {
		p.firstSent = now
		p.expectedWait = r.Wait
	}
	p.attempts++
	p.active = append(p.active, a)
	if !slices.Contains(p.tried, r.Upstream) {
		p.tried = append(p.tried, r.Upstream)
	}
	g.attempts[a.id] = a
	g.peer(now, a.host).attempts[a.id] = a
	g.loads.attemptSent(now, a.upstream)
	g.countAttempt(f, extra)
	out.Send(a.host, &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: g.subQuery(now, a, extra)}})
}

func (g *Gateway) countAttempt(f *flight, extra bool) {
	f.attempts++
	g.stats.Attempts++
	if extra {
		f.extra++
		g.stats.Extra++
	}
}

func (g *Gateway) subQuery(now time.Time, a *attempt, extra bool) *peerpb.SubQuery {
	f := a.part.flight
	return &peerpb.SubQuery{
		Attempt:      a.id,
		QueryId:      f.id,
		Service:      string(a.part.shard.service),
		Upstream:     string(a.upstream),
		IndexVersion: f.plan.version,
		Question:     f.query.GetQuestion(),
		Fingerprint:  f.quarantineKey,
		RemainingUs:  g.config.subtractHopMargin(f.deadline.Sub(now)),
		OrderKey:     f.orderKey,
		Priority:     f.priority,
		Once:         f.query.GetOnce(),
		Extra:        extra,
		Limit:        f.query.GetLimit(),
		SlowAfterUs:  g.hedgeDelay(a.part).Microseconds(),
	}
}

// removeAttempt removes an attempt from all tables; a later reply to it counts
// as late.
func (g *Gateway) removeAttempt(a *attempt) {
	delete(g.attempts, a.id)
	delete(g.peers[a.host].attempts, a.id)
	g.loads.attemptEnded(a.upstream, a.sent)
	p := a.part
	at := slices.Index(p.active, a)
	p.active = slices.Delete(p.active, at, at+1)
}
