package scatter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
)

// TestConnectionSharesStayWithinTheLimit: the hosts' shares add up to no more
// than an upstream takes, if it takes one connection of each host at all.
func TestConnectionSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near := map[core.DomainID]int{}
		hosts := 0
		for i := range rapid.IntRange(1, 6).Draw(t, "domains") {
			count := rapid.IntRange(0, 4).Draw(t, "hosts")
			near[core.DomainID(fmt.Sprint("d", i))] = count
			hosts += count
		}
		if hosts == 0 {
			return
		}
		limit := rapid.IntRange(hosts, 100).Draw(t, "connections")
		shares := connectionShares{connections: limit, hosts: hosts, hostsByDomain: near}
		for upstream := range near {
			total := 0
			for domain, count := range near {
				each := shares.maxConnections(upstream, domain)
				if each < 1 {
					t.Fatalf("a host in %s has %d connections to one in %s", domain, each, upstream)
				}
				total += count * each
			}
			if total > limit {
				t.Fatalf("%d connections to an upstream in %s that takes %d", total, upstream, limit)
			}
		}
	})
}

// TestInFlightIsShared: all hosts together have four requests for each slot at
// an upstream, and each host at least one.
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
