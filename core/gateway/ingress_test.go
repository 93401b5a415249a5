package gateway

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// forwardedQuery sends h0 a request whose home is h1 and returns the query that
// h0 forwards to h1.
func forwardedQuery(h *harness) *peerpb.Query {
	h.ask(1, h.query("h1", "plate"))
	queries, to := sentMessages[*peerpb.Message_Query](h)
	if len(queries) != 1 || to[0] != "h1" || len(h.takeSent()) != 0 {
		h.t.Fatalf("forwarded queries %v to %v, want one to h1", queries, to)
	}
	return queries[0].Query
}

func homeReply(q *peerpb.Query, kind core.Kind, ran core.Ran) *peerpb.Message {
	reply := &peerpb.QueryReply{Call: q.GetCall(), Kind: int32(kind), Ran: int32(ran), Payload: []byte("home")}
	return &peerpb.Message{Body: &peerpb.Message_QueryReply{QueryReply: reply}}
}

func TestHomeAnswers(t *testing.T) {
	h := newHarness(t, 1, nil)
	q := forwardedQuery(h)
	if q.GetRemainingUs() >= 1_000_000 || q.GetCall() == 1 {
		t.Errorf("forwarded query %v: want a shorter deadline and a call number of its own", q)
	}
	h.deliverMessage("oa", homeReply(q, core.OK, core.HasRun))
	if len(h.answers) != 0 {
		t.Fatal("accepted a reply from a host that is not the home")
	}
	h.deliverMessage("h1", homeReply(q, core.OK, core.HasRun))
	h.deliverMessage("h1", homeReply(q, core.OK, core.HasRun))
	h.advance(2 * time.Second)
	if reply := h.expectAnswer(1, core.OK, core.HasRun); reply.GetCall() != 1 {
		t.Errorf("answered as call %d, want 1", reply.GetCall())
	}
	if h.g.Stats().LateAnswers != 2 || !h.g.Idle() {
		t.Errorf("stats %+v", h.g.Stats())
	}
}

// When the home fails or cannot serve a query, the ingress runs it itself. If
// that run is refused, the answer says whether the home may have run the query.
func TestIngressRunsQueryOfFailedHome(t *testing.T) {
	cases := map[string]struct {
		fail func(*harness, *peerpb.Query)
		// refused is the expected Ran of the answer when the local run is refused.
		refused core.Ran
	}{
		"stream broke": {func(h *harness, _ *peerpb.Query) { h.step(core.PeerLost{Host: "h1"}) }, core.RanUnknown},
		"no longer live": {func(h *harness, _ *peerpb.Query) {
			h.members.Hosts = excluding(h.members.Hosts, "h1")
			h.advance(50 * time.Millisecond)
		}, core.RanUnknown},
		"silent":              {func(h *harness, _ *peerpb.Query) { h.advance(400 * time.Millisecond) }, core.RanUnknown},
		"stopping":            {func(h *harness, q *peerpb.Query) { h.deliverMessage("h1", homeReply(q, core.Stopping, core.NotRun)) }, core.NotRun},
		"older configuration": {func(h *harness, q *peerpb.Query) { h.deliverMessage("h1", homeReply(q, core.UnknownName, core.NotRun)) }, core.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			q := forwardedQuery(h)
			c.fail(h, q)
			h.deliverSuccess(h.takeSent()...)
			h.expectAnswer(1, core.OK, core.HasRun)
			h.deliverMessage("h1", homeReply(q, core.OK, core.HasRun))
			h.expectAnswer(1, core.OK, core.HasRun)
		})
		t.Run(name+", then refused", func(t *testing.T) {
			h := newHarness(t, 1, nil)
			q := forwardedQuery(h)
			h.admission.kind = core.Overloaded
			c.fail(h, q)
			h.expectAnswer(1, core.Overloaded, c.refused)
		})
	}
}

// A slow home that still sends messages is not treated as silent: the ingress
// does not run the query and answers at the deadline.
func TestSlowHomeKeepsQuery(t *testing.T) {
	h := newHarness(t, 1, nil)
	forwardedQuery(h)
	for range 19 {
		h.advance(50 * time.Millisecond)
		h.deliverMessage("h1", loadReport())
	}
	if len(h.takeSent()) != 0 {
		t.Fatal("the ingress ran the query as well")
	}
	h.advance(50 * time.Millisecond)
	h.expectAnswer(1, core.DeadlineExceeded, core.RanUnknown)
}

