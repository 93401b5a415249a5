package gateway

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

func TestSameQuestionIsRunOnce(t *testing.T) {
	h := newHarness(t, 2, nil)
	q := h.query("h0", "plate")
	h.ask(1, q)
	h.ask(2, q)
	q2 := copyQuery(q)
	q2.Call = 77
	h.deliverMessage("h1", &peerpb.Message{Body: &peerpb.Message_Query{Query: q2}})
	h.deliverMessage("h1", &peerpb.Message{Body: &peerpb.Message_Query{Query: q2}})
	subs := h.takeSent()
	if len(subs) != 2 {
		t.Fatalf("%d sub-queries, want 2", len(subs))
	}
	h.deliverSuccess(subs...)
	for call := core.CallID(1); call <= 2; call++ {
		reply := h.expectAnswer(call, core.OK, core.HasRun)
		if reply.GetCall() != uint64(call) || !reply.GetShared() || len(reply.GetItems()) != 2 {
			t.Errorf("call %d: %v", call, reply)
		}
	}
	replies, to := sentMessages[*peerpb.Message_QueryReply](h)
	if len(replies) != 1 || to[0] != "h1" || replies[0].QueryReply.GetCall() != 77 {
		t.Errorf("replies to %v: %v", to, replies)
	}
	if h.g.Stats().Shared != 2 || h.g.Stats().Flights != 1 {
		t.Errorf("stats %+v", h.g.Stats())
	}
}

func copyQuery(q *peerpb.Query) *peerpb.Query {
	return &peerpb.Query{
		Scope: q.Scope, Service: q.Service, Question: q.Question, RemainingUs: q.RemainingUs,
		Rights: q.Rights, Limit: q.Limit, Priority: q.Priority,
	}
}

// Requests that differ in question, rights, limit, scope, snapshot or reach do
// not share a flight, even if their fingerprints collide.
func TestDifferentQuestionsAreNotShared(t *testing.T) {
	cases := map[string]func(*harness, *peerpb.Query){
		"rights":   func(_ *harness, q *peerpb.Query) { q.Rights = "clerk" },
		"limit":    func(_ *harness, q *peerpb.Query) { q.Limit = 3 },
		"question": func(_ *harness, q *peerpb.Query) { q.Question = []byte("another") },
		"scope":    func(_ *harness, q *peerpb.Query) { q.Scope = "other" },
		"snapshot": func(h *harness, _ *peerpb.Query) {
			newer := tiledTopology(2, 7, 8)
			newer.Scopes["other"] = h.topology.Scopes["other"]
			h.topology = newer
			h.step(core.TopologyChanged{Topology: newer})
		},
		"reach": func(h *harness, _ *peerpb.Query) {
			h.topology = tiledTopology(2, 7)
			h.topology.Scopes["all"].Reach = 0.9
			h.step(core.TopologyChanged{Topology: h.topology})
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil)
			other := *h.topology.Scopes["all"]
			other.ID = "other"
			h.topology.Scopes["other"] = &other
			q := h.query("h0", "plate")
			h.ask(1, q)
			q2 := copyQuery(q)
			change(h, q2)
			forceCollision(h, q, q2)
			h.runDirect(2, q2)
			subs := h.takeSent()
			if len(subs) != 4 || h.g.Stats().Shared != 0 {
				t.Fatalf("%d sub-queries, %d shared", len(subs), h.g.Stats().Shared)
			}
			sameQuarantineKey := string(subs[0].GetFingerprint()) == string(subs[2].GetFingerprint())
			if sameQuarantineKey != (name != "question" && name != "scope") {
				t.Errorf("same quarantine key: %v", sameQuarantineKey)
			}
			h.deliverSuccess(subs...)
			if h.expectAnswer(1, core.OK, core.HasRun).GetShared() || h.expectAnswer(2, core.OK, core.HasRun).GetShared() {
				t.Error("answers are marked as shared")
			}
		})
	}
}

// forceCollision moves the running flight of one query to the fingerprint of
// another.
func forceCollision(h *harness, from, to *peerpb.Query) {
	f := h.g.flights[fingerprintOf(from)][0]
	delete(h.g.flights, f.key)
	f.key = fingerprintOf(to)
	h.g.flights[f.key] = []*flight{f}
}

// Requests share a flight across a topology change that leaves the plan equal.
func TestSharedAcrossEqualTopologies(t *testing.T) {
	h := newHarness(t, 2, nil)
	q := h.query("h0", "plate")
	h.ask(1, q)
	h.step(core.TopologyChanged{Topology: tiledTopology(2, 7)})
	h.ask(2, q)
	if h.g.Stats().Shared != 1 {
		t.Error("the second request did not join the flight")
	}
}

func TestCallerGoneFromSharedFlight(t *testing.T) {
	h := newHarness(t, 2, nil)
	q := h.query("h0", "plate")
	h.ask(1, q)
	h.ask(2, q)
	subs := h.takeSent()
	h.step(core.CallerGone{Call: 1})
	if len(h.cancelled) != 0 {
		t.Fatal("the flight was cancelled while a caller still waited")
	}
	h.step(core.CallerGone{Call: 2})
	if !h.cancelled[subs[0].GetAttempt()] || !h.cancelled[subs[1].GetAttempt()] || !h.g.Idle() {
		t.Error("the flight was not cancelled when its last caller left")
	}
	h.deliverSuccess(subs...)
	if len(h.answers) != 0 {
		t.Error("a caller that had left was answered")
	}
}

