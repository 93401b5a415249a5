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
	// quarantineAfter upstreams that ended under a question, it is quarantined
	// for quarantinePeriod, and as long again for each further one, at most for
	// maxQuarantine.
	quarantineAfter  = 2
	quarantinePeriod = 5 * time.Minute
	maxQuarantine    = time.Hour
	// gatherLossShare of a gather's parts, and at least minGatherLosses, whose upstreams
	// ended together before any part was in are enough as well.
	gatherLossShare = 0.5
	minGatherLosses = 3
	// suspicionTTL is how long one upstream that ended is held against a question,
	// quarantineTTL how long a quarantine is, so that one more puts it in force
	// again.
	suspicionTTL  = 10 * time.Minute
	quarantineTTL = 2 * maxQuarantine
	// publishDelay leaves a question that ran by chance where an upstream ended
	// the time to be answered elsewhere, before other hosts are told of it.
	publishDelay = 200 * time.Millisecond
	// sweepInterval is the time between two looks for suspicions that are over.
	sweepInterval = time.Minute
	// maxSuspects bounds the questions that are remembered, maxPublished those
	// that other hosts are told of.
	maxSuspects  = 4096
	maxPublished = 64
	// maxLosses bounds the losses that are held against one upstream, and
	// checkTimeout the wait for what became of it.
	maxLosses    = 64
	checkTimeout = 2 * time.Second
)

// quarantine finds the questions that end the upstreams that run them, and that
// come again, at any host.
//
// A lost answer alone says little. The upstream has to refuse connections right
// after it, a question that was answered anywhere is cleared, and of upstreams
// that end together, as with a rack, one is held against a question, unless they
// are most of those that a gather asked. What a host finds it tells all others, by
// way of the store, which outlives every host.
type quarantine struct {
	self     core.HostID
	suspects map[core.Fingerprint]*suspectFingerprint
	losses   map[UpstreamStart]*upstreamLosses
	// listed says that this host knows what it and others had found before; until
	// then it would replace its own record unread.
	listed     bool
	published  []Suspect
	publishing bool // a timer runs
	sweeping   bool // a timer runs
}

// suspectFingerprint is a question under which upstreams ended.
type suspectFingerprint struct {
	crashes map[UpstreamStart]*crash
	last  time.Time // when the newest one was learned
	// lostAt is when this host lost the last answer that it holds against the
	// question, together the upstreams that ended at the same time.
	lostAt   time.Time
	together []UpstreamStart
}

// crash is an upstream that ended under a question.
type crash struct {
	seenHere bool // seen by this host
	reported bool // by another one
}

// upstreamLosses are the answers that did not come from an upstream.
type upstreamLosses struct {
	checkedAt time.Time // when a check of the upstream began
	losses    []loss
}

// loss is an answer that did not come.
type loss struct {
	fingerprint core.Fingerprint
	parts       int // of the call
	sentAt, at  time.Time
}

// finding is what a question has become suspected of.
type finding struct {
	fingerprint core.Fingerprint
	upstream    UpstreamStart
	// crashCount counts the upstreams that crashCount under it.
	crashCount int
	by    core.HostID
}

func newQuarantine(self core.HostID) *quarantine {
	return &quarantine{self: self, suspects: map[core.Fingerprint]*suspectFingerprint{}, losses: map[UpstreamStart]*upstreamLosses{}}
}

// recordLoss notes that a question has no answer from an upstream. True asks for a
// check whether the upstream is there.
func (q *quarantine) recordLoss(now time.Time, at UpstreamStart, lost loss) (check bool) {
	l := q.losses[at]
	if l == nil || now.Sub(l.checkedAt) > checkTimeout {
		l = &upstreamLosses{checkedAt: now}
		q.losses[at] = l
		check = true
	}
	if len(l.losses) < maxLosses {
		l.losses = append(l.losses, lost)
	}
	return check
}

