package lease

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// pendingRenewal is a received renewal that is not yet confirmed by the members
// object.
type pendingRenewal struct {
	host        core.HostID
	incarnation uint64
	renew       *peerpb.LeaseRenew
	receivedAt  time.Time
}

// observedRenewal is the newest renewal of a member that this host read from the
// platform.
type observedRenewal struct {
	sequence    uint64
	firstSeenAt time.Time
}

// writer is the state with which this host writes the cell's objects.
type writer struct {
	members, shares object
	lastOperation   uint64
	// document is the decoded content of the members object.
	document *peerpb.LeaseMembers

	pending  map[core.HostID]*pendingRenewal
	releases map[string]termRelease
	// observed is keyed by term.
	observed map[uint64]observedRenewal
	// lastRenewalAt is when a renewal of the host was last received or observed.
	lastRenewalAt map[core.HostID]time.Time

	// slotBase is one of the slots, which are one interval apart, at which
	// renewals are written.
	slotBase time.Time
	// membersWrittenAt is when this host last wrote the members object.
	membersWrittenAt time.Time
	// firstSeenAt is when this host first read the members object,
	// membershipChangedAt when it last saw a change other than a renewal.
	firstSeenAt, membershipChangedAt time.Time

	// lastContact is when the platform last answered, contactSince when contact
	// last resumed after a gap of more than maxContactGap.
	lastContact, contactSince time.Time
	consecutiveFailures       int
	retryNotBefore            time.Time
	// callTimeout is the timeout of the next platform call.
	callTimeout time.Duration
	// restoreSeenAt is when this host first had a table of a restored platform to
	// which no assignment was made yet.
	restoreSeenAt time.Time

	planDue       bool
	planNotBefore time.Time
	watching      bool
}

func newWriter(cell string) writer {
	return writer{
		members:       object{key: core.LeaseKeyPrefix + cell + "/members"},
		shares:        object{key: core.LeaseKeyPrefix + cell},
		document:      &peerpb.LeaseMembers{},
		pending:       map[core.HostID]*pendingRenewal{},
		releases:      map[string]termRelease{},
		observed:      map[uint64]observedRenewal{},
		lastRenewalAt: map[core.HostID]time.Time{},
		planDue:       true,
	}
}

// handleRenew records a renewal for the next write.
func (l *Lease) handleRenew(e core.PeerMessage, r *peerpb.LeaseRenew, out *core.Actions) {
	w := &l.writer
	if e.From == l.config.Self {
		e.Incarnation = l.config.Incarnation
	}
	w.lastRenewalAt[e.From] = l.now
	if r.GetTableVersion() < l.table.version {
		l.pushTable(e.From, out)
	}
	for _, release := range r.GetReleases() {
		w.releases[release.GetUpstream()] = termRelease{term: r.GetTerm(), release: release}
		w.planDue = true
		w.planNotBefore = earliestOf(w.planNotBefore, l.now.Add(batchDelay))
	}
	old := w.pending[e.From]
	if old != nil && old.incarnation == e.Incarnation && old.renew.GetSequence() >= r.GetSequence() {
		return
	}
	p := &pendingRenewal{host: e.From, incarnation: e.Incarnation, renew: r, receivedAt: l.now}
	w.pending[e.From] = p
	if w.consecutiveFailures > 0 || l.platformUnavailable() {
		l.reply(p, &peerpb.LeaseRenewed{Away: l.platformUnavailable()}, out)
	}
}

// platformUnavailable reports whether this host's own renewals have gone
// unconfirmed for UnavailableAfter.
func (l *Lease) platformUnavailable() bool { return l.unconfirmedFor() >= l.config.UnavailableAfter }

func (l *Lease) reply(p *pendingRenewal, r *peerpb.LeaseRenewed, out *core.Actions) {
	r.Sequence = p.renew.GetSequence()
	r.Incarnation = p.incarnation
	r.TableVersion = l.table.version
	out.Send(p.host, &peerpb.Message{Body: &peerpb.Message_LeaseRenewed{LeaseRenewed: r}})
}

// runWriter starts the platform calls that are due.
func (l *Lease) runWriter(out *core.Actions) {
	l.timeOutCalls(out)
	l.updateWatch(out)
	w := &l.writer
	if !w.members.inFlight() && isDue(l.now, l.nextMembersCall()) {
		l.readOrWriteMembers(out)
	}
	if !w.shares.inFlight() && isDue(l.now, l.nextSharesCall()) {
		l.readOrWriteShares(out)
	}
}

