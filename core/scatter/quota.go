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
//   - a quarter bounds the reserves: the tokens that gatherers hold may have been granted
//     before the window;
//   - a quarter covers the time between grants and sends;
//   - the remainder is the fallback: tokens that hosts grant while some gatherers are out
//     of contact, each for its own part of it, see quotaShares.
//
// The quota itself is divided by quotaShares. The parts of hosts that cannot reach each
// other add up to it at most, so that no division of the tier exceeds the rule.
type QuotaLimits struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	reserveFraction = 0.25
	delayFraction   = 0.25
)

// excess returns how many requests of a team may run beyond its quota in a window.
func (l QuotaLimits) excess(q Quota) float64 {
	return (q.Rate*l.Window.Seconds()+q.Burst)*l.Overshoot + l.Slack
}

// reserve returns how many tokens of a team one of several gatherers may hold.
func (l QuotaLimits) reserve(q Quota, gatherers int) int {
	return int(reserveFraction * l.excess(q) / float64(max(1, gatherers)))
}

// fallback returns how many tokens of a team all hosts together may grant in a window
// besides the quota, while some of them are out of contact.
func (l QuotaLimits) fallback(q Quota, gatherers int) float64 {
	return (1-delayFraction)*l.excess(q) - float64(gatherers*l.reserve(q, gatherers))
}

// quotaBucket is a token bucket. It prevents a team with more load than its quota from
// taking the capacity of others.
//
// Share, from 0 to 1, is the part of the quota that the bucket grants. A bucket starts
// empty, since the tokens of the last window may have been granted elsewhere. Once it has
// granted the whole quota for a window, it continues as if it had started full.
type quotaBucket struct {
	tokens, capacity, perSecond float64
	at                          time.Time
	// wholeSince is since when the share is 1, and ifFull what the bucket would have if
	// it had been full then.
	wholeSince time.Time
	ifFull     float64
	// fallback counts the fallback tokens that were granted.
	fallback window
}

// minQuotaBurst is the least capacity of a bucket that grants tokens.
const minQuotaBurst = 1

// advance adds the tokens since the last call at the rate that was in force meanwhile,
// and then applies the given quota and share.
func (b *quotaBucket) advance(now time.Time, q Quota, share float64, window time.Duration) {
	if !b.at.IsZero() && now.After(b.at) {
		b.put(b.perSecond * now.Sub(b.at).Seconds())
	}
	b.at = now
	b.perSecond = share * q.Rate
	b.capacity = 0
	if share > 0 {
		b.capacity = max(minQuotaBurst, share*q.Burst)
	}
	b.put(0)
	switch {
	case share < 1:
		b.wholeSince = time.Time{}
	case b.wholeSince.IsZero():
		b.wholeSince, b.ifFull = now, b.capacity
	case now.Sub(b.wholeSince) >= window:
		b.tokens = b.ifFull
	}
}

// take takes up to a number of tokens.
func (b *quotaBucket) take(wanted int) (taken int) {
	taken = min(wanted, int(b.tokens+quotaEpsilon))
	b.tokens -= float64(taken)
	b.ifFull -= float64(taken)
	return taken
}

// put adds tokens, e.g. those that were not used.
func (b *quotaBucket) put(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
	b.ifFull = min(b.capacity, b.ifFull+tokens)
}

// takeFallback takes up to a number of fallback tokens, of which limit may be granted in
// a window.
func (b *quotaBucket) takeFallback(now time.Time, wanted int, limit float64, within time.Duration) (taken int) {
	spent := b.fallback.sum(now, 0, int(math.Ceil(within.Seconds()))+1)
	taken = max(0, min(wanted, int(limit)-spent))
	for range taken {
		b.fallback.add(now)
	}
	return taken
}

// quotaEpsilon prevents a rounding error from delaying a token.
const quotaEpsilon = 1e-9

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
