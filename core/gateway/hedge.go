package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// silentOwnerFactor is how many hedge delays may pass after the expected wait
// without a message from the owner before its attempt is hedged.
const silentOwnerFactor = 3

// hedgeDelay returns the time on an upstream after which an attempt counts as a
// straggler and is hedged; 0 disables hedging. At-most-once work is never
// hedged. Neither is a part that was retried from the budget or has an attempt
// that was lost or whose outcome is unknown: that attempt may still be running,
// or may have crashed its upstream.
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

// armHedge schedules a hedge for the case that the owner, or the connection to
// it, is itself slow. Normally the owner reports a straggler with SubSlow, as
// it records when the attempt leaves its queue; without that report this host
// has to rely on the wait that it expected.
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

// onSubSlow hedges an attempt that its owner reports as a straggler.
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

// replaceStraggler cancels and resends the first attempt when its hedge
// straggles as well, since two stragglers occupy half the slots of a small
// service and delay the queries queued behind them. It does so only once per
// part, because the question itself may be slow.
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

// sendHedge sends a second attempt to another replica that has another owner.
// An attempt that was not reported as a straggler may merely be queued; its
// hedge is postponed until a replica is expected to have a free slot.
// Otherwise hedges of queued attempts would double the load of an overloaded
// service.
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

// hedgeCandidates returns the replicas that a hedge may use: untried, warm, and
// of another owner than the first attempt's. A cold upstream can take little
// load, which is reserved for first attempts and retries.
func (g *Gateway) hedgeCandidates(now time.Time, p *part) []core.Replica {
	first := p.active[0]
	replicas, _ := g.replicasOf(now, p.shard.service)
	return slices.DeleteFunc(replicas, func(r core.Replica) bool {
		return slices.Contains(p.tried, r.Upstream) || r.Owner == first.host || r.Cold
	})
}
