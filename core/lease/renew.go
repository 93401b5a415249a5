package lease

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// sentRenewal is a renewal that may still be confirmed.
type sentRenewal struct {
	at   time.Time
	term uint64
}

// holder is the state of this host's own lease.
type holder struct {
	// term identifies this host's membership of the cell; 0 means none.
	term uint64
	// listed is set once the table has listed this term.
	listed   bool
	sequence uint64
	sent     map[uint64]sentRenewal
	// confirmedAt is when the newest confirmed renewal was sent.
	confirmedAt time.Time
	// unconfirmedSince is when the newest confirmed renewal was sent, or when
	// this host started if none was confirmed.
	unconfirmedSince time.Time
	// exclusiveFrom is when this host may have exclusive rights again after the
	// platform was restored.
	exclusiveFrom time.Time

	nextRenew time.Time
	// fallbackAt is when to send the renewal to the next host; zero while no
	// renewal awaits a reply.
	fallbackAt time.Time
	// attempt counts the fallbacks since the last confirmation.
	attempt int
	// fallbackWriter is the host that confirmed a renewal after a fallback; it
	// receives the renewals until fallbackWriterUntil.
	fallbackWriter      core.HostID
	fallbackWriterUntil time.Time

	// unavailableReports maps each host that reported the platform as
	// unavailable to the time when the renewal that it answered was sent.
	unavailableReports map[core.HostID]time.Time
	// heldUntil is when the right to warm work ends.
	heldUntil time.Time
	released  map[core.UpstreamID]*peerpb.ShareRelease

	stopping        bool
	stopRequestedAt time.Time
	// stopRecorded is set once the members object contains the stop.
	stopRecorded bool
}

func newHolder() holder {
	return holder{
		sent:               map[uint64]sentRenewal{},
		unavailableReports: map[core.HostID]time.Time{},
		released:           map[core.UpstreamID]*peerpb.ShareRelease{},
	}
}

// runHolder sends a renewal if the next one is due or a reply is overdue.
func (l *Lease) runHolder(out *core.Actions) {
	h := &l.holder
	if h.unconfirmedSince.IsZero() {
		h.unconfirmedSince = l.now
	}
	if !h.fallbackAt.IsZero() && !l.now.Before(h.fallbackAt) {
		h.attempt++
		h.fallbackWriter = ""
		l.stats.Fallbacks++
		l.renew(out)
		return
	}
	if !l.now.Before(h.nextRenew) {
		l.renew(out)
	}
}

func (l *Lease) nextHolderTimer() time.Time {
	return earliestOf(l.holder.nextRenew, l.holder.fallbackAt)
}

// renew sends one renewal to the writer, or to every host of the cell if no
// renewal was confirmed for UnavailableAfter.
func (l *Lease) renew(out *core.Actions) {
	h := &l.holder
	h.sequence++
	h.sent[h.sequence] = sentRenewal{at: l.now, term: h.term}
	h.nextRenew = l.now.Add(l.config.Interval)
	l.dropExpiredRenewals()
	message := &peerpb.Message{Body: &peerpb.Message_LeaseRenew{LeaseRenew: &peerpb.LeaseRenew{
		Sequence:     h.sequence,
		Term:         h.term,
		TableVersion: l.table.version,
		Stopping:     h.stopping,
		Releases:     l.pendingReleases(),
	}}}
	if l.unconfirmedFor() >= l.config.UnavailableAfter {
		h.fallbackAt = time.Time{}
		for _, to := range l.ranking.hosts {
			l.sendRenew(to, message, out)
		}
		return
	}
	h.fallbackAt = l.now.Add(l.config.FallbackTimeout)
	l.sendRenew(l.renewTarget(), message, out)
}

func (l *Lease) sendRenew(to core.HostID, m *peerpb.Message, out *core.Actions) {
	l.stats.Renewals++
	out.Send(to, m)
}

// renewTarget returns the host that receives the next renewal: the fallback
// writer while it is in use and live, or else the next host in the ranking.
func (l *Lease) renewTarget() core.HostID {
	h := &l.holder
	if h.fallbackWriter != "" && l.now.Before(h.fallbackWriterUntil) && l.config.Members.IsLive(h.fallbackWriter) {
		return h.fallbackWriter
	}
	h.fallbackWriter = ""
	hosts := l.ranking.hosts
	return hosts[h.attempt%len(hosts)]
}

func (l *Lease) dropExpiredRenewals() {
	for sequence, s := range l.holder.sent {
		if l.now.Sub(s.at) > sentRenewalTTL {
			delete(l.holder.sent, sequence)
		}
	}
}

func (l *Lease) unconfirmedFor() time.Duration {
	return l.now.Sub(l.holder.unconfirmedSince)
}

// handleRenewReply handles the reply to a renewal.
func (l *Lease) handleRenewReply(from core.HostID, r *peerpb.LeaseRenewed, out *core.Actions) {
	sent, known := l.holder.sent[r.GetSequence()]
	// A reply to a former process of this host must not grant the rights of that
	// process to this one.
	currentProcess := r.GetIncarnation() == l.config.Incarnation
	if !currentProcess || !known || sent.term != l.holder.term {
		return
	}
	if r.GetTableVersion() < l.table.version {
		l.pushTable(from, out)
	}
	switch {
	case r.GetFenced():
		l.loseMembership(out)
	case r.GetOk():
		l.handleConfirmation(from, sent, r, out)
	default:
		l.handleRenewFailure(from, sent, r)
	}
}

