package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// smallFleet is the largest number of hosts for which minWatchers suffice. A
	// larger fleet has a watcher in each failure domain, so that a domain which is
	// partitioned from the others still receives changes from the platform.
	smallFleet  = 16
	minWatchers = 2
)

// chooseWatch starts or ends this host's watch when the set of live hosts changes.
func (s *Sync) chooseWatch(out *core.Actions) {
	live := s.config.Members.Live()
	if slices.Equal(live, s.watchCandidates) {
		return
	}
	s.watchCandidates = append(s.watchCandidates[:0], live...)
	chosen := slices.Contains(watchers(s.config.Members), s.config.Self)
	if chosen == s.watching {
		return
	}
	s.watching = chosen
	out.Add(core.WatchObject{Key: core.ConfigKey, On: chosen})
}

// watchers selects the hosts that watch the platform's object by rendezvous
// hashing, spread over as many failure domains as possible.
func watchers(members core.Membership) []core.HostID {
	ranked := rankByWeight(members.Live())
	perDomain := map[core.DomainID]int{}
	for _, host := range ranked {
		perDomain[members.DomainOf(host)] = 0
	}
	want := minWatchers
	if len(ranked) > smallFleet {
		want = max(minWatchers, len(perDomain))
	}
	var chosen []core.HostID
	// Each round chooses up to one more host from each domain.
	for most := 1; len(chosen) < min(want, len(ranked)); most++ {
		for _, host := range ranked {
			domain := members.DomainOf(host)
			if len(chosen) < want && perDomain[domain] < most && !slices.Contains(chosen, host) {
				perDomain[domain]++
				chosen = append(chosen, host)
			}
		}
	}
	return chosen
}

type weightedHost struct {
	host   core.HostID
	weight uint64
}

// rankByWeight sorts hosts by descending rendezvous weight for the object.
func rankByWeight(hosts []core.HostID) []core.HostID {
	list := make([]weightedHost, len(hosts))
	for i, host := range hosts {
		list[i] = weightedHost{host, xxhash.Sum64String(core.ConfigKey + "\x00" + string(host))}
	}
	slices.SortFunc(list, func(a, b weightedHost) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	ranked := make([]core.HostID, len(list))
	for i := range list {
		ranked[i] = list[i].host
	}
	return ranked
}
