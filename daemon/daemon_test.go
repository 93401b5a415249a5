package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/platform/platformfake"
	"github.com/samphirebeam/samphirebeam/settings"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// scriptedCore is a Decider that handles events with a function and records
// them.
type scriptedCore struct {
	step func(now time.Time, event core.Event, out *core.Actions)
	due  time.Time
	mu   sync.Mutex
	seen []core.Event
}

func (s *scriptedCore) Step(now time.Time, event core.Event, out *core.Actions) {
	s.mu.Lock()
	s.seen = append(s.seen, event)
	s.mu.Unlock()
	s.step(now, event, out)
}

func (s *scriptedCore) Next() time.Time { return s.due }

func (s *scriptedCore) received(match func(core.Event) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.seen {
		if match(event) {
			return true
		}
	}
	return false
}

// testDaemon is a running daemon with its core and its log.
type testDaemon struct {
	*Daemon
	core   *scriptedCore
	log    *syncBuffer
	cancel context.CancelFunc
	err    chan error
}

// syncBuffer is a buffer for the log of a daemon, safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func startDaemon(t *testing.T, host string, step func(time.Time, core.Event, *core.Actions), modify func(*settings.Settings)) *testDaemon {
	t.Helper()
	s := settings.Defaults()
	s.Host = host
	s.Stop = settings.Stop{Timeout: 5 * time.Second, Linger: 20 * time.Millisecond}
	for _, address := range []*string{&s.Peer.Address, &s.Caller.Address, &s.Operator.Address, &s.Admin.Address} {
		*address = "127.0.0.1:0"
	}
	if modify != nil {
		modify(&s)
	}
	r := &testDaemon{core: &scriptedCore{step: step}, log: &syncBuffer{}, err: make(chan error, 1)}
	d, err := New(Config{
		Settings:    s,
		Incarnation: 5,
		NewCore:     func(core.HostInfo) (Decider, error) { return r.core, nil },
		Store:       platformfake.New(),
		Status:      func(Decider) any { return map[string]int{"hosts": 1} },
		Log:         r.log,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Daemon = d
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	go func() { r.err <- d.Run(ctx) }()
	t.Cleanup(r.cancel)
	return r
}

// confirmStop completes the planned stop as soon as it is requested.
func confirmStop(event core.Event, out *core.Actions) {
	if _, ok := event.(core.StopRequested); ok {
		out.Add(core.Stopped{})
	}
}

func (r *testDaemon) stopAndWait(t *testing.T) error {
	t.Helper()
	r.cancel()
	select {
	case err := <-r.err:
		return err
	case <-time.After(20 * time.Second):
		t.Fatal("the daemon did not end")
		return nil
	}
}

func (r *testDaemon) callOnce() (int, string, error) {
	response, err := http.Post("http://"+r.servers.caller.address+"/v1/call", "application/json", strings.NewReader(callBody))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

const callBody = `{"request_id":"r1","service":"fees","payload":"fee","deadline_ms":5000}`

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 10 s", description)
		}
	}
}