// resolveCheck takes the outcome of a check, and returns what it says of questions.
func (q *quarantine) resolveCheck(now time.Time, at UpstreamStart, result CheckResult) (found []finding) {
	l := q.losses[at]
	delete(q.losses, at)
	if l == nil || result != UpstreamRefuses {
		return nil
	}
	for _, l := range l.losses {
		s := q.suspect(l.fingerprint)
		switch {
		case !l.sentAt.Before(s.lostAt):
			s.lostAt, s.together = l.at, []UpstreamStart{at}
		case l.parts == 1 || slices.Contains(s.together, at):
			continue
		default:
			s.together = append(s.together, at)
			if float64(len(s.together)) < max(minGatherLosses, gatherLossShare*float64(l.parts)) {
				continue
			}
		}
		for _, at := range s.together {
			if s.add(now, at, true, false) {
				found = append(found, finding{l.fingerprint, at, len(s.crashes), q.self})
			}
		}
	}
	return found
}

// suspect returns what is known suspect a question, for something to be added.
func (q *quarantine) suspect(question core.Fingerprint) *suspectFingerprint {
	s := q.suspects[question]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.evict()
		}
		s = &suspectFingerprint{crashes: map[UpstreamStart]*crash{}}
		q.suspects[question] = s
	}
	return s
}

// evict forgets the question that was suspected longest ago.
func (q *quarantine) evict() {
	var oldest core.Fingerprint
	var at time.Time
	for question, s := range q.suspects {
		if at.IsZero() || s.last.Before(at) {
			oldest, at = question, s.last
		}
	}
	delete(q.suspects, oldest)
}

// add returns true when the upstream was not held against the question before.
func (s *suspectFingerprint) add(now time.Time, at UpstreamStart, own, told bool) bool {
	e, known := s.crashes[at]
	if !known {
		e = &crash{}
		s.crashes[at] = e
		s.last = now
	}
	e.seenHere, e.reported = e.seenHere || own, e.reported || told
	return !known
}

// merge takes what all hosts have found.
func (q *quarantine) merge(now time.Time, byHost map[core.HostID][]Suspect) (found []finding) {
	for _, s := range q.suspects {
		for _, e := range s.crashes {
			e.reported = false
		}
	}
	for _, by := range slices.Sorted(maps.Keys(byHost)) {
		own := by == q.self
		if own && q.listed {
			continue // this host's own word, which may be an older one
		}
		for _, suspect := range byHost[by] {
			for _, at := range suspect.Ended {
				if s := q.suspect(suspect.Fingerprint); s.add(now, at, own, !own) {
					found = append(found, finding{suspect.Fingerprint, at, len(s.crashes), by})
				}
			}
		}
	}
	if !q.listed {
		q.listed, q.published = true, byHost[q.self]
	}
	q.drop(func(e *crash) bool { return !e.seenHere && !e.reported })
	return found
}

// clear clears a question: an upstream ran it and lives.
func (q *quarantine) clear(question core.Fingerprint) (changed bool) {
	s := q.suspects[question]
	if s == nil {
		return false
	}
	for _, e := range s.crashes {
		changed = changed || e.seenHere
		e.seenHere = false
	}
	q.drop(func(e *crash) bool { return !e.seenHere && !e.reported })
	return changed
}

// sweep ends what this host has held against questions for long enough; it
// returns whether it still holds something.
func (q *quarantine) sweep(now time.Time) (more bool) {
	for _, s := range q.suspects {
		keep := suspicionTTL
		if len(s.crashes) >= quarantineAfter {
			keep = quarantineTTL
		}
		for _, e := range s.crashes {
			e.seenHere = e.seenHere && now.Sub(s.last) <= keep
			more = more || e.seenHere
		}
	}
	q.drop(func(e *crash) bool { return !e.seenHere && !e.reported })
	return more
}

func (q *quarantine) drop(over func(*crash) bool) {
	for question, s := range q.suspects {
		maps.DeleteFunc(s.crashes, func(_ UpstreamStart, e *crash) bool { return over(e) })
		if len(s.crashes) == 0 {
			delete(q.suspects, question)
		}
	}
}

// crashCount counts the upstreams that crashCount under a question.
func (q *quarantine) crashCount(question core.Fingerprint) int {
	s := q.suspects[question]
	if s == nil {
		return 0
	}
	return len(s.crashes)
}

