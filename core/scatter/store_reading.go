package scatter

import "time"

const (
	// StoreReaders is how many hosts, the first in rank, read the store for the
	// others.
	StoreReaders = 3
	// StoreCandidates is how many hosts, the first in rank, the others try to follow
	// in turn.
	StoreCandidates = 8
	// StreamsPerActiveHost is how many readers an active host follows, so that it
	// stays up to date while one of them is cut off from the store.
	StreamsPerActiveHost = 2

	// storeFallbackDelay is how long the first substitutes wait for a stream before
	// they read the store; each rank adds storeFallbackStagger. There are as many of
	// them as readers. The others wait for othersFallbackDelay more: by then they
	// follow a substitute, if the store serves one.
	storeFallbackDelay   = 300 * time.Millisecond
	storeFallbackStagger = 50 * time.Millisecond
	substitutes          = StoreReaders
	othersFallbackDelay  = 250 * time.Millisecond
	// StableStreamAfter is how long streams have to be up before a substitute stops
	// reading the store. Other hosts, which nobody follows, stop after
	// othersStableAfter: all active hosts read it after an outage, since the first
	// ones may still be refused.
	StableStreamAfter = 5 * time.Second
	othersStableAfter = 2 * time.Second

	// minListInterval is the shortest interval at which a host that is not active and
	// has no stream reads the list of hosts, listHostsRate how many such calls all
	// hosts make in a second.
	minListInterval = 15 * time.Second
	listHostsRate   = 2.0
)

// StoreReading decides whether a host reads all feeds from the store. It answers a store
// that refuses the readers and serves others: a few substitutes read it until the
// readers are back, instead of all active hosts.
type StoreReading struct {
	Rank   int
	Active bool
	// Alone is true if the host knows no other one.
	Alone bool
	// Reading is whether it reads the store now, Served whether that works.
	Reading, Served bool
	// Streams is how many streams of other hosts are up, UpFor for how long there has
	// been one, and CutOffFor for how long there has been none.
	Streams          int
	UpFor, CutOffFor time.Duration
}

// Wanted reports whether the host reads the store.
func (r StoreReading) Wanted() bool {
	switch {
	case r.Rank < StoreReaders:
		return true
	case !r.Active:
		return false
	case !r.Reading:
		return r.Streams == 0 && (r.Alone || r.CutOffFor > r.fallbackDelay())
	}
	// Others follow a substitute that is served. Its own streams come from hosts of
	// higher rank only, so of several substitutes the highest ranks stay.
	enough, stableAfter := 1, StableStreamAfter
	if r.Rank >= StoreReaders+substitutes {
		stableAfter = othersStableAfter
	}
	if r.Served && r.Rank < StoreCandidates {
		enough = StreamsPerActiveHost
	}
	return r.Streams < enough || r.UpFor < stableAfter
}

func (r StoreReading) fallbackDelay() time.Duration {
	delay := storeFallbackDelay + time.Duration(min(r.Rank, StoreCandidates))*storeFallbackStagger
	if r.Rank >= StoreReaders+substitutes {
		delay += othersFallbackDelay
	}
	return delay
}

// FollowsHigherRanksOnly reports whether the host follows only hosts of higher rank,
// because it reads the store as a substitute.
func (r StoreReading) FollowsHigherRanksOnly() bool {
	return r.Served && r.Rank >= StoreReaders && r.Rank < StoreCandidates
}

// ListHostsInterval returns how long an entry host is without a stream, and then the
// interval, before it reads the list of hosts from the store. It requests the list from
// other hosts meanwhile. Random is between 0 and 1 and spreads the calls of the many
// hosts that lose their streams together when the store is down.
func ListHostsInterval(hosts int, random float64) time.Duration {
	interval := max(minListInterval, time.Duration(float64(hosts)/listHostsRate*float64(time.Second)))
	return time.Duration((0.5 + 0.5*random) * float64(interval))
}
