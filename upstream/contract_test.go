package upstream

import (
	"sync"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// events records the events that a client reports.
type events struct {
	mu      sync.Mutex
	replies []core.UpstreamReply
	conns   []core.UpstreamConn
}

func (e *events) report(event core.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch event := event.(type) {
	case core.UpstreamReply:
		e.replies = append(e.replies, event)
	case core.UpstreamConn:
		e.conns = append(e.conns, event)
	}
}

func (e *events) counts() (replies, opened, closed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if c.Open {
			opened++
		} else {
			closed++
		}
	}
	return len(e.replies), opened, closed
}

// waitReplies waits until n replies have arrived in total and returns the nth.
func (e *events) waitReplies(t *testing.T, n int) core.UpstreamReply {
	t.Helper()
	eventually(t, "replies", func() bool { got, _, _ := e.counts(); return got >= n })
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replies[n-1]
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 10 s", description)
		}
	}
}

func dispatch(u *core.Upstream, n uint64, version uint64) core.Dispatch {
	return core.Dispatch{
		Upstream: u,
		Attempt:  core.AttemptID{Host: "h", Incarnation: 1, Sequence: n},
		Query:    &peerpb.SubQuery{QueryId: "q", Question: []byte("plate 7"), IndexVersion: version, Limit: 3},
		Deadline: time.Now().Add(5 * time.Second),
	}
}

// connCounter is a Client that exposes its number of connections.
type connCounter interface {
	Client
	Conns(core.UpstreamID) int
}

// fixture is a client and an upstream that answers quickly until slowDown is
// called.
type fixture struct {
	client   connCounter
	events   *events
	upstream *core.Upstream
	slowDown func()
}

func newHTTPFixture(t *testing.T) fixture {
	stub := startStub(t, upstreamstub.Spec{Slots: 8, Connections: 4})
	e := &events{}
	client := NewHTTP(Config{Report: e.report})
	t.Cleanup(client.Close)
	u := &core.Upstream{ID: "u", Address: stub.Address("u"), Slots: 8, Connections: 4}
	slow := 1e6
	return fixture{client, e, u, func() { _ = stub.Control(upstreamstub.Control{Slow: &slow}) }}
}

func startStub(t *testing.T, spec upstreamstub.Spec) *upstreamstub.Stub {
	spec.ID, spec.Address = "u", "127.0.0.1:0"
	spec.ServiceMin = time.Millisecond
	spec.Versions = []upstreamstub.VersionSpec{{
		Version: 4,
		Ranges:  []upstreamstub.KeyRange{{From: 0, To: 500}},
		Items:   100,
		Space:   upstreamstub.KeyRange{To: 1000},
	}}
	stub, err := upstreamstub.New(upstreamstub.Config{Seed: 1, Upstreams: []upstreamstub.Spec{spec}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stub.Close)
	return stub
}

func newFakeFixture(t *testing.T) fixture {
	e := &events{}
	client := NewFake(e.report)
	t.Cleanup(client.Close)
	took := time.Millisecond
	client.Answer = func(core.Dispatch) (core.UpstreamReply, time.Duration) {
		return core.UpstreamReply{Ran: core.HasRun}, took
	}
	return fixture{client, e, &core.Upstream{ID: "u", Connections: 4}, func() { took = time.Hour }}
}

// TestContract runs the same cases against the HTTP client and the fake.
func TestContract(t *testing.T) {
	fixtures := map[string]func(*testing.T) fixture{"http": newHTTPFixture, "fake": newFakeFixture}
	cases := map[string]func(*testing.T, fixture){
		"one reply per attempt":      testOneReply,
		"cancel":                     testCancel,
		"deadline":                   testDeadline,
		"connections stay in limits": testConnectionLimit,
	}
	for clientName, newFixture := range fixtures {
		for caseName, run := range cases {
			t.Run(clientName+"/"+caseName, func(t *testing.T) { run(t, newFixture(t)) })
		}
	}
}

func testOneReply(t *testing.T, b fixture) {
	for n := range uint64(4) {
		b.client.Dispatch(dispatch(b.upstream, n, 0))
	}
	b.events.waitReplies(t, 4)
	b.client.Close()
	seen := map[core.AttemptID]bool{}
	for _, r := range b.events.replies {
		if seen[r.Attempt] || r.Kind != core.OK || r.Ran != core.HasRun || r.Echo != r.Attempt.String() {
			t.Errorf("reply %+v", r)
		}
		seen[r.Attempt] = true
	}
}

func testCancel(t *testing.T, b fixture) {
	b.slowDown()
	d := dispatch(b.upstream, 1, 0)
	b.client.Dispatch(d)
	time.Sleep(20 * time.Millisecond) // let the upstream read the request
	b.client.Cancel(core.CancelDispatch{Upstream: "u", Attempt: d.Attempt})
	b.client.Cancel(core.CancelDispatch{Upstream: "u", Attempt: d.Attempt})
	if r := b.events.waitReplies(t, 1); r.Kind != core.Cancelled || r.Ran != core.RanUnknown {
		t.Errorf("reply %+v", r)
	}
}

func testDeadline(t *testing.T, b fixture) {
	b.slowDown()
	d := dispatch(b.upstream, 1, 0)
	d.Deadline = time.Now().Add(50 * time.Millisecond)
	b.client.Dispatch(d)
	// The upstream may itself report that the deadline passed during execution.
	r := b.events.waitReplies(t, 1)
	if r.Ran == core.NotRun || r.Kind != core.DeadlineExceeded && r.Kind != core.UpstreamFailed {
		t.Errorf("reply %+v", r)
	}
}

func testConnectionLimit(t *testing.T, b fixture) {
	b.client.OpenConns(core.OpenConns{Upstream: b.upstream, Want: 2})
	eventually(t, "two open", func() bool { _, opened, _ := b.events.counts(); return opened == 2 })
	b.client.OpenConns(core.OpenConns{Upstream: b.upstream, Want: 50})
	eventually(t, "four open", func() bool { _, opened, _ := b.events.counts(); return opened == 4 })
	if n := b.client.Conns("u"); n != 4 {
		t.Errorf("%d connections, the limit is 4", n)
	}
	b.client.CloseConns(core.CloseConns{Upstream: "u"})
	eventually(t, "none open", func() bool { return b.client.Conns("u") == 0 })
}
