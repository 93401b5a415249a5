package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// contactEvery is how long a failure domain may be silent before one of its
	// hosts is pinged, and then another one.
	contactEvery = 250 * time.Millisecond
	// darkAfter pings in a row without an answer make a domain dark.
	darkAfter = 3
	// entryQuiet is how long nothing may come from any other domain before a
	// host that sends nothing to upstreams pings entryPings hosts each
	// contactEvery. It is more than the pause between two heartbeats of the
	// host that it follows.
	entryQuiet = time.Second
	entryPings = 2
	// pingedHosts of each domain are pinged, in turn while they do not answer.
	pingedHosts = 3
	// cutOffAfter rounds of pings without anything from any other domain make a
	// host cut off.
	cutOffAfter = 3
	// trialEvery is how often, and trialFor how long, parts that may be repeated
	// are sent to a silent domain all the same: its hosts may be gone for good
	// and its upstreams back.
	trialEvery = 2 * time.Second
	trialFor   = 40 * time.Millisecond
	// unservedGain is the weight of one request in the share that is not
	// served; above withdrawAbove a host that is cut off takes no callers.
	unservedGain  = 0.2
	withdrawAbove = 0.5
	// reportHolds is how long it counts that a host of the own domain takes no
	// callers.
	reportHolds = time.Second
)

// contacts is what this host believes of its ways to the other failure domains.
// Whatever comes from a domain's hosts or upstreams shows that the way is
// there; while nothing comes, hosts are pinged.
type contacts struct {
	domains []*domainContact // of other hosts, in this host's own order
	of      map[core.HostID]*domainContact
	byID    map[core.DomainID]*domainContact
	// near are the hosts of this host's own domain that may gather.
	near []Host
	// entry hosts watch the other domains as a whole.
	entry bool
	// minority says that the hosts of this host's own domain are fewer than the
	// others together. Of two halves that are cut from each other one goes on.
	minority bool

	heardAt time.Time // from any other domain
	rounds  int       // of pings since then
	turn    int       // the first domain that an entry host pings
	// nearWithdrawnAt is when a host of the own domain last said that it takes
	// no callers.
	nearWithdrawnAt time.Time
}

// domainContact is one failure domain with hosts of the tier.
type domainContact struct {
	id        core.DomainID
	hosts     []Host // the first in this host's own order
	next      int    // the host to ping
	heardAt   time.Time
	asked     bool // the last ping has no answer
	missed    int  // pings in a row without one
	darkSince time.Time
	sentAt    time.Time // the first send since the domain was heard
}

func (d *domainContact) dark() bool { return !d.darkSince.IsZero() }

// silent says that neither the hosts nor the upstreams of a domain answer. The
// hosts alone may be gone for another reason.
func (d *domainContact) silent(now time.Time) bool {
	return d.dark() && !d.sentAt.IsZero() && now.Sub(d.sentAt) >= contactEvery
}

// ping returns the host of the domain whose turn it is.
func (d *domainContact) ping() Host {
	if d.asked {
		d.next++
	}
	d.asked = true
	return d.hosts[d.next%len(d.hosts)]
}

// set takes the hosts of the tier, those of the own domain that may gather, and
// whether this host is an entry host. What is believed of a domain stays.
func (c *contacts) set(now time.Time, self Host, hosts, near []Host, entry bool) {
	before := c.byID
	c.domains, c.of, c.byID = nil, map[core.HostID]*domainContact{}, map[core.DomainID]*domainContact{}
	c.near, c.entry = near, entry
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
			d = &domainContact{id: h.Domain, heardAt: now}
			if known := before[h.Domain]; known != nil {
				*d = *known
				d.hosts = nil
			}
			c.byID[h.Domain] = d
			c.domains = append(c.domains, d)
		}
		d.hosts = append(d.hosts, h)
		c.of[h.ID] = d
	}
	c.minority = 2*own < len(hosts) || 2*own == len(hosts) && first != self.Domain
	// Hosts that all ask in the same order would all ask the same few.
	mine := func(name string) uint64 { return rendezvous(self.ID, core.UpstreamID(name)) }
	slices.SortFunc(c.domains, func(a, b *domainContact) int { return cmp.Compare(mine(string(a.id)), mine(string(b.id))) })
	for _, d := range c.domains {
		slices.SortFunc(d.hosts, func(a, b Host) int { return cmp.Compare(mine(string(a.ID)), mine(string(b.ID))) })
		d.hosts = d.hosts[:min(len(d.hosts), pingedHosts)]
	}
}

