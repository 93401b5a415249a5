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
	// maxWatchedStarts bounds the upstream starts with open attempts, and maxOpenPerStart
	// the open attempts of each.
	maxWatchedStarts = 1024
	maxOpenPerStart  = 64
	// maxOpenRun bounds the time for which an upstream is assumed to run a request whose
	// caller set a longer deadline. Evidence of a crash counts for crashNoticePeriod
	// after that: the entry of a crashed upstream expires within it.
	maxOpenRun        = time.Minute
	crashNoticePeriod = 8 * time.Second
	// firstOpenCheck is when an upstream with open attempts is checked first. The interval
	// doubles up to maxOpenCheckInterval.
	firstOpenCheck       = 250 * time.Millisecond
	maxOpenCheckInterval = 4 * time.Second
	// minOpenCheckInterval is the least time between two checks of one upstream. At most
	// maxChecksPerScan checks begin in one scan.
	minOpenCheckInterval = time.Second
	openScanInterval     = 250 * time.Millisecond
	maxChecksPerScan     = 4
	// maxCheckedParts bounds the upstreams of one call that are checked.
	maxCheckedParts = 3
)

// openAttempt is an attempt whose answer this host no longer expects, but whose upstream
// may still run the request, and crash.
type openAttempt struct {
	loss
	id uint64 // zero for one that has ended here
}

func (a openAttempt) expired(now time.Time) bool {
	return now.After(a.runsUntil.Add(crashNoticePeriod))
}

// watchedStart is a start of an upstream that has open attempts.
type watchedStart struct {
	target   Upstream
	attempts []openAttempt
	// heardAt is when it last answered, acceptedAt when a check last found that it accepts
	// connections, and checkedAt when the last check began.
	heardAt, acceptedAt, checkedAt time.Time
	nextCheck                      time.Time // zero if it is not to be checked
	interval                       time.Duration
}

// openAttempts keeps open attempts, so that the crash of an upstream is found without other
// requests there. An upstream from which nothing is heard is checked at growing
// intervals; one that answers other requests is not.
type openAttempts struct {
	byStart   map[UpstreamStart]*watchedStart
	counts    map[core.Fingerprint]int
	scheduled bool // whether the timer of the scan is set
}

func newOpenAttempts() openAttempts {
	return openAttempts{byStart: map[UpstreamStart]*watchedStart{}, counts: map[core.Fingerprint]int{}}
}

// add records an open attempt. Its upstream is checked if checked is set.
func (o *openAttempts) add(now time.Time, target Upstream, a openAttempt, checked bool) {
	w := o.byStart[target.Start()]
	if w == nil {
		if len(o.byStart) >= maxWatchedStarts {
			return
		}
		w = &watchedStart{target: target}
		o.byStart[target.Start()] = w
	}
	if len(w.attempts) >= maxOpenPerStart {
		o.remove(target.Start(), func(a openAttempt) bool { return !w.heardAt.Before(a.runsUntil) })
	}
	if len(w.attempts) >= maxOpenPerStart {
		oldest := w.attempts[0]
		o.remove(target.Start(), func(a openAttempt) bool { return a == oldest })
	}
	o.byStart[target.Start()] = w // remove drops a start without attempts
	w.attempts = append(w.attempts, a)
	o.counts[a.fingerprint]++
	if !checked {
		return
	}
	w.interval = firstOpenCheck
	next := now.Add(firstOpenCheck)
	if earliest := w.checkedAt.Add(minOpenCheckInterval); !w.checkedAt.IsZero() && next.Before(earliest) {
		next = earliest
	}
	if w.nextCheck.IsZero() || next.Before(w.nextCheck) {
		w.nextCheck = next
	}
}

// remove removes the attempts of a start for which remove returns true.
func (o *openAttempts) remove(start UpstreamStart, remove func(openAttempt) bool) {
	w := o.byStart[start]
	if w == nil {
		return
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(a openAttempt) bool {
		if !remove(a) {
			return false
		}
		if o.counts[a.fingerprint]--; o.counts[a.fingerprint] <= 0 {
			delete(o.counts, a.fingerprint)
		}
		return true
	})
	if len(w.attempts) == 0 {
		delete(o.byStart, start)
	}
}

// removeFingerprint removes all attempts of a request, since an upstream has answered it.
func (o *openAttempts) removeFingerprint(fingerprint core.Fingerprint) {
	if o.counts[fingerprint] == 0 {
		return
	}
	for start := range o.byStart {
		o.remove(start, func(a openAttempt) bool { return a.fingerprint == fingerprint })
	}
}

// take removes the attempts of a start that has crashed until now, and returns those that
// may have run then: an upstream that has answered since an attempt ended there has
// survived it.
func (o *openAttempts) take(now time.Time, start UpstreamStart) (losses []loss) {
	w := o.byStart[start]
	if w == nil {
		return nil
	}
	for _, a := range w.attempts {
		if !a.expired(now) && w.heardAt.Before(a.runsUntil) {
			a.at = now // the upstream has crashed at some time until now
			losses = append(losses, a.loss)
		}
	}
	o.remove(start, func(openAttempt) bool { return true })
	slices.SortFunc(losses, func(a, b loss) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), bytes.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return losses
}

// heard records an answer of an upstream.
func (o *openAttempts) heard(now time.Time, start UpstreamStart) {
	if w := o.byStart[start]; w != nil {
		w.heardAt = now
	}
}

// accepted records that a check found an upstream's address to accept connections.
func (o *openAttempts) accepted(now time.Time, start UpstreamStart) {
	if w := o.byStart[start]; w != nil {
		w.acceptedAt = now
	}
}

// due removes expired attempts, and returns the upstreams to check now.
func (o *openAttempts) due(now time.Time) (targets []Upstream) {
	var ready []*watchedStart
	for start, w := range o.byStart {
		o.remove(start, func(a openAttempt) bool { return a.expired(now) })
		if len(w.attempts) > 0 && !w.nextCheck.IsZero() && !w.nextCheck.After(now) {
			ready = append(ready, w)
		}
	}
	slices.SortFunc(ready, func(a, b *watchedStart) int {
		return cmp.Or(a.nextCheck.Compare(b.nextCheck), a.target.Start().compare(b.target.Start()))
	})
	for _, w := range ready {
		if heard := now.Sub(w.heardAt) < w.interval; !heard && !w.finished() {
			if len(targets) == maxChecksPerScan {
				break
			}
			w.checkedAt = now
			targets = append(targets, w.target)
		}
		w.scheduleNext(now)
	}
	return targets
}

// scheduleNext sets the time of the next check, if there is to be one.
func (w *watchedStart) scheduleNext(now time.Time) {
	if w.finished() {
		w.nextCheck = time.Time{}
		return
	}
	w.interval = min(maxOpenCheckInterval, max(minOpenCheckInterval, 2*w.interval))
	w.nextCheck = now.Add(w.interval)
}

// finished reports whether the upstream was seen running after the end of all requests.
func (w *watchedStart) finished() bool {
	running := latest(w.heardAt, w.acceptedAt)
	return !slices.ContainsFunc(w.attempts, func(a openAttempt) bool { return running.Before(a.runsUntil) })
}

// sorted returns the starts that have open attempts.
func (o *openAttempts) sorted() []*watchedStart {
	return slices.SortedFunc(maps.Values(o.byStart), func(a, b *watchedStart) int {
		return a.target.Start().compare(b.target.Start())
	})
}