func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func (l *Lease) nextWriterTimer() time.Time {
	w := &l.writer
	var next time.Time
	if w.members.inFlight() {
		next = l.replyDeadline(&w.members)
	} else {
		next = l.nextMembersCall()
	}
	if w.shares.inFlight() {
		return earliestOf(next, l.replyDeadline(&w.shares))
	}
	return earliestOf(next, l.nextSharesCall())
}

// updateWatch makes the backup watch the members object, so that it can replace
// the writer at any time.
func (l *Lease) updateWatch(out *core.Actions) {
	isBackup := l.ranking.ownRank == 1
	if isBackup == l.writer.watching {
		return
	}
	l.writer.watching = isBackup
	out.Add(core.WatchObject{Key: l.writer.members.key, On: isBackup})
}

func (l *Lease) handleObjectChange(e core.PlatformChanged, out *core.Actions) bool {
	switch e.Key {
	case l.writer.members.key:
		l.stats.Reads++
		l.handleMembersChange(e, out)
		return true
	case l.writer.shares.key:
		l.adoptTable(e.Version, e.Value, out)
		return true
	default:
		return false
	}
}

func (l *Lease) handleMembersChange(e core.PlatformChanged, out *core.Actions) {
	w := &l.writer
	l.recordContact()
	if e.Version <= w.members.version || w.members.inFlight() {
		return
	}
	w.members.version = e.Version
	w.members.versionKnown = true
	l.applyMembers(e.Value, out)
}

// nextMembersCall returns when the members object must be read or written next;
// the zero time means never.
func (l *Lease) nextMembersCall() time.Time {
	w := &l.writer
	at := earliestOf(l.nextRenewalWrite(), l.nextFence(), l.nextPoll())
	if at.IsZero() {
		return at
	}
	return latestOf(at, w.retryNotBefore)
}

// nextRenewalWrite returns when the pending renewals must be written: in the next
// slot, or batchDelay after the oldest renewal if that slot is more than
// slotWindow after it. It returns the zero time if none is pending.
func (l *Lease) nextRenewalWrite() time.Time {
	var oldest time.Time
	for _, p := range l.writer.pending {
		oldest = earliestOf(oldest, p.receivedAt)
	}
	if oldest.IsZero() {
		return oldest
	}
	slot := l.slotAfter(oldest)
	if slot.Sub(oldest) <= slotWindow {
		return slot
	}
	return oldest.Add(batchDelay)
}

// slotAfter returns the first slot at or after t, or t plus batchDelay if no
// slots are set yet.
func (l *Lease) slotAfter(t time.Time) time.Time {
	base := l.writer.slotBase
	if base.IsZero() || t.Before(base) {
		return t.Add(batchDelay)
	}
	interval := l.config.Interval
	slots := (t.Sub(base) + interval - 1) / interval
	return base.Add(slots * interval)
}

// nextPoll returns when the backup, or a host that wrote the members object
// recently, must read it if there is no other contact with the platform. Hosts
// that may fence need recent contact; see fenceableAt.
func (l *Lease) nextPoll() time.Time {
	wrote := !l.writer.membersWrittenAt.IsZero() && l.now.Sub(l.writer.membersWrittenAt) < fallbackWriterTime
	if l.ranking.ownRank != 1 && !wrote {
		return time.Time{}
	}
	return l.writer.lastContact.Add(pollDelay)
}

// readOrWriteMembers writes the pending changes to the members object, or reads
// it if its version is unknown or nothing changes.
func (l *Lease) readOrWriteMembers(out *core.Actions) {
	w := &l.writer
	next := l.nextMembers(out)
	if !w.members.versionKnown || next == nil {
		l.call(&w.members, core.PlatformGet, nil, out)
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		l.stats.Malformed++
		return
	}
	l.call(&w.members, core.PlatformPut, value, out)
}

func (l *Lease) handleMembersReply(e core.PlatformReply, out *core.Actions) {
	w := &l.writer
	wrote := w.members.op == core.PlatformPut
	value, hasState := l.finishCall(&w.members, e)
	if !hasState {
		if e.Kind == core.PlatformUnavailable {
			l.rejectPending(out)
		}
		return
	}
	if wrote {
		w.membersWrittenAt = l.now
		l.initSlotBase()
	}
	l.applyMembers(value, out)
}

// initSlotBase sets the slots at the first write; later writes keep them.
func (l *Lease) initSlotBase() {
	if l.writer.slotBase.IsZero() {
		l.writer.slotBase = l.now
	}
}

