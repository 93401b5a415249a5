package scatter

import (
	"math"
	"time"
)

// extraBudget bounds the repeated sends to one service over a sliding window.
// Every host holds a share: the ratio of the requests that it took itself, and
// a part of the fixed allowance. The shares of all hosts add up to no
// more than the tier's budget, with no message between them.
//
// It answers a wave of stragglers or failures, in which hosts that each repeat
// what is late would double the load on upstreams that are already behind.
type extraBudget struct {
	requests window
	extras   window
}

// bucketWidth is the resolution of a sliding window.
const bucketWidth = time.Second

// maxBuckets bounds the memory of a window; longer windows count the last
// maxBuckets seconds only, which allows less.
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

func (w *window) add(now time.Time) {
	w.advance(bucketOf(now))
	w.counts[w.newest%maxBuckets]++
}

// sum counts the events of the newest buckets, skipping some.
func (w *window) sum(now time.Time, skip, buckets int) int {
	w.advance(bucketOf(now))
	total := 0
	for i := skip; i < min(skip+buckets, maxBuckets) && int64(i) <= w.newest; i++ {
		total += w.counts[(w.newest-int64(i))%maxBuckets]
	}
	return total
}

// counted returns how many requests count for extra sends that end now, in the
// least favourable placement of their window. Those count that came in the
// window, in the one before it or in the one that begins half a window earlier,
// whichever has most; buckets that are only partly inside are left out.
func (w *window) guaranteedCount(now time.Time, buckets int) int {
	least := math.MaxInt
	for start := range buckets + 1 { // the window began so many buckets ago
		half := max(0, start-buckets/2+1)
		within := w.sum(now, 0, start)
		before := w.sum(now, start+1, buckets-1)
		between := w.sum(now, half, start+buckets/2-half)
		least = min(least, max(within, before, between))
	}
	return least
}

// ExtraLimits are the tier's bounds on repeated sends to one service.
type ExtraLimits struct {
	// Ratio of the requests, plus Allowance, may be sent again within Window.
	Ratio     float64
	Allowance float64
	Window    time.Duration
}

// allows says whether one more repeated send stays within this host's share.
// Extra sends are counted over one bucket more than the window, so that no
// placement of it holds more.
func (b *extraBudget) allows(now time.Time, limits ExtraLimits, allowanceShare float64) bool {
	buckets := max(2, int(limits.Window/bucketWidth))
	spent := b.extras.sum(now, 0, buckets+1)
	requests := b.requests.guaranteedCount(now, buckets)
	share := limits.Ratio*float64(requests) + limits.Allowance*allowanceShare
	return float64(spent+1) <= budgetUtilization*share
}

// budgetMargin is the part of the budget that is used. The rest covers sends
// that are counted at the upstream in a later window than here.
const budgetUtilization = 0.9
