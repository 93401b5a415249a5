package lease

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// nextMembers returns the members with everything that is pending, or nil when
// that changes nothing.
func (l *Lease) nextMembers(out *core.Actions) *peerpb.LeaseMembers {
	old := l.writer.document
	next := proto.CloneOf(old)
	if next.NextTerm == 0 {
		next.NextTerm = 1
	}
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
	// A newer process of the host waits until the lease of the older one has
	// lapsed: that a new one runs does not prove that the old one does not.
	if !renewsMember(m, p) {
		return
	}
	m.Sequence = max(m.GetSequence(), r.GetSequence())
	m.Stopping = m.GetStopping() || r.GetStopping()
	if domain != "" {
		m.Domain = domain
	}
}

// removeLapsed fences the members whose renewals were still for too long.
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

// removeStopped drops the members that stop and hold nothing more.
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

// fenceAt is when the first member may be fenced; zero when this host is
// neither the writer, nor its backup, nor asked to write.
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

// lapseOf is when a member may be fenced. The long bound counts from when this
// host saw the renewal, and only while this host reached the platform: after
// an outage every member gets the time to renew. Hosts that hear less than
// half of the members wait longer, because the others may rightly take the
// platform for away; see extendHold.
func (l *Lease) fenceableAt(m *peerpb.LeaseMember) time.Time {
	s, known := l.writer.observed[m.GetTerm()]
	if !known || l.now.Sub(l.writer.lastContact) > maxContactGap {
		return time.Time{}
	}
	delay := l.config.FenceDelay
	if !l.hearsFromHalf() {
		delay = l.config.MinorityFenceDelay
	}
	return latestOf(s.at, l.writer.contactSince).Add(delay)
}

// hearsHalf says whether at least half of the members renewed of late.
func (l *Lease) hearsFromHalf() bool {
	members := l.writer.document.GetMembers()
	heard := 0
	for _, m := range members {
		if at, ok := l.writer.renewalHeardAt[core.HostID(m.GetHost())]; ok && l.now.Sub(at) < heardWindow {
			heard++
		}
	}
	return 2*heard >= len(members)
}
