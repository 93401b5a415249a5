package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// scriptedServer answers each request with the raw bytes that answer returns,
// with "{attempt}" replaced by the attempt id. An empty answer closes the
// connection.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int64
	answer   func(n int64) string
}

func startScriptedServer(t *testing.T, answer func(n int64) string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

func (s *scriptedServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := s.answer(s.requests.Add(1))
		if answer == "" {
			return
		}
		answer = strings.ReplaceAll(answer, "{attempt}", request.Header.Get("X-Attempt-Id"))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func response(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: {attempt}\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), headers, body)
}

const searchHeaders = "X-Index-Version: 4\r\nX-Key-Ranges: 0-500\r\n"

func TestAnswers(t *testing.T) {
	oneItem := `{"items":[{"key":7,"score":0.5,"value":"YQ=="}]}`
	cases := []struct {
		name, answer    string
		kind            core.Kind
		ran             core.Ran
		keepsConnection bool // the connection stays open
	}{
		{"search", response(200, searchHeaders, oneItem), core.OK, core.HasRun, true},
		{"interim first", "HTTP/1.1 102 X\r\n\r\n" + response(200, searchHeaders, oneItem), core.OK, core.HasRun, true},
		{"shed", response(503, "X-Not-Run: true\r\nRetry-After: 2\r\n", ""), core.UpstreamShed, core.NotRun, true},
		{"503 that ran", response(503, "", ""), core.UpstreamFailed, core.HasRun, true},
		{"version gone", response(410, "", ""), core.SnapshotGone, core.NotRun, true},
		{"too late", response(408, "", ""), core.DeadlineExceeded, core.NotRun, true},
		{"failed", response(500, "", ""), core.UpstreamFailed, core.HasRun, true},
		{"bad request", response(400, "", ""), core.UpstreamFailed, core.HasRun, true},
		{"redirect", response(302, "Location: /\r\n", ""), core.UpstreamFailed, core.HasRun, true},
		{"no version", response(200, "X-Key-Ranges: 0-500\r\n", oneItem), core.UpstreamFailed, core.HasRun, true},
		{"bad ranges", response(200, "X-Index-Version: 4\r\nX-Key-Ranges: 0-5x\r\n", oneItem), core.UpstreamFailed, core.HasRun, true},
		{"bad json", response(200, searchHeaders, `{"items":[`), core.UpstreamFailed, core.HasRun, true},
		{"too large", response(200, searchHeaders, strings.Repeat("x", 2000)), core.UpstreamFailed, core.HasRun, false},
		{"cut after reading", "", core.UpstreamLost, core.RanUnknown, false},
		{"not HTTP", "hello there\r\n\r\n", core.UpstreamLost, core.RanUnknown, false},
		{"closes", response(200, searchHeaders+"Connection: close\r\n", oneItem), core.OK, core.HasRun, false},
		{"crossed", strings.Replace(response(200, searchHeaders, oneItem), "{attempt}", "h/1/9", 1), core.OK, core.HasRun, false},
		{"answered twice", strings.Repeat(response(200, searchHeaders, oneItem), 2), core.OK, core.HasRun, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := startScriptedServer(t, func(int64) string { return c.answer })
			e := &events{}
			client := NewHTTP(Config{Report: e.report, MaxBody: 1000})
			defer client.Close()
			u := &core.Upstream{ID: "u", Address: server.listener.Addr().String(), Connections: 2}
			client.Dispatch(dispatch(u, 1, 4))
			r := e.waitReplies(t, 1)
			if r.Kind != c.kind || r.Ran != c.ran || !r.NewConnection {
				t.Errorf("got %v, %v; want %v, %v", r.Kind, r.Ran, c.kind, c.ran)
			}
			if r.Kind == core.OK && (r.IndexVersion != 4 || len(r.Items) != 1 || r.Covered[0].To != 500) {
				t.Errorf("answer %+v", r)
			}
			if c.name == "shed" && r.RetryAfter != 2*time.Second {
				t.Errorf("retry after %v", r.RetryAfter)
			}
			want := 1
			if !c.keepsConnection {
				want = 0
				eventually(t, "the end reported", func() bool { _, _, closed := e.counts(); return closed == 1 })
			}
			if n := client.Conns("u"); n != want {
				t.Errorf("%d connections are open, want %d", n, want)
			}
		})
	}
}

func TestNoConnection(t *testing.T) {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unused.Close()
	server := startScriptedServer(t, func(int64) string { return response(200, "", "") })
	cases := []struct {
		name     string
		upstream core.Upstream
		deadline time.Duration
		kind     core.Kind
	}{
		{"refused", core.Upstream{Address: unused.Addr().String(), Connections: 1}, time.Second, core.UpstreamLost},
		{"connection limit", core.Upstream{Address: server.listener.Addr().String()}, time.Second, core.UpstreamShed},
		{"deadline passed", core.Upstream{Address: server.listener.Addr().String(), Connections: 1}, -1, core.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &events{}
			client := NewHTTP(Config{Report: e.report})
			defer client.Close()
			c.upstream.ID = "u"
			d := dispatch(&c.upstream, 1, 0)
			d.Deadline = time.Now().Add(c.deadline)
			client.Dispatch(d)
			if r := e.waitReplies(t, 1); r.Kind != c.kind || r.Ran != core.NotRun {
				t.Errorf("got %v, %v; want %v, not run", r.Kind, r.Ran, c.kind)
			}
			if n := client.Conns("u"); n != 0 {
				t.Errorf("%d connections are counted", n)
			}
		})
	}
	if server.requests.Load() != 0 {
		t.Error("a request was sent")
	}
}

