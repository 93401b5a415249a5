package lease

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// termRelease is a release together with the term of the member that sent it.
type termRelease struct {
	term    uint64
	release *peerpb.ShareRelease
}

// planInput holds everything that a plan depends on: two hosts with the same
// input compute the same plan.
type planInput struct {
	shares   *peerpb.LeaseShares
	members  *peerpb.LeaseMembers
	topology *core.Topology
	releases map[string]termRelease
}

// planner computes the next state of the shares.
type planner struct {
	planInput
	next         *peerpb.LeaseShares
	active       []*peerpb.LeaseMember // not stopping
	memberByTerm map[uint64]*peerpb.LeaseMember
	byID         map[core.UpstreamID]*peerpb.Share
	load         map[uint64]int
	// inTransition counts, by service, the shares that are moving or have no
	// holder.
	inTransition map[core.ServiceID]int
}

// Limits of one plan.
const (
	// At most one in maxMovesDivisor shares moves at the same time, but
	// minMovesLimit shares always may.
	maxMovesDivisor = 16
	minMovesLimit   = 4
	// A share moves for balance when the loads of two hosts differ by at least
	// balanceThreshold plus the mean load divided by balanceDivisor.
	balanceThreshold = 2
	balanceDivisor   = 8
)

// plan returns the next state of the shares, or nil if nothing changes.
func plan(in planInput) *peerpb.LeaseShares {
	p := newPlanner(in)
	p.syncUpstreams()
	p.applyReleases()
	p.freeOrphaned()
	p.indexShares()
	p.assignFree()
	p.markMoves()
	return p.result()
}

func newPlanner(in planInput) *planner {
	p := &planner{
		planInput:    in,
		next:         proto.CloneOf(in.shares),
		memberByTerm: map[uint64]*peerpb.LeaseMember{},
		byID:         map[core.UpstreamID]*peerpb.Share{},
		load:         map[uint64]int{},
		inTransition: map[core.ServiceID]int{},
	}
	if p.next == nil {
		p.next = &peerpb.LeaseShares{}
	}
	p.next.Epoch++
	for _, m := range in.members.GetMembers() {
		p.memberByTerm[m.GetTerm()] = m
		if !m.GetStopping() {
			p.active = append(p.active, m)
		}
	}
	return p
}

// syncUpstreams adds shares for the declared upstreams that have none. A host
// whose configuration is older than the table's leaves the list unchanged. The
// shares of upstreams that are no longer declared are moved by markMoves and
// removed by indexShares once they are free.
func (p *planner) syncUpstreams() {
	if p.topology.Generation < p.next.GetConfigGeneration() {
		return
	}
	p.next.ConfigGeneration = p.topology.Generation
	present := map[core.UpstreamID]bool{}
	for _, s := range p.next.GetShares() {
		present[core.UpstreamID(s.GetUpstream())] = true
	}
	for _, id := range slices.Sorted(maps.Keys(p.topology.Upstreams)) {
		if !present[id] {
			p.next.Shares = append(p.next.Shares, &peerpb.Share{Upstream: string(id)})
		}
	}
	slices.SortFunc(p.next.Shares, func(a, b *peerpb.Share) int {
		return cmp.Compare(a.GetUpstream(), b.GetUpstream())
	})
}

// applyReleases frees the shares that their holders released.
func (p *planner) applyReleases() {
	for _, s := range p.next.GetShares() {
		r, released := p.releases[s.GetUpstream()]
		if released && s.GetTerm() == r.term && s.GetEpoch() == r.release.GetEpoch() {
			p.free(s, r.release.GetWarm())
		}
	}
}

// freeOrphaned frees the shares whose holder is no longer a member. A term at or
// above NextTerm was issued by a newer state of the members than this host has
// read, so its shares are kept.
func (p *planner) freeOrphaned() {
	for _, s := range p.next.GetShares() {
		orphaned := s.GetTerm() != 0 && p.memberByTerm[s.GetTerm()] == nil
		if orphaned && s.GetTerm() < p.members.GetNextTerm() {
			p.free(s, false)
		}
	}
}

func (p *planner) free(s *peerpb.Share, warm bool) {
	s.Term = 0
	s.Warm = warm
	s.Moving = false
	s.Epoch = p.next.GetEpoch()
}

// indexShares removes the free shares of upstreams that are no longer declared
// and indexes and counts the rest.
func (p *planner) indexShares() {
	p.next.Shares = slices.DeleteFunc(p.next.Shares, func(s *peerpb.Share) bool {
		return s.GetTerm() == 0 && !p.declared(s)
	})
	for _, s := range p.next.GetShares() {
		p.byID[core.UpstreamID(s.GetUpstream())] = s
		p.load[s.GetTerm()]++
		if s.GetMoving() {
			p.inTransition[p.service(s)]++
		}
	}
}

func (p *planner) declared(s *peerpb.Share) bool {
	return p.topology.Upstreams[core.UpstreamID(s.GetUpstream())] != nil
}

// service returns the service of a share's upstream, or "" if the upstream is
// not declared.
func (p *planner) service(s *peerpb.Share) core.ServiceID {
	if u := p.topology.Upstreams[core.UpstreamID(s.GetUpstream())]; u != nil {
		return u.Service
	}
	return ""
}

