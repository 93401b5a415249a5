package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// The parts of a gather whose upstreams are in another failure domain are sent
// together to one host there, the relay. It sends each part to the upstream that
// was chosen here and returns only the records that can be in the answer. This
// host makes all decisions: a relay neither picks upstreams nor retries.
//
// Relays reduce the traffic between failure domains, where each part that is sent
// directly carries a whole request and a whole answer.

const (
	// minRelayedParts is the least number of parts for which the request to a
	// relay pays off.
	minRelayedParts = 2
	// inFlightPerSlot times the slots of an upstream is how many requests all
	// hosts together may have in flight there.
	inFlightPerSlot = 4
	// relayGracePeriod is how long after a part is due for a hedge its relay may
	// stay silent before it is backed off.
	relayGracePeriod = 15 * time.Millisecond
	// connectionUtilization is the fraction of an upstream's connection limit that
	// all hosts together use. The rest is a reserve for connections of crashed
	// hosts, which count at the upstream until it detects that they are dead.
	connectionUtilization = 0.5
	// crossDomainShare is the fraction of an equal share of an upstream's
	// connections that a host of another failure domain has for direct sends. The
	// hosts of the upstream's own domain share the rest.
	crossDomainShare = 2.0 / 3
)

// relayState is this host's view of another host as a relay.
type relayState struct {
	running      int
	failures     int // in a row
	backoffUntil time.Time
	heardAt      time.Time
}

// mayRelay reports whether parts of a call may be sent through relays. The request
// must be repeatable, since a relay can fail after it has sent a part, and must
// have no body, since the body would be sent to each relay.
func (e *Engine) mayRelay(c *call) bool {
	return e.options.Relay && c.route.IsGather() && c.route.Repeatable && !c.request.HasBody
}

// relayFor returns the relay for a call's parts to a failure domain, or nil if
// they are to be sent directly.
func (e *Engine) relayFor(now time.Time, c *call, domain core.DomainID) *peer {
	if c.relays == nil || domain == e.fleet.domain {
		return nil
	}
	p, chosen := c.relays[domain]
	if !chosen {
		p = e.fleet.pickRelay(now, domain)
		c.relays[domain] = p
	}
	return p
}

// pickRelay returns the gatherer of a failure domain with the fewest running parts
// of this host in relation to its power, or nil if none is usable.
func (f *fleet) pickRelay(now time.Time, domain core.DomainID) *peer {
	var best *peer
	least := math.Inf(1)
	for _, h := range f.ranked[:f.gatherers()] {
		p := f.peers[h.ID]
		if p == nil || h.Domain != domain || now.Before(p.relay.backoffUntil) || f.silent(now, p) {
			continue
		}
		if load := float64(p.relay.running) / max(p.Cores, 0.01); load < least {
			best, least = p, load
		}
	}
	return best
}

// sendAll sends all parts of a call that were not sent and are not over.
func (e *Engine) sendAll(now time.Time, c *call) {
	first := len(e.out.Sends)
	if e.mayRelay(c) {
		c.relays = map[core.DomainID]*peer{}
	}
	for _, p := range c.parts {
		if !p.exhausted && !p.answered && !p.waiting && p.sends == 0 {
			e.send(now, p)
		}
	}
	c.relays = nil
	e.sendSinglePartsDirectly(e.out.Sends[first:])
}

// sendSinglePartsDirectly changes sends to direct ones if there are fewer than
// minRelayedParts for their relay.
func (e *Engine) sendSinglePartsDirectly(sends []Send) {
	counts := map[core.HostID]int{}
	for _, s := range sends {
		counts[s.Via.ID]++
	}
	for i := range sends {
		s := &sends[i]
		if s.Via.ID == "" || counts[s.Via.ID] >= minRelayedParts {
			continue
		}
		a := e.attempts[s.Attempt]
		a.via.relay.running--
		a.via = nil
		s.Via = Host{}
		s.Connections = e.sharesOf(a.part.call.config.Services[a.part.service]).maxConnections(a.to.Domain, e.fleet.domain)
		e.stats.Relayed--
	}
}

