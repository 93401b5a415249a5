package scatter_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// rolloutTier drives several engines, a store and upstreams of two versions in virtual time.
type rolloutTier struct {
	t        *testing.T
	now      time.Time
	random   *rand.Rand
	hosts    []scatter.Host
	engines  []*scatter.Engine // nil while a host is down
	cut      map[int]bool      // hosts without store and other hosts
	later    schedule.Timers[func()]
	order    *scatter.RolloutOrder
	record   scatter.RolloutRecord
	revision uint64
	down     bool // the store
	refused  int  // the host whose writes the store refuses, -1 for none
	// lag is how much later hosts learn of records.
	lag    map[int]time.Duration
	served []scatter.Upstream
	calls  core.CallID
	paths  []string
	rate   float64 // requests per second
	// bad returns how an answer of the new version deviates.
	bad func(route string, since time.Duration, running int) (fails, slow bool)

	requests, exposed, badAnswers int
	lost                          int            // requests without a good answer
	running                       map[string]int // by version
	ordered, fiftieth             time.Time
	newSends, oldSends            []time.Time
	phases                        []scatter.RolloutPhase
	reason                        string
	ended                         time.Time
	oldRunningAtEnd, decidedBy    int
	uneven                        bool // upstreams differ and pause
}

var rolloutLimits = scatter.RolloutLimits{Share: 0.1, Slack: 50, Rollback: 5 * time.Second, Apply: 5 * time.Second}

const rolloutTime = 30 * time.Second

func newRolloutTier(t *testing.T, hosts int, rate float64) *rolloutTier {
	r := &rolloutTier{t: t, now: epoch, random: rand.New(rand.NewPCG(1, 2)), rate: rate, cut: map[int]bool{}, running: map[string]int{}, revision: 100, refused: -1, paths: []string{"/a", "/b"}}
	for i := range hosts {
		r.hosts = append(r.hosts, scatter.Host{ID: core.HostID(fmt.Sprintf("host-%d", i)), Domain: "d1", Cores: 1})
	}
	r.engines = make([]*scatter.Engine, hosts)
	r.addUpstreams("v1", 4)
	for i := range hosts {
		r.start(i)
	}
	return r
}

func (r *rolloutTier) addUpstreams(version string, count int) {
	for i := range count {
		u := scatter.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("%s-%d", version, i)), Service: "s", Domain: "d1", Address: fmt.Sprintf("%s-%d:1", version, i),
			Version: version, Slots: 6, Started: r.now.UnixMilli(),
		}
		r.served = append(r.served, u)
		r.tell(scatter.UpstreamSeen{Upstream: u})
	}
}

// baseGone is how long a version may be gone, with the time until it counts as removed.
const baseGone = 13 * time.Second

// bounce removes the upstreams of the old version for a time.
func (r *rolloutTier) bounce(d time.Duration) {
	old := r.served[:4]
	for _, u := range old {
		r.tell(scatter.UpstreamRemoved{ID: u.ID})
	}
	r.run(d)
	for _, u := range old {
		r.tell(scatter.UpstreamSeen{Upstream: u})
	}
}

// start starts a host, which reads everything from the store.
func (r *rolloutTier) start(i int) {
	r.engines[i] = r.newEngine(i)
	for _, event := range r.state() {
		r.step(i, event)
	}
}

func (r *rolloutTier) newEngine(i int) *scatter.Engine {
	return scatter.New(scatter.Options{
		Self: r.hosts[i].ID, Domain: "d1", AssumedHosts: 1, Random: r.random.Float64, Rollout: rolloutLimits,
		Extra: scatter.ExtraLimits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second},
	})
}

