package lease

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
)

// sim runs Leases in virtual time with a simulated network and platform into
// which faults can be injected. All randomness comes from one seed.
type sim struct {
	now      time.Time
	random   *rand.Rand
	topology *core.Topology
	hosts    map[core.HostID]*simHost
	names    []core.HostID
	zombies  []*simHost // processes that were replaced while paused
	queue    simQueue
	order    uint64
	objects  map[string]simObject
	era      uint64 // of the platform, 0 for the first
	calls    int

	cut             map[[2]core.HostID]bool // from, to; to "" is the platform
	loss, duplicate float64
	delay           time.Duration
	callDelay       time.Duration
	lostReplies     float64
	down            bool
	staticViews     bool          // the membership views no longer change
	drainTime       time.Duration // how long a holder takes to release

	// check runs after each event.
	check func()
}

type simObject struct {
	version uint64
	value   []byte
}

type simHost struct {
	lease   *Lease
	members *corefake.Membership
	rate    float64
	// started and localStart are the simulated time and the host's local time
	// when rate was set.
	started    time.Time
	localStart time.Time
	crashed    bool
	paused     bool
	inbox      []core.Event
	watching   map[string]bool
	draining   map[core.UpstreamID]bool
	timerAt    time.Time
	restarts   uint64
}

type simEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed uint64, hosts, services int) *sim {
	s := &sim{
		now: time.Unix(5000, 0), random: rand.New(rand.NewPCG(seed, 9)),
		topology: simTopology(services),
		hosts:    map[core.HostID]*simHost{},
		objects:  map[string]simObject{},
		cut:      map[[2]core.HostID]bool{},
		delay:    2 * time.Millisecond, callDelay: 4 * time.Millisecond,
		drainTime: 50 * time.Millisecond,
	}
	for i := range hosts {
		s.start(hostName(i))
	}
	return s
}

func hostName(i int) core.HostID { return core.HostID(fmt.Sprintf("host-%d", i)) }

func simConfig(name core.HostID) Config {
	return Config{
		Self: name, Incarnation: 1, Cell: "main", Random: rand.New(rand.NewPCG(1, 1)),
		Members: &corefake.Membership{Host: name},
	}
}

// simTopology returns a topology with two upstreams per service.
func simTopology(services int) *core.Topology {
	t := &core.Topology{
		Generation: 1,
		Services:   map[core.ServiceID]*core.Service{},
		Upstreams:  map[core.UpstreamID]*core.Upstream{},
	}
	for i := range services {
		id := core.ServiceID(fmt.Sprintf("search-%d", i))
		service := &core.Service{ID: id}
		for _, side := range []string{"a", "b"} {
			u := core.UpstreamID(fmt.Sprintf("%s-%s", id, side))
			t.Upstreams[u] = &core.Upstream{ID: u, Service: id}
			service.Upstreams = append(service.Upstreams, u)
		}
		t.Services[id] = service
	}
	return t
}

// start starts a new process on a host.
func (s *sim) start(name core.HostID) {
	if s.hosts[name] == nil {
		s.names = append(s.names, name)
	}
	h := &simHost{
		rate: 1, started: s.now, localStart: s.now,
		watching: map[string]bool{}, draining: map[core.UpstreamID]bool{},
		members: &corefake.Membership{Host: name, Domains: map[core.HostID]core.DomainID{}},
	}
	if old := s.hosts[name]; old != nil {
		h.restarts = old.restarts + 1
		h.rate = old.rate
	}
	s.hosts[name] = h
	config := simConfig(name)
	config.Incarnation = uint64(s.now.UnixMicro())
	config.Members = h.members
	config.Random = rand.New(rand.NewPCG(s.random.Uint64(), 1))
	h.lease, _ = New(config)
	s.refreshViews()
	s.step(h, core.TopologyChanged{Topology: s.topology})
}

