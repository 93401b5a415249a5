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
	served   []scatter.Upstream
	calls    core.CallID
	rate     float64 // requests per second
	// bad returns how an answer of the new version deviates.
	bad func(route string, since time.Duration, running int) (fails, slow bool)

	requests, exposed, badAnswers int
	running                       map[string]int // by version
	ordered, fiftieth             time.Time
	newSends, oldSends            []time.Time
	phases                        []scatter.RolloutPhase
	reason                        string
	ended                         time.Time
	oldRunningAtEnd, decidedBy    int
}

var rolloutLimits = scatter.RolloutLimits{Share: 0.1, Slack: 50, Rollback: 5 * time.Second, Apply: 5 * time.Second}

const rolloutTime = 30 * time.Second

func newRolloutTier(t *testing.T, hosts int, rate float64) *rolloutTier {
	r := &rolloutTier{t: t, now: epoch, random: rand.New(rand.NewPCG(1, 2)), rate: rate, cut: map[int]bool{}, running: map[string]int{}, revision: 100}
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
			ID: core.UpstreamID(fmt.Sprintf("%s-%d", version, i)), Service: "s", Domain: "d1", Address: "a:1",
			Version: version, Slots: 6, Started: r.now.UnixMilli(),
		}
		r.served = append(r.served, u)
		r.tell(scatter.UpstreamSeen{Upstream: u})
	}
}

// start starts a host, which reads everything from the store.
func (r *rolloutTier) start(i int) {
	r.engines[i] = scatter.New(scatter.Options{
		Self: r.hosts[i].ID, Domain: "d1", AssumedHosts: 1, Random: r.random.Float64, Rollout: rolloutLimits,
		Extra: scatter.ExtraLimits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second},
	})
	var routes []*scatter.Route
	for _, name := range []string{"/a", "/b"} {
		routes = append(routes, &scatter.Route{
			Name: name, Host: "h", Prefix: name, Repeatable: true, Timeout: time.Second, Target: 200 * ms, MaxUpstreams: 2,
			Targets: []scatter.Target{{Service: "s", Weight: 1}},
		})
	}
	config := scatter.NewConfig(1, routes, map[core.ServiceID]scatter.Service{"s": {ID: "s", Connections: 200}}, scatter.CallerLimits{})
	for _, event := range []scatter.Event{
		scatter.ConfigSeen{Config: config},
		scatter.UpstreamsListed{Upstreams: slices.Clone(r.served)},
		scatter.HostsSeen{Hosts: r.hosts},
		r.orders(), r.records(),
	} {
		r.step(i, event)
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
	for _, w := range out.RolloutWrites {
		r.after(30*ms, func() { r.write(i, w) })
	}
	for _, report := range out.RolloutReports {
		to := slices.IndexFunc(r.hosts, func(h scatter.Host) bool { return h.ID == report.To.ID })
		r.after(3*ms, func() {
			taken := !r.cut[i] && !r.cut[to] && r.engines[to] != nil && r.engines[to].TakesRolloutReports()
			if taken {
				r.step(to, scatter.RolloutReported{RolloutReport: report.Report})
			}
			r.step(i, scatter.RolloutReportTaken{By: report.To.ID, Declined: !taken})
		})
	}
}

func (r *rolloutTier) serve(i int, s scatter.Send) {
	version, outcome := s.Target.Version, scatter.Succeeded
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
	r.after(latency, func() {
		r.running[version]--
		if fails || slow {
			if r.badAnswers++; r.badAnswers == 50 {
				r.fiftieth = r.now
			}
		}
	})
	r.stepLater(i, latency, scatter.AttemptEnded{Attempt: s.Attempt, Outcome: outcome})
}

