package scatter

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// quarantineAfter is how many upstreams have to crash one after the other before
	// a fingerprint is quarantined. The quarantine lasts quarantinePeriod, plus as
	// long again for each further crash, up to maxQuarantine.
	quarantineAfter = 2
	// quarantineAnsweredAfter is the same for a request that some upstream has answered
	// recently, so that the crashes are probably not its fault.
	quarantineAnsweredAfter = 4
	quarantinePeriod        = 5 * time.Minute
	maxQuarantine           = time.Hour
	// crashSpread is the time within which upstreams crash that have a common cause,
	// for instance a rack that loses power.
	crashSpread = 200 * time.Millisecond
	// gatherLossShare is the share of a gather's parts, and minGatherLosses the
	// minimum number, whose upstreams have to crash together, before any part is
	// answered, for its running calls not to be retried.
	gatherLossShare = 0.5
	minGatherLosses = 3
	// suspicionTTL is how long the crash of one upstream counts against a
	// fingerprint. After enough crashes for a quarantine they count for
	// quarantineTTL, which is longer than the quarantine, so that one more crash
	// puts it in force again.
	suspicionTTL  = 10 * time.Minute
	quarantineTTL = 2 * maxQuarantine
	// publishDelay is the wait before a suspicion is published. Within it, a
	// request that only happened to run on a crashed upstream can be answered
	// elsewhere, which clears it.
	publishDelay = 200 * time.Millisecond
	// sweepInterval is the time between two removals of expired suspicions.
	sweepInterval = time.Minute
	// maxSuspects bounds the number of suspects that are kept, maxPublished the
	// number of those that are published.
	maxSuspects  = 4096
	maxPublished = 64
	// maxLosses bounds the losses that are kept for one upstream until it is
	// checked, and checkTimeout the wait for the result of a check.
	maxLosses    = 64
	checkTimeout = 2 * time.Second
)

// quarantine detects requests that crash the upstreams that run them. Such
// requests are identified by fingerprint, since they may be repeated at any host.
//
// A lost answer alone is not sufficient evidence. The upstream has to be found to have
// ended (see crash_evidence.go), and an answer from any upstream clears the
// fingerprint. Upstreams that crash together, e.g. with their rack, count once, also
// if several hosts find them: a crash counts in addition to another one only if the
// request was sent after that one was known. Each host publishes its findings to all
// others through the store, which keeps them across restarts of hosts.
type quarantine struct {
	self     core.HostID
	suspects map[core.Fingerprint]*suspectFingerprint
	losses   map[UpstreamStart]*upstreamLosses
	open     openAttempts
	answers  recentAnswers
	// stopping is true once this host stops and publishes its open attempts.
	stopping bool
	adopted  map[adoptedAttempt]bool
	// listed is true once this host has read the stored findings. Before, it
	// would overwrite its own record without having read it.
	listed     bool
	departed   departedFinders
	published  []Suspect
	publishing bool // whether the timer is set
	sweeping   bool // whether the timer is set
}

// suspectFingerprint holds the crashes that count against a request fingerprint.
type suspectFingerprint struct {
	crashes map[UpstreamStart]*crash
	last    time.Time // when the newest one was recorded
	// lostAt is when this host lost the first of the answers that it lost together, and
	// crashedTogether are the upstreams that crashed then.
	lostAt          time.Time
	crashedTogether []UpstreamStart
	// answered is true if this host has had an answer since the newest crash.
	answered bool
	// answeredHere is true if this host had an answer shortly before a crash, and
	// answeredBefore if any host had.
	answeredHere, answeredBefore bool
}

// crash is the crash of an upstream that ran a request.
type crash struct {
	order    int       // see Crash
	at       time.Time // when this host lost the answer or received the report
	seenHere bool      // found by this host
	reported bool      // by another host
	// survived is true once an upstream has answered such a request since, so that
	// the request cannot have been the cause. The report of another host may remain.
	survived bool
}

// upstreamLosses are the lost answers of an upstream that is being checked.
type upstreamLosses struct {
	target    Upstream
	checkedAt time.Time // when the check of the upstream began
	losses    []loss
}

// loss is a lost answer.
type loss struct {
	fingerprint core.Fingerprint
	parts       int // number of parts of the call
	sentAt, at  time.Time
	runsUntil   time.Time // until when the upstream may run the request
	// order is that of the crash if another host has sent the request, see Crash.
	order int
}

