package lease

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// termRelease is a release and the member that sent it.
type termRelease struct {
	term    uint64
	release *peerpb.ShareRelease
}

// planInput is all that a plan depends on: two hosts with the same input make
// the same plan.
type planInput struct {
	shares   *peerpb.LeaseShares
	members  *peerpb.LeaseMembers
	topology *core.Topology
	releases map[string]termRelease
}

// planner works out the next state of the shares.
type planner struct {
	planInput
	next         *peerpb.LeaseShares
	active       []*peerpb.LeaseMember // not stopping
	memberByTerm map[uint64]*peerpb.LeaseMember
	byID         map[core.UpstreamID]*peerpb.Share
	load         map[uint64]int
	// busy counts, by service, the shares that move or have no holder.
	inTransition map[core.ServiceID]int
}

// Bounds of one plan.
const (
	// movesDivisor: at most one in so many shares moves at once, and at least
	// minMoves may.
	maxMovesDivisor = 16
	minMovesLimit   = 4
	// spread and the mean load over spreadDivisor is the difference of load
	// from which a share moves for balance.
	balanceThreshold = 2
	balanceDivisor   = 8
)

// plan returns the next state of the shares, or nil when nothing changes.
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

// syncUpstreams adds the declared upstreams that have no share yet and asks
// back the shares of upstreams that are no longer declared. A host whose
// configuration is older than the table's leaves the list as it is.
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

// takeReleases frees the shares that their holders gave up.
func (p *planner) applyReleases() {
	for _, s := range p.next.GetShares() {
		r, released := p.releases[s.GetUpstream()]
		if released && s.GetTerm() == r.term && s.GetEpoch() == r.release.GetEpoch() {
			p.free(s, r.release.GetWarm())
		}
	}
}

// freeLost frees the shares of members that are gone. A term that the members
// have not issued yet belongs to a newer state of them than this host knows.
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

// index drops the free shares of upstreams that are gone and counts the rest.
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

// service returns the share's service; empty for one that is not declared.
func (p *planner) service(s *peerpb.Share) core.ServiceID {
	if u := p.topology.Upstreams[core.UpstreamID(s.GetUpstream())]; u != nil {
		return u.Service
	}
	return ""
}

// assign gives the free shares to their best hosts.
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

// rank is how well a host suits a share; less is better.
type placement struct {
	sameHost   int // shares of the same service on the host
	sameDomain int // and in its failure domain
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

// best returns the active member that suits a share best; nil for none. Among
// equals rendezvous hashing decides.
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

// twins counts the holders of the service's other shares by term and domain.
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

// move asks holders to give up shares: of hosts that stop, of upstreams that
// are gone, of services that stand on too few hosts or domains, and for
// balance. A service never has two shares on the move.
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

// shouldMove says whether another host suits the share clearly better. The
// load is judged as if the share had moved, so that it does not move back.
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

// listMembers names the members for the hosts that see the shares only. A
// member that was listed from a newer state of the members stays: a holder
// takes its absence for the proof that it was fenced.
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

// result returns the next state, or nil if it says nothing new.
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