func TestIdleBreakIsReported(t *testing.T) {
	stub := startStub(t, upstreamstub.Spec{Slots: 2, Connections: 4})
	e := &events{}
	client := NewHTTP(Config{Report: e.report})
	defer client.Close()
	u := &core.Upstream{ID: "u", Address: stub.Address("u"), Connections: 4}
	client.Dispatch(dispatch(u, 1, 4))
	e.waitReplies(t, 1)
	if err := stub.Control(upstreamstub.Control{Crash: true}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the break reported", func() bool { _, _, closed := e.counts(); return closed == 1 })
	client.Dispatch(dispatch(u, 2, 4))
	if r := e.waitReplies(t, 2); r.Kind != core.OK || !r.NewConnection || r.Instance != "u-2" {
		t.Errorf("after the restart: %+v", r)
	}
}

// TestRequestIsSentOnce guards against resending a request whose connection
// broke: the server closes a reused connection after it has read the second
// request. The Transport of net/http resends such a request if it has an
// Idempotency-Key. The "transport" case checks that the test server detects a
// resend.
func TestRequestIsSentOnce(t *testing.T) {
	answer := func(n int64) string {
		if n == 2 {
			return ""
		}
		return response(200, "", "ok")
	}
	t.Run("client", func(t *testing.T) {
		server := startScriptedServer(t, answer)
		e := &events{}
		client := NewHTTP(Config{Report: e.report})
		defer client.Close()
		u := &core.Upstream{ID: "u", Address: server.listener.Addr().String(), Connections: 2}
		for n := range uint64(2) {
			client.Dispatch(dispatch(u, n, 0))
			e.waitReplies(t, int(n)+1)
		}
		last := e.waitReplies(t, 2)
		if last.Kind != core.UpstreamLost || last.Ran != core.RanUnknown || last.NewConnection {
			t.Errorf("the cut request ended as %+v", last)
		}
		time.Sleep(50 * time.Millisecond) // a resend would arrive immediately
		if n := server.requests.Load(); n != 2 {
			t.Errorf("%d requests arrived, 2 were sent", n)
		}
	})
	t.Run("transport", func(t *testing.T) {
		server := startScriptedServer(t, answer)
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for range 2 {
			request, err := http.NewRequest(http.MethodPost, "http://"+server.listener.Addr().String(), bytes.NewReader([]byte("fee")))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Idempotency-Key", "k")
			reply, err := transport.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, reply.Body)
			_ = reply.Body.Close()
		}
		if n := server.requests.Load(); n != 3 {
			t.Errorf("%d requests arrived, want 3: the server did not provoke a resend", n)
		}
	})
}

func BenchmarkDispatch(b *testing.B) {
	stub, err := upstreamstub.New(upstreamstub.Config{Upstreams: []upstreamstub.Spec{{ID: "u", Address: "127.0.0.1:0", Slots: 1, Connections: 1}}})
	if err != nil {
		b.Fatal(err)
	}
	defer stub.Close()
	replies := make(chan core.Event, 1)
	client := NewHTTP(Config{Report: func(e core.Event) { replies <- e }})
	defer client.Close()
	u := &core.Upstream{ID: "u", Address: stub.Address("u"), Connections: 1}
	b.ReportAllocs()
	for n := range uint64(b.N) {
		client.Dispatch(dispatch(u, n, 0))
		<-replies
	}
}

// TestReuseOnly checks that attempts that must not reach a newly started
// process neither use a connection that has not answered yet nor open a new
// one.
func TestReuseOnly(t *testing.T) {
	server := startScriptedServer(t, func(int64) string { return response(200, "", "ok") })
	e := &events{}
	client := NewHTTP(Config{Report: e.report})
	defer client.Close()
	u := &core.Upstream{ID: "u", Address: server.listener.Addr().String(), Connections: 2}
	client.OpenConns(core.OpenConns{Upstream: u, Want: 1})
	eventually(t, "a connection", func() bool { _, open, _ := e.counts(); return open == 1 })
	reuse := dispatch(u, 1, 0)
	reuse.ReuseOnly = true
	client.Dispatch(reuse)
	if r := e.waitReplies(t, 1); r.Kind != core.UpstreamLost || r.Ran != core.NotRun || server.requests.Load() != 0 {
		t.Fatalf("before any answer: %v, %v, %d requests", r.Kind, r.Ran, server.requests.Load())
	}
	client.Dispatch(dispatch(u, 2, 0))
	if r := e.waitReplies(t, 2); r.Kind != core.OK || r.NewConnection {
		t.Fatalf("trial: %v, on a new connection: %v", r.Kind, r.NewConnection)
	}
	reuse.Attempt.Sequence = 3
	client.Dispatch(reuse)
	if r := e.waitReplies(t, 3); r.Kind != core.OK || client.Conns("u") != 1 {
		t.Errorf("after an answer: %v on %d connections", r.Kind, client.Conns("u"))
	}
}

// TestOddStatusIsNoAnswer guards against an impossible status that passes for an interim
// one, so that the bytes after it are taken for the answer.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "1000", "+20", " 20"} {
		answer := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		if got := readResult(bufio.NewReader(strings.NewReader(answer)), 100); got.err == nil {
			t.Errorf("status %q is taken for an answer with status %d", status, got.response.StatusCode)
		}
	}
}