// state returns what a host reads from the store.
func (r *rolloutTier) state() []scatter.Event {
	var routes []*scatter.Route
	for _, name := range []string{"/a", "/b"} {
		routes = append(routes, &scatter.Route{
			Name: name, Host: "h", Prefix: name, Repeatable: true, Timeout: time.Second, Target: 200 * ms, MaxUpstreams: 2,
			Targets: []scatter.Target{{Service: "s", Weight: 1}},
		})
	}
	routes = append(routes, &scatter.Route{
		Name: "/g", Host: "h", Prefix: "/g", Repeatable: true, Timeout: time.Second, Target: 200 * ms, MaxUpstreams: 2,
		Shards: []core.ServiceID{"s", "t"}, MinCoverage: 1,
	})
	services := map[core.ServiceID]scatter.Service{"s": {ID: "s", Connections: 200}, "t": {ID: "t", Connections: 200}}
	config := scatter.NewConfig(1, routes, services, scatter.CallerLimits{})
	return []scatter.Event{
		scatter.ConfigSeen{Config: config},
		scatter.UpstreamsListed{Upstreams: slices.Clone(r.served)},
		scatter.HostsSeen{Hosts: r.hosts},
		r.orders(),
		r.records(),
	}
}

func (r *rolloutTier) orders() scatter.Event {
	if r.order == nil {
		return scatter.RolloutsSeen{}
	}
	return scatter.RolloutsSeen{Orders: []scatter.RolloutOrder{*r.order}}
}

func (r *rolloutTier) records() scatter.Event {
	if r.record.Revision == 0 {
		return scatter.RolloutRecordsSeen{}
	}
	return scatter.RolloutRecordsSeen{Records: []scatter.RolloutRecord{r.record}}
}

// tell passes an event to all hosts that are up and in contact.
func (r *rolloutTier) tell(event scatter.Event) {
	for i := range r.engines {
		if !r.cut[i] {
			r.step(i, event)
		}
	}
}

func (r *rolloutTier) after(d time.Duration, do func()) { r.later.Add(r.now.Add(d), do) }

// stepLater passes an event to a host unless it was replaced meanwhile.
func (r *rolloutTier) stepLater(i int, d time.Duration, event scatter.Event) {
	engine := r.engines[i]
	r.after(d, func() {
		if r.engines[i] == engine {
			r.step(i, event)
		}
	})
}

func (r *rolloutTier) step(i int, event scatter.Event) {
	if r.engines[i] == nil {
		return
	}
	var out scatter.Actions
	r.engines[i].Step(r.now, event, &out)
	for _, s := range out.Sends {
		r.serve(i, s)
	}
	for _, a := range out.Answers {
		if a.Kind != scatter.PassedOn && a.Kind != scatter.Gathered || a.Payload == scatter.Failed {
			r.lost++
		}
	}
	for _, w := range out.RolloutWrites {
		r.after(30*ms, func() { r.write(i, w) })
	}
	for _, report := range out.RolloutReports {
		to := slices.IndexFunc(r.hosts, func(h scatter.Host) bool { return h.ID == report.To.ID })
		r.after(3*ms, func() {
			reached := !r.cut[i] && !r.cut[to] && r.engines[to] != nil
			if reached {
				r.step(to, scatter.RolloutReported{RolloutReport: report.Report})
			}
			r.step(i, scatter.RolloutReportTaken{By: report.To.ID, Declined: !reached || !r.engines[to].MayDecideRollouts()})
		})
	}
}

func (r *rolloutTier) serve(i int, s scatter.Send) {
	version, outcome := s.Target.Version, scatter.Succeeded
	if s.Target.Service == "t" {
		r.stepLater(i, 5*ms, scatter.AttemptEnded{Attempt: s.Attempt, Outcome: outcome, Payload: outcome})
		return
	}
	latency := 8*ms + time.Duration(r.random.ExpFloat64()*float64(4*ms))
	r.running[version]++
	if version == "v1" {
		r.oldSends = append(r.oldSends, r.now)
	} else {
		r.exposed++
		r.newSends = append(r.newSends, r.now)
	}
	fails, slow := false, false
	if version != "v1" && r.bad != nil {
		fails, slow = r.bad([]string{"/a", "/b"}[s.Call%2], r.now.Sub(r.ordered), r.running[version])
	}
	if fails || r.random.Float64() < 0.003 {
		outcome = scatter.Failed
	}
	if slow {
		latency *= 5
	}
	if version == "v1" && r.random.Float64() < 0.005 {
		latency = 700 * ms
	}
	if r.uneven {
		at := int(s.Target.ID[len(s.Target.ID)-1] - '0')
		latency = time.Duration([]float64{0.8, 1, 1.3, 1}[at] * float64(latency))
		// Each upstream pauses for 120 to 250 ms every 3 to 6 s.
		period, pause := time.Duration(3000+900*at)*ms, time.Duration(120+40*at)*ms
		phase := (r.now.Sub(epoch) + time.Duration(len(s.Target.ID)*777+at*1234+int(version[1])*419)*ms) % period
		if phase < pause {
			latency += pause - phase
		}
	}
	r.after(latency, func() {
		r.running[version]--
		if fails || slow {
			if r.badAnswers++; r.badAnswers == 50 {
				r.fiftieth = r.now
			}
		}
	})
	r.stepLater(i, latency, scatter.AttemptEnded{Attempt: s.Attempt, Outcome: outcome, Payload: outcome})
}