// A waiter that joins with a later deadline extends the flight: an attempt that
// ends at the first waiter's deadline is repeated, not as extra load.
func TestSharedFlightRunsToLatestDeadline(t *testing.T) {
	h := newHarness(t, 1, nil)
	q := h.query("h0", "plate")
	q.RemainingUs = 100_000
	h.ask(1, q)
	later := copyQuery(q)
	later.RemainingUs = 500_000
	later.Priority = 4
	h.ask(2, later)
	first := h.takeSent()[0]
	h.advance(97 * time.Millisecond)
	h.deliverReply(failureReply(first, core.DeadlineExceeded, core.RanUnknown))
	second := h.takeSent()
	if len(second) != 1 || second[0].GetExtra() || second[0].GetPriority() != 4 ||
		second[0].GetOrderKey() != first.GetOrderKey() || second[0].GetRemainingUs() < 300_000 {
		t.Fatalf("second attempts %v", second)
	}
	h.advance(3 * time.Millisecond)
	h.expectAnswer(1, core.DeadlineExceeded, core.RanUnknown)
	h.advance(200 * time.Millisecond)
	h.deliverSuccess(second...)
	h.expectAnswer(2, core.OK, core.HasRun)
}

func TestAdmission(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.admission.kind = core.DeadlineUnreachable
	for _, u := range []string{"s00a", "s00b", "s01a"} {
		h.deliverMessage("oa", loadReport(&peerpb.Load{Upstream: u, Limit: 2, Running: 2, Queued: 6, WaitUs: 60_000}))
	}
	h.g.loads.observeServiceTime(h.now, "s00", 20*time.Millisecond)
	h.ask(1, h.query("h0", "plate"))
	reply := h.expectAnswer(1, core.DeadlineUnreachable, core.NotRun)
	if reply.GetRetryAfterUs() != 70_000 || len(h.takeSent()) != 0 {
		t.Errorf("refusal %v", reply)
	}
	h.topology.Upstreams["s01b"].Slots = 3
	if replicas, _ := h.g.replicasOf(h.now, "s01"); replicas[1].Limit != 3 || replicas[0].Limit != 2 {
		t.Errorf("replicas %v: want the reported limit, or the declared slots without a report", replicas)
	}
	// 60 ms of waiting, 20 ms of service time and two hops of 3 ms.
	if got := h.admission.last.Expected; got != 86*time.Millisecond {
		t.Errorf("expected time %v", got)
	}
}

// The typical service time decays, since a host whose only observation was a
// straggler would otherwise refuse all queries and never observe another.
func TestTypicalServiceTimeDecays(t *testing.T) {
	at := time.UnixMicro(0)
	l := newLoads(3 * time.Millisecond)
	l.observeServiceTime(at, "s", 400*time.Millisecond)
	for _, test := range []struct{ age, want time.Duration }{
		{0, 400 * time.Millisecond},
		{typicalTimeHalfLife - 1, 400 * time.Millisecond},
		{typicalTimeHalfLife, 200 * time.Millisecond},
		{4 * typicalTimeHalfLife, 25 * time.Millisecond},
		{time.Hour, 0},
	} {
		if got := l.typicalServiceTime(at.Add(test.age), "s"); got != test.want {
			t.Errorf("typical service time %v after the observation: %v, want %v", test.age, got, test.want)
		}
	}
}

// A pause of all hosts makes the sub-queries in flight look slow. The few slow
// observations must not cause later queries to be refused, but upstreams that
// stay slow must raise the estimate.
func TestTypicalServiceTimeAfterPause(t *testing.T) {
	at := time.UnixMicro(0)
	l := newLoads(3 * time.Millisecond)
	for range 200 {
		l.observeServiceTime(at, "s", 20*time.Millisecond)
	}
	for range 32 {
		l.observeServiceTime(at, "s", 900*time.Millisecond)
	}
	if got := l.typicalServiceTime(at, "s"); got > 150*time.Millisecond {
		t.Errorf("typical service time after a pause: %v, want at most 150 ms", got)
	}
	for range 400 {
		l.observeServiceTime(at, "s", 900*time.Millisecond)
	}
	if got := l.typicalServiceTime(at, "s"); got < 800*time.Millisecond {
		t.Errorf("typical service time of slow upstreams: %v, want at least 800 ms", got)
	}
}

// The expected wait decreases with the age of the report and includes the
// sub-queries sent since.
func TestExpectedWait(t *testing.T) {
	at := time.UnixMicro(0)
	l := newLoads(3 * time.Millisecond)
	l.observeServiceTime(at, "s", 10*time.Millisecond)
	l.attemptSent(at, "u")
	l.applyReport(at.Add(5*time.Millisecond), &peerpb.Load{Upstream: "u", Limit: 2, Running: 1, WaitUs: 0})
	at = at.Add(5 * time.Millisecond)
	for i, want := range []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond} {
		if got := l.replica(at, "s", "u", "o").Wait; got != want {
			t.Errorf("wait after %d sent: %v, want %v", i, got, want)
		}
		l.attemptSent(at, "u")
	}
	l.applyReport(at.Add(time.Millisecond), &peerpb.Load{Upstream: "u", Limit: 2, Running: 2, Queued: 1, WaitUs: 8000})
	if got := l.replica(at.Add(5*time.Millisecond), "s", "u", "o"); got.Wait != 19*time.Millisecond || got.Queued != 4 {
		t.Errorf("wait %v, queued %d; want 19 ms and 4", got.Wait, got.Queued)
	}
}
