package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// pingInterval is how long nothing may arrive from a failure domain before
	// one of its hosts is pinged, and the time between two pings.
	pingInterval = 250 * time.Millisecond
	// unresponsiveAfterPings is how many pings in a row without an answer make a
	// domain count as unresponsive.
	unresponsiveAfterPings = 3
	// entryPingDelay is how long nothing may arrive from any other domain before
	// an entry host pings entryPings hosts in each pingInterval. It is longer
	// than the time between two heartbeats of the host that it follows.
	entryPingDelay = time.Second
	entryPings     = 2
	// pingedHostsPerDomain is how many hosts of each domain are pinged, one after
	// the other as long as none answers.
	pingedHostsPerDomain = 3
	// isolatedAfterRounds is the number of rounds of pings without a message from
	// any other domain above which a host counts as isolated.
	isolatedAfterRounds = 3
	// trialInterval is how often, and trialDuration how long, repeatable parts are
	// sent to a silent domain: its upstreams may have recovered although its
	// hosts have not.
	trialInterval = 2 * time.Second
	trialDuration = 40 * time.Millisecond
	// unservedGain is the weight of one request in the share of requests that
	// were not served. An isolated host withdraws when the share exceeds
	// withdrawThreshold.
	unservedGain      = 0.2
	withdrawThreshold = 0.5
	// withdrawalReportTTL is how long the withdrawal of another host of the own
	// domain is taken into account.
	withdrawalReportTTL = time.Second
)

// domainMonitor tracks whether the other failure domains can be reached. Any
// message from a domain's hosts or upstreams proves that it can; hosts are pinged
// only while none arrives.
type domainMonitor struct {
	domains []*domainState // of other hosts, in an order specific to this host
	byHost  map[core.HostID]*domainState
	byID    map[core.DomainID]*domainState
	// localHosts are the other hosts of this host's own domain to which requests
	// may be handed over.
	localHosts []Host
	// isEntry is true for an entry host, which watches all other domains together
	// instead of each one.
	isEntry bool
	// minority is true if this host's own domain has fewer hosts than all others
	// together. If there are as many, it is false in the domain with the lowest
	// ID only, so that one of two separated halves stays in service.
	minority bool

	lastMessageAt time.Time // when a message last arrived from any other domain
	rounds        int       // rounds of pings since then
	firstPinged   int       // index of the first domain that an entry host pings
	// localWithdrawnAt is when a host of the own domain last reported that it
	// accepts no callers.
	localWithdrawnAt time.Time
}

// domainState is the state of another failure domain with hosts of the tier.
type domainState struct {
	id                core.DomainID
	hosts             []Host // to ping, in an order specific to this host
	nextHost          int    // index of the host to ping
	lastMessageAt     time.Time
	pingPending       bool // the last ping has not been answered
	missedPings       int  // pings in a row without an answer
	unresponsiveSince time.Time
	sentAt            time.Time // the first send since the last message from the domain
}

func (d *domainState) unresponsive() bool { return !d.unresponsiveSince.IsZero() }

// silent reports whether neither the hosts nor the upstreams of a domain answer.
// Unresponsive hosts alone do not prove that the domain cannot be reached.
func (d *domainState) silent(now time.Time) bool {
	return d.unresponsive() && !d.sentAt.IsZero() && now.Sub(d.sentAt) >= pingInterval
}

// ping returns the host of the domain to ping next, and marks the ping as pending.
func (d *domainState) ping() Host {
	if d.pingPending {
		d.nextHost++
	}
	d.pingPending = true
	return d.hosts[d.nextHost%len(d.hosts)]
}

// set replaces the hosts of the tier, the local hosts to which requests may be
// handed over, and whether this host is an entry host. The state of domains that
// remain is kept.
func (m *domainMonitor) set(now time.Time, self Host, hosts, localHosts []Host, isEntry bool) {
	before := m.byID
	m.domains, m.byHost, m.byID = nil, map[core.HostID]*domainState{}, map[core.DomainID]*domainState{}
	m.localHosts, m.isEntry = localHosts, isEntry
	if m.lastMessageAt.IsZero() {
		m.lastMessageAt = now
	}
	own, first := 0, self.Domain
	for _, h := range hosts {
		if h.Domain == self.Domain {
			own++
			continue
		}
		first = min(first, h.Domain)
		d := m.byID[h.Domain]
		if d == nil {
			d = &domainState{id: h.Domain, lastMessageAt: now}
			if known := before[h.Domain]; known != nil {
				*d = *known
				d.hosts = nil
			}
			m.byID[h.Domain] = d
			m.domains = append(m.domains, d)
		}
		d.hosts = append(d.hosts, h)
		m.byHost[h.ID] = d
	}
	m.minority = 2*own < len(hosts) || 2*own == len(hosts) && first != self.Domain
	// Each host uses its own order, so that the pings of all hosts are spread.
	order := func(name string) uint64 { return rendezvous(self.ID, core.UpstreamID(name)) }
	slices.SortFunc(m.domains, func(a, b *domainState) int { return cmp.Compare(order(string(a.id)), order(string(b.id))) })
	for _, d := range m.domains {
		slices.SortFunc(d.hosts, func(a, b Host) int { return cmp.Compare(order(string(a.ID)), order(string(b.ID))) })
		d.hosts = d.hosts[:min(len(d.hosts), pingedHostsPerDomain)]
	}
}

