package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// However members join, stop and leave between plans, a service never has two
// shares moving at a time, and the plans converge to a state in which the shares
// of a service are on different hosts, in different failure domains if there are
// two, and the load is balanced.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := planInput{
			topology: simTopology(rapid.IntRange(1, 30).Draw(t, "services")),
			members:  &peerpb.LeaseMembers{NextTerm: 1},
			releases: map[string]termRelease{},
		}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			changeMembers(t, &in)
			for round := 0; ; round++ {
				next := plan(in)
				if next == nil {
					break
				}
				in.shares = next
				checkMoves(t, in)
				releaseMoving(&in)
				if round > 500 {
					t.Fatal("the plans do not converge")
				}
			}
			checkStable(t, in)
		}
	})
}

func changeMembers(t *rapid.T, in *planInput) {
	var members []*peerpb.LeaseMember
	for _, m := range in.members.GetMembers() {
		switch rapid.SampledFrom([]string{"stay", "stay", "stay", "stop", "go"}).Draw(t, "fate") {
		case "stop":
			m = &peerpb.LeaseMember{Term: m.GetTerm(), Host: m.GetHost(), Domain: m.GetDomain(), Stopping: true}
		case "go":
			continue
		}
		members = append(members, m)
	}
	next := in.members.GetNextTerm()
	for range rapid.IntRange(0, 5).Draw(t, "new") {
		domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
		members = append(members, &peerpb.LeaseMember{Term: next, Host: fmt.Sprint("host-", next), Domain: domain})
		next++
	}
	in.members = &peerpb.LeaseMembers{NextTerm: next, Members: members}
}

func releaseMoving(in *planInput) {
	for _, s := range in.shares.GetShares() {
		if s.GetMoving() {
			release := &peerpb.ShareRelease{Upstream: s.GetUpstream(), Epoch: s.GetEpoch(), Warm: true}
			in.releases[s.GetUpstream()] = termRelease{term: s.GetTerm(), release: release}
		}
	}
}

func checkMoves(t *rapid.T, in planInput) {
	moving := map[core.ServiceID]int{}
	for _, s := range in.shares.GetShares() {
		if s.GetMoving() {
			moving[in.topology.Upstreams[core.UpstreamID(s.GetUpstream())].Service]++
		}
	}
	for id, n := range moving {
		if n > 1 {
			t.Fatalf("%d shares of %s move at once", n, id)
		}
	}
}

func checkStable(t *rapid.T, in planInput) {
	active := map[uint64]string{}
	domains := map[string]bool{}
	for _, m := range in.members.GetMembers() {
		if !m.GetStopping() {
			active[m.GetTerm()] = m.GetDomain()
			domains[m.GetDomain()] = true
		}
	}
	holders := map[core.ServiceID]map[uint64]bool{}
	holderDomains := map[core.ServiceID]map[string]bool{}
	load := map[uint64]int{}
	for _, s := range in.shares.GetShares() {
		service := in.topology.Upstreams[core.UpstreamID(s.GetUpstream())].Service
		if holders[service] == nil {
			holders[service], holderDomains[service] = map[uint64]bool{}, map[string]bool{}
		}
		if _, ok := active[s.GetTerm()]; !ok && len(active) > 0 {
			t.Fatalf("the holder of %s is %d, which has left or is stopping", s.GetUpstream(), s.GetTerm())
		}
		holders[service][s.GetTerm()] = true
		holderDomains[service][active[s.GetTerm()]] = true
		load[s.GetTerm()]++
	}
	for id := range holders {
		if len(holders[id]) < min(2, len(active)) || len(holderDomains[id]) < min(2, len(domains)) {
			t.Fatalf("the shares of %s are held by %v in the domains %v", id, holders[id], holderDomains[id])
		}
	}
	if len(domains) == len(active) || len(domains) == 1 {
		checkBalance(t, in, active, load)
	}
}

// checkBalance checks that the load is even. It applies only if the failure
// domains do not dictate the placement.
func checkBalance(t *rapid.T, in planInput, active map[uint64]string, load map[uint64]int) {
	if len(active) < 3 {
		return
	}
	mean := len(in.shares.GetShares()) / len(active)
	least, most := len(in.shares.GetShares()), 0
	for term := range active {
		least, most = min(least, load[term]), max(most, load[term])
	}
	if most-least > balanceThreshold+mean/balanceDivisor+1 {
		t.Fatalf("loads between %d and %d", least, most)
	}
}
