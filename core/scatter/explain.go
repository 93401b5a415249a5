package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Explanation says what this host would do with a request now, and why. Times are relative
// to now; a negative age means that there was no observation.
type Explanation struct {
	Host    core.HostID `json:"host"`
	Role    string      `json:"role"`
	Version uint64      `json:"config_version"`
	// Decision is "answer", "hand over", or the kind of the answer at once, with Reason.
	Decision string `json:"decision"`
	Reason   string `json:"reason,omitempty"`
	Route    string `json:"route,omitempty"`
	Team     TeamID `json:"team,omitempty"`
	Quota    *Quota `json:"quota,omitempty"`
	// Hosts are the hosts to which the request may be handed over, the best first.
	Hosts []HostChoice `json:"hosts,omitempty"`
	// ExpectedWaitMs is how long the parts that the answer needs are expected to queue.
	ExpectedWaitMs float64         `json:"expected_wait_ms"`
	Services       []ServiceChoice `json:"services,omitempty"`
}

// HostChoice is a host that may answer the request, and what its choice depends on.
type HostChoice struct {
	ID      core.HostID   `json:"host"`
	Domain  core.DomainID `json:"failure_domain"`
	Running int           `json:"running"`
	Cost    float64       `json:"cost"`
	// Unusable says why the host is not used now.
	Unusable     string  `json:"unusable,omitempty"`
	HeardAgeMs   float64 `json:"heard_age_ms"`
	GathererRank int     `json:"rank"`
}

// ServiceChoice is a service of the route, with its upstreams, the best first.
type ServiceChoice struct {
	Service   core.ServiceID   `json:"service"`
	Weight    float64          `json:"weight,omitempty"` // of a route that is split
	Queued    int              `json:"queued"`
	Upstreams []UpstreamChoice `json:"upstreams"`
}

// UpstreamChoice is an upstream and what its choice depends on.
type UpstreamChoice struct {
	ID     core.UpstreamID `json:"upstream"`
	Domain core.DomainID   `json:"failure_domain"`
	// Relay is the host through which the parts of a gather would be sent.
	Relay        core.HostID `json:"relay,omitempty"`
	Cost         float64     `json:"cost"`
	Slowness     float64     `json:"slowness"`
	FailureShare float64     `json:"failure_share"`
	ObservedMs   float64     `json:"observed_age_ms"`
	Running      int         `json:"running"`
	MaxRunning   int         `json:"max_running"`
	// Unusable says why the upstream gets nothing now.
	Unusable string `json:"unusable,omitempty"`
}

// Explain returns what this host would do with a request now. It changes nothing and sends
// nothing. A request of many shards lists all of them.
func (e *Engine) Explain(now time.Time, a RequestArrived) Explanation {
	x := Explanation{Host: e.options.Self, Role: e.fleet.role.String(), Version: e.Version()}
	if e.shouldHandOver(a) {
		x.Decision, x.Hosts = "hand over", e.explainHosts(now, a)
		x.Reason = "this host is no gatherer"
		if e.connectivity.partitioned {
			x.Reason = unreachableUpstreams
		}
		if len(x.Hosts) > 0 && x.Hosts[0].Unusable == "" {
			return x
		}
		x.Reason += ", and no other host accepts the request"
	}
	if !e.Ready() {
		x.Decision, x.Reason = Refused.String(), "the configuration or the upstreams are not known yet"
		return x
	}
	route := e.config.Match(a.Host, a.Path)
	if route == nil {
		x.Decision, x.Reason = NoRoute.String(), "no route has this host and path"
		return x
	}
	x.Route = route.Name
	team, ok := e.config.identify(route, a)
	if team != nil {
		x.Team = team.ID
		if team.Quota.Limited() {
			x.Quota = &team.Quota
		}
	}
	switch {
	case !ok && a.HasKey && e.directory.stale(now):
		x.Decision, x.Reason = Refused.String(), "the key may be newer than the configuration"
	case !ok:
		x.Decision, x.Reason = Unauthorized.String(), "the route requires a key that a team has"
	case team != nil && e.keysUnconfirmed(now):
		x.Decision, x.Reason = Refused.String(), "the key cannot be confirmed"
	default:
		e.explainAnswer(now, a, &x, route, team)
	}
	return x
}

