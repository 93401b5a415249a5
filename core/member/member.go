// Package member keeps this host's view of the other hosts: heartbeats over
// the platform's lagging host list, suspicion before death, and incarnations
// by which a host refutes what is wrongly said of it. It follows SWIM (Das,
// Gupta, Motivala, DSN 2002) with ring neighbours in place of purely random
// probes; see docs/design/007-membership.md.
package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Member is one host's view of the fleet. It implements core.Role and
// core.Membership.
type Member struct {
	config Config
	// incarnation grows by one with each refutation.
	incarnation uint64
	state       State
	peers       map[core.HostID]*peer
	// order holds the peers sorted by name.
	order []*peer
	live  []core.HostID
	// spreading holds the peers with changes still to pass on.
	changedPeers []*peer
	// dirty says that live must be built anew.
	liveOutdated bool
	// turn walks through order for the records that repair lost gossip.
	repairIndex                    int
	sequence                       uint64
	configGeneration, leaseVersion uint64

	now          time.Time
	nextRound    time.Time
	nextHostList time.Time
	rounds       uint64
	// stale is set when this host was paused, until a peer answers.
	stale           bool
	stopAnnouncedAt time.Time
	stats           Stats
}

// New returns a Member that knows its seeds only. Next is due at once.
func New(c Config) (*Member, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	c.setDefaults()
	m := &Member{
		config:      c,
		incarnation: c.Incarnation,
		state:       Alive,
		peers:       map[core.HostID]*peer{},
	}
	for _, seed := range c.Seeds {
		m.addPeer(seed)
	}
	m.rebuildLive()
	return m, nil
}

// Step takes one event.
func (m *Member) Step(now time.Time, event core.Event, out *core.Actions) {
	m.detectPause(now)
	m.now = now
	switch e := event.(type) {
	case core.PeerMessage:
		if beat := e.Message.GetHeartbeat(); beat != nil {
			m.handleHeartbeat(e, beat, out)
		}
	case core.HostListed:
		m.handleHostList(e.Hosts)
	case core.PeerLost:
		m.handlePeerLost(e.Host)
	case core.StopRequested:
		m.beginStop()
	}
	if !now.Before(m.nextRound) {
		m.runRound(out)
	}
	if m.liveOutdated {
		m.rebuildLive()
	}
}

// Next returns when the next round of heartbeats is due.
func (m *Member) Next() time.Time {
	if m.nextRound.IsZero() {
		return time.Unix(0, 0) // the first round is due at once
	}
	return m.nextRound
}

// Idle says that a planned stop has been announced to the peers.
func (m *Member) Idle() bool {
	return m.state == Stopping && m.now.Sub(m.stopAnnouncedAt) >= m.config.Interval
}

// SetVersions sets what this host's heartbeats say of its configuration and
// lease table.
func (m *Member) SetVersions(configGeneration, leaseVersion uint64) {
	m.configGeneration = configGeneration
	m.leaseVersion = leaseVersion
}

// noticePause restarts the peers' clocks after a gap between steps: silence
// that this host slept through says nothing about them.
func (m *Member) detectPause(now time.Time) {
	if m.now.IsZero() || now.Sub(m.now) < m.config.PauseThreshold {
		return
	}
	m.stats.Pauses++
	m.stale = true
	for _, p := range m.peers {
		if !p.unansweredSince.IsZero() {
			p.unansweredSince = now
		}
		if p.state == Suspect {
			p.stateSince = now
		}
	}
}

// announceStop tells every peer at once; the others learn it by gossip.
func (m *Member) beginStop() {
	if m.state == Stopping {
		return
	}
	m.state = Stopping
	m.stopAnnouncedAt = m.now
	m.nextRound = m.now
	m.liveOutdated = true
}

// takeLoss suspects a host whose stream broke and greets it at once; if it
// lives, it refutes.
func (m *Member) handlePeerLost(h core.HostID) {
	p := m.peers[h]
	if p == nil || p.state != Alive || p.refutedByGossip {
		return
	}
	m.stats.Suspicions++
	m.setState(p, Suspect)
	m.nextRound = m.now
}

func (m *Member) handleHostList(hosts []core.HostInfo) {
	for _, h := range hosts {
		m.addPeer(h)
	}
}

// introduce adds a host that was never heard of; it changes nothing that is
// known better.
func (m *Member) addPeer(h core.HostInfo) *peer {
	if h.Host == "" || h.Host == m.config.Self.Host {
		return nil
	}
	if p := m.peers[h.Host]; p != nil {
		return p
	}
	p := &peer{info: h, stateSince: m.now}
	m.peers[h.Host] = p
	at, _ := m.position(h.Host)
	m.order = slices.Insert(m.order, at, p)
	return p
}

func (m *Member) removePeer(h core.HostID) {
	delete(m.peers, h)
	if at, found := m.position(h); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
}

// place returns where a host stands in order, or would stand.
func (m *Member) position(h core.HostID) (int, bool) {
	return slices.BinarySearchFunc(m.order, h, func(p *peer, h core.HostID) int {
		return cmp.Compare(p.info.Host, h)
	})
}

// set changes a peer's state and spreads it.
func (m *Member) setState(p *peer, s State) {
	if p.state != s {
		p.stateSince = m.now
	}
	p.state = s
	m.liveOutdated = true
	if p.remainingSends == 0 {
		m.changedPeers = append(m.changedPeers, p)
	}
	p.remainingSends = m.sendsPerChange()
}

// spreadCount is how often a change is passed on: enough to reach the whole
// fleet with some heartbeats lost.
func (m *Member) sendsPerChange() int {
	return 3 * bits.Len(uint(len(m.peers)+1))
}

func (m *Member) selfRecord() *peerpb.MemberState {
	return &peerpb.MemberState{
		Host:             string(m.config.Self.Host),
		Incarnation:      m.incarnation,
		State:            int32(m.state),
		Address:          m.config.Self.Address,
		Domain:           string(m.config.Self.Domain),
		ConfigGeneration: m.configGeneration,
	}
}
