package gateway

import (
	"fmt"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/plugin/roundrobin"
)

// fixedHedger hedges every service after the same delay, or never if it is zero.
// It records the longest service time that it observed.
type fixedHedger struct {
	delay   time.Duration
	longest *time.Duration
}

// Observe records the longest service time.
func (h fixedHedger) Observe(_ core.ServiceID, took time.Duration) {
	if h.longest != nil {
		*h.longest = max(*h.longest, took)
	}
}

func (h fixedHedger) Delay(core.ServiceID) (time.Duration, bool) { return h.delay, h.delay > 0 }

// fixedAdmission returns the same decision for every query and records the last
// input.
type fixedAdmission struct {
	kind core.Kind
	last core.AdmissionInput
}

func (a *fixedAdmission) Admit(in core.AdmissionInput) (core.Kind, time.Duration) {
	a.last = in
	return a.kind, 70 * time.Millisecond
}

// harness drives one Gateway on host "h0" under virtual time and simulates the
// owners "oa" and "ob" of the upstreams "<service>a" and "<service>b".
type harness struct {
	t                testingT
	g                *Gateway
	now              time.Time
	out              core.Actions
	topology         *core.Topology
	members          *corefake.Membership
	owners           *corefake.Ownership
	admission        *fixedAdmission
	unreadSubQueries []*peerpb.SubQuery
	sentTo           map[uint64]core.HostID
	cancelled        map[uint64]bool
	otherMessages    []core.SendPeer
	answers          map[core.CallID][]*peerpb.QueryReply
}

// testingT is the common interface of testing.TB and rapid.T.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

const hourUs = int64(time.Hour / time.Microsecond)

// newHarness creates a scope "all" over services s00, s01, ... with 100 keys each
// at version 7. configure, if not nil, may change the configuration.
func newHarness(t testingT, services int, configure func(*Config)) *harness {
	h := &harness{
		t:         t,
		now:       time.UnixMicro(1_000_000_000_000),
		topology:  tiledTopology(services, 7),
		members:   &corefake.Membership{Host: "h0", Hosts: []core.HostID{"h0", "h1", "oa", "ob"}},
		owners:    &corefake.Ownership{Host: "h0", Owners: map[core.UpstreamID]core.HostID{}},
		admission: &fixedAdmission{},
		sentTo:    map[uint64]core.HostID{},
		cancelled: map[uint64]bool{},
		answers:   map[core.CallID][]*peerpb.QueryReply{},
	}
	for id := range h.topology.Upstreams {
		h.owners.Owners[id] = core.HostID("o" + id[len(id)-1:])
	}
	config := Config{
		Self: "h0", Incarnation: 1000, Router: roundrobin.New(), Hedger: fixedHedger{},
		Admission: h.admission, Members: h.members, Owners: h.owners,
	}
	if configure != nil {
		configure(&config)
	}
	g, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	h.g = g
	h.g.budget.tokens = g.config.ExtraBurst
	h.step(core.TopologyChanged{Topology: h.topology})
	return h
}

// tiledTopology returns a topology whose services tile [0, 100*services) at each
// of the versions.
func tiledTopology(services int, versions ...uint64) *core.Topology {
	topology := &core.Topology{
		Domains:   map[core.DomainID]core.DomainState{"da": core.In, "db": core.In},
		Services:  map[core.ServiceID]*core.Service{},
		Upstreams: map[core.UpstreamID]*core.Upstream{},
	}
	scope := &core.Scope{ID: "all", Space: core.KeyRange{From: 0, To: uint64(100 * services)}, Reach: 0.5}
	for i := range services {
		id := core.ServiceID(fmt.Sprintf("s%02d", i))
		service := &core.Service{ID: id, Ranges: map[uint64][]core.KeyRange{}}
		for _, version := range versions {
			service.Ranges[version] = []core.KeyRange{{From: uint64(100 * i), To: uint64(100*i + 100)}}
		}
		for _, side := range []string{"a", "b"} {
			upstream := core.UpstreamID(string(id) + side)
			service.Upstreams = append(service.Upstreams, upstream)
			topology.Upstreams[upstream] = &core.Upstream{ID: upstream, Service: id, Domain: core.DomainID("d" + side)}
		}
		topology.Services[id] = service
		scope.Services = append(scope.Services, id)
	}
	topology.Scopes = map[core.ScopeID]*core.Scope{"all": scope}
	return topology
}

func (h *harness) step(event core.Event) {
	h.out.Reset()
	h.g.Step(h.now, event, &h.out)
	h.collect(&h.out)
}

func (h *harness) collect(out *core.Actions) {
	for _, action := range out.List {
		switch a := action.(type) {
		case core.AnswerCaller:
			h.answers[a.Call] = append(h.answers[a.Call], a.Reply)
		case core.SendPeer:
			h.collectMessage(a)
		}
	}
}

func (h *harness) collectMessage(a core.SendPeer) {
	switch body := a.Message.GetBody().(type) {
	case *peerpb.Message_SubQuery:
		h.unreadSubQueries = append(h.unreadSubQueries, body.SubQuery)
		h.sentTo[body.SubQuery.GetAttempt()] = a.To
	case *peerpb.Message_SubCancel:
		h.cancelled[body.SubCancel.GetAttempt()] = true
	default:
		h.otherMessages = append(h.otherMessages, a)
	}
}

