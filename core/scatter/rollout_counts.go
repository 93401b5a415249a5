package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// latencyBuckets is the number of latency buckets, three for each doubling from
	// firstLatencyBucket on. All builds share them, since hosts exchange the counts.
	latencyBuckets     = 48
	firstLatencyBucket = 500 * time.Microsecond
	bucketsPerDoubling = 3
	// maxRolloutRoutes bounds the routes of one order that a host counts. Further ones
	// are counted under the empty name.
	maxRolloutRoutes = 64
)

// latencyBucket returns the bucket of a latency.
func latencyBucket(latency time.Duration) int {
	if latency <= firstLatencyBucket {
		return 0
	}
	at := bucketsPerDoubling * math.Log2(float64(latency)/float64(firstLatencyBucket))
	return min(latencyBuckets-1, int(math.Ceil(at)))
}

// VersionCounts are the counts of one version on one route since an order.
type VersionCounts struct {
	Key     RolloutKey
	Version string
	Route   string
	// Sends counts the attempts that were started and Answers those that have ended, so
	// that their difference is in flight. Failures counts the answers that are failures.
	Sends, Answers, Failures uint64
	// Latency counts the answers by latency bucket; it leaves out upstreams that were cold.
	Latency []uint32
}

// versionRoute is the key of counts within one order.
type versionRoute struct{ version, route string }

func (c *VersionCounts) add(other VersionCounts) {
	c.Sends += other.Sends
	c.Answers += other.Answers
	c.Failures += other.Failures
	for at := range min(len(other.Latency), latencyBuckets) {
		c.Latency[at] += other.Latency[at]
	}
}

// sub returns the counts that were added since an earlier state.
func (c VersionCounts) sub(earlier VersionCounts) VersionCounts {
	d := c
	d.Sends, d.Answers, d.Failures = c.Sends-min(c.Sends, earlier.Sends), c.Answers-min(c.Answers, earlier.Answers), c.Failures-min(c.Failures, earlier.Failures)
	d.Latency = slices.Clone(c.Latency)
	for at := range min(len(d.Latency), len(earlier.Latency)) {
		d.Latency[at] -= min(d.Latency[at], earlier.Latency[at])
	}
	return d
}

// measured returns the number of answers with a latency.
func (c VersionCounts) measured() (n uint64) {
	for _, count := range c.Latency {
		n += uint64(count)
	}
	return n
}

// slowerThan returns the number of answers in buckets above the given one.
func (c VersionCounts) slowerThan(bucket int) (n uint64) {
	for at := bucket + 1; at < len(c.Latency); at++ {
		n += uint64(c.Latency[at])
	}
	return n
}

// quantileBucket returns the bucket of a latency quantile.
func (c VersionCounts) quantileBucket(q float64) int {
	left := q * float64(c.measured())
	for at, count := range c.Latency {
		if left -= float64(count); left <= 0 {
			return at
		}
	}
	return latencyBuckets - 1
}

// rolloutCounts sums the counts of all hosts for one order and keeps some earlier sums, so
// that a fault that begins late is not hidden by the good answers before it.
//
// The counts of a host that died stay in the sums: its answers were answers of the version.
type rolloutCounts struct {
	reports map[hostStart]hostReport
	history []countsAt
}

type hostStart struct {
	host    core.HostID
	started int64
}

type hostReport struct {
	at     time.Time
	counts map[versionRoute]VersionCounts
}

type countsAt struct {
	at     time.Time
	counts map[versionRoute]VersionCounts
}

const (
	// historyInterval is the time between two earlier sums that are kept, and
	// historyLength their number.
	historyInterval = 500 * time.Millisecond
	historyLength   = 16
	// reportFresh is the age up to which a report counts as current. It covers several
	// lost reports.
	reportFresh = 2500 * time.Millisecond
)

func newRolloutCounts() *rolloutCounts { return &rolloutCounts{reports: map[hostStart]hostReport{}} }

// record replaces the counts of a host. Counts of other orders are ignored. Reports name an
// order without its target: counts of an earlier one in the same entry are replaced by the
// host's next report.
func (r *rolloutCounts) record(now time.Time, key RolloutKey, report RolloutReport) {
	counts := map[versionRoute]VersionCounts{}
	for _, c := range report.Counts {
		if c.Key.Service == key.Service && c.Key.Created == key.Created && len(counts) < 2*maxRolloutRoutes {
			counts[versionRoute{c.Version, c.Route}] = c
		}
	}
	r.reports[hostStart{report.Host, report.Started}] = hostReport{now, counts}
}

// allRoutes is the name under which the counts of all routes are summed. A route's own name
// has no asterisk alone.
const allRoutes = "*"

// totals returns the sums over all hosts for each route and for all of them, and keeps them if
// the last kept ones are old.
func (r *rolloutCounts) totals(now time.Time) map[versionRoute]VersionCounts {
	sums := map[versionRoute]VersionCounts{}
	for _, report := range r.reports {
		for at, c := range report.counts {
			for _, at := range [...]versionRoute{at, {at.version, allRoutes}} {
				sum, found := sums[at]
				if !found {
					sum = VersionCounts{Key: c.Key, Version: c.Version, Route: at.route, Latency: make([]uint32, latencyBuckets)}
				}
				sum.add(c)
				sums[at] = sum
			}
		}
	}
	if len(r.history) == 0 || now.Sub(r.history[len(r.history)-1].at) >= historyInterval {
		r.history = append(r.history, countsAt{now, sums})
		if len(r.history) > historyLength {
			r.history = slices.Delete(r.history, 0, 1)
		}
	}
	return sums
}

// before returns the newest kept sums of at least that age; nil if there are none.
func (r *rolloutCounts) before(now time.Time, age time.Duration) map[versionRoute]VersionCounts {
	for _, kept := range slices.Backward(r.history) {
		if now.Sub(kept.at) >= age {
			return kept.counts
		}
	}
	return nil
}

// fresh counts the given hosts whose report is current.
func (r *rolloutCounts) fresh(now time.Time, hosts []core.HostID) (count int) {
	for _, id := range hosts {
		for at, report := range r.reports {
			if at.host == id && now.Sub(report.at) <= reportFresh {
				count++
				break
			}
		}
	}
	return count
}

// inFlight returns the number of attempts that are in flight at a version, by the reports
// received since the given time. Known is false if a host that reported shortly before has
// not reported since.
func (r *rolloutCounts) inFlight(version string, since time.Time) (running uint64, known bool) {
	known = true
	for _, report := range r.reports {
		if report.at.Before(since) {
			known = known && since.Sub(report.at) > reportFresh
			continue
		}
		for at, c := range report.counts {
			if at.version == version {
				running += c.Sends - min(c.Sends, c.Answers)
			}
		}
	}
	return running, known
}
