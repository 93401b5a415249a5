package scatter

import (
	"math"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// A gather's parts whose upstreams are in another failure domain travel
// together through a host there, its relay, which sends each of them to the
// upstream chosen here and returns only the records that can matter. Decisions
// stay with this host: the relay chooses nothing and repeats nothing.
//
// It answers the cost of traffic between failure domains, in which each part on
// its own carries a whole request and a whole answer.

const (
	// minRelayed is the least number of parts for which a relay is worth its
	// call.
	minRelayed = 2
	// inFlightPerSlot times the slots of an upstream is how many requests all
	// hosts together have there at once.
	inFlightPerSlot = 4
	// relaySlack is how long after the time of a hedge a relay may stay silent
	// before it rests.
	relaySlack = 15 * time.Millisecond
	// connectionsUsed is the part of the connections that an upstream takes
	// that all hosts hold together. Those of hosts that died without a word
	// count there until the upstream notices.
	connectionsUsed = 0.5
	// farShare is the part of an equal share of an upstream's connections that
	// hosts of other failure domains keep for direct sends; the hosts of its
	// own domain have the rest.
	farShare = 2.0 / 3
)

// relayLoad is what this host believes of a host as a relay.
type relayLoad struct {
	running int
	rests   int // in a row
	restsTo time.Time
	heardAt time.Time
}

// mayRelay says whether parts of a call may pass through other hosts: only
// what may be repeated, since a relay can fail after it sent a part on, and only
// a head, since a body would cross the border once for each relay.
func (e *Engine) mayRelay(c *call) bool {
	return e.options.Relay && c.route.IsGather() && c.route.Repeatable && !c.request.HasBody
}

// relayFor returns the host through which a call's parts reach a failure
// domain; nil sends them directly.
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

// pickRelay returns the gatherer of a failure domain with the least of this
// host's parts under way.
func (f *fleet) pickRelay(now time.Time, domain core.DomainID) *peer {
	var best *peer
	least := math.Inf(1)
	for _, h := range f.ranked[:f.gatherers()] {
		p := f.peers[h.ID]
		if p == nil || h.Domain != domain || now.Before(p.relay.restsTo) || f.silent(now, p) {
			continue
		}
		if load := float64(p.relay.running) / max(p.Cores, 0.01); load < least {
			best, least = p, load
		}
	}
	return best
}

// sendAll starts all parts of a call.
func (e *Engine) sendAll(now time.Time, c *call) {
	first := len(e.out.Sends)
	if e.mayRelay(c) {
		c.relays = map[core.DomainID]*peer{}
	}
	for _, p := range c.parts {
		if !p.exhausted {
			e.send(now, p)
		}
	}
	c.relays = nil
	e.dropSmallRelays(e.out.Sends[first:])
}

// dropSmallRelays sends directly what would travel through a relay alone.
func (e *Engine) dropSmallRelays(sends []Send) {
	counts := map[core.HostID]int{}
	for _, s := range sends {
		counts[s.Via.ID]++
	}
	for i := range sends {
		s := &sends[i]
		if s.Via.ID == "" || counts[s.Via.ID] >= minRelayed {
			continue
		}
		a := e.attempts[s.Attempt]
		a.via.relay.running--
		a.via = nil
		s.Via = Host{}
		s.Connections = e.sharesOf(a.part.call.config.Services[a.part.service]).of(a.to.Domain, e.fleet.domain)
		e.stats.Relayed--
	}
}

// learnRelay updates what is believed of an attempt's relay.
func (e *Engine) learnRelay(now time.Time, a *attempt, r AttemptEnded) {
	load := &a.via.relay
	load.running--
	if r.RelayFault {
		e.restRelay(now, a.via, r.Outcome.String()+": "+r.Cause)
		return
	}
	if r.Outcome != NotRelayed {
		load.heardAt, load.rests = now, 0
	}
}

// restRelay keeps parts away from a relay for a while that doubles each time.
func (e *Engine) restRelay(now time.Time, p *peer, cause string) {
	if now.Before(p.relay.restsTo) {
		return
	}
	wait := min(suspectMost, suspectFirst<<min(p.relay.rests, 8))
	p.relay.rests++
	p.relay.restsTo = now.Add(wait)
	e.note(Note{Decision: DecisionHostBackoff, Upstream: core.UpstreamID(p.ID), Age: wait, Detail: "relay " + cause})
}

// suspectRelay makes the relay of a late attempt rest if nothing came from it
// since.
func (e *Engine) suspectRelay(now time.Time, a *attempt, usual time.Duration) {
	if a.via == nil || !a.via.relay.heardAt.Before(a.sentAt) {
		return
	}
	if now.Sub(a.sentAt) > time.Duration(hedgeFactor*float64(usual))+relaySlack {
		e.restRelay(now, a.via, "silent")
		e.releaseRelayed(a.via)
	}
}

// releaseRelayed frees the places that parts at a silent relay take at their
// upstreams, which may not even have got them.
func (e *Engine) releaseRelayed(p *peer) {
	for _, a := range e.attempts {
		if a.via == p {
			a.to.running = slices.DeleteFunc(a.to.running, func(other *attempt) bool { return other == a })
		}
	}
}

// notRelayed takes back an attempt that its relay did not send: the upstream
// can be asked directly.
func (p *part) notRelayed(a *attempt) {
	p.sends--
	p.tried = slices.DeleteFunc(p.tried, func(u *upstream) bool { return u == a.to })
}

// connectionShares divides the connections that one upstream of a service
// takes among the hosts that gather.
type connectionShares struct {
	connections int
	hosts       int
	// near counts the hosts by failure domain; nil gives all the same.
	near map[core.DomainID]int
}

// sharesOf returns the shares for the upstreams of a service.
func (e *Engine) sharesOf(s Service) connectionShares {
	shares := connectionShares{connections: int(connectionsUsed * float64(s.Connections)), hosts: e.fleet.gatherers()}
	if shares.hosts == 0 {
		shares.hosts = max(1, e.options.AssumedHosts)
	}
	if e.options.Relay {
		shares.near = e.fleet.gatherersIn
	}
	return shares
}

// inFlight returns how many requests a host in a failure domain may have at an
// upstream, at least one.
//
// It answers waves of requests: what an upstream queues it serves in order of
// arrival, whatever became urgent or was hedged since, and a host cannot take it
// to the upstream's twin any more.
func (s connectionShares) inFlight(u *upstream, host core.DomainID) int {
	if u.Slots <= 0 {
		return s.of(u.Domain, host)
	}
	return max(1, min(s.connections/s.hosts, inFlightPerSlot*u.Slots/s.hosts))
}

// of returns how many connections a host in a failure domain may hold to an
// upstream in another, at least one. The hosts of the upstream's own domain
// relay for the others, and have more.
func (s connectionShares) of(upstream, host core.DomainID) int {
	equal := s.connections / s.hosts
	near := s.near[upstream]
	if near == 0 || near >= s.hosts {
		return max(1, equal)
	}
	far := max(1, int(farShare*float64(equal)))
	if host != upstream {
		return far
	}
	return max(far, (s.connections-far*(s.hosts-near))/near)
}
