package scatter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// cutKind is how the connections of a host to all upstreams fail.
type cutKind int

const (
	noCut   cutKind = iota
	hangs           // nothing arrives, and no connection opens
	resets          // open connections are reset, new ones hang
	refuses         // open connections are reset, new ones refused
	spares          // open connections work, new ones are refused
)

var cutNames = [...]string{"none", "hangs", "resets", "refuses", "spares open connections"}

const (
	simDialTimeout  = 500 * ms
	simCheckTimeout = 300 * ms
	// simRegister is how long a host takes to store its record, simSpread the
	// longest time until another host has read it.
	simRegister = 100 * ms
	simSpread   = 500 * ms
	// simCloseShare is the share of answers after which an upstream closes the
	// connection.
	simCloseShare = 0.05
)

// firstTries counts callers' first tries, and those that were served.
type firstTries struct{ asked, served int }

// partition cuts hosts off from all upstreams, and lets them reach these again
// after a while; 0 is never.
func (s *tier) partition(kind cutKind, d time.Duration, hosts ...int) {
	for _, i := range hosts {
		s.cuts[s.hosts[i].ID] = kind
		s.cutAt[s.hosts[i].ID] = s.now
		if d > 0 {
			s.later.Add(s.now.Add(d), func() { delete(s.cuts, s.hosts[i].ID) })
		}
	}
}

// cutSend returns how a send of a host that is cut off ends.
func (s *tier) cutSend(kind cutKind, sender core.HostID, send scatter.Send) (time.Duration, scatter.Outcome) {
	link := simLink{sender, send.Target.ID}
	open := s.open[link]
	delete(s.open, link)
	left := send.Deadline.Sub(s.now)
	switch {
	case kind == hangs && open:
		return left, scatter.Lost
	case kind == hangs || kind == resets:
		return min(left, simDialTimeout), scatter.Unreached
	default:
		return simNetwork, scatter.Unreached
	}
}

// lostAfter returns when an attempt in flight is lost after its host was cut off.
func (s *tier) lostAfter(kind cutKind, send scatter.Send) time.Duration {
	if kind == hangs {
		return max(0, send.Deadline.Sub(s.now))
	}
	return 0
}

// check returns how a check of an upstream by a host ends.
func (s *tier) check(by core.HostID) (time.Duration, scatter.CheckResult) {
	switch s.cuts[by] {
	case noCut:
		return 2 * simNetwork, scatter.UpstreamListens
	case refuses, spares:
		return 2 * simNetwork, scatter.UpstreamRefuses
	default:
		return simCheckTimeout, scatter.CheckFailed
	}
}

// register stores a host's record again if it is outdated, once the store is
// reachable. Each host reads the change after a delay of its own.
func (s *tier) register(i int) {
	if s.registering[i] || s.engines[i] == nil || !s.engines[i].RegistrationOutdated() {
		return
	}
	s.registering[i] = true
	s.later.Add(s.now.Add(simRegister), func() {
		s.registering[i] = false
		if s.storeAway || s.engines[i] == nil || !s.engines[i].RegistrationOutdated() {
			return // the next step registers again
		}
		s.hosts[i].Partitioned = s.engines[i].Partitioned()
		s.publishHosts()
	})
}

// publishHosts tells all hosts of the changed list of hosts.
func (s *tier) publishHosts() {
	seen := scatter.HostsSeen{Hosts: slices.Clone(s.hosts)}
	s.state[0] = seen
	for i, e := range s.engines {
		s.later.Add(s.now.Add(time.Duration(s.random.Int64N(int64(simSpread)))), func() {
			if e != nil && s.engines[i] == e && !s.storeAway {
				s.step(i, s.state[0])
			}
		})
	}
}

// engineOf returns the engine of a host, nil if it is down or unknown.
func (s *tier) engineOf(id core.HostID) *scatter.Engine {
	if i := slices.IndexFunc(s.hosts, func(h scatter.Host) bool { return h.ID == id }); i >= 0 {
		return s.engines[i]
	}
	return nil
}

// domainOf returns the failure domain of a host.
func (s *tier) domainOf(id core.HostID) core.DomainID {
	return s.hosts[slices.IndexFunc(s.hosts, func(h scatter.Host) bool { return h.ID == id })].Domain
}

