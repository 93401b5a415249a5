package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// attemptRule holds the constraints on the next attempt at a part. The zero
// value is the rule of the first attempt.
type attemptRule struct {
	// retry is set unless it is the first attempt.
	retry bool
	// budgeted charges the attempt to the budget for extra load.
	budgeted bool
	// untriedOnly allows only upstreams that were not tried before.
	untriedOnly bool
	// excludeLost allows all upstreams except the lost ones.
	excludeLost bool
	// backedOff is set once the delay before an upstream is tried again has
	// passed.
	backedOff bool
}

// maxRefusedAttempts bounds the attempts at one sub-query that end without
// running. They do not count towards Config.MaxAttempts.
const maxRefusedAttempts = 16

// maxBackoffShift bounds how often RetryDelay is doubled.
const maxBackoffShift = 4

// onAttemptFailed handles a failed attempt. Unless another attempt is in flight
// or scheduled, it retries the part or marks it as failed.
func (g *Gateway) onAttemptFailed(now time.Time, a *attempt, o outcome, out *core.Actions) {
	p := a.part
	p.recordFailure(a, o)
	p.flight.retryAfter = max(p.flight.retryAfter, o.retryAfter)
	if len(p.active) > 0 || p.retryTimer != nil {
		return
	}
	next, retry := g.retryRule(p, a, o)
	if !retry {
		g.failPart(now, p, p.kind, p.ran, out)
		return
	}
	g.tryPart(now, p, next, out)
}

// recordFailure updates the part's outcome and the lists of upstreams that
// restrict its retries.
func (p *part) recordFailure(a *attempt, o outcome) {
	if o.ran != core.NotRun || p.ran == core.NotRun {
		p.kind = o.kind
	}
	p.ran = combineRan(p.ran, o.ran)
	switch {
	case o.ran == core.NotRun:
		p.refused++
	case o.kind == core.UpstreamLost:
		p.lost = append(p.lost, a.upstream)
	case o.ran == core.RanUnknown:
		p.unresolved = append(p.unresolved, a.upstream)
	}
}

// retryRule decides whether a part is retried after its last attempt in flight
// has failed, and under which rule.
func (g *Gateway) retryRule(p *part, a *attempt, o outcome) (attemptRule, bool) {
	bounded := p.attempts-p.refused >= g.config.MaxAttempts || p.refused >= maxRefusedAttempts
	if bounded || (p.flight.query.GetOnce() && o.ran != core.NotRun) {
		return attemptRule{}, false
	}
	if len(p.lost) > 0 {
		return ruleAfterLoss(p, a)
	}
	switch o.kind {
	case core.DeadlineExceeded, core.DeadlineUnreachable:
		return ruleAfterDeadline(p, a, o)
	case core.Overloaded, core.SnapshotGone:
		return attemptRule{retry: true, untriedOnly: true}, o.ran == core.NotRun
	case core.NoOwner, core.TakenOut, core.Stopping, core.UnknownName, core.PlatformUnavailable, core.Conflict:
		return attemptRule{retry: true, budgeted: o.ran != core.NotRun}, true
	case core.UpstreamShed, core.UpstreamFailed, core.UpstreamLost, core.HostLost, core.Internal, core.Cancelled:
		return attemptRule{retry: true, budgeted: true}, true
	default:
		return attemptRule{}, false
	}
}

// ruleAfterLoss allows one retry on another upstream, and none while the
// question may still be running on another upstream of the service, because
// the question may have crashed the first one.
func ruleAfterLoss(p *part, a *attempt) (attemptRule, bool) {
	onlyLoss := len(p.lost) == 1 && p.lost[0] == a.upstream
	mayRunElsewhere := slices.ContainsFunc(p.unresolved, func(u core.UpstreamID) bool { return u != a.upstream })
	return attemptRule{retry: true, budgeted: true, excludeLost: true}, onlyLoss && !mayRunElsewhere
}

