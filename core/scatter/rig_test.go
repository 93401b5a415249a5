package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

const ms = time.Millisecond

// rig drives one engine in virtual time against simulated upstreams and hosts,
// whose behaviour the test defines.
type rig struct {
	t       *testing.T
	now     time.Time
	options scatter.Options
	engine  *scatter.Engine
	later   schedule.Timers[func()]
	calls   core.CallID

	// serve returns how an upstream answers a send; nil answers after 5 ms.
	serve func(s scatter.Send) (after time.Duration, outcome scatter.Outcome)
	// relayed returns how a relay answers a send; if nil, serve is used.
	relayed func(s scatter.Send) (after time.Duration, replied scatter.AttemptEnded)
	// notice returns the notice that an upstream attaches to its answer.
	notice func(s scatter.Send) scatter.Notice
	// refuses returns whether an upstream's address refuses connections; if nil,
	// none does.
	refuses func(core.UpstreamID) bool
	// probed is called for each probe; if nil, probes are not answered.
	probed func(core.HostID)
	// peer returns how a host answers a handover.
	peer func(h scatter.Handover) (after time.Duration, outcome scatter.Outcome)
	// versions are those that hosts state in their answers to handovers.
	versions map[core.HostID]uint64

	sends          []scatter.Send
	sentAt         []time.Time
	handovers      []scatter.Handover
	cancels        []scatter.Cancel
	silentReports  [][]core.HostID // reports sent to followers
	answers        map[core.CallID]scatter.Answer
	answered       map[core.CallID]time.Time
	notes          []scatter.Note
	checks         int                 // of upstreams that may have crashed
	storedSuspects [][]scatter.Suspect // reports stored for all hosts

	connectivityChecks int
	quotaRequests      []scatter.QuotaRequest
	quotaReplies       []scatter.QuotaReply
}

var epoch = time.Unix(1_700_000_000, 0)

func newRig(t *testing.T) *rig {
	r := &rig{
		t: t, now: epoch,
		answers: map[core.CallID]scatter.Answer{}, answered: map[core.CallID]time.Time{},
	}
	random := uint32(1)
	r.options = scatter.Options{
		Self: "host-1", Domain: "d1",
		Extra:        scatter.ExtraLimits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second},
		AnswerMargin: 10 * ms,
		AssumedHosts: 1,
		FirstStart:   true,
		Random: func() float64 {
			random = random*1664525 + 1013904223
			return float64(random>>8) / (1 << 24)
		},
	}
	r.engine = scatter.New(r.options)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
	return r
}

// step passes one event to the engine and carries out its actions.
func (r *rig) step(event scatter.Event) {
	var out scatter.Actions
	r.engine.Step(r.now, event, &out)
	r.notes = append(r.notes, out.Notes...)
	r.cancels = append(r.cancels, out.Cancels...)
	r.quotaRequests, r.quotaReplies = append(r.quotaRequests, out.QuotaRequests...), append(r.quotaReplies, out.QuotaReplies...)
	if out.Silent != nil {
		r.silentReports = append(r.silentReports, out.Silent.Hosts)
	}
	for _, a := range out.Answers {
		if _, twice := r.answers[a.Call]; twice {
			r.t.Errorf("call %d was answered twice", a.Call)
		}
		r.answers[a.Call], r.answered[a.Call] = a, r.now
	}
	for _, s := range out.Sends {
		r.sends = append(r.sends, s)
		r.sentAt = append(r.sentAt, r.now)
		after, outcome := 5*ms, scatter.Succeeded
		if r.serve != nil {
			after, outcome = r.serve(s)
		}
		replied := scatter.AttemptEnded{Outcome: outcome}
		if s.Via.ID != "" && r.relayed != nil {
			after, replied = r.relayed(s)
		}
		if r.notice != nil {
			replied.Notice = r.notice(s)
		}
		replied.Attempt, replied.Payload = s.Attempt, string(s.Target.ID)
		r.later.Add(r.now.Add(after), func() { r.step(replied) })
	}
	for _, check := range out.Checks {
		u := check.Target
		if check.Round == 0 {
			r.checks++
		} else {
			r.connectivityChecks++
		}
		result := scatter.UpstreamListens
		if r.refuses != nil && r.refuses(u.ID) {
			result = scatter.UpstreamRefuses
		}
		r.later.Add(r.now.Add(ms), func() { r.step(scatter.UpstreamChecked{Upstream: u.Start(), Result: result, Round: check.Round}) })
	}
	if out.Suspects != nil {
		r.storedSuspects = append(r.storedSuspects, out.Suspects.Suspects)
	}
	for _, h := range out.Probes {
		if r.probed != nil {
			r.probed(h.ID)
		}
	}
	for _, h := range out.Handovers {
		r.handovers = append(r.handovers, h)
		after, outcome := r.peer(h)
		r.later.Add(r.now.Add(after), func() {
			r.step(scatter.HandoverEnded{Call: h.Call, To: h.To.ID, Outcome: outcome, Payload: string(h.To.ID), Version: r.versions[h.To.ID]})
		})
	}
}

