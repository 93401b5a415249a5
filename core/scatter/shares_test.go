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
		shares := connectionShares{connections: limit, hosts: hosts, near: near}
		for upstream := range near {
			total := 0
			for domain, count := range near {
				each := shares.of(upstream, domain)
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
