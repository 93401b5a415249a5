package scatter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// tier drives several engines in virtual time against simulated upstreams with
// slots, a short queue, pauses and varying service times. Callers retry a refused
// request once.
type tier struct {
	now       time.Time
	random    *rand.Rand
	hosts     []scatter.Host
	engines   []*scatter.Engine // by host; nil while it is down
	state     []scatter.Event   // what a host reads from the store at its start
	later     schedule.Timers[func()]
	upstreams map[core.UpstreamID]*simUpstream
	calls     core.CallID
	callsByID map[core.CallID]*simCall
	routes    map[string]simRoute
	relay     bool // hosts relay parts for each other

	cuts map[core.HostID]cutKind // hosts that reach no upstream
	// cutAt is when each host was last cut off, open are the connections.
	cutAt                map[core.HostID]time.Time
	open                 map[simLink]bool
	closeShare           float64
	storeAway            bool
	links                map[simAttempt]simLink
	registering          map[int]bool // hosts that are about to store their record again
	counting             bool         // whether first tries are counted
	countSpared          bool         // among the others: hosts whose open connections work
	noted                func(core.HostID, scatter.Note)
	cutTries, otherTries firstTries
}

// simAttempt is an attempt of a host.
type simAttempt struct {
	engine  int
	attempt uint64
}

// simLink is a connection of a host to an upstream.
type simLink struct {
	host core.HostID
	to   core.UpstreamID
}

// simUpstream is one simulated upstream.
type simUpstream struct {
	free     []time.Time // when each slot becomes free
	domain   core.DomainID
	slowness float64
	waiting  int
	pauses   time.Duration // phase of its pauses
	limit    scatter.RateLimit
	limited  time.Time // since when it states the limit
	cold     bool
	arrivals []simArrival // while it states a limit or is cold
	// informedAt is when each host first received an answer with the limit.
	informedAt map[core.HostID]time.Time
}

// simArrival is a request that arrived at an upstream from a host, which may be a
// relay.
type simArrival struct {
	at   time.Time
	from core.HostID
	// informed is true if the host had received an answer with the upstream's
	// limit informedAfter before.
	informed bool
}

// informedAfter is how long after the first answer with a limit a host's requests
// count.
const informedAfter = 500 * ms

// simRoute is a route with the service time, the target and the deadline of its
// requests.
type simRoute struct {
	path             string
	work             time.Duration
	target, deadline time.Duration
}

// simCall is one attempt of a caller.
type simCall struct {
	engine  int
	route   simRoute
	first   time.Time // when the caller sent its first attempt
	retried bool
	result  *simResult
	tries   *firstTries // that count this call
	// handover is the host and the call of a request that was handed over.
	handover *simHandover
}

type simHandover struct {
	engine int
	call   core.CallID
}

// simResult counts how requests ended.
type simResult struct{ asked, inTarget, late, refused, failed int }

const (
	simPause      = 250 * ms
	simPauseEvery = 6 * time.Second
	simQueue      = 12
	simNetwork    = 1 * ms
	// simColdRate is how many requests per second a cold upstream bears.
	simColdRate = 6.0
)