// TestCallThroughAnUpstream sends a call through an upstream and checks the
// answer.
func TestCallThroughAnUpstream(t *testing.T) {
	stub, err := upstreamstub.New(upstreamstub.Config{Upstreams: []upstreamstub.Spec{{ID: "u", Address: "127.0.0.1:0", Slots: 1, Connections: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	defer stub.Close()
	u := &core.Upstream{ID: "u", Address: stub.Address("u"), Connections: 1}
	var open core.CallID
	step := func(now time.Time, event core.Event, out *core.Actions) {
		confirmStop(event, out)
		switch e := event.(type) {
		case core.CallerRequest:
			open = e.Call
			q := &peerpb.SubQuery{QueryId: e.Query.RequestId, Question: e.Query.Question}
			out.Add(core.Dispatch{Upstream: u, Attempt: core.AttemptID{Host: "h", Sequence: 1}, Query: q, Deadline: now.Add(time.Second)})
		case core.UpstreamReply:
			out.Add(core.AnswerCaller{Call: open, Reply: &peerpb.QueryReply{Kind: int32(e.Kind), Payload: e.Payload}})
		}
	}
	r := startDaemon(t, "h", step, nil)
	status, body, err := r.callOnce()
	if err != nil || status != 200 {
		t.Fatalf("%d %s %v", status, body, err)
	}
	var answer struct{ Payload []byte }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || string(answer.Payload) != "receipt of r1 by u" {
		t.Errorf("answer %s", body)
	}
	if err := r.stopAndWait(t); err != nil {
		t.Error(err)
	}
}

// TestPlannedStopCutsNoRequest stops the daemon while a call is open and another
// one arrives. Both must be answered.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	var first core.CallID
	step := func(now time.Time, event core.Event, out *core.Actions) {
		request, ok := event.(core.CallerRequest)
		if !ok {
			return
		}
		if first == 0 {
			first = request.Call // answered after the stop has begun
			return
		}
		out.Add(core.AnswerCaller{Call: request.Call, Reply: &peerpb.QueryReply{Kind: int32(core.Stopping), RetryAfterUs: 1e6}})
		out.Add(core.AnswerCaller{Call: first, Reply: &peerpb.QueryReply{}})
		out.Add(core.Stopped{})
	}
	r := startDaemon(t, "h", step, nil)
	open := make(chan string, 1)
	go func() {
		status, body, err := r.callOnce()
		open <- fmt.Sprint(status, err, body != "")
	}()
	eventually(t, "the call", func() bool {
		return r.core.received(func(e core.Event) bool { _, ok := e.(core.CallerRequest); return ok })
	})
	r.cancel()
	eventually(t, "the stop", func() bool {
		return r.core.received(func(e core.Event) bool { _, ok := e.(core.StopRequested); return ok })
	})
	if status, body, err := r.callOnce(); err != nil || status != 503 || !strings.Contains(body, "Stopping") {
		t.Errorf("a call during the stop: %d %s %v", status, body, err)
	}
	if got := <-open; got != "200 <nil> true" {
		t.Errorf("the open call: %s", got)
	}
	if err := <-r.err; err != nil {
		t.Error(err)
	}
}

func TestStopIsBounded(t *testing.T) {
	ignore := func(time.Time, core.Event, *core.Actions) {}
	r := startDaemon(t, "h", ignore, func(s *settings.Settings) { s.Stop = settings.Stop{Timeout: 50 * time.Millisecond} })
	if err := r.stopAndWait(t); err == nil {
		t.Error("an incomplete stop was reported as complete")
	}
}

func TestPeersExchangeMessages(t *testing.T) {
	idle := func(_ time.Time, event core.Event, out *core.Actions) { confirmStop(event, out) }
	b := startDaemon(t, "b", idle, nil)
	send := func(_ time.Time, event core.Event, out *core.Actions) {
		confirmStop(event, out)
		switch e := event.(type) {
		case core.HostListed:
			out.Send("b", subQuery(1))
		case core.PeerMessage:
			if e.From == "a" {
				return
			}
			out.Send("a", subQuery(2)) // to itself
		}
	}
	a := startDaemon(t, "a", send, nil)
	a.Report(core.HostListed{Hosts: []core.HostInfo{{Host: "b", Address: b.link.Address()}}})
	eventually(t, "the message at b", func() bool {
		return b.core.received(func(e core.Event) bool {
			m, ok := e.(core.PeerMessage)
			return ok && m.From == "a" && m.Incarnation == 5 && m.Message.GetSubQuery().GetAttempt() == 1
		})
	})
	if err := b.stopAndWait(t); err != nil {
		t.Error(err)
	}
	eventually(t, "the loss at a", func() bool {
		return a.core.received(func(e core.Event) bool { return e == core.Event(core.PeerLost{Host: "b"}) })
	})
}

func subQuery(n uint64) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: &peerpb.SubQuery{Attempt: n}}}
}

// TestUnsentMessages sends requests to a host that cannot be reached. The core
// must receive replies which say that they have not run.
func TestUnsentMessages(t *testing.T) {
	step := func(_ time.Time, event core.Event, out *core.Actions) {
		confirmStop(event, out)
		if _, ok := event.(core.HostListed); ok {
			out.Send("nobody", subQuery(3))
			out.Send("nobody", &peerpb.Message{Body: &peerpb.Message_Query{Query: &peerpb.Query{Call: 4}}})
			out.Send("nobody", &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: &peerpb.SubReply{}}})
		}
	}
	r := startDaemon(t, "h", step, nil)
	r.Report(core.HostListed{})
	received := func(match func(*peerpb.Message) bool) func() bool {
		return func() bool {
			return r.core.received(func(e core.Event) bool {
				m, ok := e.(core.PeerMessage)
				return ok && m.From == "nobody" && match(m.Message)
			})
		}
	}
	eventually(t, "the sub-reply", received(func(m *peerpb.Message) bool {
		s := m.GetSubReply()
		return s.GetAttempt() == 3 && s.GetKind() == int32(core.HostLost) && s.GetRan() == int32(core.NotRun)
	}))
	eventually(t, "the reply", received(func(m *peerpb.Message) bool {
		q := m.GetQueryReply()
		return q.GetCall() == 4 && q.GetKind() == int32(core.HostLost) && q.GetRan() == int32(core.NotRun)
	}))
}

