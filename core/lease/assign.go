package lease

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// nextSharesCall returns when the shares object must be read or written next;
// the zero time means never. Only the host that currently writes the members
// object assigns shares.
func (l *Lease) nextSharesCall() time.Time {
	w := &l.writer
	serving := w.members.versionKnown && !w.membersWrittenAt.IsZero() && l.now.Sub(w.membersWrittenAt) < recentRenewalWindow
	if !w.planDue || !serving || l.topology == nil {
		return time.Time{}
	}
	at := latestOf(w.planNotBefore, w.retryNotBefore, w.membersWrittenAt)
	switch {
	case l.table.version == 0:
		at = latestOf(at, l.firstAssignmentAt())
	case w.shares.versionKnown:
		at = latestOf(at, l.assignableAt())
	}
	return at
}

// firstAssignmentAt returns when shares may be assigned for the first time:
// once no member has joined for SettleTime, because an earlier assignment would
// move most shares again right away. Hosts other than the preferred writer
// always wait for the maximum time, since the preferred writer has the newest
// state.
func (l *Lease) firstAssignmentAt() time.Time {
	w := &l.writer
	if l.ranking.ownRank > 0 {
		return w.firstSeenAt.Add(settleFactor * l.config.SettleTime)
	}
	settledAt := w.membershipChangedAt.Add(l.config.SettleTime)
	return earliestOf(settledAt, w.firstSeenAt.Add(settleFactor*l.config.SettleTime))
}

// readOrWriteShares reads the shares object if its version is unknown, or else
// writes the next state.
func (l *Lease) readOrWriteShares(out *core.Actions) {
	w := &l.writer
	w.planNotBefore = time.Time{}
	if !w.shares.versionKnown {
		l.call(&w.shares, core.PlatformGet, nil, out)
		return
	}
	next := plan(planInput{
		shares:   l.table.shares,
		members:  w.document,
		topology: l.topology,
		releases: w.releases,
	})
	next = l.markEra(next)
	if next == nil {
		w.planDue = false
		l.pruneReleases()
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		l.stats.Malformed++
		return
	}
	l.call(&w.shares, core.PlatformPut, value, out)
}

func (l *Lease) handleSharesReply(e core.PlatformReply, out *core.Actions) {
	w := &l.writer
	wrote := w.shares.op == core.PlatformPut
	value, hasState := l.finishCall(&w.shares, e)
	if !hasState {
		return
	}
	if e.Kind == core.UnknownName && (l.table.version == 0 || eraOf(e.Version) > eraOf(l.table.version)) {
		l.noteEra(e.Version)
		l.table.set(e.Version, nil, &peerpb.LeaseShares{})
		l.applyTableToHolder(out)
		return
	}
	// A peer may have sent a newer state in the meantime; then the next write
	// conflicts and the object is read again.
	adopted := l.adoptTable(e.Version, value, out)
	w.shares.versionKnown = l.table.version == w.shares.version
	if !w.shares.versionKnown {
		w.planNotBefore = l.now.Add(l.config.Interval)
	}
	w.planDue = true // until a plan has nothing left to change
	if wrote && adopted {
		l.pushTableToAll(out)
	}
}

// pruneReleases drops the releases that the table already reflects.
func (l *Lease) pruneReleases() {
	for id, r := range l.writer.releases {
		s := l.table.byID[core.UpstreamID(id)]
		if s == nil || s.GetEpoch() != r.release.GetEpoch() {
			delete(l.writer.releases, id)
		}
	}
}