// run advances the virtual time and runs what is due meanwhile.
func (r *rig) run(d time.Duration) {
	end := r.now.Add(d)
	for {
		next, due := r.later.Next(), r.engine.Next()
		if next.IsZero() || !due.IsZero() && due.Before(next) {
			next = due
		}
		if next.IsZero() || next.After(end) {
			break
		}
		if next.After(r.now) {
			r.now = next
		}
		if fire, ready := r.later.Pop(r.now); ready {
			fire()
		} else {
			r.step(scatter.Tick{})
		}
	}
	r.now = end
}

// ask sends a request for a path.
func (r *rig) ask(path string) core.CallID {
	return r.arrive(scatter.RequestArrived{Path: path, Budget: time.Second})
}

// warmUp opens the congestion windows of a gather's upstreams. They answer after
// the given latency, which becomes the usual latency of the route.
func (r *rig) warmUp(path string, latency time.Duration) {
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return latency, scatter.Succeeded }
	for range 40 {
		r.ask(path)
		r.ask(path)
		r.run(2 * latency)
	}
}

// arrive passes a request to the engine, and fills in its call ID, host name, time
// and request ID.
func (r *rig) arrive(a scatter.RequestArrived) core.CallID {
	r.calls++
	a.Call, a.Host, a.At = r.calls, "h.example", r.now
	a.RequestID = fmt.Sprint("request-", r.calls)
	if a.Fingerprint == (core.Fingerprint{}) {
		a.Fingerprint = core.FingerprintOf([]byte(a.RequestID))
	}
	r.step(a)
	return r.calls
}

// want returns the answer to a call, which must be of the given kind.
func (r *rig) want(call core.CallID, kind scatter.AnswerKind) scatter.Answer {
	r.t.Helper()
	a, found := r.answers[call]
	if !found {
		r.t.Fatalf("call %d has no answer; want %v", call, kind)
	}
	if a.Kind != kind {
		r.t.Fatalf("call %d: %v, want %v", call, a.Kind, kind)
	}
	return a
}

// sentTo counts the sends to an upstream.
func (r *rig) sentTo(id core.UpstreamID) int {
	count := 0
	for _, s := range r.sends {
		if s.Target.ID == id {
			count++
		}
	}
	return count
}

// The routes of the test configuration: a gather, a gather over the same shards
// with a shorter target, a repeatable route, a route that is not repeatable, and
// a route whose requests are split over two services.
const (
	gatherPath = "/gather/"
	quickPath  = "/quick/"
	fetchPath  = "/fetch/"
	orderPath  = "/order/"
	splitPath  = "/split/"
)

// configure applies a configuration with the given number of shards and the
// services files and orders. Each service has two upstreams, whose names end in -a
// and -b.
func (r *rig) configure(version uint64, shards int) {
	services := map[core.ServiceID]scatter.Service{}
	add := func(id core.ServiceID) { services[id] = scatter.Service{ID: id, Connections: 96} }
	gather := &scatter.Route{
		Name: "gather", Host: "h.example", Prefix: gatherPath, Repeatable: true, Timeout: 800 * ms, Target: 100 * ms,
		Priority: 1, MaxUpstreams: 2, TopRecords: 10, MinCoverage: 0.75,
	}
	var upstreams []scatter.Upstream
	for i := range shards {
		id := core.ServiceID(fmt.Sprintf("shard%02d", i))
		add(id)
		gather.Shards = append(gather.Shards, id)
		upstreams = append(upstreams, pair(id)...)
	}
	plain := func(name, prefix string, repeatable bool, targets ...scatter.Target) *scatter.Route {
		return &scatter.Route{
			Name: name, Host: "h.example", Prefix: prefix, Repeatable: repeatable, Timeout: 800 * ms, Target: 200 * ms,
			Priority: 2, MaxUpstreams: 2, Targets: targets,
		}
	}
	for _, id := range []core.ServiceID{"files", "orders"} {
		add(id)
		upstreams = append(upstreams, pair(id)...)
	}
	quick := *gather
	quick.Name, quick.Prefix, quick.Target, quick.Priority = "quick", quickPath, 60*ms, 2
	routes := []*scatter.Route{
		gather,
		&quick,
		plain("fetch", fetchPath, true, scatter.Target{Service: "files", Weight: 1}),
		plain("order", orderPath, false, scatter.Target{Service: "orders", Weight: 1}),
		plain("split", splitPath, true, scatter.Target{Service: "files", Weight: 3}, scatter.Target{Service: "orders", Weight: 1}),
	}
	r.step(scatter.UpstreamsListed{Upstreams: upstreams})
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(version, routes, services, scatter.CallerLimits{})})
}

// pair returns the two upstreams of a service.
func pair(service core.ServiceID) []scatter.Upstream {
	one := func(suffix string, domain core.DomainID) scatter.Upstream {
		id := core.UpstreamID(string(service) + "-" + suffix)
		return scatter.Upstream{ID: id, Service: service, Domain: domain, Address: "host-of-" + string(id) + ":1", Slots: 2}
	}
	return []scatter.Upstream{one("a", "d1"), one("b", "d2")}
}