// assignFree assigns each free share to the most suitable active member.
func (p *planner) assignFree() {
	for _, s := range p.next.GetShares() {
		if s.GetTerm() != 0 {
			continue
		}
		best := p.bestMember(s)
		if best == nil {
			p.inTransition[p.service(s)]++
			continue
		}
		s.Term = best.GetTerm()
		s.Epoch = p.next.GetEpoch()
		p.load[s.GetTerm()]++
	}
}

// placement describes how well a host suits a share; the lesser one is better.
type placement struct {
	sameHost   int // other shares of the same service on the host
	sameDomain int // other shares of the same service in its failure domain
	load       int
	hash       uint64
}

func (a placement) compare(b placement) int {
	return cmp.Or(
		cmp.Compare(a.sameHost, b.sameHost),
		cmp.Compare(a.sameDomain, b.sameDomain),
		cmp.Compare(a.load, b.load),
		cmp.Compare(b.hash, a.hash),
	)
}

// bestMember returns the active member with the best placement for a share, or
// nil if there is none. Rendezvous hashing breaks ties.
func (p *planner) bestMember(s *peerpb.Share) *peerpb.LeaseMember {
	var best *peerpb.LeaseMember
	var bestPlacement placement
	hosts, domains := p.siblingHolders(s)
	for _, m := range p.active {
		candidate := placement{
			sameHost:   hosts[m.GetTerm()],
			sameDomain: domains[m.GetDomain()],
			load:       p.load[m.GetTerm()],
			hash:       rendezvousScore(m.GetHost(), s.GetUpstream()),
		}
		if best == nil || candidate.compare(bestPlacement) < 0 {
			best, bestPlacement = m, candidate
		}
	}
	return best
}

// siblingHolders counts the other shares of the same service by the term and by
// the failure domain of their holder.
func (p *planner) siblingHolders(s *peerpb.Share) (hosts map[uint64]int, domains map[string]int) {
	hosts = map[uint64]int{}
	domains = map[string]int{}
	service := p.topology.Services[p.service(s)]
	if service == nil {
		return hosts, domains
	}
	for _, id := range service.Upstreams {
		sibling := p.byID[id]
		if sibling == nil || sibling == s || sibling.GetTerm() == 0 {
			continue
		}
		hosts[sibling.GetTerm()]++
		domains[p.memberByTerm[sibling.GetTerm()].GetDomain()]++
	}
	return hosts, domains
}

// markMoves marks the shares that their holders must release: shares of stopping
// hosts, of upstreams that are no longer declared, of services that are placed
// on too few hosts or failure domains, and shares that move for balance. At most
// one share of a service moves at a time.
func (p *planner) markMoves() {
	moves := 0
	for _, n := range p.inTransition {
		moves += n
	}
	limit := max(minMovesLimit, len(p.next.GetShares())/maxMovesDivisor)
	for _, s := range p.next.GetShares() {
		if moves >= limit {
			return
		}
		service := p.service(s)
		if s.GetTerm() == 0 || s.GetMoving() || service != "" && p.inTransition[service] > 0 {
			continue
		}
		if p.mustMove(s) || p.shouldMove(s) {
			s.Moving = true
			p.inTransition[service]++
			moves++
		}
	}
}

func (p *planner) mustMove(s *peerpb.Share) bool {
	return !p.declared(s) || p.memberByTerm[s.GetTerm()].GetStopping()
}

// shouldMove reports whether another host is a clearly better placement for the
// share. The required difference in load keeps the share from moving back after
// the move.
func (p *planner) shouldMove(s *peerpb.Share) bool {
	holder := p.memberByTerm[s.GetTerm()]
	best := p.bestMember(s)
	if holder == nil || best == nil || best == holder {
		return false
	}
	hosts, domains := p.siblingHolders(s)
	current := placement{sameHost: hosts[holder.GetTerm()], sameDomain: domains[holder.GetDomain()]}
	proposed := placement{sameHost: hosts[best.GetTerm()], sameDomain: domains[best.GetDomain()]}
	if better := proposed.compare(current); better != 0 {
		return better < 0
	}
	mean := len(p.next.GetShares()) / len(p.active)
	return p.load[holder.GetTerm()]-p.load[best.GetTerm()] >= balanceThreshold+mean/balanceDivisor
}

// listMembers copies the members into the shares document, for the hosts that
// receive only that document. A member that was listed from a newer state of the
// members is kept, because a holder that is no longer listed concludes that it
// was fenced.
func (p *planner) listMembers() {
	listed := p.next.GetMembers()
	p.next.Members = nil
	for _, m := range p.members.GetMembers() {
		p.next.Members = append(p.next.Members, &peerpb.LeaseMember{
			Term: m.GetTerm(), Host: m.GetHost(), Domain: m.GetDomain(), Stopping: m.GetStopping(),
		})
	}
	for _, m := range listed {
		if m.GetTerm() >= p.members.GetNextTerm() {
			p.next.Members = append(p.next.Members, m)
		}
	}
}

// result returns the next state, or nil if it differs from the current one in
// nothing but the epoch.
func (p *planner) result() *peerpb.LeaseShares {
	p.listMembers()
	epoch := p.next.GetEpoch()
	p.next.Epoch = p.shares.GetEpoch()
	if proto.Equal(p.next, p.shares) {
		return nil
	}
	p.next.Epoch = epoch
	return p.next
}
