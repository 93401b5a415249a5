package lease

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// nextMembers returns the members document with all pending changes applied, or
// nil if nothing changes.
func (l *Lease) nextMembers(out *core.Actions) *peerpb.LeaseMembers {
	old := l.writer.document
	next := proto.CloneOf(old)
	next.NextTerm = max(next.NextTerm, firstTerm(eraOf(l.writer.members.version)))
	l.removeExpired(next, out)
	for _, p := range l.pendingInOrder() {
		l.applyRenewal(next, p)
	}
	l.removeStopped(next)
	if proto.Equal(old, next) {
		return nil
	}
	return next
}

func (l *Lease) applyRenewal(next *peerpb.LeaseMembers, p *pendingRenewal) {
	r := p.renew
	domain := string(l.config.Members.DomainOf(p.host))
	m := findMember(next, p.host)
	if m == nil {
		if r.GetTerm() != 0 || r.GetStopping() {
			return
		}
		next.Members = append(next.Members, &peerpb.LeaseMember{
			Term:        next.GetNextTerm(),
			Host:        string(p.host),
			Incarnation: p.incarnation,
			Domain:      domain,
			Sequence:    r.GetSequence(),
		})
		next.NextTerm++
		return
	}
	// A new process of a host can join only after the lease of the old process
	// has expired: the old process may still be running.
	if !renewsMember(m, p) {
		return
	}
	m.Sequence = max(m.GetSequence(), r.GetSequence())
	m.Stopping = m.GetStopping() || r.GetStopping()
	if domain != "" {
		m.Domain = domain
	}
}

// removeExpired fences the members whose renewal sequence has not changed for
// too long.
func (l *Lease) removeExpired(next *peerpb.LeaseMembers, out *core.Actions) {
	next.Members = slices.DeleteFunc(next.Members, func(m *peerpb.LeaseMember) bool {
		expired := isDue(l.now, l.fenceableAt(m))
		if expired {
			l.stats.Fences++
			out.Add(core.Record{Topic: "lease.fenced", Fields: map[string]string{"host": m.GetHost()}})
		}
		return expired
	})
}

// removeStopped removes the stopping members that hold no shares, if this host's
// table is up to date.
func (l *Lease) removeStopped(next *peerpb.LeaseMembers) {
	if !l.writer.shares.versionKnown || l.table.version != l.writer.shares.version {
		return
	}
	holds := map[uint64]bool{}
	for _, s := range l.table.shares.GetShares() {
		holds[s.GetTerm()] = true
	}
	next.Members = slices.DeleteFunc(next.Members, func(m *peerpb.LeaseMember) bool {
		return m.GetStopping() && !holds[m.GetTerm()]
	})
}

// nextFence returns the earliest time at which a member may be fenced. It
// returns the zero time if this host is neither the writer nor its backup and
// has no pending renewals.
func (l *Lease) nextFence() time.Time {
	if l.ranking.ownRank > 1 && len(l.writer.pending) == 0 {
		return time.Time{}
	}
	var earliest time.Time
	for _, m := range l.writer.document.GetMembers() {
		earliest = earliestOf(earliest, l.fenceableAt(m))
	}
	return earliest
}

// fenceableAt returns when a member may be fenced, or the zero time if this host
// has not observed the member or has lost contact with the platform. The delay
// counts from when this host first saw the renewal, or from when its contact with
// the platform last resumed, so that after an outage every member has time to
// renew. Hosts that received recent renewals from fewer than half of the members
// wait longer, because the other members may rightly consider the platform
// unavailable and extend their right to warm work; see extendWarmHold.
func (l *Lease) fenceableAt(m *peerpb.LeaseMember) time.Time {
	s, known := l.writer.observed[m.GetTerm()]
	if !known || l.now.Sub(l.writer.lastContact) > maxContactGap {
		return time.Time{}
	}
	delay := l.config.FenceDelay
	if !l.halfRenewedRecently() {
		delay = l.config.MinorityFenceDelay
	}
	return latestOf(s.firstSeenAt, l.writer.contactSince).Add(delay)
}

// halfRenewedRecently reports whether at least half of the members renewed
// within recentRenewalWindow.
func (l *Lease) halfRenewedRecently() bool {
	members := l.writer.document.GetMembers()
	recent := 0
	for _, m := range members {
		if at, ok := l.writer.lastRenewalAt[core.HostID(m.GetHost())]; ok && l.now.Sub(at) < recentRenewalWindow {
			recent++
		}
	}
	return 2*recent >= len(members)
}