// rejectPending sends a failure reply for every pending renewal, so that the
// senders fall back to another host. The renewals stay pending, because a late
// confirmation is still valid.
func (l *Lease) rejectPending(out *core.Actions) {
	for _, p := range l.pendingInOrder() {
		l.reply(p, &peerpb.LeaseRenewed{Away: l.platformUnavailable()}, out)
	}
}

func (l *Lease) pendingInOrder() []*pendingRenewal {
	all := make([]*pendingRenewal, 0, len(l.writer.pending))
	for _, p := range l.writer.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingRenewal) int { return cmp.Compare(a.host, b.host) })
	return all
}

// applyMembers applies a members document read from the platform: it updates the
// observed renewals and replies to the pending renewals that the document
// decides.
func (l *Lease) applyMembers(value []byte, out *core.Actions) {
	w := &l.writer
	document := &peerpb.LeaseMembers{}
	if err := proto.Unmarshal(value, document); err != nil {
		l.stats.Malformed++
		w.members.versionKnown = false
		return
	}
	if w.firstSeenAt.IsZero() {
		w.firstSeenAt = l.now
	}
	if membershipChanged(w.document, document) {
		w.planDue = true
		w.membershipChangedAt = l.now
	}
	w.document = document
	observed := make(map[uint64]observedRenewal, len(document.GetMembers()))
	for _, m := range document.GetMembers() {
		observed[m.GetTerm()] = l.observe(m)
	}
	w.observed = observed
	if !l.tableIsCurrent() {
		w.shares.versionKnown = w.shares.inFlight()
		w.planDue = true
		return // confirmed with the table of this era
	}
	for _, p := range l.pendingInOrder() {
		l.answerFromMembers(p, out)
	}
}

// observe restarts a member's fencing timer if its renewal sequence changed. Only
// renewals in the platform count, because messages may come from a former
// process of the host.
func (l *Lease) observe(m *peerpb.LeaseMember) observedRenewal {
	s, known := l.writer.observed[m.GetTerm()]
	if known && m.GetSequence() == s.sequence {
		return s
	}
	l.writer.lastRenewalAt[core.HostID(m.GetHost())] = l.now
	return observedRenewal{sequence: m.GetSequence(), firstSeenAt: l.now}
}

// answerFromMembers replies to a renewal if the members document decides its
// outcome, and removes it from the pending ones.
func (l *Lease) answerFromMembers(p *pendingRenewal, out *core.Actions) {
	m := findMember(l.writer.document, p.host)
	term := p.renew.GetTerm()
	// A term that this document has not issued yet may still be valid.
	issued := term != 0 && term < l.writer.document.GetNextTerm()
	switch {
	case m == nil && term == 0 && !p.renew.GetStopping():
		return // the next write adds it
	case renewsMember(m, p):
		if m.GetSequence() < p.renew.GetSequence() {
			return // the next write records it
		}
		l.reply(p, &peerpb.LeaseRenewed{Ok: true, Term: m.GetTerm(), NextUs: l.nextRenewalDelay().Microseconds()}, out)
	case issued || m.GetIncarnation() > p.incarnation:
		l.reply(p, &peerpb.LeaseRenewed{Fenced: true, Term: term}, out)
	default:
		l.reply(p, &peerpb.LeaseRenewed{}, out)
	}
	delete(l.writer.pending, p.host)
}

// nextRenewalDelay returns how long a host must wait so that its next renewal
// arrives shortly before a slot.
func (l *Lease) nextRenewalDelay() time.Duration {
	earliest := l.now.Add(l.config.Interval / 2)
	return l.slotAfter(earliest).Sub(l.now) - renewalLead
}

// renewsMember reports whether a renewal belongs to this member, and not to an
// earlier membership or process of the same host.
func renewsMember(m *peerpb.LeaseMember, p *pendingRenewal) bool {
	term := p.renew.GetTerm()
	return m != nil && m.GetIncarnation() == p.incarnation && (term == 0 || term == m.GetTerm())
}

func findMember(d *peerpb.LeaseMembers, h core.HostID) *peerpb.LeaseMember {
	for _, m := range d.GetMembers() {
		if m.GetHost() == string(h) {
			return m
		}
	}
	return nil
}

// membershipChanged reports whether two states differ in more than renewals.
func membershipChanged(a, b *peerpb.LeaseMembers) bool {
	return !slices.EqualFunc(a.GetMembers(), b.GetMembers(), func(x, y *peerpb.LeaseMember) bool {
		return x.GetTerm() == y.GetTerm() && x.GetStopping() == y.GetStopping() && x.GetDomain() == y.GetDomain()
	})
}