// newTier returns a tier of hosts and of shards with two upstreams of three slots
// each.
func newTier(hosts, shards int, routes ...simRoute) *tier {
	s := &tier{
		now: epoch, random: rand.New(rand.NewPCG(1, 2)), upstreams: map[core.UpstreamID]*simUpstream{},
		callsByID: map[core.CallID]*simCall{}, routes: map[string]simRoute{},
		cuts: map[core.HostID]cutKind{}, cutAt: map[core.HostID]time.Time{}, open: map[simLink]bool{}, closeShare: simCloseShare, registering: map[int]bool{}, links: map[simAttempt]simLink{},
	}
	for i := range hosts {
		s.hosts = append(s.hosts, scatter.Host{ID: core.HostID(fmt.Sprint("host-", i)), Domain: core.DomainID(fmt.Sprint("d", i%3)), Cores: 1})
	}
	services := map[core.ServiceID]scatter.Service{}
	var ids []core.ServiceID
	var upstreams []scatter.Upstream
	for i := range shards {
		id := core.ServiceID(fmt.Sprintf("shard%02d", i))
		ids = append(ids, id)
		services[id] = scatter.Service{ID: id, Connections: 62, ColdRate: simColdRate}
		for n := range 2 {
			u := scatter.Upstream{
				ID: core.UpstreamID(fmt.Sprint(id, "-", n)), Service: id, Domain: core.DomainID(fmt.Sprint("d", (i+n)%3)), Address: "10.0.0.1:1", Slots: 3,
			}
			upstreams = append(upstreams, u)
			s.upstreams[u.ID] = &simUpstream{
				domain: u.Domain,
				free:   make([]time.Time, u.Slots), informedAt: map[core.HostID]time.Time{}, slowness: 0.8 + 0.5*s.random.Float64(), pauses: time.Duration(s.random.Int64N(int64(simPauseEvery))),
			}
		}
	}
	var configured []*scatter.Route
	for i, r := range routes {
		s.routes[r.path] = r
		configured = append(configured, &scatter.Route{
			Name: r.path, Host: "h.example", Prefix: r.path, Repeatable: true, Timeout: r.deadline, Target: r.target,
			Priority: i + 1, MaxUpstreams: 2, Shards: ids, TopRecords: 5, MinCoverage: 0.89 - 0.14*float64(i),
		})
	}
	s.state = []scatter.Event{
		scatter.HostsSeen{Hosts: slices.Clone(s.hosts)},
		scatter.UpstreamsListed{Upstreams: upstreams},
		scatter.ConfigSeen{Config: scatter.NewConfig(1, configured, services, scatter.CallerLimits{})},
	}
	s.engines = make([]*scatter.Engine, hosts)
	for i := range hosts {
		s.start(i)
	}
	return s
}

// start starts or restarts a host, which reads the store.
func (s *tier) start(i int) {
	s.engines[i] = scatter.New(scatter.Options{
		Self: s.hosts[i].ID, Domain: s.hosts[i].Domain, AnswerMargin: 9 * ms, AssumedHosts: len(s.hosts), FirstStart: true, Random: s.random.Float64,
		Extra: scatter.ExtraLimits{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second}, Relay: s.relay,
	})
	for _, u := range s.upstreams {
		delete(u.informedAt, s.hosts[i].ID)
	}
	for _, event := range s.state {
		s.step(i, event)
	}
}

// step passes one event to an engine and carries out its actions.
func (s *tier) step(engine int, event scatter.Event) {
	var out scatter.Actions
	e := s.engines[engine]
	e.Step(s.now, event, &out)
	for _, send := range out.Sends {
		sender := s.hosts[engine].ID
		if send.Via.ID != "" {
			sender = send.Via.ID
		}
		s.send(engine, sender, send)
	}
	for _, c := range out.Cancels {
		delete(s.open, s.links[simAttempt{engine, c.Attempt}])
	}
	for _, check := range out.Checks {
		after, result := s.check(s.hosts[engine].ID)
		s.later.Add(s.now.Add(after), func() {
			if s.engines[engine] == e {
				s.step(engine, scatter.UpstreamChecked{Upstream: check.Target.Start(), Result: result, Round: check.Round})
			}
		})
	}
	for _, n := range out.Notes {
		if s.noted != nil {
			s.noted(s.hosts[engine].ID, n)
		}
	}
	for _, h := range out.Handovers {
		s.handOver(engine, h)
	}
	for _, end := range out.LimitEnds {
		for i, e := range s.engines {
			told := slices.ContainsFunc(end.To, func(h scatter.Host) bool { return h.ID == s.hosts[i].ID })
			if told && e != nil {
				s.later.Add(s.now.Add(simNetwork), func() {
					if s.engines[i] == e {
						s.step(i, scatter.LimitEnded{LimitEnd: end})
					}
				})
			}
		}
	}
	for _, a := range out.Answers {
		s.answered(a)
	}
	s.register(engine)
}

