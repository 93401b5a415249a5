package once

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// The platform may be restored from an older copy. A record of an earlier era than the
// platform's may then lack extensions and takeovers under which keys were accepted, and
// claims on ids without an issue time are lost.

// setVersion records the version of the last read or write.
func (p *partition) setVersion(version uint64) {
	p.version = version
	if era := core.PositionOf(version).Era; era != p.era {
		p.era, p.eraFrom, p.outdatedSince = era, 0, time.Time{}
	}
}

// recordEra returns the era to write into a record, which is left out in the first.
func (p *partition) recordEra() uint64 {
	if p.era <= core.FirstEra {
		return 0
	}
	return p.era
}

// isOutdated reports whether a record was written before the platform was restored. A
// record that does not exist may have been lost.
func (p *partition) isOutdated(r record) bool { return r.Era < p.recordEra() }

// succeed takes over a partition after the recorded interval. If the record is
// outdated, it waits until every interval of the earlier era has ended, and begins
// after them: a live holder would have written the record again by then.
func (g *Guard) succeed(now time.Time, p *partition, r record, out *core.Actions) {
	if !p.isOutdated(r) {
		g.takeOver(p, r.To, now, out)
		return
	}
	if p.outdatedSince.IsZero() {
		p.outdatedSince = now
	}
	lastEnd := p.outdatedSince.Add(g.cfg.Lookahead + g.cfg.ClockSkew)
	if !now.Before(lastEnd.Add(g.cfg.TakeoverWait)) {
		g.takeOver(p, max(r.To, lastEnd.UnixMilli()), now, out)
	}
}

// mayBeLost reports whether an earlier claim on a request id may have been lost, given
// the version of the one that was created now.
func (g *Guard) mayBeLost(now time.Time, requestID string, version uint64) bool {
	era := core.PositionOf(version).Era
	if era <= core.FirstEra {
		return false
	}
	p := g.partitionOf(requestID)
	return p.era != era || p.eraFrom == 0 || now.Before(time.UnixMilli(p.eraFrom).Add(g.cfg.ResendWindow))
}
