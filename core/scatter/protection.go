package scatter

import (
	"maps"
	"time"
)

// protection is state that bounds for a while what is sent to an upstream or a service, or
// what is accepted of a team.
type protection interface {
	// expired reports whether the state bounds nothing any more: a new one in its place
	// would allow no more.
	expired(now time.Time) bool
}

// protections holds protections by what they belong to. They end by their own time only: a
// version of the configuration or a list of the store may leave an entry out and bring it
// back, and a core that is replaced reads all entries again. An entry that is back continues
// with the state that it had.
type protections[K comparable, V protection] struct {
	byKey map[K]V
	// releaseAt is the number of entries from which add releases expired ones.
	releaseAt int
}

// minReleased is the least number of entries from which add releases expired ones.
const minReleased = 64

func newProtections[K comparable, V protection]() protections[K, V] {
	return protections[K, V]{byKey: map[K]V{}, releaseAt: minReleased}
}

// add stores a protection that belongs to no listed entry.
func (p *protections[K, V]) add(now time.Time, key K, v V) {
	if len(p.byKey) >= p.releaseAt {
		p.release(now, nil)
		p.releaseAt = max(minReleased, 2*len(p.byKey))
	}
	p.byKey[key] = v
}

// take removes and returns a protection, since its entry is back.
func (p *protections[K, V]) take(key K) (v V, found bool) {
	v, found = p.byKey[key]
	delete(p.byKey, key)
	return v, found
}

// release drops the protections that have expired, but for those of listed entries.
func (p *protections[K, V]) release(now time.Time, listed func(K) bool) {
	maps.DeleteFunc(p.byKey, func(key K, v V) bool { return (listed == nil || !listed(key)) && v.expired(now) })
}

// expired reports whether no request and no extra send is counted any more.
func (b *extraBudget) expired(now time.Time) bool {
	return b.requests.empty(now) && b.extras.empty(now)
}

// empty reports whether no bucket has an event.
func (w *window) empty(now time.Time) bool { return w.sum(now, 0, maxBuckets) == 0 }

// expired reports whether nothing of a start that is not listed bounds sends to it: no
// attempt runs, it is not cold, and no rate, backoff or limit withholds a send.
func (u *upstream) expired(now time.Time) bool {
	return len(u.running) == 0 && !now.Before(u.coldUntil) && !now.Before(u.nextCold) && !now.Before(u.withheldUntil) &&
		!now.Before(u.limit.allowedAt()) && now.Sub(u.backoffUntil) >= maxBackoff && !now.Before(u.otherInstanceUntil)
}

// expired reports whether a bucket without a quota has granted no fallback tokens in the
// last windows. A new one starts empty, so it grants no more otherwise.
func (b *quotaBucket) expired(now time.Time) bool { return b.fallback.empty(now) }

// expired reports whether a team without a limit has no claims, no tokens that were granted
// within a window, and no share that another host may still grant.
func (t *quotaTeam) expired(now time.Time) bool {
	return len(t.claims) == 0 && now.Sub(t.usedAt) >= t.window && !now.Before(t.lapsesAt) && now.Sub(t.delegatedAt) >= quotaLease
}
