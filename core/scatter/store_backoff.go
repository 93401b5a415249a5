package scatter

import "time"

// StoreSituation is what determines how soon a host repeats a refused call to the
// store. The intervals follow from its rank and the number of hosts, so that they
// bound the calls of the whole tier without any message between hosts.
type StoreSituation struct {
	// Rank is the host's rank among all, Hosts how many there are.
	Rank, Hosts int
	// Active is true if the host needs all feeds, and not only the list of hosts.
	Active bool
	// Covered is true while the stream of another host brings all feeds it needs.
	Covered bool
	// Urgent is true for a record that other hosts need within the contact time, such
	// as one that a restored store has lost. Its first call does not wait: a host that
	// the store serves has reported the loss, or the host has found something.
	Urgent bool
}

// The shares are fractions of the contact time, within which a host has to be up to
// date once the store serves it again. Intervals are between the starts of calls.
const (
	// uncoveredRetryShare leaves half of the contact time for the call that succeeds
	// and for the hosts that follow. Up to 16 active hosts then make fewer calls than
	// the watches of three readers on a quiet day.
	uncoveredRetryShare = 0.5
	// coveredRetryShare applies while another host's stream keeps this one up to date.
	coveredRetryShare = 1
	// An entry host needs the store for its own record only. Its interval grows with
	// the number of hosts, and stays below the time (8 s beside a contact time of 5 s)
	// after which all has to be as before.
	hostsPerRetryShare   = 80
	maxEntryRetryShare   = 1.5
	firstEntryRetryShare = 1
	// The first retry of a reader comes early, since many failures are brief.
	firstReaderRetryShare   = 0.04
	firstFallbackRetryShare = 0.1
	firstCoveredRetryShare  = 0.2
	// minRetrySpread is the lowest factor of the random spread, which keeps hosts
	// that were refused together from calling together.
	minRetrySpread = 0.7
)

// retryShares returns the interval after the first refused call and the longest one.
func (s StoreSituation) retryShares() (first, longest float64) {
	switch {
	case s.Urgent:
		return firstFallbackRetryShare, uncoveredRetryShare
	case !s.Active:
		return firstEntryRetryShare, min(maxEntryRetryShare, max(coveredRetryShare, float64(s.Hosts)/hostsPerRetryShare))
	case s.Covered:
		return firstCoveredRetryShare, coveredRetryShare
	case s.Rank < StoreReaders:
		return firstReaderRetryShare, uncoveredRetryShare
	default:
		return firstFallbackRetryShare, uncoveredRetryShare
	}
}

// StoreOutcome is how a call to the store ended.
type StoreOutcome int

const (
	// StoreServed means that the store handled the call.
	StoreServed StoreOutcome = iota
	// StoreRefused means that it refused it, failed or did not answer.
	StoreRefused
	// StoreCallEnded means that this host ended the call itself.
	StoreCallEnded
)

// StoreBackoff decides when a host calls the store, over all purposes of its calls. It
// answers a store that is down, silent, busy or limiting, or that refuses some of the
// hosts: after a second refused call, the host makes one call at a time at growing
// intervals, instead of one for each feed and record.
type StoreBackoff struct {
	contact time.Duration
	random  func() float64

	refusals int  // in a row, of calls that started after the previous one ended
	unproven bool // whether one call has to succeed before several may run at once
	probing  bool // whether the one call that is allowed runs
	// started and ended are of the last refusal that counts; spread is its random
	// factor.
	started, ended time.Time
	spread         float64
}

// NewStoreBackoff returns the decisions of a host with a contact time.
func NewStoreBackoff(contact time.Duration, random func() float64) *StoreBackoff {
	return &StoreBackoff{contact: contact, random: random}
}

// Doubt makes the next call run alone until it succeeds. It is used by hosts that start
// to read the store because no other host's stream works: the store may be the cause.
func (b *StoreBackoff) Doubt() { b.unproven = true }

// Refused reports whether the store refused this host's last call.
func (b *StoreBackoff) Refused() bool { return b.refusals > 0 }

// waitForProbe is returned while another call runs whose result is needed first.
const waitForProbe = time.Hour

// Begin returns how long a call has to wait, and 0 if it starts now. Retry is true if
// the last call of the same purpose was refused. Probe is true for a call that runs
// alone; it has to be ended before others start.
func (b *StoreBackoff) Begin(now time.Time, s StoreSituation, retry bool) (wait time.Duration, probe bool) {
	if b.refusals == 0 && !b.unproven || b.refusals == 1 && !retry && !b.unproven || s.Urgent && !retry {
		return 0, false
	}
	if b.probing {
		return waitForProbe, false
	}
	if wait = b.due(s).Sub(now); b.refusals > 0 && wait > 0 {
		return wait, false
	}
	b.probing = true
	return 0, true
}

// due returns when the next call may start after a refusal.
func (b *StoreBackoff) due(s StoreSituation) time.Time {
	first, longest := s.retryShares()
	factor := min(longest, first*float64(uint64(1)<<min(max(0, b.refusals-1), 10)))
	due := b.started.Add(time.Duration(factor * b.spread * float64(b.contact)))
	// A call without an answer may have lasted longer than the interval.
	if earliest := b.ended.Add(time.Duration(firstReaderRetryShare * b.spread * float64(b.contact))); due.Before(earliest) {
		return earliest
	}
	return due
}

// End records the end of a call that Begin let start at the given time.
func (b *StoreBackoff) End(now, started time.Time, probe bool, outcome StoreOutcome) {
	if probe {
		b.probing = false
	}
	// A call that began before the last refusal says nothing about the time since.
	if b.refusals > 0 && started.Before(b.ended) {
		return
	}
	switch outcome {
	case StoreServed:
		b.refusals, b.unproven = 0, false
	case StoreRefused:
		b.refusals++
		b.started, b.ended = started, now
		b.spread = minRetrySpread + (1-minRetrySpread)*b.random()
	}
}
