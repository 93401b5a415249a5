package scatter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// maxGatherers is the most hosts that send to upstreams in ordinary times.
	// It keeps their connections to one upstream within what it takes, however
	// many hosts the tier has.
	maxGatherers = 12
	// maxStandbys keep themselves ready to take the place of gatherers.
	maxStandbys = 4
	// strongShare of the strongest host's processor makes a host strong; weak
	// hosts gather only when no strong one is left.
	strongShare = 0.5
)

// Host is one host of the tier.
type Host struct {
	ID     core.HostID
	Domain core.DomainID
	// Address is where other hosts reach it.
	Address string
	// Cores is its processor, in cores.
	Cores float64
}

// Role is what a host does for requests.
type Role int

// The roles of a host, by its rank among all.
const (
	// Gatherer hosts send to upstreams, for their own callers and for others.
	Gatherer Role = iota
	// Standby hosts know what gatherers know and hand requests over.
	Standby
	// Entry hosts hand requests over.
	Entry
)

var roleNames = [...]string{"gatherer", "standby", "entry"}

// String returns the role as the log prints it.
func (r Role) String() string { return roleNames[r] }

// RankHosts returns the hosts in the order in which they gather: strong ones
// first, the failure domains by turns, so that neighbours in rank do not fail
// together. All hosts that know the same hosts return the same order.
//
// The number of strong hosts is returned too.
func RankHosts(hosts []Host) (ranked []Host, strongHosts int) {
	strongest := 0.0
	for _, h := range hosts {
		strongest = max(strongest, h.Cores)
	}
	var strong, weak []Host
	for _, h := range hosts {
		if h.Cores >= strongShare*strongest {
			strong = append(strong, h)
		} else {
			weak = append(weak, h)
		}
	}
	return append(interleave(strong), interleave(weak)...), len(strong)
}

// interleave takes one host of each failure domain in turn.
func interleave(hosts []Host) []Host {
	order := xxhash.Sum64String
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(order(string(a.Domain)), order(string(b.Domain))),
			cmp.Compare(order(string(a.ID)), order(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	turn := map[core.DomainID]int{}
	turns := make(map[core.HostID]int, len(hosts))
	for _, h := range hosts {
		turns[h.ID] = turn[h.Domain]
		turn[h.Domain]++
	}
	slices.SortStableFunc(hosts, func(a, b Host) int { return turns[a.ID] - turns[b.ID] })
	return hosts
}

// fleet is the tier as this host knows it.
type fleet struct {
	self   core.HostID
	domain core.DomainID
	ranked []Host
	strong int // how many of ranked are strong
	role   Role
	peers  map[core.HostID]*peer
	// gatherersIn counts the gatherers by failure domain.
	gatherersIn map[core.DomainID]int
	// followed says that other hosts follow this one.
	followed bool
	// silenceReports is what the hosts that this host follows say of silent ones, and
	// reported what this host says of them itself.
	silenceReports map[core.HostID]*silenceReport
	reportedSilent []core.HostID
}

func newFleet(self core.HostID, domain core.DomainID) *fleet {
	return &fleet{self: self, domain: domain, role: Gatherer, peers: map[core.HostID]*peer{}, silenceReports: map[core.HostID]*silenceReport{}}
}

// set takes the hosts of the tier, and returns whether anything changed.
func (f *fleet) set(hosts []Host) bool {
	ranked, strong := RankHosts(hosts)
	if slices.Equal(ranked, f.ranked) {
		return false
	}
	f.ranked, f.strong = ranked, strong
	f.role = f.roleOf(f.self)
	peers := map[core.HostID]*peer{}
	for _, h := range f.handoverTargets() {
		if h.ID == f.self {
			continue
		}
		p := f.peers[h.ID]
		if p == nil || p.Address != h.Address {
			p = &peer{overhead: firstOverhead, took: firstTook}
		}
		p.Host = h
		peers[h.ID] = p
	}
	f.peers = peers
	f.gatherersIn = map[core.DomainID]int{}
	for _, h := range ranked[:f.gatherers()] {
		f.gatherersIn[h.Domain]++
	}
	return true
}

// roleOf returns a host's role; a host that is not known gathers for itself.
func (f *fleet) roleOf(id core.HostID) Role {
	at := slices.IndexFunc(f.ranked, func(h Host) bool { return h.ID == id })
	switch {
	case at < f.gatherers():
		return Gatherer
	case at < len(f.handoverTargets()):
		return Standby
	default:
		return Entry
	}
}

// gatherers returns how many hosts send to upstreams in ordinary times.
func (f *fleet) gatherers() int { return min(f.strong, maxGatherers) }

// handoverTargets returns the hosts that requests are handed to, gatherers first.
func (f *fleet) handoverTargets() []Host {
	return f.ranked[:min(len(f.ranked), f.gatherers()+maxStandbys)]
}

// localTargets returns the other hosts of this host's failure domain that requests are
// handed to.
func (f *fleet) localTargets() []Host {
	return slices.DeleteFunc(slices.Clone(f.handoverTargets()), func(h Host) bool { return h.Domain != f.domain || h.ID == f.self })
}

// allowanceShare is this host's part of what the tier may spend beyond a ratio
// of its requests. Hosts that are not meant to gather have none.
func (f *fleet) allowanceShare() float64 {
	if f.role == Entry || len(f.ranked) == 0 {
		return 0
	}
	return 1 / float64(len(f.handoverTargets()))
}
