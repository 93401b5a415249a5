package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core/clients"
	"github.com/samphirebeam/samphirebeam/platform"
)

// newTestConns serves handler behind clientConns with the given limits.
func newTestConns(t *testing.T, limit int, memory int64, handler http.HandlerFunc) *clientConns {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns("callers", limit, platform.NewMemory(memory), func() int64 { return 16 << 10 }, newClientLog(zerolog.Nop(), metrics.NewRegistry()))
	server := &http.Server{Handler: handler, ConnState: setConnState, ConnContext: withClientConn}
	served := conns.on(listener)
	go func() { _ = server.Serve(served) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return conns
}

func (l *clientConns) dial(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func readStatus(c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// TestAccountIsReturned guards against memory that stays reserved after its
// connection, however that ends.
func TestAccountIsReturned(t *testing.T) {
	conns := newTestConns(t, 100, 8<<20, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	fields := strings.Repeat("A: b\r\n", 1000)
	for name, text := range map[string]string{
		"nothing": "", "part of a head": "GET / HTTP/1.1\r\n" + fields, "part of a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n" + fields + "\r\nbody",
		"no head": "\r\n\r\nnonsense\r\n\r\n", "head over the limit": "GET / HTTP/1.1\r\n" + strings.Repeat(fields, 6), "two requests": strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2),
	} {
		c := conns.dial(t, text)
		eventually(t, func() error { return expect(conns.count() == 1 || name != "nothing", "the connection is open") })
		_ = c.Close()
		eventually(t, func() error {
			return expect(conns.count() == 0 && conns.memory.Used() == 0, name+": the account is not empty")
		})
	}
}

type unmet string

func (u unmet) Error() string { return string(u) }

func expect(holds bool, what string) error {
	if !holds {
		return unmet(what)
	}
	return nil
}

// TestRefusedHeads guards against a head that is parsed although it is over the
// limit or the account has no memory for it, and against a refusal without a status.
func TestRefusedHeads(t *testing.T) {
	conns := newTestConns(t, 100, 1<<20, func(http.ResponseWriter, *http.Request) { t.Error("a request was served") })
	if got := readStatus(conns.dial(t, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 25<<10))); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head over the limit: status %d", got)
	}
	conns.memory.Charge(2 << 20)
	if got := readStatus(conns.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != http.StatusServiceUnavailable {
		t.Errorf("no memory: status %d", got)
	}
}

// TestStalledClientsAreClosed guards against clients that stop in each phase, and
// against closing a request that runs or a connection that is idle.
func TestStalledClientsAreClosed(t *testing.T) {
	running := make(chan struct{})
	defer close(running)
	conns := newTestConns(t, 100, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/body":
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
			}
		case "/running":
			setClientPhase(r.Context(), clients.Running)
			<-running
		}
	})
	head, silent := conns.dial(t, "GET / HT"), conns.dial(t, "")
	body := conns.dial(t, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody")
	conns.dial(t, "GET /running HTTP/1.1\r\nHost: h\r\n\r\n")
	idle := conns.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	readStatus(idle)
	eventually(t, func() error {
		_, states := conns.snapshot()
		phases := map[clients.Phase]int{}
		for _, s := range states {
			phases[s.Phase]++
		}
		return expect(phases[clients.Head] == 2 && phases[clients.Body] == 1 && phases[clients.Running] == 1 && phases[clients.Idle] == 1, "the connections are in their phases")
	})
	conns.closeStalled(time.Now().Add(time.Second/2), time.Second, time.Second)
	if got := conns.count(); got != 5 {
		t.Errorf("%d connections are left before the timeouts", got)
	}
	conns.closeStalled(time.Now().Add(time.Minute), time.Second, time.Second)
	if got := readStatus(body); got != http.StatusRequestTimeout {
		t.Errorf("body: status %d", got)
	}
	for name, c := range map[string]net.Conn{"head": head, "silent": silent} {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: the connection is open", name)
		}
	}
	eventually(t, func() error { return expect(conns.count() == 2, "the running and the idle connection are left") })
}

// TestConnectionGivesWayOrRuns guards against a connection that is closed after its request
// began to run, and a request that begins to run on a connection that gives way.
func TestConnectionGivesWayOrRuns(t *testing.T) {
	for range 200 {
		near, far := net.Pipe()
		l := newClientConns("test", 8, platform.NewMemory(1<<20), func() int64 { return 1 << 10 }, newClientLog(zerolog.Nop(), metrics.NewRegistry()))
		c := &clientConn{Conn: near, conns: l}
		c.setPhase(clients.Body)
		ran := make(chan bool)
		go func() { ran <- c.setPhase(clients.Running) }()
		c.evict(false)
		if running := <-ran; running == c.closed.Load() {
			t.Fatalf("runs: %v, closed: %v", running, c.closed.Load())
		}
		_, _ = near.Close(), far.Close()
	}
}