// countFirstTries counts first tries by whether their host was cut off, from the
// contact time after the cut on.
func (s *tier) countFirstTries() {
	s.cutTries, s.otherTries = firstTries{}, firstTries{}
	s.counting = true
}

const (
	// Callers of hosts that are cut off must be served two thirds as often as the
	// others, from partitionContact after the cut on, or at most tolerableFailures
	// plus one in fifty of all first tries may fail there.
	partitionContact  = 4 * time.Second
	minRelativeServed = 2.0 / 3
	tolerableFailures = 10
)

// wantPartitionMet checks that callers of hosts that are cut off were served about
// as often as the others.
func (s *tier) wantPartitionMet(t *testing.T) {
	t.Helper()
	cut, others := s.cutTries, s.otherTries
	share := func(f firstTries) float64 { return float64(f.served) / float64(max(1, f.asked)) }
	t.Logf("first tries served: %d of %d at hosts that are cut off, %d of %d at the others", cut.served, cut.asked, others.served, others.asked)
	if cut.asked == 0 {
		t.Error("no host that is cut off was asked: the test checks nothing")
	}
	failed := float64(cut.asked - cut.served)
	if share(cut) < minRelativeServed*share(others) && failed > tolerableFailures+float64(cut.asked+others.asked)/50 {
		t.Errorf("%d of %d first tries served at hosts that are cut off, %d of %d at the others", cut.served, cut.asked, others.served, others.asked)
	}
}

// TestCallersOfPartitionedHostsAreServed: callers of hosts that reach the other
// hosts but no upstream are served like those of the others (incident RECOVER).
func TestCallersOfPartitionedHostsAreServed(t *testing.T) {
	for _, kind := range []cutKind{hangs, resets, refuses, spares} {
		for _, tt := range []struct {
			hosts int
			cut   []int
		}{
			{8, []int{0}},
			{8, []int{0, 1, 3, 4, 6}},     // most
			{8, []int{0, 3, 6}},           // a failure domain
			{60, indicesBelow(60, 0.6)},   // most
			{195, indicesBelow(195, 0.6)}, // most
		} {
			t.Run(fmt.Sprintf("%s/%d of %d", cutNames[kind], len(tt.cut), tt.hosts), func(t *testing.T) {
				t.Parallel()
				s := newTier(tt.hosts, 10, simSweep, simQuick)
				s.enableRelay()
				s.offer(60, 2*time.Second, simMix...)
				s.partition(kind, 0, tt.cut...)
				s.offer(60, partitionContact-2*time.Second, simMix...)
				s.countFirstTries()
				s.offer(60, 8*time.Second, simMix...)
				s.wantPartitionMet(t)
			})
		}
	}
}

// indicesBelow returns about the given share of n indices, spread evenly.
func indicesBelow(n int, share float64) (list []int) {
	for i := range n {
		if int(float64(i+1)*share) > int(float64(i)*share) {
			list = append(list, i)
		}
	}
	return list
}

// TestPartitionedRelayDiscreditsNoUpstream: parts that a relay cannot send are sent
// directly, and their upstreams are not taken for failed ones.
func TestPartitionedRelayDiscreditsNoUpstream(t *testing.T) {
	t.Parallel()
	for _, kind := range []cutKind{hangs, resets, refuses, spares} {
		s := newTier(8, 10, simSweep, simQuick)
		s.enableRelay()
		s.offer(60, 2*time.Second, simMix...)
		s.partition(kind, 0, 0, 3, 6)
		suspected := 0
		s.noted = func(by core.HostID, n scatter.Note) {
			if n.Decision == scatter.DecisionUpstreamSuspected && s.cuts[by] == noCut {
				suspected++
			}
		}
		s.offer(60, 4*time.Second, simMix...)
		if suspected > 0 {
			t.Errorf("%s: hosts that reach all upstreams suspected some %d times", cutNames[kind], suspected)
		}
	}
}

// cutOff makes all connections of the rig's host fail, or work again.
func (r *rig) cutOff(cut bool) {
	r.refuses, r.serve = nil, nil
	if cut {
		r.refuses = func(core.UpstreamID) bool { return true }
		r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return ms, scatter.Unreached }
	}
}

