package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// ColdUpstream is a held upstream in its cold start.
type ColdUpstream struct {
	Upstream core.UpstreamID
	// Limit is the number of attempts that may run there now.
	Limit int
}

// QuarantinedQuestion is a request that is refused because upstreams were lost
// while running it.
type QuarantinedQuestion struct {
	Fingerprint core.Fingerprint
	// Left is the remaining time of the quarantine.
	Left time.Duration
}

// Cold returns the held upstreams that are in a cold start, sorted by id.
func (o *Owner) Cold(now time.Time) []ColdUpstream {
	var cold []ColdUpstream
	for id, s := range o.shares {
		if s.held && s.limiter.Cold(now) {
			limit, _ := s.limiter.Limit(now)
			cold = append(cold, ColdUpstream{Upstream: id, Limit: min(limit, s.maxInFlight())})
		}
	}
	slices.SortFunc(cold, func(a, b ColdUpstream) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return cold
}

// Quarantine returns the quarantined questions, sorted by remaining time.
func (o *Owner) Quarantine(now time.Time) []QuarantinedQuestion {
	var all []QuarantinedQuestion
	for fingerprint, entry := range o.suspects.byFingerprint {
		if now.Before(entry.expiresAt) && entry.total() >= quarantineThreshold {
			all = append(all, QuarantinedQuestion{Fingerprint: fingerprint, Left: entry.expiresAt.Sub(now)})
		}
	}
	slices.SortFunc(all, func(a, b QuarantinedQuestion) int { return cmp.Compare(a.Left, b.Left) })
	return all
}
