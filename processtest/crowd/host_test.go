//go:build linux

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// The limits of the smallest machine, and of the configuration.
const (
	memoryMB       = 136
	maxFDs         = 2870
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 262144
)

// eventTimeout bounds the wait for events that must occur on a machine of any speed.
const eventTimeout = 60 * time.Second

var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "samphirebeam-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "samphirebeam-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/samphirebeam-edge").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// host is a process under test and the stand-ins that it uses.
type host struct {
	t                                    *testing.T
	callers, readiness, metrics, control string
	memoryMB, maxFDs                     int
	process                              *exec.Cmd
	ended                                chan struct{}
	log                                  lockedBuffer
	mostFDs                              atomic.Int64

	mu    sync.Mutex
	conns []net.Conn // of the clients, open until the end of the test
}

type lockedBuffer struct {
	sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.Lock()
	defer b.Unlock()
	return b.Buffer.Write(p)
}

// start starts a process with the settings of a machine. Each upstream's answer
// has answerBytes bytes.
func start(t *testing.T, descriptors, answerBytes int) *host {
	t.Helper()
	h := &host{t: t, memoryMB: machineMemory(), maxFDs: descriptors, ended: make(chan struct{})}
	store := platformstub.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.CloseClientConnections)
	upstream, err := serverstub.Start(serverstub.Config{ID: "u1", Slots: 64, Queue: 4096, Body: make([]byte, answerBytes)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Close)
	put := func(kind, name string, spec any) {
		if err := store.Put(kind, name, spec); err != nil {
			t.Fatal(err)
		}
	}
	put("servers", "u1", map[string]any{
		"service": "files", "address": upstream.Address(), "zone": "d1", "version": "v1", "max_concurrency": 64,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
	})
	put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "files", "host": "h.example", "path_prefix": "/files/", "kind": "idempotent", "service": "files",
			"timeout_ms": 5000, "target_latency_ms": 2000, "priority": 1, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "files", "health_path": "/healthz", "max_connections": 96}},
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 10000, "idle_timeout_ms": 60000,
		},
	})
	h.startProcess(strings.TrimPrefix(storeServer.URL, "http://"))
	h.awaitReady()
	return h
}

// machineMemory is memoryMB, unless a measurement sets another machine.
func machineMemory() int {
	if mb, err := strconv.Atoi(os.Getenv("CROWD_MEMORY_MB")); err == nil {
		return mb
	}
	return memoryMB
}

func (h *host) startProcess(store string) {
	// The address is the source of no connection, so its ports stay free.
	ip := fmt.Sprintf("127.9.%d.%d", os.Getpid()/250%250, os.Getpid()%250+1)
	var listeners []net.Listener
	for _, address := range []*string{&h.callers, &h.readiness, &h.metrics, &h.control} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			h.t.Fatal(err)
		}
		listeners = append(listeners, l)
		*address = l.Addr().String()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	folder := h.t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			h.t.Fatal(err)
		}
		return path
	}
	_, metricsPort, _ := net.SplitHostPort(h.metrics)
	config := write("edge.yaml", "metrics_port: "+metricsPort+"\n")
	settings := write("edge.conf", strings.Join([]string{
		"node_name=host-1", "zone=d1", "ip=" + ip, "listen_addrs.front=" + h.callers, "listen_addrs.ready=" + h.readiness,
		"listen_addrs.control=" + h.control, "platform.address=" + store, "limits.cpu_share=1", "limits.cores=1",
		fmt.Sprint("limits.memory_mb=", h.memoryMB), fmt.Sprint("limits.max_fds=", h.maxFDs), "bounds.contact_ms=1000",
		"bounds.grace_s=2", "bounds.retry_budget_ratio=0.2", "bounds.retry_slack=56", "bounds.retry_window_s=10",
	}, "\n"))
	h.process = exec.Command(program, "run", "-config", config)
	h.process.Env = append(os.Environ(), "SAMPHIREBEAM_BOOT="+settings)
	h.process.Stdout, h.process.Stderr = &h.log, &h.log
	if err := h.process.Start(); err != nil {
		h.t.Fatal(err)
	}
	go func() {
		_ = h.process.Wait() // the exit status does not matter
		close(h.ended)
	}()
	go h.watchFDs()
	h.t.Cleanup(func() {
		h.mu.Lock()
		for _, c := range h.conns {
			_ = c.Close()
		}
		h.mu.Unlock()
		_ = h.process.Process.Kill()
		<-h.ended
		if h.t.Failed() {
			out := h.log.String()
			h.t.Logf("end of the log: %s", out[max(0, len(out)-4000):])
		}
	})
}

// watchFDs records the most descriptors seen open.
func (h *host) watchFDs() {
	for {
		select {
		case <-h.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid))
		if err == nil && int64(len(entries)) > h.mostFDs.Load() {
			h.mostFDs.Store(int64(len(entries)))
		}
	}
}

// peakMB returns the most memory that was resident.
func (h *host) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			return (kb + 1023) / 1024
		}
	}
	h.t.Fatal("no VmHWM")
	return 0
}

// holdTime is how long a load is kept up before the check, so that the process
// gets round to all of it.
const holdTime = time.Second

// check fails the test unless the process lives, has stayed within its memory and
// descriptors, and answers a readiness check and an ordinary request while the
// clients' connections are still open.
func (h *host) check() {
	h.t.Helper()
	select {
	case <-h.ended:
		h.t.Fatal("the process has ended")
	case <-time.After(holdTime):
	}
	h.awaitReady()
	h.eventually("an ordinary request", func(client *http.Client) error {
		request, err := http.NewRequest("GET", "http://"+h.callers+"/files/x", nil)
		if err != nil {
			return err
		}
		request.Host = "h.example"
		request.Header.Set("Request-Id", fmt.Sprint("ordinary-", time.Now().UnixNano()))
		request.Header.Set("Deadline-Ms", "5000")
		return expectOK(client.Do(request))
	})
	peak, fds := h.peakMB(), int(h.mostFDs.Load())
	h.t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak, h.memoryMB, fds, h.maxFDs)
	if peak > h.memoryMB {
		h.t.Errorf("%d MB were resident, the machine has %d", peak, h.memoryMB)
	}
	if fds > h.maxFDs {
		h.t.Errorf("%d descriptors were open, the limit is %d", fds, h.maxFDs)
	}
}

func (h *host) awaitReady() {
	h.t.Helper()
	h.eventually("readiness", func(client *http.Client) error { return expectOK(client.Get("http://" + h.readiness + "/readyz")) })
}

// eventually tries a call on a new connection each time until it succeeds.
func (h *host) eventually(what string, try func(client *http.Client) error) {
	h.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	var err error
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = try(client); err == nil {
			return
		}
	}
	h.t.Fatalf("%s: %v", what, err)
}

func expectOK(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// loadTimeout bounds a client's writes: one whose writes stall stops there and
// stays open.
const loadTimeout = 2 * time.Second

// crowd opens n connections to an address and runs client on each, at most 256 at
// a time. All stay open. A refused or closed connection is allowed.
func (h *host) crowd(n int, address string, client func(i int, c net.Conn)) {
	var clients sync.WaitGroup
	places := make(chan struct{}, 256)
	for i := range n {
		places <- struct{}{}
		clients.Go(func() {
			defer func() { <-places }()
			c, err := net.DialTimeout("tcp", address, loadTimeout)
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, c)
			h.mu.Unlock()
			_ = c.SetDeadline(time.Now().Add(loadTimeout))
			client(i, c)
		})
	}
	clients.Wait()
}

// send writes texts until one fails.
func send(c net.Conn, texts ...string) bool {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	return true
}