// write executes a decision as the store does.
func (r *rolloutTier) write(i int, w scatter.RolloutWrite) {
	stored := scatter.RolloutStored{Service: "s", Record: w.Record}
	switch {
	case r.down || r.cut[i]:
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
			r.after(100*ms, func() { r.tell(r.records()) })
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
				Call: r.calls, At: r.now, Host: "h", Path: []string{"/a", "/b"}[r.calls%2], RequestID: fmt.Sprint(r.calls),
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

// A good version that isn't completed in time, or is completed while requests run at the old
// version, which stops at once then.
func TestRolloutCompletesGoodVersion(t *testing.T) {
	for _, rate := range []float64{20, 300} {
		r := newRolloutTier(t, 5, rate)
		r.run(time.Second)
		r.addUpstreams("v2", 4)
		r.give(nil)
		r.run(rolloutTime)
		r.checkEnd(scatter.RolloutCompleted)
		if last := r.oldSends[len(r.oldSends)-1]; r.oldRunningAtEnd > 0 || last.After(r.ended) {
			t.Errorf("rate %g: %d requests ran at the old version at its end, the last send was %v after it", rate, r.oldRunningAtEnd, last.Sub(r.ended))
		}
	}
}

// Bad versions that aren't found, are found too late, or get more than their share before.
func TestRolloutRevertsBadVersion(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	part := func(share float64) bool { return random.Float64() < share }
	for name, bad := range map[string]func(string, time.Duration, int) (bool, bool){
		"failures":     func(string, time.Duration, int) (bool, bool) { return part(0.3), false },
		"slow answers": func(string, time.Duration, int) (bool, bool) { return false, part(0.4) },
		"late failures": func(_ string, since time.Duration, _ int) (bool, bool) {
			return since > 16*time.Second && part(0.5), false
		},
		"failures of a route":  func(route string, _ time.Duration, _ int) (bool, bool) { return route == "/b" && part(0.4), false },
		"slow on a route":      func(route string, _ time.Duration, _ int) (bool, bool) { return false, route == "/a" && part(0.5) },
		"failures under load":  func(_ string, _ time.Duration, running int) (bool, bool) { return running >= 2 && part(0.8), false },
		"slowness that begins": func(_ string, since time.Duration, _ int) (bool, bool) { return false, since > 12*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRolloutTier(t, 5, 400)
			r.bad = bad
			r.run(time.Second)
			r.addUpstreams("v2", 4)
			r.give(nil)
			r.run(rolloutTime + 5*time.Second)
			r.checkEnd(scatter.RolloutReverted)
			r.checkExposure()
			if last := r.newSends[len(r.newSends)-1]; !r.fiftieth.IsZero() && last.Sub(r.fiftieth) > rolloutLimits.Rollback {
				t.Errorf("a request went to the bad version %v after its 50th bad answer", last.Sub(r.fiftieth))
			}
		})
	}
}

// Hosts that are killed, start and are cut off, each with a slack of its own, send more than
// the tier may.
func TestRolloutShareHoldsWhileHostsDie(t *testing.T) {
	for _, rate := range []float64{10, 300} {
		r := newRolloutTier(t, 12, rate)
		r.run(time.Second)
		r.addUpstreams("v2", 4)
		r.give(nil)
		for step := 0; r.now.Before(r.ordered.Add(18 * time.Second)); step++ {
			r.run(200 * ms)
			r.engines[step%12] = nil
			r.start((step + 6) % 12)
			r.cut = map[int]bool{step % 5: step%3 == 0}
			r.checkExposure()
		}
		if r.exposed == 0 && rate > 100 {
			t.Error("nothing was sent to the new version", r.phases)
		}
	}
}

// The death of the host that decides, and a decider that the store refuses, stop the
// roll-out, or begin it anew.
func TestRolloutOutlivesDecider(t *testing.T) {
	for name, fail := range map[string]func(*rolloutTier, int){
		"killed":  func(r *rolloutTier, i int) { r.engines[i] = nil },
		"refused": func(r *rolloutTier, i int) { r.cut[i] = true },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRolloutTier(t, 5, 300)
			r.run(time.Second)
			r.addUpstreams("v2", 4)
			r.give(nil)
			r.run(12 * time.Second)
			fail(r, r.decidedBy)
			r.run(rolloutTime - 12*time.Second)
			r.checkEnd(scatter.RolloutCompleted)
			if !slices.IsSorted(r.phases) || len(slices.Compact(slices.Clone(r.phases))) != len(r.phases) {
				t.Errorf("phases %v", r.phases)
			}
		})
	}
}

