// Package member maintains this host's view of the other hosts. Heartbeats
// detect changes sooner than the platform's host list, which lags. A silent host
// is suspected before it is declared dead, and a host refutes a wrong record
// about itself by raising its incarnation. The protocol follows SWIM (Das, Gupta,
// Motivala, DSN 2002) with ring neighbours in place of purely random probes; see
// docs/design/007-membership.md.
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
	// changedPeers holds the peers with changes that must still be sent.
	changedPeers []*peer
	// liveOutdated is set when live must be rebuilt.
	liveOutdated bool
	// repairIndex is the position in order of the last repair record.
	repairIndex                    int
	sequence                       uint64
	configGeneration, leaseVersion uint64

	now          time.Time
	nextRound    time.Time
	nextHostList time.Time
	rounds       uint64
	// stale is set after a pause of this host until a heartbeat arrives.
	stale           bool
	stopAnnouncedAt time.Time
	stats           Stats
}

// New returns a Member whose only peers are the seeds. Its first round is due
// immediately.
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

// Step processes one event and runs the round of heartbeats if it is due.
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
		return time.Unix(0, 0) // the first round is due immediately
	}
	return m.nextRound
}

// Idle reports whether a planned stop has been announced to the peers.
func (m *Member) Idle() bool {
	return m.state == Stopping && m.now.Sub(m.stopAnnouncedAt) >= m.config.Interval
}

// SetVersions sets the versions of the configuration and of the lease table that
// this host's heartbeats carry.
func (m *Member) SetVersions(configGeneration, leaseVersion uint64) {
	m.configGeneration = configGeneration
	m.leaseVersion = leaseVersion
}

// detectPause restarts the timers of all peers after a long gap between steps:
// missing replies during a pause of this host are no sign of a failed peer.
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

// beginStop makes the stop known: this host starts a round of heartbeats at once,
// and hosts that are not probed in it receive the change by gossip.
func (m *Member) beginStop() {
	if m.state == Stopping {
		return
	}
	m.state = Stopping
	m.stopAnnouncedAt = m.now
	m.nextRound = m.now
	m.liveOutdated = true
}

// handlePeerLost suspects a host whose stream broke and starts a round of
// heartbeats at once; if the host is alive, it refutes the suspicion.
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

// addPeer returns the peer for a host, which it adds if it is not yet known. The
// data of a known peer is not changed. It returns nil for this host itself.
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

// position returns the index of a host in order, or the index to insert it at.
func (m *Member) position(h core.HostID) (int, bool) {
	return slices.BinarySearchFunc(m.order, h, func(p *peer, h core.HostID) int {
		return cmp.Compare(p.info.Host, h)
	})
}

// setState changes a peer's state and schedules the change for gossip.
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

// sendsPerChange returns how many heartbeats carry a change. It grows with the
// logarithm of the fleet size, which is enough to reach the whole fleet even if
// some heartbeats are lost.
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
