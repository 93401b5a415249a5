package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// replicasOf returns the upstreams of a service that may take work and whose
// owner is live. When there are none, the kind is TakenOut or NoOwner. The
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

// reachable includes this host even when it is stopping: it still serves the
// shares that it has not handed over.
func (g *Gateway) reachable(host core.HostID) bool {
	return host == g.config.Self || g.config.Members.IsLive(host)
}

// pick lets the router choose; one replica is no choice, and does not count
// as one with routers that keep a sequence.
func (g *Gateway) pick(service core.ServiceID, replicas []core.Replica) core.Replica {
	if len(replicas) == 1 {
		return replicas[0]
	}
	return replicas[g.config.Router.Pick(service, replicas)]
}

// send puts one attempt under way.
func (g *Gateway) send(now time.Time, p *part, r core.Replica, extra, hedge bool, out *core.Actions) {
	f := p.flight
	a := &attempt{
		id:       g.nextSequence(),
		part:     p,
		upstream: r.Upstream,
		host:     r.Owner,
		sent:     now,
		until:    f.deadline,
		hedge:    hedge,
	}
	if p.first.IsZero() {
		p.first = now
		p.wait = r.Wait
	}
	p.sent++
	p.active = append(p.active, a)
	if !slices.Contains(p.tried, r.Upstream) {
		p.tried = append(p.tried, r.Upstream)
	}
	g.attempts[a.id] = a
	g.peer(now, a.host).attempts[a.id] = a
	g.loads.sentTo(now, a.upstream)
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
		Fingerprint:  f.suspect,
		RemainingUs:  g.config.shrink(f.deadline.Sub(now)),
		OrderKey:     f.orderKey,
		Priority:     f.priority,
		Once:         f.query.GetOnce(),
		Extra:        extra,
		Limit:        f.query.GetLimit(),
		SlowAfterUs:  g.hedgeDelay(a.part).Microseconds(),
	}
}

// drop takes an attempt off all tables; a reply to it counts as late.
func (g *Gateway) drop(a *attempt) {
	delete(g.attempts, a.id)
	delete(g.peers[a.host].attempts, a.id)
	g.loads.ended(a.upstream, a.sent)
	p := a.part
	at := slices.Index(p.active, a)
	p.active = slices.Delete(p.active, at, at+1)
}