// TestFailedUpstreamsAreNoPartition: a host does not take itself for partitioned
// while most of the upstreams are down, nor when it alone was suspended.
func TestFailedUpstreamsAreNoPartition(t *testing.T) {
	down := func(id core.UpstreamID) bool { return id[len(id)-1] == 'a' || id < "shard04" }
	r := newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	r.refuses = down
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if down(s.Target.ID) {
			return ms, scatter.Unreached
		}
		return 10 * ms, scatter.Succeeded
	}
	for range 200 {
		r.ask(gatherPath)
		r.run(20 * ms)
	}
	if r.engine.Partitioned() {
		t.Error("partitioned, though upstreams answer")
	}
	if n := r.connectivityChecks; n == 0 || n > 40 {
		t.Errorf("%d checks in 4 s", n)
	}

	r = newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	r.ask(gatherPath)
	r.now = r.now.Add(time.Minute) // what is due meanwhile comes late
	r.run(time.Second)
	if r.engine.Partitioned() {
		t.Error("partitioned after a suspension")
	}
}

// TestPartitionedHostWithoutOthersRefusesAtOnce: requests that neither this host nor
// another one can serve do not wait for their deadlines, and are served soon after
// the upstreams are reached again, whatever was concluded about these meanwhile.
func TestPartitionedHostWithoutOthersRefusesAtOnce(t *testing.T) {
	for _, path := range []string{gatherPath, fetchPath, orderPath} {
		r := newRig(t)
		r.configure(1, 10)
		r.warmUp(gatherPath, 10*ms)
		r.cutOff(true)
		r.ask(gatherPath)
		r.run(2 * time.Second)
		if !r.engine.Partitioned() {
			t.Fatal("not partitioned")
		}
		refused := 0
		for range 50 {
			call := r.ask(path)
			r.run(20 * ms)
			if a, found := r.answers[call]; found && a.Kind == scatter.Refused && a.RetryAfter > 0 {
				refused++
			}
		}
		if refused < 40 {
			t.Errorf("%s: %d of 50 requests refused at once", path, refused)
		}
		r.cutOff(false)
		r.run(1500 * ms)
		for range 10 {
			call := r.ask(path)
			r.run(50 * ms)
			if a := r.answers[call]; a.Kind != scatter.Gathered && a.Kind != scatter.PassedOn || a.Missing > 0 {
				t.Errorf("%s: %v without %d parts after the partition", path, a.Kind, a.Missing)
			}
		}
	}
}

// TestPartitionedHostTakesNoWork: a partitioned host declines what other hosts hand
// over, and hands nothing of it on.
func TestPartitionedHostTakesNoWork(t *testing.T) {
	r := newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 5 * ms, scatter.Succeeded }
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}, {ID: "host-2", Domain: "d2", Cores: 1}}})
	r.cutOff(true)
	r.ask(gatherPath)
	r.run(2 * time.Second)
	r.handovers, r.sends = nil, nil
	for _, stale := range []bool{false, true} {
		r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, FromHost: true, AllowStale: stale}), scatter.Declined)
	}
	if len(r.handovers) > 0 || len(r.sends) > 0 {
		t.Errorf("%d handovers and %d sends for requests of other hosts", len(r.handovers), len(r.sends))
	}
	call := r.ask(orderPath)
	r.run(50 * ms)
	r.want(call, scatter.PassedOn)
	if len(r.handovers) != 1 || r.handovers[0].Repeat {
		t.Errorf("the host's own request was handed over as %+v", r.handovers)
	}
}

// TestPartitionQuarantinesNoRequest: answers that a host loses because its own
// connections are reset, and connections that are then refused to it, do not count
// against the requests that ran.
func TestPartitionQuarantinesNoRequest(t *testing.T) {
	for _, path := range []string{gatherPath, fetchPath, orderPath} {
		r := newRig(t)
		r.configure(1, 10)
		r.warmUp(gatherPath, 10*ms)
		r.step(scatter.SuspectsSeen{})
		for range 3 {
			r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 5 * ms, scatter.Lost }
			call := scatter.RequestArrived{Path: path, Budget: time.Second, Fingerprint: core.FingerprintOf([]byte(path))}
			r.arrive(call)
			r.cutOff(true)
			r.run(3 * time.Second)
			r.cutOff(false)
			r.run(3 * time.Second)
			last := r.arrive(call)
			r.run(50 * ms)
			if a := r.answers[last]; a.Kind == scatter.Refused {
				t.Errorf("%s: refused after the partition", path)
			}
		}
		if stats := r.engine.Stats(); stats.Accused > 0 || len(r.storedSuspects) > 0 {
			t.Errorf("%s: %d upstreams held to have crashed under requests", path, stats.Accused)
		}
	}
}

