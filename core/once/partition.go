package once

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// record is the platform object of a partition. Times are Unix milliseconds.
type record struct {
	// Holder and Incarnation identify the process that holds the interval; empty
	// after a release.
	Holder      core.HostID `json:"holder"`
	Incarnation uint64      `json:"incarnation"`
	From        int64       `json:"from_ms"`
	To          int64       `json:"to_ms"`
	// Era is the era of the platform in which this was written; 0 is the first.
	Era uint64 `json:"era,omitempty"`
	// EraFrom is when the partition was first written in that era; left out in the
	// first.
	EraFrom int64 `json:"era_from_ms,omitempty"`
}

// partition is this host's state of one key partition.
type partition struct {
	key string
	// version is the object version at the last read or write.
	version uint64
	// held is set while this process holds the recorded interval. Keys issued in
	// [from, to) are accepted; to never exceeds the recorded end.
	held     bool
	from, to int64
	// lastAccepted is the latest issue time accepted.
	lastAccepted int64
	// closing is set while the interval is being released; to no longer changes.
	closing bool
	// callInFlight is set while a platform call for the partition is in flight.
	callInFlight bool
	// era is the era of the platform at the last read or write, eraFrom is from the
	// record, 0 if none was written in that era, and outdatedSince is when this host
	// first read in it a record of an earlier era.
	era           uint64
	eraFrom       int64
	outdatedSince time.Time
}

func newPartition(number, count int) *partition {
	return &partition{key: fmt.Sprintf("%s%d-of-%d", core.OnceKeyPrefix, number, count)}
}

// advance takes the next step towards acquiring, extending or releasing a
// partition.
func (g *Guard) advance(now time.Time, p *partition, out *core.Actions) {
	home, found := g.homeOf(p)
	isHome := found && home == g.cfg.Self && !g.stopping
	if p.held && !isHome && !p.closing {
		g.beginClose(p)
	}
	switch {
	case p.held && g.stopping && !now.Before(g.stopDeadline):
		// The platform does not answer, so the record is not released; the
		// successor waits until the interval has expired.
		p.held = false
	case p.callInFlight:
	case p.closing:
		g.write(now, p, record{From: p.from, To: p.to}, out)
	case p.held:
		g.extend(now, p, out)
	case isHome:
		g.read(p, out)
	}
}

// beginClose ends the interval right after the last accepted key. It runs before
// the release is written, so that no later key is accepted while the write is in
// flight.
func (g *Guard) beginClose(p *partition) {
	p.closing = true
	p.to = max(p.from, p.lastAccepted+1)
}

// extend moves the end of a held interval forward when it is due.
func (g *Guard) extend(now time.Time, p *partition, out *core.Actions) {
	left := time.UnixMilli(p.to).Sub(now)
	if left > g.cfg.Lookahead-g.cfg.ExtendEvery {
		return
	}
	g.write(now, p, g.ownRecord(p.from, max(p.to, now.Add(g.cfg.Lookahead).UnixMilli())), out)
}

func (g *Guard) ownRecord(from, to int64) record {
	return record{Holder: g.cfg.Self, Incarnation: g.cfg.Incarnation, From: from, To: to}
}

func (g *Guard) isOwn(r record) bool {
	return r.Holder == g.cfg.Self && r.Incarnation == g.cfg.Incarnation
}

func (g *Guard) write(now time.Time, p *partition, r record, out *core.Actions) {
	r.Era, r.EraFrom = p.recordEra(), p.eraFrom
	if r.Era > 0 && r.EraFrom == 0 {
		r.EraFrom = now.UnixMilli()
	}
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	p.callInFlight = true
	g.call(core.PlatformCall{Op: core.PlatformPut, Key: p.key, Version: p.version, Value: value},
		func(now time.Time, reply core.PlatformReply, out *core.Actions) {
			g.handleWriteReply(now, p, r, reply, out)
		}, out)
}

func (g *Guard) handleWriteReply(now time.Time, p *partition, r record, reply core.PlatformReply, out *core.Actions) {
	p.callInFlight = false
	if reply.Kind == core.OK {
		p.setVersion(reply.Version)
		g.applyRecord(now, p, r, out)
		return
	}
	// A write whose reply was lost may have taken effect. The next write then
	// fails with a conflict, and the read shows which process holds the record.
	if reply.Kind == core.Conflict {
		g.read(p, out)
	}
}

func (g *Guard) read(p *partition, out *core.Actions) {
	p.callInFlight = true
	g.call(core.PlatformCall{Op: core.PlatformGet, Key: p.key},
		func(now time.Time, reply core.PlatformReply, out *core.Actions) {
			g.handleReadReply(now, p, reply, out)
		}, out)
}

func (g *Guard) handleReadReply(now time.Time, p *partition, reply core.PlatformReply, out *core.Actions) {
	p.callInFlight = false
	switch reply.Kind {
	case core.OK:
		var r record
		if err := json.Unmarshal(reply.Value, &r); err != nil {
			p.held = false
			return
		}
		p.setVersion(reply.Version)
		g.applyRecord(now, p, r, out)
	case core.UnknownName:
		p.setVersion(reply.Version)
		p.version, p.held = 0, false
		g.succeed(now, p, record{To: max(p.to, now.UnixMilli())}, out)
	}
}

// applyRecord updates the partition from the stored record, and starts a
// takeover if another process's interval may be succeeded.
func (g *Guard) applyRecord(now time.Time, p *partition, r record, out *core.Actions) {
	if !p.isOutdated(r) {
		p.eraFrom = r.EraFrom
	}
	switch {
	case !g.isOwn(r):
		p.held, p.closing = false, false
		if g.mayTakeOver(now, r) {
			g.succeed(now, p, r, out)
		}
	case p.held && p.isOutdated(r):
		// This process has extended the interval since; the record follows.
		next := g.ownRecord(p.from, max(p.to, r.To))
		if p.closing {
			next = record{From: p.from, To: p.to}
		}
		g.write(now, p, next, out)
	case p.isOutdated(r):
		g.succeed(now, p, r, out)
	case !p.held:
		p.held, p.closing = true, false
		// from and lastAccepted never move back, even if this process held the
		// partition before: keys accepted or evicted then must not run again.
		p.from, p.to, p.lastAccepted = max(p.from, r.From), r.To, max(p.lastAccepted, r.From-1)
	case !p.closing:
		p.to = max(p.to, r.To)
	}
}

// mayTakeOver reports whether this host may reserve the next interval. That
// interval starts at the recorded end in any case; the wait keeps the previous
// holder's "not run" answers for later keys correct.
func (g *Guard) mayTakeOver(now time.Time, r record) bool {
	ended := !now.Before(time.UnixMilli(r.To).Add(g.cfg.TakeoverWait))
	return r.Holder == "" || r.Holder == g.cfg.Self || ended
}

// takeOver reserves an interval starting at from, if this host is the home.
func (g *Guard) takeOver(p *partition, from int64, now time.Time, out *core.Actions) {
	home, found := g.homeOf(p)
	if !found || home != g.cfg.Self || g.stopping {
		return
	}
	to := max(from, now.UnixMilli()) + g.cfg.Lookahead.Milliseconds()
	g.write(now, p, g.ownRecord(from, to), out)
}
