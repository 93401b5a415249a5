package scatter

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// verdictError is the accepted probability that a good version is found bad in one
	// roll-out, divided over all comparisons made.
	verdictError = 0.001
	// failureTolerance and slowTolerance are the shares that the old version is assumed to
	// have at least. Below them a difference is no reason to revert.
	failureTolerance = 0.01
	slowTolerance    = 0.05
	// slowBuckets is how many latency buckets above a quantile of the old version an answer
	// counts as slow: a factor of 2.5. Bad versions are several times slower, and a pause of
	// an upstream affects both versions alike.
	slowBuckets = 4
	// minOldAnswers is the number of the old version's answers on a route from which on its
	// latency serves as a measure.
	minOldAnswers = 20
	// oldBoundWidth is the width of the bound on the old version's shares, in standard
	// deviations: it holds with a probability of 0.999.
	oldBoundWidth = 3.1
)

// judgedQuantiles are the quantiles of the old version's latency that the new version is
// compared with. The first finds a version that is slow throughout, the second one that is
// slow in a part of its answers.
var judgedQuantiles = [...]float64{0.5, 0.95}

// judgedWindows are the last periods that are judged besides the whole time: a fault that
// begins late is diluted by the good answers before it.
var judgedWindows = [...]time.Duration{1500 * time.Millisecond, 4 * time.Second}

// alternatives are the shares beyond the expected one against which the sequential test
// compares, as parts of the distance to 1.
var alternatives = [...]float64{0.05, 0.1, 0.2, 0.4, 0.8}

// evidence is how strongly counts speak for a share above p0. It is the mean of likelihood
// ratios against larger shares. At any true share up to p0 each ratio is a non-negative
// supermartingale with mean at most 1, so that the probability that it ever exceeds 1/x is at
// most x (Ville's inequality), however often and whenever one looks.
func evidence(hits, n uint64, p0 float64) float64 {
	sum := 0.0
	for _, part := range alternatives {
		p1 := p0 + part*(1-p0)
		log := float64(hits)*math.Log(p1/p0) + float64(n-min(n, hits))*math.Log((1-p1)/(1-p0))
		sum += math.Exp(min(log, 500))
	}
	return sum / float64(len(alternatives))
}

// upperShare returns an upper confidence bound for a share (Wilson score), at least floor.
func upperShare(hits, n uint64, floor float64) float64 {
	if n == 0 {
		return floor
	}
	const z = oldBoundWidth
	count, share := float64(n), float64(hits)/float64(n)
	center := share + z*z/(2*count)
	width := z * math.Sqrt(share*(1-share)/count+z*z/(4*count*count))
	return min(0.95, max(floor, (center+width)/(1+z*z/count)))
}

// verdict is the result of a comparison of two versions.
type verdict struct {
	// bad is true if the new version is worse with the required confidence.
	bad bool
	// evidence is the largest one found, already divided by the number of comparisons, so
	// that the confidence is 1-1/evidence.
	evidence float64
	reason   string
	// answers is the number of the new version's answers.
	answers uint64
}

// confidence returns the probability that a verdict of a bad version is right.
func (v verdict) confidence() float64 {
	if v.evidence <= 1 {
		return 0
	}
	return 1 - 1/v.evidence
}

// judge compares the new version with the old one on each route and on all together, in the
// whole time and in the last periods. Few answers on each of several routes may be enough
// together: which version a request goes to does not depend on its route.
//
// It answers bad versions: some fail in a part of their answers or are several times slower
// there, from the start, later, under load or on one route only. The old version on the same
// route at the same time is the measure, so that what affects both is no fault of the new one.
func judge(now time.Time, counts *rolloutCounts, key RolloutKey, base string) verdict {
	totals := counts.totals(now)
	worst := verdict{answers: totals[versionRoute{key.Target, allRoutes}].Answers}
	var routes []string
	for at := range totals {
		if at.version == key.Target {
			routes = append(routes, at.route)
		}
	}
	slices.Sort(routes)
	comparisons := float64(max(1, len(routes)) * (1 + len(judgedWindows)) * (1 + len(judgedQuantiles)))
	for _, route := range routes {
		newest, old := totals[versionRoute{key.Target, route}], totals[versionRoute{base, route}]
		worst.consider(newest, old, comparisons, route, "since the order")
		for _, window := range judgedWindows {
			before := counts.before(now, window)
			if before == nil {
				continue
			}
			recent := newest.sub(before[versionRoute{key.Target, route}])
			// The old version may have no recent answers, when all requests go to the new one.
			recentOld := old.sub(before[versionRoute{base, route}])
			if recentOld.measured() < minOldAnswers {
				recentOld = old
			}
			worst.consider(recent, recentOld, comparisons, route, "in the last "+window.String())
		}
	}
	worst.bad = worst.evidence >= 1/verdictError
	return worst
}

// consider compares the failures and the latency quantiles of one route in one period.
func (v *verdict) consider(newest, old VersionCounts, comparisons float64, route, period string) {
	note := func(hits, n uint64, p0 float64, what string) {
		e := evidence(hits, n, p0) / comparisons
		if e > v.evidence {
			v.evidence = e
			v.reason = fmt.Sprintf("route %s: %s in %d of %d answers %s, up to %.3f expected", route, what, hits, n, period, p0)
		}
	}
	ended := newest.measured()
	note(newest.Failures, newest.Answers, upperShare(old.Failures, old.Answers, failureTolerance), "failures")
	if old.measured() < minOldAnswers {
		return
	}
	for _, q := range judgedQuantiles {
		limit := old.quantileBucket(q) + slowBuckets
		note(newest.slowerThan(limit), ended, upperShare(old.slowerThan(limit), old.measured(), slowTolerance),
			fmt.Sprintf("over 2.5 times the old version's latency quantile %g", q))
	}
}