// handleConfirmation extends the lease, counted from when the renewal was sent.
// Counting from any later time would be unsafe, because an observer may have seen
// the renewal in the platform, and started its fencing timer, before then.
func (l *Lease) handleConfirmation(from core.HostID, sent sentRenewal, r *peerpb.LeaseRenewed, out *core.Actions) {
	h := &l.holder
	if h.term == 0 {
		l.join(r.GetTerm(), out)
	}
	if r.GetTerm() != h.term || eraOf(r.GetTableVersion()) > eraOf(l.table.version) {
		return // a table of another era is on its way, in which this host may hold nothing
	}
	l.stats.Confirmed++
	if sent.at.After(h.confirmedAt) {
		h.confirmedAt = sent.at
		h.unconfirmedSince = sent.at
	}
	if h.stopping && !sent.at.Before(h.stopRequestedAt) {
		h.stopRecorded = true
	}
	h.heldUntil = latestOf(h.heldUntil, h.confirmedAt.Add(l.config.LeaseDuration))
	if h.attempt > 0 {
		h.fallbackWriter = from
		h.fallbackWriterUntil = l.now.Add(fallbackWriterTime)
	}
	h.attempt = 0
	h.fallbackAt = time.Time{}
	h.nextRenew = l.now.Add(time.Duration(r.GetNextUs()) * time.Microsecond)
	clear(h.unavailableReports)
	if len(h.released) > 0 {
		h.nextRenew = earliestOf(h.nextRenew, l.now.Add(l.config.Interval/4))
	}
}

// handleRenewFailure handles a reply without a confirmation: it records a report
// that the platform is unavailable and, for the first immediateFallbacks
// attempts, falls back to the next host at once.
func (l *Lease) handleRenewFailure(from core.HostID, sent sentRenewal, r *peerpb.LeaseRenewed) {
	h := &l.holder
	// If the sender has a newer table, that table may show that this host was
	// fenced.
	if r.GetAway() && r.GetTableVersion() <= l.table.version {
		h.unavailableReports[from] = latestOf(h.unavailableReports[from], sent.at)
		l.extendWarmHold()
	}
	if !h.fallbackAt.IsZero() && h.attempt < immediateFallbacks {
		h.fallbackAt = l.now
	}
}

// extendWarmHold extends the right to dispatch warm work while most members of
// the cell report the platform as unavailable. No other host can have taken the
// shares over in that case, because fencing after FenceDelay requires recent
// renewals from at least half of the members.
func (l *Lease) extendWarmHold() {
	h := &l.holder
	if h.term == 0 || l.table.version == 0 {
		return
	}
	agreeing := 0
	oldest := l.now
	for _, host := range l.table.hosts {
		at := h.unavailableReports[host]
		if host == l.config.Self {
			at = l.now
		}
		if l.now.Sub(at) >= unavailableReportTTL {
			continue
		}
		agreeing++
		if at.Before(oldest) {
			oldest = at
		}
	}
	if 2*agreeing > len(l.table.hosts) {
		h.heldUntil = latestOf(h.heldUntil, oldest.Add(unavailableReportTTL))
	}
}

// join starts a new membership.
func (l *Lease) join(term uint64, out *core.Actions) {
	l.holder.term = term
	l.stats.Joins++
	for sequence, s := range l.holder.sent {
		s.term = term
		l.holder.sent[sequence] = s
	}
	l.applyTableToHolder(out)
	out.Add(core.Record{Topic: "lease.joined", Fields: map[string]string{"host": string(l.config.Self)}})
}

// loseMembership resets the holder after this host was fenced and schedules a
// renewal that joins again.
func (l *Lease) loseMembership(out *core.Actions) {
	h := &l.holder
	if h.term != 0 {
		l.stats.Lost++
		out.Add(core.Record{Topic: "lease.lost", Fields: map[string]string{"host": string(l.config.Self)}})
	}
	h.term = 0
	h.listed = false
	h.confirmedAt = time.Time{}
	h.heldUntil = time.Time{}
	h.fallbackAt = time.Time{}
	clear(h.sent)
	clear(h.unavailableReports)
	clear(h.released)
	h.nextRenew = earliestOf(l.now.Add(l.config.Interval/4), h.nextRenew)
}

// applyTableToHolder updates the holder after the table or the term changed: it
// forgets the releases that the table reflects and detects that this host was
// fenced.
func (l *Lease) applyTableToHolder(out *core.Actions) {
	h := &l.holder
	for id, release := range h.released {
		s := l.table.byID[id]
		if s == nil || s.GetEpoch() != release.GetEpoch() {
			delete(h.released, id)
		}
	}
	if h.term == 0 {
		return
	}
	_, listed := l.table.hosts[h.term]
	if h.listed && !listed {
		l.loseMembership(out)
		return
	}
	h.listed = listed
}
