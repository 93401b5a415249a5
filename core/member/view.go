package member

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Stats holds counters since the start of the process.
type Stats struct {
	Sent, Received                  uint64
	Suspicions, Deaths, Refutations uint64
	Pauses                          uint64
	// Lists counts reads of the platform's host list.
	Lists uint64
}

// HostStatus is the status of one host for operators.
type HostStatus struct {
	core.HostInfo
	State            State
	Incarnation      uint64
	ConfigGeneration uint64
	LeaseVersion     uint64
}

// Self returns this host.
func (m *Member) Self() core.HostID { return m.config.Self.Host }

// Live returns the hosts considered alive and not stopping, sorted. The returned
// slice is never modified; a change replaces it.
func (m *Member) Live() []core.HostID { return m.live }

// IsLive reports whether a host is in Live.
func (m *Member) IsLive(h core.HostID) bool {
	_, found := slices.BinarySearch(m.live, h)
	return found
}

// DomainOf returns a host's failure domain; empty when unknown.
func (m *Member) DomainOf(h core.HostID) core.DomainID {
	if h == m.config.Self.Host {
		return m.config.Self.Domain
	}
	if p := m.peers[h]; p != nil {
		return p.info.Domain
	}
	return ""
}

// Address returns the address to dial for a host; empty when unknown.
func (m *Member) Address(h core.HostID) string {
	if h == m.config.Self.Host {
		return m.config.Self.Address
	}
	if p := m.peers[h]; p != nil {
		return p.info.Address
	}
	return ""
}

// Hosts returns every known host that is not dead, without this one, sorted.
func (m *Member) Hosts() []core.HostInfo {
	var hosts []core.HostInfo
	for _, p := range m.order {
		if p.state == Dead {
			continue
		}
		info := p.info
		info.Leaving = p.state == Stopping
		hosts = append(hosts, info)
	}
	return hosts
}

// Generations returns the last received configuration generation in force on
// each host that is not dead or unknown, including this one.
func (m *Member) Generations() map[core.HostID]uint64 {
	all := map[core.HostID]uint64{m.config.Self.Host: m.configGeneration}
	for h, p := range m.peers {
		if p.state != Dead && p.state != Unknown {
			all[h] = p.configGeneration
		}
	}
	return all
}

// Stale reports whether this host was paused and has received no heartbeat since.
func (m *Member) Stale() bool { return m.stale }

// Stats returns the counters.
func (m *Member) Stats() Stats { return m.stats }

// Status returns the status of every other host, sorted by name.
func (m *Member) Status() []HostStatus {
	var all []HostStatus
	for _, p := range m.order {
		all = append(all, HostStatus{
			HostInfo:         p.info,
			State:            p.state,
			Incarnation:      p.incarnation,
			ConfigGeneration: p.configGeneration,
			LeaseVersion:     p.leaseVersion,
		})
	}
	return all
}

// unreachableAfter returns after which time without an answer a host is removed
// from this host's live list even if other hosts can reach it.
func (m *Member) unreachableAfter() time.Duration {
	return m.config.SuspectAfter + m.config.DeadAfter
}

// rebuildLive replaces the list of live hosts if it changed.
func (m *Member) rebuildLive() {
	m.liveOutdated = false
	live := make([]core.HostID, 0, len(m.live)+1)
	for _, p := range m.order {
		if p.live(m.now, m.unreachableAfter()) {
			live = append(live, p.info.Host)
		}
	}
	if m.state != Stopping {
		at, _ := slices.BinarySearch(live, m.config.Self.Host)
		live = slices.Insert(live, at, m.config.Self.Host)
	}
	if !slices.Equal(live, m.live) {
		m.live = live
	}
}
