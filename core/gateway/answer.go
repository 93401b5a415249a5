package gateway

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// composeReply builds the reply from the results of a flight so far. Parts that
// are still running are reported with openKind.
func (g *Gateway) composeReply(now time.Time, f *flight, openKind core.Kind) *peerpb.QueryReply {
	reply := &peerpb.QueryReply{
		Ran:          int32(f.ranSoFar()),
		Detail:       f.detail,
		IndexVersion: f.plan.version,
		Shared:       f.shared,
		Attempts:     f.attempts,
		Extra:        f.extra,
		Shards:       f.accounts(now, openKind),
	}
	var kind core.Kind
	if f.plan.scope == nil {
		kind = g.composeCall(f, reply)
	} else {
		kind = g.composeScope(f, reply)
	}
	reply.Kind = int32(kind)
	reply.RetryAfterUs = g.retryAfterFor(kind, f.retryAfter).Microseconds()
	return reply
}

// ranSoFar combines the outcomes of all attempts, counting those in flight as
// RanUnknown.
func (f *flight) ranSoFar() core.Ran {
	for _, p := range f.parts {
		if len(p.active) > 0 {
			return combineRan(f.ran, core.RanUnknown)
		}
	}
	return f.ran
}

// composeCall fills in the reply to a plain call from its only part.
func (g *Gateway) composeCall(f *flight, reply *peerpb.QueryReply) core.Kind {
	p := f.parts[0]
	if p.state == partDone {
		reply.Payload = p.result.payload
		reply.ReachMet = true
		return core.OK
	}
	if f.query.GetOnce() && core.Ran(reply.Ran) == core.RanUnknown {
		return core.OutcomeUnknown
	}
	return core.Kind(reply.Shards[0].Kind)
}

// composeScope merges the results of the parts that are done and fills in their
// coverage.
func (g *Gateway) composeScope(f *flight, reply *peerpb.QueryReply) core.Kind {
	var covered []span
	lists := make([][]*peerpb.Item, 0, len(f.parts))
	for _, p := range f.parts {
		if p.state == partDone {
			covered = append(covered, p.result.covered...)
			lists = append(lists, p.result.items)
		}
	}
	// The parts' ranges cannot overlap, so normalize only sorts and joins them.
	covered, _ = normalize(covered)
	scope := f.plan.scope
	reply.Wanted = f.plan.wanted
	reply.Covered = wireRanges(covered)
	reply.ReachMet = coveredFraction(covered, f.plan.space) >= scope.Reach
	if len(covered) == 0 {
		reply.ReachMet = false
		return dominantFailure(reply.Shards)
	}
	if !reply.ReachMet && scope.RefuseBelow {
		return core.ReachNotMet
	}
	reply.Items = mergeItems(lists, int(f.query.GetLimit()))
	return core.OK
}

// dominantFailure returns the failure to report for an answer that covers
// nothing. Failures after which the sub-query may have run take precedence over
// those after which it has not, then the most frequent kind does.
func dominantFailure(shards []*peerpb.ShardAccount) core.Kind {
	counts := map[core.Kind]int{}
	dominant := core.ReachNotMet
	for _, s := range shards {
		kind := core.Kind(s.GetKind())
		if kind == core.OK || kind == core.Cancelled {
			continue
		}
		counts[kind]++
		if counts[dominant] == 0 || dominates(kind, dominant, counts) {
			dominant = kind
		}
	}
	return dominant
}

func dominates(a, b core.Kind, counts map[core.Kind]int) bool {
	aNotRun := core.AnswerTo(a).Ran == core.NotRun
	bNotRun := core.AnswerTo(b).Ran == core.NotRun
	if aNotRun != bNotRun {
		return bNotRun
	}
	return counts[a] > counts[b]
}

// accounts returns the state or outcome of each part.
func (f *flight) accounts(now time.Time, openKind core.Kind) []*peerpb.ShardAccount {
	accounts := make([]*peerpb.ShardAccount, len(f.parts))
	for i, p := range f.parts {
		accounts[i] = p.account(now, openKind)
	}
	return accounts
}

func (p *part) account(now time.Time, openKind core.Kind) *peerpb.ShardAccount {
	account := &peerpb.ShardAccount{
		Service:   string(p.shard.service),
		Wanted:    p.shard.wireWanted,
		Covered:   wireRanges(p.result.covered),
		Kind:      int32(p.kind),
		Upstream:  string(p.upstream),
		Attempts:  uint32(p.attempts),
		LatencyUs: p.latency.Microseconds(),
	}
	if p.state != partOpen {
		return account
	}
	// A part without an attempt in flight waits for a retry; it is reported with
	// its last failure.
	if len(p.active) > 0 || p.kind == core.OK {
		account.Kind = int32(openKind)
	}
	if !p.firstSent.IsZero() {
		account.LatencyUs = now.Sub(p.firstSent).Microseconds()
	}
	return account
}