// finding is a new crash that counts against a fingerprint.
type finding struct {
	fingerprint core.Fingerprint
	crash       Crash
	// crashCount is the number of crashes that count, including this one. quarantined
	// is true if this one puts the fingerprint in quarantine.
	crashCount  int
	quarantined bool
	by          core.HostID
}

func newQuarantine(self core.HostID) *quarantine {
	return &quarantine{
		self: self, suspects: map[core.Fingerprint]*suspectFingerprint{}, losses: map[UpstreamStart]*upstreamLosses{},
		open: newOpenAttempts(), adopted: map[adoptedAttempt]bool{},
	}
}

// recordLoss records a lost answer of an upstream, and reports whether a check of
// the upstream is to be started.
func (q *quarantine) recordLoss(now time.Time, target Upstream, lost loss) (check bool) {
	check = q.startCheck(now, target)
	if l := q.losses[target.Start()]; len(l.losses) < maxLosses {
		l.losses = append(l.losses, lost)
	}
	return check
}

// startCheck reports whether a check of an upstream is to be started, unless one is
// in progress.
func (q *quarantine) startCheck(now time.Time, target Upstream) bool {
	l := q.losses[target.Start()]
	if l != nil && now.Sub(l.checkedAt) <= checkTimeout {
		return false
	}
	if l == nil {
		l = &upstreamLosses{target: target}
		q.losses[target.Start()] = l
	}
	l.checkedAt = now // the losses of a check without a result remain
	return true
}

// recordCrash counts the crash of an upstream against the requests that it may have run,
// which are those of the given losses and the open attempts, and returns the findings.
func (q *quarantine) recordCrash(now time.Time, at UpstreamStart, losses []loss) (found []finding) {
	for _, l := range append(losses, q.open.take(now, at)...) {
		s := q.suspect(l.fingerprint)
		s.recordLoss(l, at)
		// One crash of each order is enough: the others add nothing to the count.
		c := Crash{at, l.order}
		if l.order == 0 {
			c.Order = s.orderOf(l.sentAt, at)
		}
		if c.Order > s.ownCount() {
			found = append(found, q.add(l.at, now, s, l.fingerprint, c, q.self)...)
		}
	}
	return found
}

// recordLoss records which upstreams crash together.
func (s *suspectFingerprint) recordLoss(l loss, at UpstreamStart) {
	switch {
	case !l.sentAt.Before(s.lostAt):
		s.lostAt, s.crashedTogether = l.at, []UpstreamStart{at}
	case !slices.Contains(s.crashedTogether, at):
		s.crashedTogether = append(s.crashedTogether, at)
	}
}

// orderOf returns the order of the crash of an upstream to which the request was sent
// at sentAt. Crashes that were not known then, or only just, may have the same cause.
func (s *suspectFingerprint) orderOf(sentAt time.Time, at UpstreamStart) int {
	order := 1
	for other, c := range s.crashes {
		if other != at && !c.survived && !sentAt.Before(c.at.Add(crashSpread)) {
			order = max(order, c.order+1)
		}
	}
	return order
}

// count returns how many crashes count against the fingerprint.
func (s *suspectFingerprint) count() (highest int) {
	for _, c := range s.crashes {
		if !c.survived {
			highest = max(highest, c.order)
		}
	}
	return highest
}

// limit returns how many crashes put the fingerprint in quarantine.
func (s *suspectFingerprint) limit() int {
	if s.answeredBefore {
		return quarantineAnsweredAfter
	}
	return quarantineAfter
}

// ownCount returns how many of the crashes that this host found count.
func (s *suspectFingerprint) ownCount() (highest int) {
	for _, c := range s.crashes {
		if c.seenHere {
			highest = max(highest, c.order)
		}
	}
	return highest
}

// suspect returns the record of a fingerprint, and creates it if necessary.
func (q *quarantine) suspect(fingerprint core.Fingerprint) *suspectFingerprint {
	s := q.suspects[fingerprint]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.evict()
		}
		s = &suspectFingerprint{crashes: map[UpstreamStart]*crash{}}
		q.suspects[fingerprint] = s
	}
	return s
}

// evict removes the fingerprint whose newest crash is the oldest.
func (q *quarantine) evict() {
	var oldest core.Fingerprint
	var at time.Time
	for fingerprint, s := range q.suspects {
		if at.IsZero() || s.last.Before(at) {
			oldest, at = fingerprint, s.last
		}
	}
	delete(q.suspects, oldest)
}

