package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

var zeroTime time.Time

// reconnectRounds is the number of rounds between two heartbeats to dead or
// unknown hosts, which detect that a network partition has healed.
const reconnectRounds = 4

// runRound updates the states of the peers and sends the heartbeats of one round.
func (m *Member) runRound(out *core.Actions) {
	m.nextRound = m.now.Add(m.config.Interval)
	m.rounds++
	m.updateStates()
	m.sequence++
	for _, p := range m.probeTargets() {
		m.probe(p, out)
	}
	m.requestHostList(out)
}

func (m *Member) probe(p *peer, out *core.Actions) {
	if p.unansweredSince.IsZero() && p.state != Unknown && p.state != Dead {
		p.unansweredSince = m.now
	}
	beat := &peerpb.Heartbeat{
		Sequence: m.sequence,
		Members:  m.deltas(),
		// Request all records from a host without a record and after a pause.
		Full: p.state == Unknown || m.stale,
	}
	if p.state == Suspect || p.state == Dead {
		beat.Members = append(beat.Members, p.record())
	}
	m.send(p, beat, out)
}

// updateStates changes silent peers from alive to suspect and from suspect to
// dead, and removes peers that have been dead for ForgetAfter.
func (m *Member) updateStates() {
	var expired []core.HostID
	for _, p := range m.order {
		// A peer becomes unreachable by the passing of time, without an event.
		m.liveOutdated = m.liveOutdated || p.unreachable(m.now, m.unreachableAfter())
		switch p.state {
		case Alive, Stopping:
			m.suspectIfSilent(p)
		case Suspect:
			if m.now.Sub(p.stateSince) >= m.config.DeadAfter {
				m.setState(p, Dead)
				m.stats.Deaths++
			}
		case Dead:
			if m.now.Sub(p.stateSince) >= m.config.ForgetAfter {
				expired = append(expired, p.info.Host)
			}
		}
	}
	for _, h := range expired {
		m.removePeer(h)
	}
}

func (m *Member) suspectIfSilent(p *peer) {
	silent := !p.unansweredSince.IsZero() && m.now.Sub(p.unansweredSince) >= m.config.SuspectAfter
	if !silent || p.refutedByGossip {
		return
	}
	m.stats.Suspicions++
	if p.state == Stopping {
		m.setState(p, Dead) // its stop was announced
		return
	}
	m.setState(p, Suspect)
}

// probeTargets returns the peers to probe in this round, without duplicates.
func (m *Member) probeTargets() []*peer {
	active := make([]*peer, 0, len(m.order))
	var outOfContact []*peer
	for _, p := range m.order {
		if p.state == Dead || p.state == Unknown {
			outOfContact = append(outOfContact, p)
		} else {
			active = append(active, p)
		}
	}
	chosen := active
	if len(active) > m.config.FullMeshLimit {
		chosen = m.sampleTargets(active)
	}
	return append(slices.Clone(chosen), m.reconnectTargets(outOfContact)...)
}

// sampleTargets returns the ring successors, one random peer and, up to
// FullMeshLimit, the peers with unanswered heartbeats.
func (m *Member) sampleTargets(active []*peer) []*peer {
	chosen := map[core.HostID]bool{}
	at, _ := slices.BinarySearchFunc(active, m.config.Self.Host, func(p *peer, h core.HostID) int {
		return cmp.Compare(p.info.Host, h)
	})
	for i := range m.config.RingSuccessors {
		chosen[active[(at+i)%len(active)].info.Host] = true
	}
	chosen[active[m.config.Random.IntN(len(active))].info.Host] = true
	var list []*peer
	for _, p := range active {
		if chosen[p.info.Host] || !p.unansweredSince.IsZero() && len(list) < m.config.FullMeshLimit {
			list = append(list, p)
		}
	}
	return list
}

// reconnectTargets returns the dead and unknown hosts to probe in this round. If
// there are at most FullMeshLimit of them, these are all of them, in each of the
// first rounds and then every reconnectRounds rounds; otherwise it is a random
// one every reconnectRounds rounds.
func (m *Member) reconnectTargets(outOfContact []*peer) []*peer {
	if len(outOfContact) == 0 {
		return nil
	}
	starting := m.rounds <= 2*reconnectRounds
	if len(outOfContact) <= m.config.FullMeshLimit && (starting || m.rounds%reconnectRounds == 0) {
		return outOfContact
	}
	if m.rounds%reconnectRounds != 0 {
		return nil
	}
	return []*peer{outOfContact[m.config.Random.IntN(len(outOfContact))]}
}

// requestHostList requests the platform's host list: once at the start, later
// only on a few hosts; the other hosts receive the changes by gossip.
func (m *Member) requestHostList(out *core.Actions) {
	if m.now.Before(m.nextHostList) {
		return
	}
	first := m.nextHostList.IsZero()
	m.nextHostList = m.now.Add(m.config.HostListInterval)
	if first || m.readsHostList() {
		m.stats.Lists++
		out.Add(core.ListHosts{})
	}
}

// readsHostList reports whether this host is one of the HostListReaders hosts
// that read the host list: the ones with the highest hashes.
func (m *Member) readsHostList() bool {
	own := xxhash.Sum64String(string(m.config.Self.Host))
	before := 0
	for _, h := range m.live {
		if xxhash.Sum64String(string(h)) > own {
			before++
		}
	}
	return before < m.config.HostListReaders
}
