package scatter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// maxGatherers is the maximum number of hosts that send to upstreams in
	// normal operation. It keeps the total of their connections to one upstream
	// within its limit, however many hosts the tier has.
	maxGatherers = 12
	// maxStandbys is the maximum number of hosts that stay ready to replace
	// gatherers.
	maxStandbys = 4
	// strongShare is the share of the largest host's cores that makes a host
	// strong. Weak hosts gather only if no strong one is available.
	strongShare = 0.5
)

// Host is one host of the tier.
type Host struct {
	ID     core.HostID
	Domain core.DomainID
	// Address is the address on which other hosts connect to it.
	Address string
	// Cores is how many processor cores it may use.
	Cores float64
	// Partitioned is true if the host has registered that it reaches no upstreams.
	Partitioned bool
}

// Role is the part of a host in answering requests.
type Role int

// The roles of a host, by its rank among all.
const (
	// Gatherer hosts send to upstreams, for their own callers and for other
	// hosts.
	Gatherer Role = iota
	// Standby hosts hand requests over, and keep the same state as gatherers.
	Standby
	// Entry hosts hand requests over.
	Entry
)

var roleNames = [...]string{"gatherer", "standby", "entry"}

// String returns the role as the log prints it.
func (r Role) String() string { return roleNames[r] }

// RankHosts returns the hosts in the order in which they become gatherers: strong
// ones first, alternating between failure domains, so that hosts of adjacent
// ranks do not fail together. The order depends on the set of hosts only.
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

// rankReachable ranks hosts like RankHosts, but those that reach no upstreams last,
// unless none does.
func rankReachable(hosts []Host) (ranked []Host, strongHosts int) {
	var reachable, partitioned []Host
	for _, h := range hosts {
		if h.Partitioned {
			partitioned = append(partitioned, h)
		} else {
			reachable = append(reachable, h)
		}
	}
	if len(reachable) == 0 {
		return RankHosts(partitioned)
	}
	ranked, strongHosts = RankHosts(reachable)
	last, _ := RankHosts(partitioned)
	return append(ranked, last...), strongHosts
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

// fleet is this host's view of the hosts of the tier.
type fleet struct {
	self        core.HostID
	domain      core.DomainID
	ranked      []Host // by rankReachable
	strongHosts int    // how many of ranked are strong
	// registered are the hosts in the order of RankHosts, whether they reach the
	// upstreams or not. minTargets is how many of them requests would be handed
	// over to if all did.
	registered []Host
	minTargets int
	// selfRegistered is whether this host has a record, selfPartitioned whether that
	// says that it reaches no upstreams.
	selfRegistered, selfPartitioned bool
	role                            Role
	peers                           map[core.HostID]*peer
	// gatherersIn counts the gatherers by failure domain.
	gatherersIn map[core.DomainID]int
	// followed is true if other hosts follow this one.
	followed bool
	// silenceReports are the reports received about silent hosts, by their
	// sender, and reportedSilent is the last report of this host itself.
	silenceReports map[core.HostID]*silenceReport
	reportedSilent []core.HostID
}

func newFleet(self core.HostID, domain core.DomainID) *fleet {
	return &fleet{self: self, domain: domain, role: Gatherer, peers: map[core.HostID]*peer{}, silenceReports: map[core.HostID]*silenceReport{}}
}

// set replaces the hosts of the tier, and reports whether anything changed.
func (f *fleet) set(hosts []Host) bool {
	ranked, strongHosts := rankReachable(hosts)
	if slices.Equal(ranked, f.ranked) {
		return false
	}
	f.ranked, f.strongHosts = ranked, strongHosts
	f.setRegistered(hosts)
	at := f.indexOf(f.self)
	f.selfRegistered = at >= 0
	f.selfPartitioned = at >= 0 && ranked[at].Partitioned
	f.role = f.roleOf(f.self)
	peers := map[core.HostID]*peer{}
	for _, h := range f.handoverTargets() {
		if h.ID == f.self {
			continue
		}
		p := f.peers[h.ID]
		if p == nil || p.Address != h.Address {
			p = &peer{overhead: initialOverhead, latency: initialPeerLatency}
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

// setRegistered ranks the registered hosts. The slice is kept if only their
// connectivity has changed.
func (f *fleet) setRegistered(hosts []Host) {
	hosts = slices.Clone(hosts)
	for i := range hosts {
		hosts[i].Partitioned = false
	}
	registered, strong := RankHosts(hosts)
	if !slices.Equal(registered, f.registered) {
		f.registered = registered
	}
	f.minTargets = min(len(registered), min(strong, maxGatherers)+maxStandbys)
}

// partitioned counts the hosts that are registered as reaching no upstreams.
func (f *fleet) partitioned() (count int) {
	for _, h := range f.ranked {
		if h.Partitioned {
			count++
		}
	}
	return count
}

// roleOf returns a host's role. A host that is not in the list is a gatherer, so
// that it can answer its own callers.
func (f *fleet) roleOf(id core.HostID) Role {
	at := f.indexOf(id)
	switch {
	case at < f.gatherers():
		return Gatherer
	case at < len(f.handoverTargets()):
		return Standby
	default:
		return Entry
	}
}

// indexOf returns the index of a host in the order of RankHosts, -1 if it is not
// registered.
func (f *fleet) indexOf(id core.HostID) int {
	return slices.IndexFunc(f.ranked, func(h Host) bool { return h.ID == id })
}

// place returns the index of this host, or the number of hosts if it is not
// registered.
func (f *fleet) place() int {
	if at := f.indexOf(f.self); at >= 0 {
		return at
	}
	return len(f.ranked)
}

// gatherers returns how many hosts send to upstreams in normal operation.
func (f *fleet) gatherers() int { return min(f.strongHosts, maxGatherers) }

// handoverTargets returns the hosts to which requests may be handed over,
// gatherers first.
func (f *fleet) handoverTargets() []Host {
	return f.ranked[:min(len(f.ranked), f.gatherers()+maxStandbys)]
}

// localTargets returns the other hosts of this host's failure domain to which
// requests may be handed over.
func (f *fleet) localTargets() []Host {
	return slices.DeleteFunc(slices.Clone(f.handoverTargets()), func(h Host) bool { return h.Domain != f.domain || h.ID == f.self })
}

// allowanceShare returns the share of each host but entry hosts of the extra sends that the
// tier may make beyond a ratio of its requests. The shares do not grow while hosts are
// partitioned, since those may have used theirs shortly before.
func (f *fleet) allowanceShare() float64 {
	if len(f.ranked) == 0 {
		return 0
	}
	return 1 / float64(max(f.minTargets, len(f.handoverTargets())))
}