// send carries out a send, which a host decided and sender, itself or a relay, makes.
func (s *tier) send(engine int, sender core.HostID, send scatter.Send) {
	e, sentAt := s.engines[engine], s.now
	end := func(outcome scatter.Outcome, notice scatter.Notice) {
		if s.engines[engine] == e {
			s.step(engine, scatter.AttemptEnded{Attempt: send.Attempt, Outcome: outcome, Payload: "part", Notice: notice})
		}
	}
	link := simLink{sender, send.Target.ID}
	if relay := s.engineOf(send.Via.ID); relay != nil && relay.Partitioned() && (!relay.OpenConnectionsMayWork() || !s.open[link]) {
		declined := scatter.AttemptEnded{Attempt: send.Attempt, Outcome: scatter.NotRelayed, RelayFault: !relay.OpenConnectionsMayWork()}
		s.later.Add(s.now.Add(2*simNetwork), func() {
			if s.engines[engine] == e {
				s.step(engine, declined)
			}
		})
		return
	}
	kind := s.cuts[sender]
	s.links[simAttempt{engine, send.Attempt}] = link
	if kind != noCut && (kind != spares || !s.open[link]) {
		after, outcome := s.cutSend(kind, sender, send)
		if send.Via.ID != "" {
			outcome = outcome.AsRelayed()
		}
		s.later.Add(s.now.Add(after), func() { end(outcome, scatter.Notice{}) })
		return
	}
	s.recordArrival(send.Target.ID, sender)
	after, outcome := s.serve(send)
	s.open[link] = true
	s.later.Add(s.now.Add(after), func() {
		if kind := s.cuts[sender]; kind != noCut && kind != spares && s.cutAt[sender].After(sentAt) {
			s.later.Add(s.now.Add(s.lostAfter(kind, send)), func() { end(scatter.Lost, scatter.Notice{}) })
			return
		}
		if s.random.Float64() < s.closeShare {
			delete(s.open, link)
		}
		end(outcome, s.notice(send.Target.ID, sender))
	})
}

// enableRelay restarts all hosts, which then relay parts for each other.
func (s *tier) enableRelay() {
	s.relay = true
	for i := range s.hosts {
		s.start(i)
	}
}

// recordArrival records a request at an upstream that states a limit.
func (s *tier) recordArrival(id core.UpstreamID, sender core.HostID) {
	u := s.upstreams[id]
	if !u.limit.Stated && !u.cold {
		return
	}
	at, known := u.informedAt[sender]
	u.arrivals = append(u.arrivals, simArrival{s.now, sender, known && s.now.Sub(at) >= informedAfter})
}

// notice returns the notice in an answer that a host receives.
func (s *tier) notice(id core.UpstreamID, receiver core.HostID) scatter.Notice {
	u := s.upstreams[id]
	if _, known := u.informedAt[receiver]; u.limit.Stated && !known {
		u.informedAt[receiver] = s.now
	}
	return scatter.Notice{Limit: u.limit}
}

// handOver passes a request to another host.
func (s *tier) handOver(from int, h scatter.Handover) {
	to := slices.IndexFunc(s.hosts, func(other scatter.Host) bool { return other.ID == h.To.ID })
	if to < 0 || s.engines[to] == nil {
		s.endHandover(simHandover{from, h.Call}, scatter.HandoverEnded{To: h.To.ID, Outcome: scatter.Unreached})
		return
	}
	s.calls++
	call := *s.callsByID[h.Call]
	call.engine, call.handover = to, &simHandover{from, h.Call}
	s.callsByID[s.calls] = &call
	s.later.Add(s.now.Add(simNetwork), s.arrival(s.calls, scatter.RequestArrived{
		At: s.now, Budget: h.Deadline.Sub(s.now), FromHost: true, AllowStale: h.AllowStale, Repeat: h.Repeat,
	}))
}

// endHandover reports the end of a handover to the host that began it.
func (s *tier) endHandover(at simHandover, ended scatter.HandoverEnded) {
	e := s.engines[at.engine]
	s.later.Add(s.now.Add(simNetwork), func() {
		if e != nil && s.engines[at.engine] == e {
			ended.Call = at.call
			s.step(at.engine, ended)
		}
	})
}

// arrival returns a function that passes a call's request to its host.
func (s *tier) arrival(id core.CallID, request scatter.RequestArrived) func() {
	call := s.callsByID[id]
	request.Call, request.RequestID, request.Host, request.Path = id, fmt.Sprint("r-", id), "h.example", call.route.path
	request.Fingerprint = core.FingerprintOf([]byte(request.RequestID))
	return func() {
		if s.engines[call.engine] != nil {
			s.step(call.engine, request)
		}
	}
}