// write executes a decision as the store does.
func (r *rolloutTier) write(i int, w scatter.RolloutWrite) {
	stored := scatter.RolloutStored{Service: "s", Record: w.Record}
	switch {
	case r.down || r.cut[i] || r.refused == i:
		stored.Failed, stored.Unreachable = true, true
		stored.Record.Revision = 0
	case w.StoreRecord && w.Record.Revision != r.record.Revision:
		stored.Failed = true
		stored.Record.Revision = 0
	default:
		if w.StoreRecord {
			r.revision++
			stored.Record.Revision = r.revision
			r.record = stored.Record
			r.phases, r.reason = append(r.phases, w.Record.Phase), w.Record.Reason
			r.decidedBy = i
			for i := range r.engines {
				r.after(100*ms+r.lag[i], func() {
					if !r.cut[i] {
						r.step(i, r.records())
					}
				})
			}
		}
		if state := w.Record.Phase.State(); r.order != nil && w.Order.Revision > 0 && state != r.order.State {
			stored.State = state
			order := *r.order
			order.State, order.StatusTarget = state, w.Record.Target
			r.order, r.reason = &order, w.Record.Reason
			if state.Final() && r.ended.IsZero() {
				r.ended, r.oldRunningAtEnd = r.now, r.running["v1"]
			}
			r.after(100*ms, func() { r.tell(r.orders()) })
		}
	}
	r.step(i, stored)
}

// give stores an order after the upstreams of its version have registered.
func (r *rolloutTier) give(change func(*scatter.RolloutOrder)) {
	r.revision++
	r.ordered, r.requests = r.now, 0
	r.order = &scatter.RolloutOrder{
		RolloutKey: scatter.RolloutKey{Service: "s", Created: r.revision, Target: "v2"}, Name: "s", Duration: rolloutTime, Revision: r.revision,
	}
	if change != nil {
		change(r.order)
	}
	r.after(100*ms, func() { r.tell(r.orders()) })
}

// run lets time pass.
func (r *rolloutTier) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(ms) {
		for {
			do, due := r.later.Pop(r.now)
			if !due {
				break
			}
			do()
		}
		for i, e := range r.engines {
			if e != nil && !e.Next().IsZero() && !e.Next().After(r.now) {
				r.step(i, scatter.Tick{})
			}
		}
		if r.random.Float64() < r.rate/1000 {
			r.calls++
			up := slices.Collect(maps.Keys(r.up()))
			slices.Sort(up)
			r.requests++
			r.step(up[r.random.IntN(len(up))], scatter.RequestArrived{
				Call: r.calls, At: r.now, Host: "h", Path: r.paths[int(r.calls)%len(r.paths)], RequestID: fmt.Sprint(r.calls),
			})
		}
	}
}

func (r *rolloutTier) up() map[int]bool {
	up := map[int]bool{}
	for i, e := range r.engines {
		if e != nil {
			up[i] = true
		}
	}
	return up
}

func (r *rolloutTier) checkExposure() {
	r.t.Helper()
	if most := rolloutLimits.Share*float64(r.requests) + rolloutLimits.Slack; float64(r.exposed) > most {
		r.t.Errorf("%d of %d requests went to the new version, more than %.0f", r.exposed, r.requests, most)
	}
}

func (r *rolloutTier) checkEnd(state scatter.RolloutState) {
	r.t.Helper()
	if r.order.State != state || r.ended.After(r.ordered.Add(rolloutTime)) {
		r.t.Fatalf("state %q after %v, want %q in time; phases %v, reason %q", r.order.State, r.ended.Sub(r.ordered), state, r.phases, r.reason)
	}
}
