package once

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// claim is the platform object that reserves a request id without an issue
// time.
type claim struct {
	Holder      core.HostID `json:"holder"`
	Incarnation uint64      `json:"incarnation"`
	Nonce       uint64      `json:"nonce"`
}

// pendingClaim is a request whose claim has not been confirmed or denied yet.
type pendingClaim struct {
	entry    *entry
	query    *peerpb.Query
	claim    claim
	deadline time.Time
}

// acceptUntimed creates a claim on a request id that carries no issue time, and
// runs the request once the claim is confirmed.
func (g *Guard) acceptUntimed(now time.Time, from origin, q *peerpb.Query, out *core.Actions) {
	if g.stopping || g.dedup.full() {
		g.sendRefusal(from, notHeldReply(g.cfg.PollEvery), out)
		return
	}
	e := &entry{requestID: q.RequestId, fingerprint: fingerprintOf(q), issued: now.UnixMilli(), waiters: []origin{from}}
	g.dedup.add(e)
	g.lastOp++
	c := &pendingClaim{
		entry: e, query: q,
		claim:    claim{Holder: g.cfg.Self, Incarnation: g.cfg.Incarnation, Nonce: g.lastOp},
		deadline: now.Add(time.Duration(q.RemainingUs) * time.Microsecond),
	}
	g.createClaim(c, out)
}

func (g *Guard) createClaim(c *pendingClaim, out *core.Actions) {
	value, err := json.Marshal(c.claim)
	if err != nil {
		return
	}
	g.call(core.PlatformCall{Op: core.PlatformPut, Key: claimKey(c.entry.requestID), Value: value},
		func(now time.Time, r core.PlatformReply, out *core.Actions) {
			if r.Kind == core.OK {
				g.runClaimed(now, c, r.Version, out)
				return
			}
			g.readClaim(now, c, out)
		}, out)
}

// readClaim reads the claim after a create that failed or whose outcome is
// unknown: the stored claim may be the one that this host created.
func (g *Guard) readClaim(now time.Time, c *pendingClaim, out *core.Actions) {
	if !now.Before(c.deadline) {
		g.abandonClaim(c, out)
		return
	}
	g.call(core.PlatformCall{Op: core.PlatformGet, Key: claimKey(c.entry.requestID)},
		func(now time.Time, r core.PlatformReply, out *core.Actions) {
			g.handleClaimRead(now, c, r, out)
		}, out)
}

func (g *Guard) handleClaimRead(now time.Time, c *pendingClaim, r core.PlatformReply, out *core.Actions) {
	var found claim
	switch {
	case r.Kind == core.UnknownName && now.Before(c.deadline):
		// The first create may still take effect later; a second one is harmless.
		g.createClaim(c, out)
	case r.Kind != core.OK:
		g.abandonClaim(c, out)
	case json.Unmarshal(r.Value, &found) == nil && found == c.claim:
		g.runClaimed(now, c, r.Version, out)
	default:
		g.finishUnknown(c, "the request id was claimed before", out)
	}
}

// finishUnknown ends a request that is not run since an earlier send of its id may
// have run.
func (g *Guard) finishUnknown(c *pendingClaim, detail string, out *core.Actions) {
	g.stats.Unknown++
	unknown := reply(core.OutcomeUnknown, core.RanUnknown, 0, detail)
	g.dedup.finish(c.entry, unknown)
	g.answerAll(c.entry, unknown, out)
}

// runClaimed runs a request whose claim this host owns, unless the platform may have
// lost an earlier one.
func (g *Guard) runClaimed(now time.Time, c *pendingClaim, version uint64, out *core.Actions) {
	if g.mayBeLost(now, c.entry.requestID, version) {
		g.finishUnknown(c, "the platform was restored, and may have lost a claim on the request id", out)
		return
	}
	left := c.deadline.Sub(now)
	if left <= 0 {
		g.dedup.remove(c.entry)
		g.answerAll(c.entry, reply(core.DeadlineExceeded, core.NotRun, 0, "the claim took all the time"), out)
		return
	}
	q := proto.Clone(c.query).(*peerpb.Query)
	q.RemainingUs = left.Microseconds()
	g.run(now, c.entry, q, out)
}

// abandonClaim answers a request without running it. Without the platform it
// cannot be determined whether an earlier send of the id has run.
func (g *Guard) abandonClaim(c *pendingClaim, out *core.Actions) {
	g.dedup.remove(c.entry)
	r := reply(core.PlatformUnavailable, core.RanUnknown, g.cfg.PollEvery, "the claim on the request id is not settled")
	g.answerAll(c.entry, r, out)
}
