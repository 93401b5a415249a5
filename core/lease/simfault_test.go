package lease

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// callPlatform simulates a platform call: it takes effect after the outbound
// delay, and its reply may be lost or arrive after the call's timeout.
func (s *sim) callPlatform(h *simHost, c core.PlatformCall) {
	s.calls++
	unavailable := core.PlatformReply{Operation: c.Operation, Kind: core.PlatformUnavailable}
	there, back := s.jitter(s.callDelay), s.jitter(s.callDelay)
	s.after(there, func() {
		if s.unreachable(h) {
			s.after(back, func() { s.deliver(h, unavailable) })
			return
		}
		reply := s.apply(c)
		lost := s.random.Float64() < s.lostReplies || there+back > c.Timeout
		if lost {
			s.after(max(0, c.Timeout-there), func() { s.deliver(h, unavailable) })
			return
		}
		s.after(back, func() { s.deliver(h, reply) })
	})
}

func (s *sim) unreachable(h *simHost) bool {
	return s.down || s.cut[[2]core.HostID{h.members.Host, ""}]
}

func (s *sim) apply(c core.PlatformCall) core.PlatformReply {
	o, exists := s.objects[c.Key]
	if !exists {
		o.version = core.Position{Era: s.era}.Version()
	}
	reply := core.PlatformReply{Operation: c.Operation, Version: o.version}
	switch {
	case c.Op == core.PlatformGet && !exists:
		reply.Kind = core.UnknownName
	case c.Op == core.PlatformGet:
		reply.Value = o.value
	case o.version != c.Version:
		reply.Kind = core.Conflict
	default:
		reply.Version = o.version + 1
		s.objects[c.Key] = simObject{version: reply.Version, value: c.Value}
		s.notify(c.Key)
	}
	return reply
}

func (s *sim) notify(key string) {
	for _, name := range s.names {
		h := s.hosts[name]
		if !h.watching[key] {
			continue
		}
		s.after(s.jitter(s.callDelay), func() {
			o := s.objects[key]
			if !s.unreachable(h) {
				s.deliver(h, core.PlatformChanged{Key: key, Version: o.version, Value: o.value})
			}
		})
	}
}

// cutPeers cuts or heals a host's links to all other hosts.
func (s *sim) cutPeers(name core.HostID, on bool) {
	for _, other := range s.names {
		if other != name {
			s.cut[[2]core.HostID{name, other}] = on
			s.cut[[2]core.HostID{other, name}] = on
		}
	}
}

// writer returns the host at a rank in the order of preferred writers.
func (s *sim) writer(rank int) core.HostID { return s.hosts[s.names[0]].lease.ranking.hosts[rank] }

// domainOf returns all hosts in a host's failure domain.
func (s *sim) domainOf(name core.HostID) []core.HostID {
	domains := s.hosts[name].members.Domains
	other := func(h core.HostID) bool { return domains[h] != domains[name] }
	return slices.DeleteFunc(slices.Clone(s.names), other)
}

// heal ends outages, cut links, lost replies, slow calls and pauses. Crashed hosts
// stay down.
func (s *sim) heal() {
	clear(s.cut)
	s.down = false
	s.lostReplies = 0
	s.callDelay = 4 * time.Millisecond
	s.pauseAll(false)
	s.refreshViews()
}

func (s *sim) pauseAll(on bool) {
	for _, name := range s.names {
		if on || s.hosts[name].paused {
			s.pause(name, on)
		}
	}
}

// platformCalls counts the platform calls of all hosts.
func (s *sim) platformCalls() (reads, writes uint64) {
	for _, h := range s.hosts {
		reads += h.lease.Stats().Reads
		writes += h.lease.Stats().Writes
	}
	return reads, writes
}

// lostMemberships counts the memberships that running hosts lost.
func (s *sim) lostMemberships() int {
	total := 0
	for _, h := range s.hosts {
		total += int(h.lease.Stats().Lost)
	}
	return total
}

func (s *sim) crashAll(names ...core.HostID) {
	for _, name := range names {
		s.crash(name)
	}
}

// configure delivers a topology with the given number of services to all hosts.
func (s *sim) configure(services int) {
	generation := s.topology.Generation + 1
	s.topology = simTopology(services)
	s.topology.Generation = generation
	for _, name := range s.names {
		s.deliver(s.hosts[name], core.TopologyChanged{Topology: s.topology})
	}
}

// replaceWhilePaused pauses a process, starts another one for the same host, and
// resumes the first after its lease has expired. Both use the host's name.
func (s *sim) replaceWhilePaused(name core.HostID) {
	zombie := s.hosts[name]
	zombie.paused = true
	s.start(name)
	s.zombies = append(s.zombies, zombie)
	s.after(6*time.Second, func() { s.resume(zombie) })
	s.after(12*time.Second, func() { zombie.crashed = true })
}

func (s *sim) pauseFor(name core.HostID, wait, lasts time.Duration) {
	s.after(wait, func() { s.pause(name, true) })
	s.after(wait+lasts, func() { s.pause(name, false) })
}

// setRate changes the rate of a host's clock from now on; 1 is the rate of
// simulated time.
func (s *sim) setRate(name core.HostID, rate float64) {
	h := s.hosts[name]
	h.localStart = s.localTime(h)
	h.started = s.now
	h.rate = rate
}

func (s *sim) cutPlatform(name core.HostID, on bool) {
	s.cut[[2]core.HostID{name, ""}] = on
}