// If a silent home replies while the ingress runs the query too, a success is
// used and the local run cancelled; a failure is ignored.
func TestSilentHomeAnswers(t *testing.T) {
	for _, kind := range []core.Kind{core.OK, core.Overloaded} {
		h := newHarness(t, 1, nil)
		q := forwardedQuery(h)
		h.advance(400 * time.Millisecond)
		own := h.takeSent()
		h.deliverMessage("h1", homeReply(q, kind, core.HasRun))
		h.deliverSuccess(own...)
		reply := h.expectAnswer(1, core.OK, core.HasRun)
		if fromHome := string(reply.GetPayload()) == "home"; fromHome != (kind == core.OK) || fromHome != h.cancelled[own[0].GetAttempt()] {
			t.Errorf("home replied %v: answer from home %v, cancelled %v", kind, fromHome, h.cancelled)
		}
	}
}

func TestCallerGoneCancelsForwardedQuery(t *testing.T) {
	h := newHarness(t, 1, nil)
	q := forwardedQuery(h)
	h.step(core.CallerGone{Call: 1})
	cancels, to := sentMessages[*peerpb.Message_QueryCancel](h)
	if len(cancels) != 1 || to[0] != "h1" || cancels[0].QueryCancel.GetCall() != q.GetCall() {
		t.Errorf("cancels %v to %v, want one to h1", cancels, to)
	}
	h.advance(2 * time.Second)
	if len(h.answers) != 0 || !h.g.Idle() {
		t.Error("the call was answered or is still open")
	}
}

// The home cancels a query when its ingress cancels it or is lost.
func TestHomeCancelsAbandonedQuery(t *testing.T) {
	leave := map[string]func(*harness, uint64){
		"cancelled": func(h *harness, call uint64) {
			cancel := &peerpb.QueryCancel{Call: call}
			h.deliverMessage("h1", &peerpb.Message{Body: &peerpb.Message_QueryCancel{QueryCancel: cancel}})
		},
		"host lost": func(h *harness, _ uint64) { h.step(core.PeerLost{Host: "h1"}) },
	}
	for name, end := range leave {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			q := copyQuery(h.query("h0", "plate"))
			q.Call = 9
			h.deliverMessage("h1", &peerpb.Message{Body: &peerpb.Message_Query{Query: q}})
			subs := h.takeSent()
			end(h, 9)
			if !h.cancelled[subs[0].GetAttempt()] || !h.g.Idle() || len(h.g.waiters) != 0 {
				t.Error("the query is still running")
			}
		})
	}
}

func TestPlannedStop(t *testing.T) {
	h := newHarness(t, 1, nil)
	running := h.query("h0", "plate")
	h.ask(1, running)
	h.step(core.StopRequested{})
	h.ask(2, running)
	if reply := h.expectAnswer(2, core.Stopping, core.NotRun); reply.GetRetryAfterUs() == 0 {
		t.Error("no retry delay in the answer")
	}
	q := copyQuery(running)
	q.Call = 9
	h.deliverMessage("h1", &peerpb.Message{Body: &peerpb.Message_Query{Query: q}})
	replies, _ := sentMessages[*peerpb.Message_QueryReply](h)
	if len(replies) != 1 || core.Kind(replies[0].QueryReply.GetKind()) != core.Stopping {
		t.Errorf("replies %v, want one refusal with kind Stopping", replies)
	}
	if h.g.Idle() {
		t.Error("idle while a query is running")
	}
	h.runDirect(3, &peerpb.Query{Service: "s00", RemainingUs: 1_000_000, Once: true})
	h.deliverSuccess(h.takeSent()...)
	h.expectAnswer(1, core.OK, core.HasRun)
	h.expectAnswer(3, core.OK, core.HasRun)
	if !h.g.Idle() {
		t.Error("not idle after the last answer")
	}
}

func TestRequestBeforeFirstTopology(t *testing.T) {
	h := newHarness(t, 1, nil)
	g, err := New(h.g.config)
	if err != nil {
		t.Fatal(err)
	}
	h.g = g
	h.ask(1, &peerpb.Query{Scope: "all", RemainingUs: 1000})
	h.expectAnswer(1, core.PlatformUnavailable, core.NotRun)
}

func TestConfigIsChecked(t *testing.T) {
	if _, err := New(Config{}); err == nil {
		t.Error("accepted an empty configuration")
	}
	h := newHarness(t, 1, nil)
	config := h.g.config
	config.ExtraFraction = 2
	if _, err := New(config); err == nil {
		t.Error("accepted an ExtraFraction above 1")
	}
}

// When a host leaves, only the questions whose home it was move to another home.
func TestHomeMovesOnlyWithItsHost(t *testing.T) {
	h := newHarness(t, 1, nil)
	for i := range 200 {
		f := core.FingerprintOf([]byte{byte(i)})
		h.members.Hosts = []core.HostID{"h0", "h1", "oa", "ob"}
		before := h.g.homeOf(f)
		h.members.Hosts = []core.HostID{"h0", "h1", "oa"}
		if after := h.g.homeOf(f); before != "ob" && after != before {
			t.Fatalf("home moved from %s to %s", before, after)
		}
	}
}