// TestRequestsInFlightAreMovedFromAPartitionedHost: requests that were sent when a
// host lost its links to the upstreams are answered by another host, unless they
// may have run and must not run again.
func TestRequestsInFlightAreMovedFromAPartitionedHost(t *testing.T) {
	for _, fromHost := range []bool{false, true} {
		for _, path := range []string{gatherPath, fetchPath, orderPath} {
			r := newRig(t)
			r.configure(1, 10)
			r.warmUp(gatherPath, 10*ms)
			r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 5 * ms, scatter.Succeeded }
			r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}, {ID: "host-2", Domain: "d2", Cores: 1}}})
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return s.Deadline.Sub(r.now), scatter.Lost }
			r.refuses = func(core.UpstreamID) bool { return true }
			call := r.arrive(scatter.RequestArrived{Path: path, Budget: 5 * time.Second, FromHost: fromHost})
			for range 5 {
				r.ask(gatherPath)
			}
			r.run(600 * ms)
			answer, found := r.answers[call]
			switch {
			case path == orderPath && found:
				t.Errorf("%s: %v before its deadline, though it may be running", path, answer.Kind)
			case path == orderPath:
			case !found:
				t.Errorf("%s, from another host %v: not answered", path, fromHost)
			case fromHost && answer.Kind != scatter.Interrupted, !fromHost && answer.Kind != scatter.PassedOn:
				t.Errorf("%s, from another host %v: %v", path, fromHost, answer.Kind)
			}
			for _, h := range r.handovers {
				if h.Call == call && (path == orderPath || fromHost || !h.Repeat) {
					t.Errorf("%s, from another host %v: handed over as %+v", path, fromHost, h)
				}
			}
		}
	}
}

// TestOpenConnectionsServeWhenAllHostsArePartitioned: while new connections are
// refused to all hosts, most requests are served over those that are open, which
// belong to the hosts that relay for each other.
func TestOpenConnectionsServeWhenAllHostsArePartitioned(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := newTier(8, 10, simSweep, simQuick)
		s.random = rand.New(rand.NewPCG(seed, 3))
		s.enableRelay()
		s.closeShare = 0
		s.offer(60, 6*time.Second, simMix...)
		for link := range s.open { // only relays have connections
			if s.domainOf(link.host) != s.upstreams[link.to].domain {
				delete(s.open, link)
			}
		}
		s.partition(spares, 0, 0, 1, 2, 3, 4, 5, 6, 7)
		s.countFirstTries()
		s.offer(60, 4*time.Second, simMix...)
		if tries := s.cutTries; float64(tries.served) < minRelativeServed*float64(tries.asked) {
			t.Errorf("%d of %d first tries served", tries.served, tries.asked)
		}
	}
}

// targets returns the indices of the hosts to which requests are handed over.
func (s *tier) targets() (list []int) {
	ranked, _ := scatter.RankHosts(s.hosts)
	for _, h := range ranked[:min(len(ranked), simTargets)] {
		list = append(list, slices.IndexFunc(s.hosts, func(other scatter.Host) bool { return other.ID == h.ID }))
	}
	return list
}

// simTargets is the number of gatherers and standbys.
const simTargets = 16

// TestOthersGatherForPartitionedGatherers: when all gatherers and standbys are cut
// off, other hosts take their place, and give it up when these have returned.
func TestOthersGatherForPartitionedGatherers(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{30, 195} {
		s := newTier(hosts, 10, simSweep, simQuick)
		s.enableRelay()
		s.offer(60, 2*time.Second, simMix...)
		s.partition(hangs, 14*time.Second, s.targets()...)
		s.offer(60, partitionContact-2*time.Second, simMix...)
		s.countFirstTries()
		s.offer(60, 6*time.Second, simMix...)
		s.wantPartitionMet(t)
		if others := s.otherTries; others.served*20 < others.asked*19 {
			t.Errorf("%d hosts: %d of %d first tries served at hosts that are not cut off", hosts, others.served, others.asked)
		}
		s.offer(60, 8*time.Second, simMix...)
		for _, i := range s.targets() {
			if s.engines[i].Role() == scatter.Entry || s.engines[i].Partitioned() {
				t.Errorf("%d hosts: %s has no role after the partition", hosts, s.hosts[i].ID)
			}
		}
	}
}