// heard notes that something came from a domain. True means that it was dark.
func (c *contacts) heard(now time.Time, id core.DomainID) bool {
	d := c.byID[id]
	if d == nil {
		return false
	}
	was := d.dark()
	d.heardAt, d.asked, d.missed, d.darkSince, d.sentAt = now, false, 0, time.Time{}, time.Time{}
	c.heardAt, c.rounds = now, 0
	return was
}

// sent notes a send to an upstream of a domain.
func (c *contacts) sent(now time.Time, id core.DomainID) {
	if d := c.byID[id]; d != nil && d.sentAt.IsZero() {
		d.sentAt = now
	}
}

// watch returns the hosts to ping, and the domains that have just become dark.
// It runs once each contactEvery.
func (c *contacts) watch(now time.Time) (pings []Host, dark []*domainContact) {
	switch {
	case !c.entry:
		pings, dark = c.watchEach(now)
	case len(c.domains) > 0 && now.Sub(c.heardAt) >= entryQuiet:
		if c.rounds > 0 {
			c.turn += entryPings
		}
		for i := range entryPings {
			pings = append(pings, c.domains[(c.turn+i)%len(c.domains)].ping())
		}
	}
	if len(pings) > 0 {
		c.rounds++
	}
	if c.entry && c.cutOff() {
		pings = append(pings, c.near[:min(len(c.near), entryPings)]...)
	}
	return pings, dark
}

// watchEach pings each silent domain.
func (c *contacts) watchEach(now time.Time) (pings []Host, dark []*domainContact) {
	for _, d := range c.domains {
		if now.Sub(d.heardAt) < contactEvery {
			continue
		}
		if d.asked {
			d.missed++
			if d.missed >= darkAfter && !d.dark() {
				d.darkSince = now
				dark = append(dark, d)
			}
		}
		pings = append(pings, d.ping())
	}
	return pings, dark
}

// cutOff says that this host reaches no other domain and is on the smaller side.
func (c *contacts) cutOff() bool { return c.minority && c.rounds > cutOffAfter }

// watch looks for silent failure domains and hosts, once each contactEvery.
func (e *Engine) watch(now time.Time) {
	pings, dark := e.contacts.watch(now)
	e.out.Probes = append(e.out.Probes, pings...)
	for _, d := range dark {
		e.note(Note{Decision: DecisionDark, Detail: string(d.id), Age: now.Sub(d.heardAt), Attempt: d.missed})
	}
	e.decideWithdrawal(now)
	e.watchHosts(now)
	e.timers.Add(now.Add(contactEvery), e.watch)
}

// heardFromDomain notes that something came from a failure domain.
func (e *Engine) heardFromDomain(now time.Time, id core.DomainID) {
	if e.contacts.heard(now, id) {
		e.note(Note{Decision: DecisionHeard, Detail: string(id)})
	}
	if e.withdrawn {
		e.decideWithdrawal(now)
	}
}

// reaches says whether a call's parts may be sent to a failure domain.
func (e *Engine) reaches(now time.Time, c *call) func(core.DomainID) bool {
	return func(id core.DomainID) bool {
		d := e.contacts.byID[id]
		trial := c.route.Repeatable && d != nil && now.Sub(d.darkSince)%trialEvery < trialFor
		return d == nil || trial || !d.silent(now)
	}
}

// servesNobody says that this host cannot serve most requests: by what became of
// the last ones or, at a host that hands requests over, by the report of a host
// that gathers in its domain, or because there is none.
func (e *Engine) servesNobody(now time.Time) bool {
	if e.unserved > withdrawAbove {
		return true
	}
	return e.contacts.entry && (len(e.contacts.near) == 0 || now.Sub(e.contacts.nearWithdrawnAt) < reportHolds)
}

// conclude learns from the end of a caller's request.
func (e *Engine) conclude(now time.Time, served bool) {
	if served {
		e.unserved -= unservedGain * e.unserved
		return
	}
	e.unserved += unservedGain * (1 - e.unserved)
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
	cutOff := e.contacts.cutOff()
	switch {
	case e.withdrawn && !cutOff:
		e.withdrawn = false
		e.note(Note{Decision: DecisionReturn, Detail: "another failure domain is heard"})
	case !e.withdrawn && cutOff && e.servesNobody(now):
		e.withdrawn = true
		e.note(Note{Decision: DecisionWithdraw, Detail: "cut off from the other failure domains", Age: now.Sub(e.contacts.heardAt)})
	}
}