// add records a crash, which this host noticed at the time at, and returns the finding
// if the crash was not known.
func (q *quarantine) add(at, now time.Time, s *suspectFingerprint, fingerprint core.Fingerprint, c Crash, by core.HostID) []finding {
	if q.answers.contains(now, fingerprint) {
		s.answeredHere, s.answeredBefore = true, true
	}
	before, limit := s.count(), s.limit()
	e, known := s.crashes[c.UpstreamStart]
	if !known {
		e = &crash{at: at}
		s.crashes[c.UpstreamStart] = e
		s.last, s.answered = now, false
	}
	e.order = max(e.order, c.Order)
	e.seenHere, e.reported = e.seenHere || by == q.self, e.reported || by != q.self
	after := s.count()
	if known && after == before {
		return nil
	}
	return []finding{{fingerprint, c, after, before < limit && after >= limit, by}}
}

// adopt makes the findings of other hosts this host's own where they are enough for a
// quarantine, here or at hosts of older builds, which count each upstream. The store may
// have lost them together with the hosts that found them.
func (q *quarantine) adopt() {
	for _, s := range q.suspects {
		if len(s.crashes) < quarantineAfter {
			continue
		}
		for _, e := range s.crashes {
			e.seenHere = true
		}
	}
}

// merge replaces the findings of other hosts by those that are stored. This host's
// own stored findings are added the first time only. After a restore of the store,
// what it has lost is published again.
func (q *quarantine) merge(now time.Time, byHost map[core.HostID][]Suspect, restored bool) (found []finding) {
	if restored {
		q.adopt()
		q.published = byHost[q.self]
	}
	byHost = q.departed.include(now, byHost)
	for _, s := range q.suspects {
		for _, e := range s.crashes {
			e.reported = false
		}
	}
	for _, by := range slices.Sorted(maps.Keys(byHost)) {
		own := by == q.self
		if own && q.listed {
			continue // this host's own record, which may be outdated
		}
		for _, suspect := range byHost[by] {
			for _, c := range suspect.Ended {
				c.Order = max(1, c.Order)
				found = append(found, q.add(now, now, q.suspect(suspect.Fingerprint), suspect.Fingerprint, c, by)...)
			}
		}
	}
	q.mergeAnswers(byHost)
	if !q.listed {
		q.listed, q.published = true, byHost[q.self]
	}
	q.drop(func(e *crash) bool { return !e.seenHere && !e.reported })
	return found
}

// mergeAnswers voids the crashes after which other hosts had an answer.
func (q *quarantine) mergeAnswers(byHost map[core.HostID][]Suspect) {
	for by, suspects := range byHost {
		for _, suspect := range suspects {
			s := q.suspects[suspect.Fingerprint]
			if s == nil || by == q.self {
				continue
			}
			s.answeredBefore = s.answeredBefore || suspect.Answered
			for _, start := range suspect.Survived {
				if e := s.crashes[start]; e != nil {
					e.seenHere, e.survived = false, true
				}
			}
		}
	}
}

// clear removes this host's own findings against a fingerprint, after an upstream
// has answered such a request and thus survived it. Those of other hosts no longer
// count.
func (q *quarantine) clear(now time.Time, fingerprint core.Fingerprint) (changed bool) {
	q.open.removeFingerprint(fingerprint)
	q.answers.add(now, fingerprint)
	s := q.suspects[fingerprint]
	if s == nil {
		return false
	}
	s.answered = true
	for _, e := range s.crashes {
		changed = changed || e.seenHere || !e.survived
		e.seenHere, e.survived = false, true
	}
	q.drop(func(e *crash) bool { return !e.seenHere && !e.reported })
	return changed
}

// sweep removes this host's findings that have expired, and reports whether any
// remain.
func (q *quarantine) sweep(now time.Time) (remaining bool) {
	for _, s := range q.suspects {
		keep := suspicionTTL
		if s.count() >= s.limit() {
			keep = quarantineTTL
		}
		for _, e := range s.crashes {
			e.seenHere = e.seenHere && now.Sub(s.last) <= keep
			remaining = remaining || e.seenHere
		}
	}
	q.drop(func(e *crash) bool { return !e.seenHere && !e.reported })
	return remaining
}

