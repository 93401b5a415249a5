package member

import (
	"cmp"
	"slices"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// repairRecords is how many records a heartbeat carries in round-robin order,
// whether changed or not, to repair lost gossip.
const repairRecords = 1

// handleHeartbeat applies the records of a heartbeat and acknowledges it.
func (m *Member) handleHeartbeat(e core.PeerMessage, beat *peerpb.Heartbeat, out *core.Actions) {
	if e.From == m.config.Self.Host {
		return
	}
	m.stats.Received++
	m.stale = false
	wrongAboutSelf := false
	for _, r := range beat.GetMembers() {
		wrongAboutSelf = m.applyRecord(r, e.From) || wrongAboutSelf
	}
	p := m.peers[e.From]
	if p == nil {
		return
	}
	m.liveOutdated = m.liveOutdated || p.unreachable(m.now, m.unreachableAfter())
	p.unansweredSince = zeroTime
	p.refutedByGossip = false
	p.configGeneration = beat.GetConfigGeneration()
	p.leaseVersion = beat.GetLeaseVersion()
	if !beat.GetAck() {
		m.acknowledge(p, beat, wrongAboutSelf, out)
	}
}

// applyRecord applies one record, which the host from sent. It reports whether
// the record is about this host and wrong.
func (m *Member) applyRecord(r *peerpb.MemberState, from core.HostID) (wrongAboutSelf bool) {
	host := core.HostID(r.GetHost())
	if host == m.config.Self.Host {
		return m.refute(r)
	}
	state := State(r.GetState())
	if state <= Unknown || state > Dead {
		return false
	}
	p := m.addPeer(core.HostInfo{
		Host:    host,
		Address: r.GetAddress(),
		Domain:  core.DomainID(r.GetDomain()),
	})
	if p == nil {
		return false
	}
	if r.GetIncarnation() == p.incarnation {
		p.configGeneration = max(p.configGeneration, r.GetConfigGeneration())
	}
	if !p.supersededBy(r) {
		return false
	}
	refuted := state == Alive && (p.state == Suspect || p.state == Dead)
	p.refutedByGossip = refuted && host != from && !p.unansweredSince.IsZero()
	p.incarnation = r.GetIncarnation()
	p.configGeneration = r.GetConfigGeneration()
	p.info.Address = r.GetAddress()
	p.info.Domain = core.DomainID(r.GetDomain())
	m.setState(p, state)
	return false
}

// refute handles a record about this host. If the record claims a worse state
// than the actual one, or a newer incarnation, this host raises its own
// incarnation above it. It reports whether the sender needs this host's own
// record, which is also the case if the record is outdated.
func (m *Member) refute(r *peerpb.MemberState) (wrongAboutSelf bool) {
	if State(r.GetState()) == m.state && r.GetIncarnation() <= m.incarnation {
		return false
	}
	if r.GetIncarnation() < m.incarnation {
		return true
	}
	if r.GetIncarnation() == m.incarnation && State(r.GetState()) < m.state {
		return true
	}
	m.incarnation = r.GetIncarnation() + 1
	m.stats.Refutations++
	m.nextRound = m.now
	return true
}

// acknowledge replies to a heartbeat. If the sender is suspected or declared
// dead here, the reply carries that record, so that the sender can refute it at
// once. If the sender had a wrong record of this host, the reply carries this
// host's own record.
func (m *Member) acknowledge(p *peer, beat *peerpb.Heartbeat, wrongAboutSelf bool, out *core.Actions) {
	var records []*peerpb.MemberState
	switch {
	case beat.GetFull():
		records = m.allRecords()
	case wrongAboutSelf:
		records = []*peerpb.MemberState{m.selfRecord()}
	}
	if p.state == Suspect || p.state == Dead {
		records = append(records, p.record())
	}
	m.send(p, &peerpb.Heartbeat{Sequence: beat.GetSequence(), Ack: true, Members: records}, out)
}

func (m *Member) send(p *peer, beat *peerpb.Heartbeat, out *core.Actions) {
	beat.ConfigGeneration = m.configGeneration
	beat.LeaseVersion = m.leaseVersion
	beat.Stopping = m.state == Stopping
	m.stats.Sent++
	out.Send(p.info.Host, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: beat}})
}

// deltas returns this host's own record, the changes that were sent least often
// and the next repair records.
func (m *Member) deltas() []*peerpb.MemberState {
	records := []*peerpb.MemberState{m.selfRecord()}
	for _, p := range m.leastSentChanges() {
		p.remainingSends--
		records = append(records, p.record())
	}
	for range min(repairRecords, len(m.order)) {
		m.repairIndex = (m.repairIndex + 1) % len(m.order)
		p := m.order[m.repairIndex]
		if p.state != Unknown {
			records = append(records, p.record())
		}
	}
	return records
}

// leastSentChanges returns the peers whose changes were sent least often, at most
// MaxDeltas.
func (m *Member) leastSentChanges() []*peer {
	done := func(p *peer) bool { return p.remainingSends <= 0 }
	m.changedPeers = slices.DeleteFunc(m.changedPeers, done)
	slices.SortStableFunc(m.changedPeers, func(a, b *peer) int { return cmp.Compare(b.remainingSends, a.remainingSends) })
	return m.changedPeers[:min(len(m.changedPeers), m.config.MaxDeltas)]
}

func (m *Member) allRecords() []*peerpb.MemberState {
	records := []*peerpb.MemberState{m.selfRecord()}
	for _, p := range m.order {
		if p.state != Unknown {
			records = append(records, p.record())
		}
	}
	return records
}
