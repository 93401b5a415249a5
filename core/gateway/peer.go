package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// peer tracks what this host awaits from another host, or from itself as an
// owner.
type peer struct {
	lastHeard time.Time
	attempts  map[uint64]*attempt
	calls     map[uint64]*call
}

func (p *peer) hasPending() bool { return len(p.attempts)+len(p.calls) > 0 }

func (g *Gateway) peer(now time.Time, host core.HostID) *peer {
	p := g.peers[host]
	if p == nil {
		p = &peer{attempts: map[uint64]*attempt{}, calls: map[uint64]*call{}}
		g.peers[host] = p
	}
	if g.sweepTimer == nil {
		g.sweepTimer = g.timers.add(now.Add(g.config.SweepInterval), g.sweepPeers)
	}
	return p
}

// sweepPeers handles hosts that are no longer live and homes that are silent. It
// runs periodically as long as anything is awaited.
func (g *Gateway) sweepPeers(now time.Time, out *core.Actions) {
	g.sweepTimer = nil
	pending := false
	for _, host := range slices.Sorted(maps.Keys(g.peers)) {
		p := g.peers[host]
		if !p.hasPending() {
			if host != g.config.Self && !g.config.Members.IsLive(host) {
				delete(g.peers, host)
			}
			continue
		}
		if host != g.config.Self && !g.config.Members.IsLive(host) {
			g.onHostLost(now, host, out)
			continue
		}
		pending = true
		g.takeOverFromSilentHome(now, p, out)
	}
	if pending && g.sweepTimer == nil {
		g.sweepTimer = g.timers.add(now.Add(g.config.SweepInterval), g.sweepPeers)
	}
}

// takeOverFromSilentHome takes over the calls of a home from which no message
// has arrived for SilentHomeTimeout, once a third of a call's time has passed.
func (g *Gateway) takeOverFromSilentHome(now time.Time, p *peer, out *core.Actions) {
	for _, number := range slices.Sorted(maps.Keys(p.calls)) {
		c := p.calls[number]
		since := c.sent
		if p.lastHeard.After(since) {
			since = p.lastHeard
		}
		third := c.deadline.Sub(c.sent) / 3
		silent := now.Sub(since) >= g.config.SilentHomeTimeout
		if silent && now.Sub(c.sent) >= third {
			g.takeOverCall(now, c, out)
		}
	}
}

// onHostLost takes over the calls and fails the attempts that a lost host was to
// answer. The queries that it forwarded to this host are cancelled: if it is
// still alive, it detects the loss as well and runs them itself.
func (g *Gateway) onHostLost(now time.Time, host core.HostID, out *core.Actions) {
	g.cancelCallsFrom(host, out)
	p := g.peers[host]
	if p == nil {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(p.calls)) {
		c := p.calls[number]
		if c == nil {
			continue
		}
		g.stopAwaitingHome(c)
		g.takeOverCall(now, c, out)
	}
	for _, id := range slices.Sorted(maps.Keys(p.attempts)) {
		// Ending one attempt may have cancelled others of the same query.
		if a := g.attempts[id]; a != nil {
			g.stats.HostLost++
			g.endAttempt(now, a, outcome{kind: core.HostLost, ran: core.RanUnknown}, out)
		}
	}
}

func (g *Gateway) cancelCallsFrom(host core.HostID, out *core.Actions) {
	var lost []remoteCall
	for key := range g.waiters {
		if key.from == host {
			lost = append(lost, key)
		}
	}
	slices.SortFunc(lost, func(a, b remoteCall) int { return int(a.number) - int(b.number) })
	for _, key := range lost {
		g.onQueryCancel(key, out)
	}
}
