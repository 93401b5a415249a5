package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// pingInterval is how long a failure domain may be silent before one of its
	// hosts is pinged, and then another one.
	pingInterval = 250 * time.Millisecond
	// unresponsiveAfterPings pings in a row without an answer make a domain dark.
	unresponsiveAfterPings = 3
	// entryPingDelay is how long nothing may come from any other domain before a
	// host that sends nothing to upstreams pings entryPings hosts each
	// pingInterval. It is more than the pause between two heartbeats of the
	// host that it follows.
	entryPingDelay = time.Second
	entryPings     = 2
	// pingedHostsPerDomain of each domain are pinged, in turn while they do not answer.
	pingedHostsPerDomain = 3
	// isolatedAfterRounds rounds of pings without anything from any other domain make a
	// host cut off.
	isolatedAfterRounds = 3
	// trialInterval is how often, and trialDuration how long, parts that may be repeated
	// are sent to a silent domain all the same: its hosts may be gone for good
	// and its upstreams back.
	trialInterval = 2 * time.Second
	trialDuration = 40 * time.Millisecond
	// unservedGain is the weight of one request in the share that is not
	// served; above withdrawThreshold a host that is cut off takes no callers.
	unservedGain      = 0.2
	withdrawThreshold = 0.5
	// withdrawalReportTTL is how long it counts that a host of the own domain takes no
	// callers.
	withdrawalReportTTL = time.Second
)

// domainMonitor is what this host believes of its ways to the other failure domains.
// Whatever comes from a domain's hosts or upstreams shows that the way is
// there; while nothing comes, hosts are pinged.
type domainMonitor struct {
	domains []*domainState // of other hosts, in this host's own order
	byHost  map[core.HostID]*domainState
	byID    map[core.DomainID]*domainState
	// localHosts are the hosts of this host's own domain that may gather.
	localHosts []Host
	// isEntry hosts watch the other domains as a whole.
	isEntry bool
	// minority says that the hosts of this host's own domain are fewer than the
	// others together. Of two halves that are cut from each other one goes on.
	minority bool

	heardAt     time.Time // from any other domain
	rounds      int       // of pings since then
	firstPinged int       // the first domain that an entry host pings
	// localWithdrawnAt is when a host of the own domain last said that it takes
	// no callers.
	localWithdrawnAt time.Time
}

// domainState is one failure domain with hosts of the tier.
type domainState struct {
	id                core.DomainID
	hosts             []Host // the first in this host's own order
	nextHost          int    // the host to ping
	heardAt           time.Time
	pingPending       bool // the last ping has no answer
	missedPings       int  // pings in a row without one
	unresponsiveSince time.Time
	sentAt            time.Time // the first send since the domain was heard
}

func (d *domainState) unresponsive() bool { return !d.unresponsiveSince.IsZero() }

// silent says that neither the hosts nor the upstreams of a domain answer. The
// hosts alone may be gone for another reason.
func (d *domainState) silent(now time.Time) bool {
	return d.unresponsive() && !d.sentAt.IsZero() && now.Sub(d.sentAt) >= pingInterval
}

// ping returns the host of the domain whose turn it is.
func (d *domainState) ping() Host {
	if d.pingPending {
		d.nextHost++
	}
	d.pingPending = true
	return d.hosts[d.nextHost%len(d.hosts)]
}

// set takes the hosts of the tier, those of the own domain that may gather, and
// whether this host is an entry host. What is believed of a domain stays.
func (c *domainMonitor) set(now time.Time, self Host, hosts, near []Host, entry bool) {
	before := c.byID
	c.domains, c.byHost, c.byID = nil, map[core.HostID]*domainState{}, map[core.DomainID]*domainState{}
	c.localHosts, c.isEntry = near, entry
	if c.heardAt.IsZero() {
		c.heardAt = now
	}
	own, first := 0, self.Domain
	for _, h := range hosts {
		if h.Domain == self.Domain {
			own++
			continue
		}
		first = min(first, h.Domain)
		d := c.byID[h.Domain]
		if d == nil {
			d = &domainState{id: h.Domain, heardAt: now}
			if known := before[h.Domain]; known != nil {
				*d = *known
				d.hosts = nil
			}
			c.byID[h.Domain] = d
			c.domains = append(c.domains, d)
		}
		d.hosts = append(d.hosts, h)
		c.byHost[h.ID] = d
	}
	c.minority = 2*own < len(hosts) || 2*own == len(hosts) && first != self.Domain
	// Hosts that all ask in the same order would all ask the same few.
	mine := func(name string) uint64 { return rendezvous(self.ID, core.UpstreamID(name)) }
	slices.SortFunc(c.domains, func(a, b *domainState) int { return cmp.Compare(mine(string(a.id)), mine(string(b.id))) })
	for _, d := range c.domains {
		slices.SortFunc(d.hosts, func(a, b Host) int { return cmp.Compare(mine(string(a.ID)), mine(string(b.ID))) })
		d.hosts = d.hosts[:min(len(d.hosts), pingedHostsPerDomain)]
	}
}