// recordAlive records that a message arrived from a domain, and reports whether
// the domain was unresponsive before.
func (m *domainMonitor) recordAlive(now time.Time, id core.DomainID) bool {
	d := m.byID[id]
	if d == nil {
		return false
	}
	wasUnresponsive := d.unresponsive()
	d.lastMessageAt, d.pingPending, d.missedPings, d.unresponsiveSince, d.sentAt = now, false, 0, time.Time{}, time.Time{}
	m.lastMessageAt, m.rounds = now, 0
	return wasUnresponsive
}

// recordSend records a send to an upstream of a domain.
func (m *domainMonitor) recordSend(now time.Time, id core.DomainID) {
	if d := m.byID[id]; d != nil && d.sentAt.IsZero() {
		d.sentAt = now
	}
}

// check returns the hosts to ping, and the domains that have just become
// unresponsive. It is called once in each pingInterval.
func (m *domainMonitor) check(now time.Time) (pings []Host, unresponsive []*domainState) {
	switch {
	case !m.isEntry:
		pings, unresponsive = m.pingEach(now)
	case len(m.domains) > 0 && now.Sub(m.lastMessageAt) >= entryPingDelay:
		if m.rounds > 0 {
			m.firstPinged += entryPings
		}
		for i := range entryPings {
			pings = append(pings, m.domains[(m.firstPinged+i)%len(m.domains)].ping())
		}
	}
	if len(pings) > 0 {
		m.rounds++
	}
	if m.isEntry && m.isolated() {
		pings = append(pings, m.localHosts[:min(len(m.localHosts), entryPings)]...)
	}
	return pings, unresponsive
}

// pingEach pings each domain from which nothing has arrived for a pingInterval.
func (m *domainMonitor) pingEach(now time.Time) (pings []Host, unresponsive []*domainState) {
	for _, d := range m.domains {
		if now.Sub(d.lastMessageAt) < pingInterval {
			continue
		}
		if d.pingPending {
			d.missedPings++
			if d.missedPings >= unresponsiveAfterPings && !d.unresponsive() {
				d.unresponsiveSince = now
				unresponsive = append(unresponsive, d)
			}
		}
		pings = append(pings, d.ping())
	}
	return pings, unresponsive
}

// isolated reports whether this host receives nothing from any other domain and
// its own domain is the minority.
func (m *domainMonitor) isolated() bool { return m.minority && m.rounds > isolatedAfterRounds }

// watchDomains checks for unresponsive failure domains and silent hosts, once in
// each pingInterval.
func (e *Engine) watchDomains(now time.Time) {
	pings, unresponsive := e.domains.check(now)
	e.out.Probes = append(e.out.Probes, pings...)
	for _, d := range unresponsive {
		e.note(Note{Decision: DecisionDomainSilent, Detail: string(d.id), Age: now.Sub(d.lastMessageAt), Attempt: d.missedPings})
	}
	e.decideWithdrawal(now)
	e.watchHosts(now)
	e.timers.Add(now.Add(pingInterval), e.watchDomains)
}

// recordDomainAlive records that a message arrived from a failure domain.
func (e *Engine) recordDomainAlive(now time.Time, id core.DomainID) {
	if e.domains.recordAlive(now, id) {
		e.note(Note{Decision: DecisionDomainResponsive, Detail: string(id)})
	}
	if e.withdrawn {
		e.decideWithdrawal(now)
	}
}

// reaches returns a function that reports whether a call's parts may be sent to a
// failure domain now.
func (e *Engine) reaches(now time.Time, c *call) func(core.DomainID) bool {
	return func(id core.DomainID) bool {
		d := e.domains.byID[id]
		trial := c.route.Repeatable && d != nil && now.Sub(d.unresponsiveSince)%trialInterval < trialDuration
		return d == nil || trial || !d.silent(now)
	}
}

// failsMostRequests reports whether this host cannot serve most requests. It
// decides by the outcome of recent requests; an entry host also counts as failing
// if a local host to which it hands requests over has withdrawn, or if there is no
// such host.
func (e *Engine) failsMostRequests(now time.Time) bool {
	if e.unservedShare > withdrawThreshold {
		return true
	}
	return e.domains.isEntry && (len(e.domains.localHosts) == 0 || now.Sub(e.domains.localWithdrawnAt) < withdrawalReportTTL)
}

// recordResult records whether a caller's request was served.
func (e *Engine) recordResult(now time.Time, served bool) {
	if served {
		e.unservedShare -= unservedGain * e.unservedShare
		return
	}
	e.unservedShare += unservedGain * (1 - e.unservedShare)
	e.decideWithdrawal(now)
}

// decideWithdrawal decides whether this host accepts callers. A host that is
// isolated from the other failure domains and cannot serve most requests accepts
// none until a message arrives from another domain. When all hosts of its domain
// do so, callers use another domain.
//
// A fault that affects all hosts, such as an unavailable store, a burst of requests
// or lost upstreams, does not isolate hosts from each other, so none
// withdraws.
func (e *Engine) decideWithdrawal(now time.Time) {
	isolated := e.domains.isolated()
	switch {
	case e.withdrawn && !isolated:
		e.withdrawn = false
		e.note(Note{Decision: DecisionReturn, Detail: "another failure domain is heard"})
	case !e.withdrawn && isolated && e.failsMostRequests(now):
		e.withdrawn = true
		e.note(Note{Decision: DecisionWithdraw, Detail: "cut off from the other failure domains", Age: now.Sub(e.domains.lastMessageAt)})
	}
}