// serve simulates one request at an upstream.
func (s *tier) serve(send scatter.Send) (time.Duration, scatter.Outcome) {
	upstream := s.upstreams[send.Target.ID]
	call := s.callsByID[send.Call]
	arrives := s.now.Add(simNetwork)
	if upstream.waiting >= simQueue+len(upstream.free) {
		return 2 * simNetwork, scatter.NotExecuted
	}
	first := 0
	for i, at := range upstream.free {
		if at.Before(upstream.free[first]) {
			first = i
		}
	}
	start := arrives
	if upstream.free[first].After(start) {
		start = upstream.free[first]
	}
	if start.After(send.Deadline) {
		return send.Deadline.Sub(s.now), scatter.NotExecuted
	}
	factor := math.Exp(0.35 * s.random.NormFloat64())
	end := start.Add(time.Duration(float64(call.route.work) * factor * upstream.slowness))
	if into := (start.Sub(epoch) + upstream.pauses) % simPauseEvery; into < simPause {
		end = end.Add(simPause - into)
	}
	upstream.free[first] = end
	upstream.waiting++
	s.later.Add(end, func() { upstream.waiting-- })
	return end.Sub(s.now) + simNetwork, scatter.Succeeded
}

// ask sends a request to a random host.
func (s *tier) ask(path string, first time.Time, retried bool, result *simResult) {
	s.calls++
	route := s.routes[path]
	engine := s.random.IntN(len(s.engines))
	for s.engines[engine] == nil {
		engine = s.random.IntN(len(s.engines))
	}
	call := &simCall{engine: engine, route: route, first: first, retried: retried, result: result}
	s.callsByID[s.calls] = call
	if !retried {
		result.asked++
		if s.counting {
			call.tries = &s.otherTries
			if kind := s.cuts[s.hosts[engine].ID]; kind != noCut && (!s.countSpared || kind != spares) {
				call.tries = &s.cutTries
			}
			call.tries.asked++
		}
	}
	s.arrival(s.calls, scatter.RequestArrived{At: s.now, Budget: first.Add(route.deadline).Sub(s.now)})()
}

// answered counts an answer, or schedules the retry of a refused request.
func (s *tier) answered(a scatter.Answer) {
	call := s.callsByID[a.Call]
	took := s.now.Sub(call.first)
	served := a.Kind == scatter.Gathered || a.Kind == scatter.PassedOn
	if call.handover != nil {
		outcome := scatter.Failed
		switch {
		case served:
			outcome = scatter.Succeeded
		case a.Kind == scatter.Declined:
			outcome = scatter.NotExecuted
		case a.Kind == scatter.Interrupted:
			outcome = scatter.Lost
		}
		s.endHandover(*call.handover, scatter.HandoverEnded{To: s.hosts[call.engine].ID, Outcome: outcome, Partitioned: a.Partitioned})
		return
	}
	if served && call.tries != nil {
		call.tries.served++
	}
	switch {
	case served && took <= call.route.target:
		call.result.inTarget++
	case served:
		call.result.late++
	case a.Kind == scatter.Refused && !call.retried && took+a.RetryAfter < call.route.deadline:
		s.later.Add(s.now.Add(a.RetryAfter), func() { s.ask(call.route.path, call.first, true, call.result) })
	case a.Kind == scatter.Refused:
		call.result.refused++
	default:
		call.result.failed++
	}
}

// run advances the virtual time and runs what is due meanwhile.
func (s *tier) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		next, engine := s.later.Next(), -1
		for i, e := range s.engines {
			if e == nil {
				continue
			}
			if due := e.Next(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
				next, engine = due, i
			}
		}
		if next.IsZero() || next.After(end) {
			break
		}
		if next.After(s.now) {
			s.now = next
		}
		if engine >= 0 {
			s.step(engine, scatter.Tick{})
		} else if fire, ready := s.later.Pop(s.now); ready {
			fire()
		}
	}
	s.now = end
}

// offer sends requests at the given rate for a duration, and returns how those of
// each path ended.
func (s *tier) offer(perSecond float64, d time.Duration, paths ...string) map[string]*simResult {
	results := map[string]*simResult{}
	for _, path := range paths {
		results[path] = &simResult{}
	}
	for end := s.now.Add(d); s.now.Before(end); {
		path := paths[s.random.IntN(len(paths))]
		s.ask(path, s.now, false, results[path])
		s.run(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	s.run(2 * time.Second)
	return results
}

// id returns the ID of an upstream of a shard.
func (s *tier) id(shard, n int) core.UpstreamID {
	return core.UpstreamID(fmt.Sprintf("shard%02d-%d", shard, n))
}