// TestColdRateHoldsWhileHostsArePartitioned: hosts that take over the share of a cold
// upstream's rate from partitioned hosts, and these when they return, do not send
// more than it bears together. It is used although the hosts that send to it at
// other times are cut off.
func TestColdRateHoldsWhileHostsArePartitioned(t *testing.T) {
	t.Parallel()
	const (
		overshoot     = 1.5
		slack         = 5
		minUsed       = 1.0 / 3 // of what the rates allow
		partitionTime = 3 * time.Second
	)
	for _, kind := range []cutKind{hangs, refuses} {
		used, allowed := 0.0, 0.0
		for seed := range uint64(10) {
			s := newTier(12, 6, simSweep, simQuick)
			s.random = rand.New(rand.NewPCG(seed, 7))
			s.enableRelay()
			s.offer(60, 2*time.Second, simMix...)
			s.setCold(s.id(0, 0), time.Minute)
			s.setCold(s.id(0, 1), time.Minute)
			for range 4 {
				var cut []int
				for i := range s.hosts {
					if s.random.Float64() < 0.6 {
						cut = append(cut, i)
					}
				}
				s.partition(kind, partitionTime, cut...)
				s.offer(60, 6*time.Second, simMix...)
			}
			for n := range 2 {
				u := s.upstreams[s.id(0, n)]
				if most := mostWithin(u.arrivals, time.Second); float64(most) > simColdRate*overshoot+slack {
					t.Errorf("%s, seed %d: %d requests in a second to an upstream that bears %v", cutNames[kind], seed, most, simColdRate)
				}
				used += float64(len(u.arrivals))
				allowed += simColdRate * 24
			}
		}
		if used < minUsed*allowed {
			t.Errorf("%s: cold upstreams got %v requests in all, of %v that they bear", cutNames[kind], used, allowed)
		}
	}
}

// setCold makes an upstream cold for a while.
func (s *tier) setCold(id core.UpstreamID, d time.Duration) {
	s.upstreams[id].cold = true
	listed := s.state[1].(scatter.UpstreamsListed).Upstreams
	at := slices.IndexFunc(listed, func(u scatter.Upstream) bool { return u.ID == id })
	listed[at].ColdFor = d
	for i := range s.engines {
		s.step(i, scatter.UpstreamSeen{Upstream: listed[at]})
	}
}

// mostWithin returns the greatest number of arrivals within a time.
func mostWithin(arrivals []simArrival, d time.Duration) (most int) {
	first := 0
	for i, a := range arrivals {
		for a.at.Sub(arrivals[first].at) > d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestHostThatReplacesAnotherHoldsBackExtraSends: the allowance for extra sends that
// a partitioned host has spent must not be spent again by the host in its place.
func TestHostThatReplacesAnotherHoldsBackExtraSends(t *testing.T) {
	r := newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	hosts := []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 0.1}}
	for i := range simTargets {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("strong-", i)), Domain: "d2", Cores: 1})
	}
	r.step(scatter.HostsSeen{Hosts: slices.Clone(hosts)})
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 5 * ms, scatter.Succeeded }
	if r.engine.Role() != scatter.Entry {
		t.Fatalf("role %v", r.engine.Role())
	}
	for i := range hosts[1:] {
		hosts[i+1].Partitioned = true
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	if r.engine.Role() != scatter.Gatherer {
		t.Fatalf("role %v, though no other host reaches the upstreams", r.engine.Role())
	}
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 5 * ms, scatter.Failed }
	extra := func() int {
		before := len(r.sends)
		const requests = 40
		for range requests {
			r.ask(fetchPath)
			r.run(10 * ms)
		}
		return len(r.sends) - before - requests
	}
	early := extra()
	r.run(2 * r.options.Extra.Window)
	if late := extra(); early >= late {
		t.Errorf("%d extra sends shortly after the change, %d long after", early, late)
	}
}