// advance advances the virtual time and runs each timer when it is due.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for next := h.g.Next(); !next.IsZero() && !next.After(end); next = h.g.Next() {
		if next.After(h.now) {
			h.now = next
		}
		h.step(core.Tick{})
	}
	h.now = end
	h.step(core.Tick{})
}

// query returns a scope query whose home is the given host.
func (h *harness) query(home core.HostID, text string, limit ...uint32) *peerpb.Query {
	for i := range 1000 {
		q := &peerpb.Query{Scope: "all", Question: fmt.Appendf(nil, "%s %d", text, i), RemainingUs: 1_000_000}
		if len(limit) > 0 {
			q.Limit = limit[0]
		}
		if h.g.homeOf(fingerprintOf(q)) == home {
			return q
		}
	}
	h.t.Fatal("no question found for the home")
	return nil
}

func (h *harness) ask(call core.CallID, q *peerpb.Query) {
	h.step(core.CallerRequest{Call: call, Query: q})
}

// runDirect calls Run and records its answer under the call.
func (h *harness) runDirect(call core.CallID, q *peerpb.Query) {
	var out core.Actions
	h.g.Run(h.now, q, func(_ time.Time, reply *peerpb.QueryReply, _ *core.Actions) {
		h.answers[call] = append(h.answers[call], reply)
	}, &out)
	h.collect(&out)
}

// takeSent returns the sub-queries sent since its last call.
func (h *harness) takeSent() []*peerpb.SubQuery {
	taken := h.unreadSubQueries
	h.unreadSubQueries = nil
	return taken
}

// successReply returns the reply of a shard that covers its whole ranges. Its
// items are the first key of each range.
func (h *harness) successReply(sub *peerpb.SubQuery) *peerpb.SubReply {
	service := h.topology.Services[core.ServiceID(sub.GetService())]
	reply := &peerpb.SubReply{
		Attempt: sub.GetAttempt(), Upstream: sub.GetUpstream(), IndexVersion: sub.GetIndexVersion(),
		Ran: int32(core.HasRun), Payload: []byte("done"), ServiceUs: 5000,
	}
	for _, held := range service.Ranges[sub.GetIndexVersion()] {
		reply.Covered = append(reply.Covered, &peerpb.KeyRange{From: held.From, To: held.To})
		reply.Items = append(reply.Items, &peerpb.Item{Key: held.From, Score: float64(held.From)})
	}
	return reply
}

func failureReply(sub *peerpb.SubQuery, kind core.Kind, ran core.Ran) *peerpb.SubReply {
	return &peerpb.SubReply{
		Attempt: sub.GetAttempt(), Upstream: sub.GetUpstream(), Kind: int32(kind), Ran: int32(ran),
	}
}

func (h *harness) deliverReply(reply *peerpb.SubReply) {
	h.deliverReplyFrom(h.sentTo[reply.GetAttempt()], reply)
}

func (h *harness) deliverReplyFrom(from core.HostID, reply *peerpb.SubReply) {
	h.deliverMessage(from, &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: reply}})
}

func (h *harness) deliverMessage(from core.HostID, m *peerpb.Message) {
	h.step(core.PeerMessage{From: from, Message: m})
}

// reportSlow reports attempts as stragglers.
func (h *harness) reportSlow(subs ...*peerpb.SubQuery) {
	for _, sub := range subs {
		slow := &peerpb.SubSlow{Attempt: sub.GetAttempt()}
		h.deliverMessage(h.sentTo[slow.Attempt], &peerpb.Message{Body: &peerpb.Message_SubSlow{SubSlow: slow}})
	}
}

func (h *harness) deliverSuccess(subs ...*peerpb.SubQuery) {
	for _, sub := range subs {
		h.deliverReply(h.successReply(sub))
	}
}

// answer returns the answer of a call and fails the test unless there is exactly
// one.
func (h *harness) answer(call core.CallID) *peerpb.QueryReply {
	h.t.Helper()
	if len(h.answers[call]) != 1 {
		h.t.Fatalf("call %d has %d answers, want 1", call, len(h.answers[call]))
	}
	return h.answers[call][0]
}

func (h *harness) expectAnswer(call core.CallID, kind core.Kind, ran core.Ran) *peerpb.QueryReply {
	h.t.Helper()
	reply := h.answer(call)
	if core.Kind(reply.GetKind()) != kind || core.Ran(reply.GetRan()) != ran {
		h.t.Errorf("answer %v, %v; want %v, %v", core.Kind(reply.GetKind()), core.Ran(reply.GetRan()), kind, ran)
	}
	return reply
}

// sentMessages returns the messages of one body type sent to peers, and their
// receivers.
func sentMessages[T any](h *harness) (bodies []T, to []core.HostID) {
	for _, p := range h.otherMessages {
		if body, ok := p.Message.GetBody().(T); ok {
			bodies = append(bodies, body)
			to = append(to, p.To)
		}
	}
	return bodies, to
}
