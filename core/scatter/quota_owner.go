package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// quotaLedger holds the buckets of the teams on which this host decides. It prevents a
// grant from being made twice when a message is duplicated or arrives late.
type quotaLedger struct {
	buckets protections[TeamID, *quotaBucket]
	askers  map[core.HostID]*quotaAsker
}

// quotaAsker is the newest request of another host.
type quotaAsker struct {
	started int64
	number  uint64
}

func newQuotaLedger() *quotaLedger {
	return &quotaLedger{buckets: newProtections[TeamID, *quotaBucket](), askers: map[core.HostID]*quotaAsker{}}
}

// maxQuotaAskers bounds the memory that requests under invented names can take.
const maxQuotaAskers = 4096

// accept reports whether a request of another host is newer than all before it.
func (l *quotaLedger) accept(from core.HostID, started int64, number uint64) bool {
	a := l.askers[from]
	if a == nil {
		if len(l.askers) >= maxQuotaAskers {
			return false
		}
		a = &quotaAsker{}
		l.askers[from] = a
	}
	if started < a.started || started == a.started && number <= a.number {
		return false
	}
	a.started, a.number = started, number
	return true
}

// bucket returns the bucket of a team as of now.
func (l *quotaLedger) bucket(now time.Time, id TeamID, q Quota, share float64, window time.Duration) *quotaBucket {
	b := l.buckets.byKey[id]
	if b == nil {
		b = &quotaBucket{}
		l.buckets.byKey[id] = b
	}
	b.advance(now, q, share, window)
	return b
}

// answer grants tokens to another host. Tokens that this host has to request itself
// are granted once it has them. lookup returns the quota of a team, and whether the team
// is known.
func (q *quotas) answer(now time.Time, r QuotaAsked, lookup func(TeamID) (Quota, bool), reply func(QuotaReply)) {
	answer := QuotaReply{ID: r.ID, Grants: make([]QuotaGrant, len(r.Wants))}
	open := 1
	settled := func() {
		if open--; open == 0 {
			reply(answer)
		}
	}
	current := q.ledger.accept(r.From, r.Started, r.Number)
	isMember := q.shares.isMember(r.From)
	if isMember {
		q.shares.seenAt[r.From] = now
	}
	if current && isMember && !r.Forwarded {
		q.shares.hear(now, r.From)
	}
	for i, want := range r.Wants {
		grant := &answer.Grants[i]
		grant.Team = want.Team
		quota, known := lookup(want.Team)
		switch {
		case !current || !known:
			grant.Declined = true
			continue
		case !quota.Limited():
			grant.Tokens = want.Tokens
			continue
		}
		t := q.team(want.Team, quota)
		if !isMember && want.Tokens == 0 && want.Returned == 0 {
			continue
		}
		if isMember && now.Sub(latest(t.delegatedBy[r.From], t.askedBy[r.From])) >= 2*quotaLease {
			t.asksSince[r.From] = now
		}
		if want.Tokens == 0 && want.Returned == 0 {
			t.delegatedBy[r.From] = now
			continue
		}
		if isMember {
			t.askedBy[r.From] = now
		}
		if _, remote := q.target(now, t); remote && r.Forwarded {
			grant.Declined = true
			continue
		}
		if want.Returned > 0 {
			q.giveBack(now, t, want.Returned)
		}
		if want.Tokens == 0 {
			continue
		}
		open++
		q.claim(now, t, &quotaClaim{wanted: want.Tokens, forwarded: true, settle: func(_ time.Time, got int, wait time.Duration) {
			grant.Tokens, grant.Wait = got, wait
			settled()
		}})
	}
	settled()
}