// ruleAfterDeadline retries the part if a waiter with a later deadline has
// joined since the attempt was sent. That is no extra load, as without sharing
// the waiter's query would have run on its own. Otherwise it allows a replica
// that was not tried, if the attempt has not run.
func ruleAfterDeadline(p *part, a *attempt, o outcome) (attemptRule, bool) {
	if p.flight.deadline.After(a.deadline) {
		return attemptRule{retry: true}, true
	}
	return attemptRule{retry: true, untriedOnly: true}, o.ran == core.NotRun
}

// tryPart makes the next attempt at a part, or schedules it.
func (g *Gateway) tryPart(now time.Time, p *part, r attemptRule, out *core.Actions) {
	replicas, reason := g.replicasOf(now, p.shard.service)
	if len(replicas) == 0 {
		g.onNoReplica(now, p, r, reason, out)
		return
	}
	replicas, fresh := candidates(p, r, replicas)
	switch {
	case len(replicas) == 0:
		g.failPart(now, p, p.kind, p.ran, out)
	case !fresh && !r.backedOff:
		r.backedOff = true
		g.scheduleRetry(now, p, r, g.nextBackoff(p))
	case r.budgeted && !g.budget.takeRetry():
		g.stats.ExtraDenied++
		g.scheduleRetry(now, p, r, g.config.RetryDelay)
	default:
		g.startAttempt(now, p, r, replicas, out)
	}
}

func (g *Gateway) startAttempt(now time.Time, p *part, r attemptRule, replicas []core.Replica, out *core.Actions) {
	if !r.retry {
		g.budget.deposit()
	}
	if r.budgeted {
		g.stats.Retries++
		p.retried = true
	}
	g.sendAttempt(now, p, g.pick(p.shard.service, replicas), r.budgeted, false, out)
	g.armHedge(now, p)
}

// onNoReplica fails the part if operators have taken all replicas out of
// service. Otherwise the owners are missing, which is often brief, and it
// schedules a retry.
func (g *Gateway) onNoReplica(now time.Time, p *part, r attemptRule, reason core.Kind, out *core.Actions) {
	if p.ran == core.NotRun {
		p.kind = reason
	}
	if reason == core.TakenOut {
		g.failPart(now, p, p.kind, p.ran, out)
		return
	}
	g.scheduleRetry(now, p, r, g.nextBackoff(p))
}

// candidates filters the replicas in place by the rule, and reports whether
// they may be used without a backoff: false if all of them were tried before.
func candidates(p *part, r attemptRule, replicas []core.Replica) ([]core.Replica, bool) {
	if r.excludeLost {
		return without(replicas, p.lost), true
	}
	untried := 0
	for _, replica := range replicas {
		if !slices.Contains(p.tried, replica.Upstream) {
			untried++
		}
	}
	if untried == 0 && !r.untriedOnly {
		return replicas, false
	}
	return without(replicas, p.tried), true
}

func without(replicas []core.Replica, excluded []core.UpstreamID) []core.Replica {
	return slices.DeleteFunc(replicas, func(r core.Replica) bool {
		return slices.Contains(excluded, r.Upstream)
	})
}

func (g *Gateway) scheduleRetry(now time.Time, p *part, r attemptRule, wait time.Duration) {
	p.retryTimer = g.timers.add(now.Add(wait), func(now time.Time, out *core.Actions) {
		p.retryTimer = nil
		g.tryPart(now, p, r, out)
		g.finishIfDecided(now, p.flight, out)
	})
}

func (g *Gateway) nextBackoff(p *part) time.Duration {
	wait := g.config.RetryDelay << min(p.backoffs, maxBackoffShift)
	p.backoffs++
	return wait
}

func (g *Gateway) failPart(now time.Time, p *part, kind core.Kind, ran core.Ran, out *core.Actions) {
	p.state = partFailed
	p.kind = kind
	p.ran = combineRan(p.ran, ran)
	if !p.firstSent.IsZero() {
		p.latency = now.Sub(p.firstSent)
	}
	p.flight.openParts--
	g.cancelAttempts(p, out)
}