// recordRelayOutcome updates the state of an attempt's relay.
func (e *Engine) recordRelayOutcome(now time.Time, a *attempt, r AttemptEnded) {
	load := &a.via.relay
	load.running--
	if r.RelayFault {
		e.backOffRelay(now, a.via, r.Outcome.String()+": "+r.Cause)
		return
	}
	if r.Outcome != NotRelayed {
		load.heardAt, load.failures = now, 0
	}
}

// backOffRelay stops the use of a relay for a backoff that doubles each time.
func (e *Engine) backOffRelay(now time.Time, p *peer, cause string) {
	if now.Before(p.relay.backoffUntil) {
		return
	}
	wait := min(maxHostBackoff, minHostBackoff<<min(p.relay.failures, 8))
	p.relay.failures++
	p.relay.backoffUntil = now.Add(wait)
	e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Age: wait, Detail: "relay " + cause})
}

// checkRelaySilence backs off the relay of a late attempt if nothing has been
// received from the relay since the attempt was sent.
func (e *Engine) checkRelaySilence(now time.Time, a *attempt, usual time.Duration) {
	if a.via == nil || !a.via.relay.heardAt.Before(a.sentAt) {
		return
	}
	if now.Sub(a.sentAt) > time.Duration(hedgeFactor*float64(usual))+relayGracePeriod {
		e.backOffRelay(now, a.via, "silent")
		e.releaseRelayedSlots(a.via)
	}
}

// releaseRelayedSlots frees the in-flight slots that parts sent through a silent
// relay occupy at their upstreams, which may not have received them at all.
func (e *Engine) releaseRelayedSlots(p *peer) {
	for _, a := range e.attempts {
		if a.via == p {
			a.to.running = slices.DeleteFunc(a.to.running, func(other *attempt) bool { return other == a })
		}
	}
}

// undoSend undoes the accounting of an attempt that its relay did not send, so
// that the part can be sent to the same upstream directly.
func (p *part) undoSend(a *attempt) {
	p.sends--
	p.tried = slices.DeleteFunc(p.tried, func(u *upstream) bool { return u == a.to })
}

// connectionShares divides the connections that one upstream of a service accepts
// among the hosts that gather.
type connectionShares struct {
	connections int
	hosts       int
	// hostsByDomain counts the hosts by failure domain. If it is nil, all hosts
	// have equal shares.
	hostsByDomain map[core.DomainID]int
}

// sharesOf returns the shares for the upstreams of a service.
func (e *Engine) sharesOf(s Service) connectionShares {
	shares := connectionShares{connections: int(connectionUtilization * float64(s.Connections)), hosts: e.fleet.gatherers()}
	if shares.hosts == 0 {
		shares.hosts = max(1, e.options.AssumedHosts)
	}
	if e.options.Relay {
		shares.hostsByDomain = e.fleet.gatherersIn
	}
	return shares
}

// maxInFlight returns how many requests a host in a failure domain may have in
// flight at an upstream, at least one.
//
// It keeps queues at the hosts when load is high. An upstream serves its queue in
// order of arrival, even if more urgent requests have arrived since or a queued
// one has been hedged, and a host can no longer move what is queued there to
// another upstream.
func (s connectionShares) maxInFlight(u *upstream, host core.DomainID) int {
	if u.Slots <= 0 {
		return s.maxConnections(u.Domain, host)
	}
	return max(1, min(s.connections/s.hosts, inFlightPerSlot*u.Slots/s.hosts))
}

// maxConnections returns how many connections a host may hold to an upstream, at
// least one, by the failure domains of both. The hosts of the upstream's own
// domain have more, since they relay for the others.
func (s connectionShares) maxConnections(upstream, host core.DomainID) int {
	equal := s.connections / s.hosts
	localHosts := s.hostsByDomain[upstream]
	if localHosts == 0 || localHosts >= s.hosts {
		return max(1, equal)
	}
	remoteShare := max(1, int(crossDomainShare*float64(equal)))
	if host != upstream {
		return remoteShare
	}
	return max(remoteShare, (s.connections-remoteShare*(s.hosts-localHosts))/localHosts)
}