func TestPlatformCalls(t *testing.T) {
	step := func(_ time.Time, event core.Event, out *core.Actions) {
		confirmStop(event, out)
		switch e := event.(type) {
		case core.HostListed:
			out.Add(core.WatchObject{Key: "k", On: true})
			out.Add(core.PlatformCall{Operation: 1, Op: core.PlatformPut, Key: "k", Value: []byte("v")})
		case core.PlatformReply:
			if e.Operation == 1 {
				out.Add(core.PlatformCall{Operation: 2, Op: core.PlatformPut, Key: "k", Version: 99})
				out.Add(core.PlatformCall{Operation: 3, Op: core.PlatformGet, Key: "none"})
				out.Add(core.PlatformCall{Operation: 4, Op: core.PlatformDelete, Key: "k", Version: 99})
			}
		}
	}
	r := startDaemon(t, "h", step, nil)
	r.Report(core.HostListed{})
	for operation, kind := range map[uint64]core.Kind{1: core.OK, 2: core.Conflict, 3: core.UnknownName, 4: core.Conflict} {
		eventually(t, fmt.Sprint("operation ", operation, " ", kind), func() bool {
			return r.core.received(func(e core.Event) bool {
				reply, ok := e.(core.PlatformReply)
				return ok && reply.Operation == operation && reply.Kind == kind
			})
		})
	}
	eventually(t, "the change", func() bool {
		return r.core.received(func(e core.Event) bool {
			change, ok := e.(core.PlatformChanged)
			return ok && change.Key == "k" && string(change.Value) == "v"
		})
	})
}

func TestAdminAndLog(t *testing.T) {
	step := func(_ time.Time, event core.Event, out *core.Actions) {
		confirmStop(event, out)
		if _, ok := event.(core.HostListed); ok {
			out.Add(core.Record{Topic: "quarantine", Fields: map[string]string{"fingerprint": "ab"}})
		}
	}
	r := startDaemon(t, "h", step, func(s *settings.Settings) { s.Admin.Pprof = true })
	r.Report(core.HostListed{})
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + r.servers.admin.address + path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text)
	}
	cases := []struct{ path, want string }{
		{"/healthz", ""},
		{"/readyz", ""},
		{"/status", `{"hosts":1}`},
		{"/metrics", `samphirebeam_caller_answers_total{kind="OK"} 0`},
		{"/debug/pprof/goroutine?debug=1", "goroutine profile"},
	}
	for _, c := range cases {
		if status, body := get(c.path); status != 200 || !strings.Contains(body, c.want) {
			t.Errorf("%s: %d %s", c.path, status, body)
		}
	}
	if err := r.stopAndWait(t); err != nil {
		t.Error(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(r.log.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["host"] != "h" || fields["failure_domain"] == nil {
			t.Errorf("log line %s", line)
		}
	}
	if !strings.Contains(r.log.String(), `"topic":"quarantine"`) {
		t.Error("the record is not in the log")
	}
}

func TestFullInboxRefuses(t *testing.T) {
	release := make(chan struct{})
	step := func(_ time.Time, event core.Event, out *core.Actions) {
		confirmStop(event, out)
		if _, ok := event.(core.HostListed); ok {
			<-release
		}
	}
	r := startDaemon(t, "h", step, func(s *settings.Settings) { s.Ring.Inbox = 1 })
	r.Report(core.HostListed{})
	eventually(t, "the core busy", func() bool { return r.inbox.Len() == 0 })
	r.Report(core.Tick{})
	if status, body, err := r.callOnce(); err != nil || status != 429 || !strings.Contains(body, "not run") {
		t.Errorf("%d %s %v", status, body, err)
	}
	close(release)
}