// refreshViews sets the running hosts that are not stopping as live in every
// host's membership view.
func (s *sim) refreshViews() {
	if s.staticViews {
		return
	}
	var live []core.HostID
	for _, name := range s.names {
		if h := s.hosts[name]; !h.crashed && !h.lease.holder.stopping {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	for _, h := range s.hosts {
		h.members.Hosts = live
		for i, name := range s.names {
			h.members.Domains[name] = core.DomainID(fmt.Sprint("domain-", i%4))
		}
	}
}

// crash ends a host's process; the membership views follow after two seconds.
func (s *sim) crash(name core.HostID) {
	s.hosts[name].crashed = true
	s.after(2*time.Second, s.refreshViews)
}

func (s *sim) pause(name core.HostID, on bool) {
	h := s.hosts[name]
	if on {
		h.paused = true
		return
	}
	s.resume(h)
}

// resume resumes a paused host and delivers the events queued for it.
func (s *sim) resume(h *simHost) {
	h.paused = false
	if h.crashed {
		return
	}
	inbox := h.inbox
	h.inbox = nil
	for _, e := range inbox {
		s.step(h, e)
	}
	s.step(h, core.Tick{})
}

// localTime returns the time on a host's own clock.
func (s *sim) localTime(h *simHost) time.Time {
	return h.localStart.Add(time.Duration(float64(s.now.Sub(h.started)) * h.rate))
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.order, run: run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if s.check != nil {
			s.check()
		}
	}
	s.now = end
}

func (s *sim) deliver(h *simHost, e core.Event) {
	if h.paused {
		h.inbox = append(h.inbox, e)
		return
	}
	s.step(h, e)
}

func (s *sim) step(h *simHost, e core.Event) {
	if h.crashed || h.paused {
		return
	}
	var out core.Actions
	now := s.localTime(h)
	h.lease.Step(now, e, &out)
	s.drainShares(h)
	for _, a := range out.List {
		s.execute(h, a)
	}
	s.arm(h)
}

// arm sets the host's timer.
func (s *sim) arm(h *simHost) {
	next := h.lease.Next()
	if next.IsZero() {
		return
	}
	wait := max(0, time.Duration(float64(next.Sub(s.localTime(h)))/h.rate)+1)
	at := s.now.Add(wait)
	if at.Equal(h.timerAt) {
		return
	}
	h.timerAt = at
	s.after(wait, func() {
		if h.timerAt.Equal(at) {
			h.timerAt = time.Time{}
			s.step(h, core.Tick{})
		}
	})
}

// drainShares stands in for the owner role: it releases draining shares after
// drainTime.
func (s *sim) drainShares(h *simHost) {
	for _, id := range slices.Sorted(maps.Keys(s.topology.Upstreams)) {
		if !h.lease.Draining(id) || h.draining[id] {
			continue
		}
		h.draining[id] = true
		s.after(s.drainTime, func() {
			h.draining[id] = false
			if h.crashed || h.paused || !h.lease.Draining(id) {
				return
			}
			h.lease.Release(s.localTime(h), id, true, &core.Actions{})
			s.arm(h)
		})
	}
}

func (s *sim) execute(h *simHost, a core.Action) {
	from := h.members.Host
	switch a := a.(type) {
	case core.SendPeer:
		s.sendPeer(h, from, a)
	case core.PlatformCall:
		s.callPlatform(h, a)
	case core.WatchObject:
		h.watching[a.Key] = a.On
	}
}

func (s *sim) sendPeer(h *simHost, from core.HostID, a core.SendPeer) {
	message := core.PeerMessage{From: from, Incarnation: h.lease.config.Incarnation, Message: a.Message}
	copies := 1
	if a.To != from && s.random.Float64() < s.loss {
		copies = 0
	}
	if a.To != from && s.random.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		s.after(s.jitter(s.delay), func() {
			if a.To == from {
				s.deliver(h, message)
			} else if target := s.hosts[a.To]; target != nil && !s.cut[[2]core.HostID{from, a.To}] {
				s.deliver(target, message)
			}
		})
	}
}

func (s *sim) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

// exclusive returns the hosts that have the exclusive right to an upstream now,
// including crashed and paused ones.
func (s *sim) exclusive(id core.UpstreamID) []core.HostID {
	return s.hostsWhere(func(h *simHost) bool { return h.lease.ExclusiveUntil(id).After(s.localTime(h)) })
}

// warm returns the running hosts that may dispatch warm work now.
func (s *sim) warm(id core.UpstreamID) []core.HostID {
	return s.hostsWhere(func(h *simHost) bool {
		return !h.crashed && !h.paused && h.lease.Holds(s.localTime(h), id)
	})
}

func (s *sim) hostsWhere(test func(*simHost) bool) []core.HostID {
	var list []core.HostID
	for _, name := range s.names {
		if test(s.hosts[name]) {
			list = append(list, name)
		}
	}
	for _, h := range s.zombies {
		if test(h) {
			list = append(list, "former "+h.members.Host)
		}
	}
	return list
}

// checkSettled returns an error unless the cell is in the state that it must
// reach without faults: every upstream has one warm holder, the upstreams of a
// service are on different hosts, and all hosts agree on the owners.
func (s *sim) checkSettled() error {
	for _, id := range slices.Sorted(maps.Keys(s.topology.Services)) {
		seen := map[core.HostID]bool{}
		for _, u := range s.topology.Services[id].Upstreams {
			holders := s.warm(u)
			if len(holders) != 1 {
				return fmt.Errorf("%s has the holders %v", u, holders)
			}
			if seen[holders[0]] {
				return fmt.Errorf("both upstreams of %s are on %s", id, holders[0])
			}
			seen[holders[0]] = true
			for _, name := range s.names {
				h := s.hosts[name]
				if owner, _ := h.lease.OwnerOf(u); !h.crashed && owner != holders[0] {
					return fmt.Errorf("%s has %q as the owner of %s, want %s", name, owner, u, holders[0])
				}
			}
		}
	}
	return nil
}
