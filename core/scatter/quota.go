package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

// QuotaLimits bounds how many requests of a team may run beyond its quota. In no span
// of Window may there be more than
//
//	(rate x Window + burst) x (1 + Overshoot) + Slack
//
// over all hosts. The excess over rate x Window + burst is divided as follows:
//
//   - one half bounds the reserves: tokens that gatherers hold may have been granted
//     before the window;
//   - a quarter is for successors and hosts without contact, which grant a share of it
//     while they cannot reach the owner;
//   - the remaining quarter covers the time between grants and sends.
type QuotaLimits struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	reserveFraction  = 0.5
	fallbackFraction = 0.25
)

// excess returns how many requests of a team may run beyond its quota in a window.
func (l QuotaLimits) excess(q Quota) float64 {
	return (q.Rate*l.Window.Seconds()+q.Burst)*l.Overshoot + l.Slack
}

// reserve returns how many tokens of a team one of several gatherers may hold.
func (l QuotaLimits) reserve(q Quota, gatherers int) int {
	return int(reserveFraction * l.excess(q) / float64(max(1, gatherers)))
}

// quotaBucket is a token bucket. It prevents a team with more load than its quota from
// taking the capacity of others.
//
// Share, from 0 to 1, is the part of the quota that the bucket grants. A bucket starts
// empty, since the tokens of the last window may have been granted elsewhere.
type quotaBucket struct {
	tokens, capacity, perSecond float64
	at                          time.Time
}

// minQuotaBurst is the least capacity of a bucket that grants a whole quota.
const minQuotaBurst = 1

// advance adds the tokens since the last call at the rate that was in force meanwhile,
// and then applies the given quota and share.
func (b *quotaBucket) advance(now time.Time, q Quota, share float64) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.capacity, b.tokens+b.perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	b.capacity = max(minQuotaBurst, share*q.Burst)
	b.perSecond = share * q.Rate
	b.tokens = min(b.tokens, b.capacity)
}

// take takes up to a number of tokens.
func (b *quotaBucket) take(wanted int) (taken int) {
	taken = min(wanted, int(b.tokens+quotaEpsilon))
	b.tokens -= float64(taken)
	return taken
}

// quotaEpsilon prevents a rounding error from delaying a token.
const quotaEpsilon = 1e-9

// put returns tokens that were not used.
func (b *quotaBucket) put(tokens int) { b.tokens = min(b.capacity, b.tokens+float64(tokens)) }

// wait returns how long it takes until there is a token.
func (b *quotaBucket) wait() time.Duration {
	missing := 1 - b.tokens
	if missing <= quotaEpsilon {
		return 0
	}
	if b.perSecond <= 0 {
		return maxQuotaWait
	}
	return time.Duration(math.Min(missing/b.perSecond, maxQuotaWait.Seconds()) * float64(time.Second))
}

// maxQuotaWait bounds the time for which an asker relies on a denial. A limit may be
// raised in the meantime.
const maxQuotaWait = time.Second

// rankQuotaOwners returns the gatherers in the order in which they decide on a team: the
// first is its quota owner, the others succeed it. It is rendezvous hashing, so that the
// loss of a host moves only the teams of that host.
func rankQuotaOwners(team TeamID, gatherers []Host) []Host {
	score := make(map[core.HostID]uint64, len(gatherers))
	for _, h := range gatherers {
		score[h.ID] = xxhash.Sum64String(string(h.ID) + "\x00" + string(team))
	}
	ranked := slices.Clone(gatherers)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score[a.ID], score[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}
