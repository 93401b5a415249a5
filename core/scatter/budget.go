package scatter

import (
	"math"
	"time"
)

// extraBudget limits the extra sends (retries and hedges) to one service over a
// sliding window. Each host has a share: the ratio applied to the requests that it
// accepted itself, plus a part of the fixed allowance. The shares of all hosts add
// up to no more than the tier's budget without any coordination between them.
//
// It prevents a retry storm: when many requests are late or fail, hosts that each
// repeat them would double the load on upstreams that are already overloaded.
type extraBudget struct {
	requests window
	extras   window
}

// bucketWidth is the resolution of a sliding window.
const bucketWidth = time.Second

// maxBuckets bounds the memory of a window. Of longer windows only the last
// maxBuckets seconds are counted, which allows fewer extra sends.
const maxBuckets = 32

// window counts events in buckets of bucketWidth.
type window struct {
	newest int64 // number of the newest bucket
	counts [maxBuckets]int
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketWidth) }

// advance clears the buckets that began since the last event.
func (w *window) advance(bucket int64) {
	for ; w.newest < bucket && bucket-w.newest <= maxBuckets; w.newest++ {
		w.counts[(w.newest+1)%maxBuckets] = 0
	}
	if w.newest < bucket {
		w.counts = [maxBuckets]int{}
		w.newest = bucket
	}
}

// add counts one event.
func (w *window) add(now time.Time) {
	w.advance(bucketOf(now))
	w.counts[w.newest%maxBuckets]++
}

// sum counts the events in a number of buckets, from the newest one backwards
// after skipping some.
func (w *window) sum(now time.Time, skip, buckets int) int {
	w.advance(bucketOf(now))
	total := 0
	for i := skip; i < min(skip+buckets, maxBuckets) && int64(i) <= w.newest; i++ {
		total += w.counts[(w.newest-int64(i))%maxBuckets]
	}
	return total
}

// guaranteedCount returns the number of requests on which the budget of extra
// sends is based, for the least favourable placement of a window that contains
// now. For each placement it is the greatest of three counts: the requests in the
// window, in the window before it, and in the one that begins half a window
// earlier. Buckets that are only partly inside are left out.
func (w *window) guaranteedCount(now time.Time, buckets int) int {
	least := math.MaxInt
	for start := range buckets + 1 { // the window began start buckets ago
		half := max(0, start-buckets/2+1)
		within := w.sum(now, 0, start)
		before := w.sum(now, start+1, buckets-1)
		between := w.sum(now, half, start+buckets/2-half)
		least = min(least, max(within, before, between))
	}
	return least
}

// ExtraLimits are the tier's limits on extra sends to one service.
type ExtraLimits struct {
	// Within Window, Ratio times the number of requests plus Allowance extra
	// sends are allowed.
	Ratio     float64
	Allowance float64
	Window    time.Duration
}

// allows reports whether one more extra send stays within this host's share.
// Extra sends are counted over one bucket more than the window, so that the limit
// holds for any placement of the window.
func (b *extraBudget) allows(now time.Time, limits ExtraLimits, allowanceShare float64) bool {
	buckets := max(2, int(limits.Window/bucketWidth))
	spent := b.extras.sum(now, 0, buckets+1)
	requests := b.requests.guaranteedCount(now, buckets)
	share := limits.Ratio*float64(requests) + limits.Allowance*allowanceShare
	return float64(spent+1) <= budgetUtilization*share
}

// laggingShare is a share of the allowance that shrinks at once and grows a window late:
// the hosts that have gone may have spent theirs within it.
type laggingShare struct {
	// changes are the shares within the last window, the oldest from before it.
	changes []shareChange
}

type shareChange struct {
	at    time.Time
	share float64
}

// set records a change of the share.
func (s *laggingShare) set(now time.Time, share float64, window time.Duration) {
	s.expire(now, window)
	s.changes = append(s.changes, shareChange{now, share})
}

// least returns the least share within the last window.
func (s *laggingShare) least(now time.Time, window time.Duration) float64 {
	s.expire(now, window)
	least := math.Inf(1)
	for _, c := range s.changes {
		least = min(least, c.share)
	}
	if len(s.changes) == 0 {
		return 0
	}
	return least
}

// expire drops the shares that were replaced before the last window.
func (s *laggingShare) expire(now time.Time, window time.Duration) {
	for len(s.changes) > 1 && now.Sub(s.changes[1].at) > window {
		s.changes = s.changes[1:]
	}
}

// budgetUtilization is the fraction of the budget that is used. The rest covers
// sends that the upstream counts in a later window than this host.
const budgetUtilization = 0.9
