package scatter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
)

// TestConnectionSharesStayWithinTheLimit checks that the hosts' shares add up to no
// more than the upstream's connection limit, if that allows one for each host.
func TestConnectionSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hostsByDomain := map[core.DomainID]int{}
		hosts := 0
		for i := range rapid.IntRange(1, 6).Draw(t, "domains") {
			count := rapid.IntRange(0, 4).Draw(t, "hosts")
			hostsByDomain[core.DomainID(fmt.Sprint("d", i))] = count
			hosts += count
		}
		if hosts == 0 {
			return
		}
		limit := rapid.IntRange(hosts, 100).Draw(t, "connections")
		shares := connectionShares{connections: limit, hosts: hosts, hostsByDomain: hostsByDomain}
		for upstream := range hostsByDomain {
			total := 0
			for domain, count := range hostsByDomain {
				each := shares.maxConnections(upstream, domain)
				if each < 1 {
					t.Fatalf("a host in %s has %d connections to an upstream in %s", domain, each, upstream)
				}
				total += count * each
			}
			if total > limit {
				t.Fatalf("%d connections to an upstream in %s with a limit of %d", total, upstream, limit)
			}
		}
	})
}

// TestInFlightIsShared checks that all hosts together have at most four requests per
// slot in flight at an upstream, but each host at least one.
func TestInFlightIsShared(t *testing.T) {
	for _, c := range []struct{ connections, hosts, slots, want int }{
		{100, 1, 2, 8},
		{100, 3, 2, 2},
		{100, 8, 2, 1},
		{100, 12, 2, 1},
		{100, 8, 6, 3},
		{4, 1, 2, 4},
		{24, 8, 0, 3},
	} {
		s := connectionShares{connections: c.connections, hosts: c.hosts}
		u := &upstream{Upstream: Upstream{Slots: c.slots}}
		if got := s.maxInFlight(u, "d1"); got != c.want {
			t.Errorf("%+v: %d in flight", c, got)
		}
	}
}