// until returns when a question may be sent again, if it is quarantined.
func (q *quarantine) until(now time.Time, question core.Fingerprint) (end time.Time, quarantined bool) {
	count := q.crashCount(question)
	if count < quarantineAfter {
		return time.Time{}, false
	}
	end = q.suspects[question].last.Add(min(maxQuarantine, time.Duration(count-1)*quarantinePeriod))
	return end, now.Before(end)
}

// report returns what this host has found, by question; what matters least is
// left out when it is too much.
func (q *quarantine) report() []Suspect {
	var all []Suspect
	for question, s := range q.suspects {
		suspect := Suspect{Fingerprint: question}
		for at, e := range s.crashes {
			if e.seenHere {
				suspect.Ended = append(suspect.Ended, at)
			}
		}
		if len(suspect.Ended) > 0 {
			slices.SortFunc(suspect.Ended, UpstreamStart.compare)
			all = append(all, suspect)
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(
			cmp.Compare(q.crashCount(b.Fingerprint), q.crashCount(a.Fingerprint)),
			q.suspects[b.Fingerprint].last.Compare(q.suspects[a.Fingerprint].last),
			compareFingerprints(a, b),
		)
	})
	all = all[:min(len(all), maxPublished)]
	slices.SortFunc(all, compareFingerprints)
	return all
}

func compareFingerprints(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) }

// changes returns what other hosts are to be told now; false is nothing new.
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

// handleCheck takes the outcome of a check of an upstream.
func (e *Engine) handleCheck(now time.Time, c UpstreamChecked) {
	e.reportFindings(now, e.quarantine.resolveCheck(now, c.Upstream, c.Result))
}

// handleSuspects takes what all hosts have found.
func (e *Engine) handleSuspects(now time.Time, seen SuspectsSeen) {
	e.reportFindings(now, e.quarantine.merge(now, seen.ByHost))
	e.publishSuspects(now, false)
}

// reportFindings logs what questions have become suspected of, and tells others of
// what this host found.
func (e *Engine) reportFindings(now time.Time, found []finding) {
	own, urgent := false, false
	for _, f := range found {
		own = own || f.by == e.options.Self
		note := Note{
			Decision: DecisionFingerprintSuspected, Fingerprint: f.fingerprint, Upstream: f.upstream.ID, UpstreamsLost: f.crashCount,
			Version: e.Version(), Detail: "found by " + string(f.by),
		}
		e.stats.Accused++
		e.note(note)
		if f.crashCount == quarantineAfter {
			note.Decision = DecisionFingerprintQuarantined
			e.stats.Quarantined++
			e.note(note)
		}
		urgent = urgent || f.crashCount >= quarantineAfter
	}
	if own {
		e.publishSuspects(now, urgent)
		e.sweepSuspects(now)
	}
}

// publishSuspects tells other hosts what this one has found, at once or a little
// later.
func (e *Engine) publishSuspects(now time.Time, urgent bool) {
	q := e.quarantine
	if urgent {
		if report, changed := q.changes(); changed {
			e.out.Suspects = &SuspectReport{Suspects: report}
		}
		return
	}
	if q.publishing {
		return
	}
	q.publishing = true
	e.timers.Add(now.Add(publishDelay), func(now time.Time) {
		q.publishing = false
		e.publishSuspects(now, true)
	})
}

// sweepInterval ends suspicions in their time.
func (e *Engine) sweepSuspects(now time.Time) {
	q := e.quarantine
	if q.sweeping {
		return
	}
	q.sweeping = true
	e.timers.Add(now.Add(sweepInterval), func(now time.Time) {
		q.sweeping = false
		if q.sweep(now) {
			e.sweepSuspects(now)
		}
		e.publishSuspects(now, true)
	})
}

// forSuccessor hands a quarantine to the engine that follows one that failed, whose
// timers are gone.
func (q *quarantine) forSuccessor() *quarantine {
	q.publishing, q.sweeping = false, false
	q.losses = map[UpstreamStart]*upstreamLosses{}
	return q
}