func (q *quarantine) drop(expired func(*crash) bool) {
	for fingerprint, s := range q.suspects {
		maps.DeleteFunc(s.crashes, func(_ UpstreamStart, e *crash) bool { return expired(e) })
		if len(s.crashes) == 0 {
			delete(q.suspects, fingerprint)
		}
	}
}

// crashCount returns how many crashes count against a fingerprint.
func (q *quarantine) crashCount(fingerprint core.Fingerprint) int {
	s := q.suspects[fingerprint]
	if s == nil {
		return 0
	}
	return s.count()
}

// exceedsLimit reports whether the crashes that count against a fingerprint are enough for
// a quarantine.
func (q *quarantine) exceedsLimit(fingerprint core.Fingerprint) bool {
	s := q.suspects[fingerprint]
	return s != nil && s.count() >= s.limit()
}

// crashedMost reports whether most upstreams of a gather with the given number of parts
// have crashed together since it arrived.
func (q *quarantine) crashedMost(fingerprint core.Fingerprint, parts int, arrived time.Time) bool {
	s := q.suspects[fingerprint]
	return s != nil && s.lostAt.After(arrived) &&
		float64(len(s.crashedTogether)) >= max(float64(min(minGatherLosses, max(2, parts))), gatherLossShare*float64(parts))
}

// needsProbe reports whether an upstream has crashed while it ran a request, and no
// upstream has answered such a request here since.
func (q *quarantine) needsProbe(fingerprint core.Fingerprint) bool {
	s := q.suspects[fingerprint]
	return s != nil && !s.answered
}

// until returns the end of the quarantine of a fingerprint, and whether it is in
// force.
func (q *quarantine) until(now time.Time, fingerprint core.Fingerprint) (end time.Time, quarantined bool) {
	s := q.suspects[fingerprint]
	if s == nil || s.count() < s.limit() {
		return time.Time{}, false
	}
	end = s.last.Add(min(maxQuarantine, time.Duration(1+s.count()-s.limit())*quarantinePeriod))
	return end, now.Before(end)
}

// report returns the findings of this host, sorted by fingerprint. If there are
// more than maxPublished, those with the fewest and oldest crashes are left out.
func (q *quarantine) report() []Suspect {
	var all []Suspect
	for fingerprint, s := range q.suspects {
		suspect := Suspect{Fingerprint: fingerprint}
		for at, e := range s.crashes {
			if e.seenHere {
				suspect.Ended = append(suspect.Ended, Crash{at, e.order})
			}
			if e.reported && e.survived {
				suspect.Survived = append(suspect.Survived, at)
			}
		}
		suspect.Answered = s.answeredHere && s.count() > 0
		if len(suspect.Ended) > 0 || len(suspect.Survived) > 0 || suspect.Answered {
			slices.SortFunc(suspect.Ended, Crash.compare)
			slices.SortFunc(suspect.Survived, UpstreamStart.compare)
			all = append(all, suspect)
		}
	}
	if q.stopping {
		all = q.addOpen(all)
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(
			cmp.Compare(q.crashCount(b.Fingerprint), q.crashCount(a.Fingerprint)),
			q.lastCrash(b.Fingerprint).Compare(q.lastCrash(a.Fingerprint)),
			compareFingerprints(a, b),
		)
	})
	all = all[:min(len(all), maxPublished)]
	slices.SortFunc(all, compareFingerprints)
	return all
}

func compareFingerprints(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) }

// lastCrash returns when the newest crash of a fingerprint was recorded.
func (q *quarantine) lastCrash(fingerprint core.Fingerprint) time.Time {
	if s := q.suspects[fingerprint]; s != nil {
		return s.last
	}
	return time.Time{}
}

// changes returns the findings to publish; false if they have not changed.
func (q *quarantine) changes() ([]Suspect, bool) {
	if !q.listed {
		return nil, false
	}
	report := q.report()
	if slices.EqualFunc(report, q.published, Suspect.equal) {
		return nil, false
	}
	q.published = report
	return report, true
}

// forSuccessor prepares the quarantine for the engine that replaces a failed one. The
// timers of the failed engine are lost.
func (q *quarantine) forSuccessor() *quarantine {
	q.publishing, q.sweeping = false, false
	q.losses = map[UpstreamStart]*upstreamLosses{}
	q.open.scheduled = false
	return q
}