// TestHostsWithOpenConnectionsServeOthers: when all hosts are partitioned, those whose
// connections are still open also serve the callers of those that have none.
func TestHostsWithOpenConnectionsServeOthers(t *testing.T) {
	t.Parallel()
	for _, kind := range []cutKind{hangs, resets} {
		s := newTier(8, 10, simSweep, simQuick)
		s.enableRelay()
		s.closeShare = 0.01
		s.offer(40, 6*time.Second, simMix...)
		s.partition(spares, 0, 1, 2, 4, 5, 7)
		s.partition(kind, 0, 0, 3, 6)
		s.offer(40, time.Second, simMix...)
		s.countFirstTries()
		s.countSpared = true
		s.offer(40, 5*time.Second, simMix...)
		s.wantPartitionMet(t)
	}
}

// TestSilentUpstreamsAreNotTried: a host whose connections hang, and that no other
// host relieves, refuses all requests at once and holds none until its deadline.
func TestSilentUpstreamsAreNotTried(t *testing.T) {
	t.Parallel()
	s := newTier(8, 10, simSweep, simQuick)
	s.enableRelay()
	s.offer(60, 2*time.Second, simMix...)
	s.partition(hangs, 0, 0, 1, 2, 3, 4, 5, 6, 7)
	s.offer(60, 2*time.Second, simMix...)
	sends := 0
	s.noted = func(_ core.HostID, n scatter.Note) {
		if n.Decision == scatter.DecisionAttemptFailed {
			sends++
		}
	}
	got := s.offer(60, 3*time.Second, simMix...)
	for path, r := range got {
		if r.refused < r.asked {
			t.Errorf("%s: %+v", path, *r)
		}
	}
	if sends > 0 {
		t.Errorf("%d failed attempts", sends)
	}
}

// TestSilentPartitionIsNoticedEarly: a host that gets no answer at all has checked its
// links before the callers of short requests have given up.
func TestSilentPartitionIsNoticedEarly(t *testing.T) {
	const noticedWithin = 150 * ms
	r := newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return s.Deadline.Sub(r.now), scatter.Lost }
	r.refuses = func(core.UpstreamID) bool { return true }
	for range 15 {
		r.ask(gatherPath)
		r.run(10 * ms)
	}
	if !r.engine.Partitioned() {
		t.Errorf("not noticed within %v", noticedWithin)
	}
}

// TestPartitionEndsWhileManyUpstreamsAreDown: a host serves again soon after it reaches
// the upstreams, although most of them have crashed meanwhile.
func TestPartitionEndsWhileManyUpstreamsAreDown(t *testing.T) {
	r := newRig(t)
	r.configure(1, 10)
	r.warmUp(gatherPath, 10*ms)
	r.cutOff(true)
	r.ask(gatherPath)
	r.run(2 * time.Second)
	if !r.engine.Partitioned() {
		t.Fatal("not partitioned")
	}
	r.cutOff(false)
	r.refuses = func(id core.UpstreamID) bool { return id[len(id)-1] == 'a' || id < "shard05" }
	r.run(3 * time.Second)
	if r.engine.Partitioned() {
		t.Error("still partitioned, though upstreams can be reached")
	}
}

// TestIsolatedDomainIsNoPartition: a host that still reaches the upstreams of its own
// failure domain, as when the domain is cut off from the others, is not partitioned.
func TestIsolatedDomainIsNoPartition(t *testing.T) {
	r := newRig(t)
	r.configure(1, 20)
	var entries []scatter.Upstream
	for i := range 100 { // most upstreams are in other domains
		u := pair(core.ServiceID(fmt.Sprintf("other%02d", i)))[1]
		entries = append(entries, u)
		r.step(scatter.UpstreamSeen{Upstream: u})
	}
	near := func(id core.UpstreamID) bool { return id[len(id)-1] == 'a' }
	r.warmUp(gatherPath, 10*ms)
	for i := range 5 {
		r.step(scatter.UpstreamRemoved{ID: core.UpstreamID(fmt.Sprintf("shard%02d-a", i))})
		r.run(time.Second)
	}
	r.refuses = func(id core.UpstreamID) bool { return !near(id) }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if near(s.Target.ID) {
			return 10 * ms, scatter.Succeeded
		}
		return ms, scatter.Unreached
	}
	for range 300 {
		r.ask(gatherPath)
		r.run(20 * ms)
		if r.engine.Partitioned() {
			t.Fatalf("partitioned, though upstreams of the own domain answer, and %d others do not", len(entries))
		}
	}
	if r.connectivityChecks == 0 {
		t.Error("no upstream failed: the test checks nothing")
	}
}