// While no decision can be stored, hosts go on sending to a version that they see fail.
func TestRolloutStopsWithoutStore(t *testing.T) {
	r := newRolloutTier(t, 3, 400)
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(8 * time.Second)
	r.down = true
	r.bad = func(string, time.Duration, int) (bool, bool) { return true, false }
	r.run(15 * time.Second)
	if last := r.newSends[len(r.newSends)-1]; r.badAnswers == 0 || last.Sub(r.ordered) > 8*time.Second+rolloutLimits.Rollback {
		t.Errorf("%d bad answers, the last request went to the bad version %v after the order", r.badAnswers, last.Sub(r.ordered))
	}
	if r.order.State != scatter.RolloutRunning {
		t.Errorf("state %q without a store", r.order.State)
	}
}

// Upstreams of another version get requests before their order is known, at a host that has
// just started, after the order was withdrawn, or by an order that makes no sense.
func TestRolloutSendsNothingWithoutOrder(t *testing.T) {
	for name, change := range map[string]func(*rolloutTier){
		"none":           func(*rolloutTier) {},
		"host restarted": func(r *rolloutTier) { r.start(0) },
		"zero duration": func(r *rolloutTier) {
			r.give(func(o *scatter.RolloutOrder) { o.Duration, o.Problem = 0, "no duration" })
		},
		"unknown service": func(r *rolloutTier) {
			r.give(func(o *scatter.RolloutOrder) { o.Name, o.Service = "other", "other" })
		},
		"unknown version": func(r *rolloutTier) { r.give(func(o *scatter.RolloutOrder) { o.Target = "v3" }) },
		"withdrawn": func(r *rolloutTier) {
			r.give(nil)
			r.run(5 * time.Second)
			r.order = nil
			r.tell(r.orders())
			r.run(4 * time.Second)
			r.newSends = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRolloutTier(t, 3, 200)
			r.run(time.Second)
			r.addUpstreams("v2", 4)
			r.run(time.Second)
			change(r)
			r.run(rolloutTime)
			if len(r.newSends) > 0 {
				t.Errorf("%d requests went to the new version", len(r.newSends))
			}
			if r.order != nil && (r.order.State != scatter.RolloutReverted || r.reason == "") {
				t.Errorf("state %q, reason %q", r.order.State, r.reason)
			}
		})
	}
}

// A second order in the place of one that runs moves traffic to a third version.
func TestRolloutRefusesSecondOrder(t *testing.T) {
	r := newRolloutTier(t, 3, 200)
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(6 * time.Second)
	second := *r.order
	second.Target, second.State, second.StatusTarget = "v3", "", ""
	r.addUpstreams("v3", 2)
	r.order = &second
	r.tell(r.orders())
	r.run(3 * time.Second)
	r.newSends = nil
	r.run(rolloutTime)
	if len(r.newSends) > 0 || r.order.State != scatter.RolloutReverted || r.reason == "" {
		t.Errorf("%d requests went to the new versions, state %q, reason %q", len(r.newSends), r.order.State, r.reason)
	}
}

// A record that the store lost by a restore, or that arrives late, undoes a decision.
func TestRolloutNeverReturnsToEarlierPhase(t *testing.T) {
	r := newRolloutTier(t, 3, 300)
	r.bad = func(string, time.Duration, int) (bool, bool) { return true, false }
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(2 * time.Second)
	early := r.record
	r.run(10 * time.Second)
	r.checkEnd(scatter.RolloutReverted)
	r.newSends = nil
	early.Revision = r.record.Revision + 1
	r.tell(scatter.RolloutRecordsSeen{Records: []scatter.RolloutRecord{early}})
	r.run(5 * time.Second)
	if len(r.newSends) > 0 {
		t.Errorf("%d requests went to the version after it was reverted", len(r.newSends))
	}
}