// recordAlive notes that something came from a domain. True means that it was dark.
func (c *domainMonitor) recordAlive(now time.Time, id core.DomainID) bool {
	d := c.byID[id]
	if d == nil {
		return false
	}
	was := d.unresponsive()
	d.heardAt, d.pingPending, d.missedPings, d.unresponsiveSince, d.sentAt = now, false, 0, time.Time{}, time.Time{}
	c.heardAt, c.rounds = now, 0
	return was
}

// recordSend notes a send to an upstream of a domain.
func (c *domainMonitor) recordSend(now time.Time, id core.DomainID) {
	if d := c.byID[id]; d != nil && d.sentAt.IsZero() {
		d.sentAt = now
	}
}

// check returns the hosts to ping, and the domains that have just become dark.
// It runs once each pingInterval.
func (c *domainMonitor) check(now time.Time) (pings []Host, dark []*domainState) {
	switch {
	case !c.isEntry:
		pings, dark = c.pingEach(now)
	case len(c.domains) > 0 && now.Sub(c.heardAt) >= entryPingDelay:
		if c.rounds > 0 {
			c.firstPinged += entryPings
		}
		for i := range entryPings {
			pings = append(pings, c.domains[(c.firstPinged+i)%len(c.domains)].ping())
		}
	}
	if len(pings) > 0 {
		c.rounds++
	}
	if c.isEntry && c.isolated() {
		pings = append(pings, c.localHosts[:min(len(c.localHosts), entryPings)]...)
	}
	return pings, dark
}

// pingEach pings each silent domain.
func (c *domainMonitor) pingEach(now time.Time) (pings []Host, dark []*domainState) {
	for _, d := range c.domains {
		if now.Sub(d.heardAt) < pingInterval {
			continue
		}
		if d.pingPending {
			d.missedPings++
			if d.missedPings >= unresponsiveAfterPings && !d.unresponsive() {
				d.unresponsiveSince = now
				dark = append(dark, d)
			}
		}
		pings = append(pings, d.ping())
	}
	return pings, dark
}

// isolated says that this host reaches no other domain and is on the smaller side.
func (c *domainMonitor) isolated() bool { return c.minority && c.rounds > isolatedAfterRounds }

// watchDomains looks for silent failure domains and hosts, once each pingInterval.
func (e *Engine) watchDomains(now time.Time) {
	pings, dark := e.domains.check(now)
	e.out.Probes = append(e.out.Probes, pings...)
	for _, d := range dark {
		e.note(Note{Decision: DecisionDomainSilent, Detail: string(d.id), Age: now.Sub(d.heardAt), Attempt: d.missedPings})
	}
	e.decideWithdrawal(now)
	e.watchHosts(now)
	e.timers.Add(now.Add(pingInterval), e.watchDomains)
}

// recordDomainAlive notes that something came from a failure domain.
func (e *Engine) recordDomainAlive(now time.Time, id core.DomainID) {
	if e.domains.recordAlive(now, id) {
		e.note(Note{Decision: DecisionDomainResponsive, Detail: string(id)})
	}
	if e.withdrawn {
		e.decideWithdrawal(now)
	}
}

// reaches says whether a call's parts may be sent to a failure domain.
func (e *Engine) reaches(now time.Time, c *call) func(core.DomainID) bool {
	return func(id core.DomainID) bool {
		d := e.domains.byID[id]
		trial := c.route.Repeatable && d != nil && now.Sub(d.unresponsiveSince)%trialInterval < trialDuration
		return d == nil || trial || !d.silent(now)
	}
}

// failsMostRequests says that this host cannot serve most requests: by what became of
// the last ones or, at a host that hands requests over, by the report of a host
// that gathers in its domain, or because there is none.
func (e *Engine) failsMostRequests(now time.Time) bool {
	if e.unservedShare > withdrawThreshold {
		return true
	}
	return e.domains.isEntry && (len(e.domains.localHosts) == 0 || now.Sub(e.domains.localWithdrawnAt) < withdrawalReportTTL)
}

// recordResult learns from the end of a caller's request.
func (e *Engine) recordResult(now time.Time, served bool) {
	if served {
		e.unservedShare -= unservedGain * e.unservedShare
		return
	}
	e.unservedShare += unservedGain * (1 - e.unservedShare)
	e.decideWithdrawal(now)
}

// decideWithdrawal decides whether this host takes callers. One that is cut off
// from the other failure domains and cannot serve most requests takes none until
// something comes from another domain: where all hosts of its domain do the
// same, callers go to the next one.
//
// A fault that all hosts share, such as a store that is away, a wave of requests
// or upstreams that are gone, does not cut hosts off from each other, and
// withdraws none.
func (e *Engine) decideWithdrawal(now time.Time) {
	cutOff := e.domains.isolated()
	switch {
	case e.withdrawn && !cutOff:
		e.withdrawn = false
		e.note(Note{Decision: DecisionReturn, Detail: "another failure domain is heard"})
	case !e.withdrawn && cutOff && e.failsMostRequests(now):
		e.withdrawn = true
		e.note(Note{Decision: DecisionWithdraw, Detail: "cut off from the other failure domains", Age: now.Sub(e.domains.heardAt)})
	}
}
