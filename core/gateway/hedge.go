package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// silentFactor is how many times the hedge delay an owner may be silent beyond
// the expected wait.
const silentOwnerFactor = 3

// hedgeDelay is the time on an upstream after which an attempt is a straggler;
// 0 is never. Work that runs at most once is never hedged, and a retry is not
// either: what it follows may be running still, or may be what crashed an
// upstream.
func (g *Gateway) hedgeDelay(p *part) time.Duration {
	if p.flight.query.GetOnce() || p.retried || len(p.lost)+len(p.unresolved) > 0 {
		return 0
	}
	delay, wanted := g.config.Hedger.Delay(p.shard.service)
	if !wanted {
		return 0
	}
	return delay
}

// armHedge sets when a second attempt goes out without a word of the owner:
// it, or the way to it, may be slow itself. The owner knows when an attempt
// leaves its queue and says with SubSlow when it straggles; this host can only
// guess from the wait that it expected.
func (g *Gateway) armHedge(now time.Time, p *part) {
	g.timers.stop(p.hedgeTimer)
	p.hedgeTimer = nil
	delay := g.hedgeDelay(p)
	if delay > 0 {
		g.scheduleHedge(p, now.Add(p.expectedWait+silentOwnerFactor*delay+2*g.config.HopMargin))
	}
}

func (g *Gateway) scheduleHedge(p *part, at time.Time) {
	g.timers.stop(p.hedgeTimer)
	p.hedgeTimer = nil
	if !at.Before(p.flight.deadline) {
		return
	}
	p.hedgeTimer = g.timers.add(at, func(now time.Time, out *core.Actions) { g.sendHedge(now, p, out) })
}

// onSubSlow hedges an attempt that straggles on its upstream.
func (g *Gateway) onSubSlow(now time.Time, from core.HostID, m *peerpb.SubSlow, out *core.Actions) {
	a := g.attempts[m.GetAttempt()]
	if a == nil || a.host != from || g.hedgeDelay(a.part) == 0 {
		return
	}
	p := a.part
	a.straggling = true
	if p.slowSince.IsZero() {
		p.slowSince = now
	}
	if len(p.active) == 1 {
		g.sendHedge(now, p, out)
		return
	}
	g.replaceStraggler(now, p, out)
}

// replaceStraggler starts the first attempt over when its hedge straggles as
// well: two stragglers hold half of the slots of a small service, and those
// behind them wait. It does so once, because a question may be slow by nature.
func (g *Gateway) replaceStraggler(now time.Time, p *part, out *core.Actions) {
	isSlow := func(a *attempt) bool { return a.straggling }
	first := p.active[0]
	if p.attempts-p.refused != 2 || !slices.ContainsFunc(p.active[1:], isSlow) || !first.straggling {
		return
	}
	replicas, _ := g.replicasOf(now, p.shard.service)
	at := slices.IndexFunc(replicas, func(r core.Replica) bool { return r.Upstream == first.upstream })
	if at < 0 || !g.budget.takeHedge() {
		return
	}
	g.stats.Hedges++
	g.cancelAttempt(first, out)
	g.sendAttempt(now, p, replicas[at], true, true, out)
}

// sendHedge sends the second attempt to the twin, through another owner. An
// attempt that is not known to straggle may just be queued: its copy waits for
// a free slot at the twin, or copies of queued work would double the load of a
// service that falls behind.
func (g *Gateway) sendHedge(now time.Time, p *part, out *core.Actions) {
	g.timers.stop(p.hedgeTimer)
	p.hedgeTimer = nil
	if p.state != partOpen || len(p.active) != 1 {
		return
	}
	candidates := g.hedgeCandidates(now, p)
	if len(candidates) == 0 {
		return
	}
	replica := g.pick(p.shard.service, candidates)
	if p.slowSince.IsZero() && replica.Wait > 0 {
		g.scheduleHedge(p, now.Add(replica.Wait))
		return
	}
	if !g.budget.takeHedge() {
		g.stats.ExtraDenied++
		g.scheduleHedge(p, now.Add(g.config.RetryDelay))
		return
	}
	g.stats.Hedges++
	g.sendAttempt(now, p, replica, true, true, out)
}

// twinsOf returns the replicas that a hedge may use. A cold upstream bears
// only a little load, which is left to the work that needs it.
func (g *Gateway) hedgeCandidates(now time.Time, p *part) []core.Replica {
	first := p.active[0]
	replicas, _ := g.replicasOf(now, p.shard.service)
	return slices.DeleteFunc(replicas, func(r core.Replica) bool {
		return slices.Contains(p.tried, r.Upstream) || r.Owner == first.host || r.Cold
	})
}