// explainAnswer adds what an answer from upstreams depends on.
func (e *Engine) explainAnswer(now time.Time, a RequestArrived, x *Explanation, route *Route, team *Team) {
	c := &call{request: a, route: route, team: team, config: e.config, deadline: a.At.Add(route.Timeout), answerAt: a.At.Add(route.Target)}
	weights := map[core.ServiceID]float64{}
	services := route.Shards
	for _, target := range route.Targets {
		services = append(slices.Clip(services), target.Service)
		weights[target.Service] = target.Weight
	}
	waits := make([]time.Duration, len(services))
	usable := 0
	for i, id := range services {
		p := &part{call: c, service: id}
		q := e.queues[id]
		if q == nil {
			q = &queue{}
		}
		choice := ServiceChoice{Service: id, Queued: len(q.parts), Upstreams: e.explainUpstreams(now, p)}
		if len(route.Targets) > 1 {
			choice.Weight = weights[id]
		}
		if len(q.parts) > 0 {
			waits[i] = q.expectedWait(now, q.ahead(now, c))
		}
		waits[i] = max(waits[i], e.limitWait(now, p))
		if at, found := e.availableAt(now, p); found && at.Before(c.queueDeadline()) {
			usable++
		}
		x.Services = append(x.Services, choice)
	}
	needed := min(c.minParts(), len(services))
	wait := slices.Sorted(slices.Values(waits))[max(0, needed-1)]
	x.ExpectedWaitMs = durationMs(wait)
	until, quarantined := e.quarantine.until(now, a.Fingerprint)
	switch {
	case quarantined:
		x.Decision, x.Reason = Refused.String(), "upstreams ended under the question; again in "+until.Sub(now).String()
	case usable < needed:
		x.Decision, x.Reason = Refused.String(), "too few services have an upstream"
	case route.IsGather() && wait > time.Duration(e.admission.share*float64(c.answerAt.Sub(now))):
		x.Decision, x.Reason = Refused.String(), "the upstreams' queues are long"
	default:
		x.Decision = "answer"
	}
}

// explainHosts lists the hosts to which a request may be handed over.
func (e *Engine) explainHosts(now time.Time, a RequestArrived) (choices []HostChoice) {
	h := &handover{request: a}
	for rank, host := range e.fleet.handoverTargets() {
		p := e.fleet.peers[host.ID]
		if p == nil {
			continue
		}
		choices = append(choices, HostChoice{
			ID: p.ID, Domain: p.Domain, Running: p.running, Cost: e.handoverCost(now, p, rank), Unusable: e.unusableFor(now, h, p),
			HeardAgeMs: ageMs(now, p.heardAt), GathererRank: rank,
		})
	}
	slices.SortStableFunc(choices, func(a, b HostChoice) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Unusable)), min(1, len(b.Unusable))), cmp.Compare(a.Cost, b.Cost))
	})
	return choices
}

// explainUpstreams lists the upstreams of a part's service.
func (e *Engine) explainUpstreams(now time.Time, p *part) []UpstreamChoice {
	shares := e.sharesOf(p.call.config.Services[p.service])
	choices := []UpstreamChoice{}
	for _, u := range e.directory.byService[p.service] {
		choice := UpstreamChoice{
			ID: u.ID, Domain: u.Domain, Cost: e.directory.cost(now, u), Slowness: u.slownessAt(now), FailureShare: u.failureShare * u.decay(now),
			ObservedMs: ageMs(now, u.observedAt), Running: len(u.running), MaxRunning: min(shares.maxInFlight(u, e.fleet.domain), int(u.window)),
			Unusable: e.unusableUpstream(now, p, u),
		}
		if e.mayRelay(p.call) && u.Domain != e.fleet.domain {
			if relay := e.fleet.pickRelay(now, u.Domain); relay != nil {
				choice.Relay = relay.ID
			}
		}
		if choice.Unusable == "" && choice.Running >= choice.MaxRunning {
			choice.Unusable = "at its limit"
		}
		choices = append(choices, choice)
	}
	slices.SortStableFunc(choices, func(a, b UpstreamChoice) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Unusable)), min(1, len(b.Unusable))), cmp.Compare(a.Cost, b.Cost))
	})
	return choices
}

// unusableUpstream returns why an upstream gets nothing now, whatever runs there; empty if
// it may.
func (e *Engine) unusableUpstream(now time.Time, p *part, u *upstream) string {
	switch {
	case u.Draining:
		return "draining"
	case u.leaving:
		return "it says that it leaves"
	case e.directory.domainsOut[u.Domain]:
		return "its failure domain is out"
	case !p.call.allowsRegion(e.options.Regions[u.Domain]):
		return "in a region that is not allowed"
	case !e.reaches(now, p.call)(u.Domain):
		return "its failure domain is silent"
	case now.Before(u.withheldUntil):
		return "it asked to be left alone"
	case now.Before(u.limit.allowedAt()):
		return "its rate limit leaves no room"
	case e.directory.superseded(now, u):
		return "another upstream uses its address"
	case now.Before(u.backoffUntil):
		return "backed off"
	case !e.directory.coldAllows(now, u, p.call.config.Services[p.service]):
		return "cold"
	case u.stalled(now):
		return "stalled, used only if no other is free"
	}
	return ""
}

func durationMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ageMs returns how long ago something was, in milliseconds; -1 if it never was.
func ageMs(now, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return durationMs(now.Sub(at))
}
