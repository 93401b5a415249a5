//go:build unix

package command

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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

const (
	// requestWork is how long an upstream works on a request.
	requestWork = time.Second
	// eventTimeout bounds the wait for events that must occur on a machine of any speed.
	eventTimeout = 60 * time.Second
)

// process is a host that runs in a process of its own, with a store and an upstream.
type process struct {
	t                                *testing.T
	ip, callers, readiness, settings string
	upstream                         *serverstub.Server
	command                          *exec.Cmd
	log                              bytes.Buffer
	logDone                          chan struct{} // closed when the log is complete
	logReader                        io.Closer
}

// newProcess prepares a process that start starts.
func newProcess(t *testing.T) *process {
	t.Helper()
	store := platformstub.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.CloseClientConnections)
	upstream, err := serverstub.Start(serverstub.Config{ID: "u1", Slots: 64, Queue: 64, Work: requestWork})
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
		"service": "orders", "address": upstream.Address(), "zone": "d1", "version": "v1", "max_concurrency": 64,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
	})
	put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "orders", "host": "h.example", "path_prefix": "/orders/", "kind": "non_idempotent", "service": "orders",
			"timeout_ms": 30000, "target_latency_ms": 5000, "priority": 1, "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/healthz", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	})
	ip, addresses := freeAddresses(t, 3)
	p := &process{t: t, ip: ip, callers: addresses[0], readiness: addresses[1], upstream: upstream, settings: filepath.Join(t.TempDir(), "host.conf")}
	p.command = exec.Command(os.Args[0], "run")
	p.command.Env = append(os.Environ(), runsCommand+"=1", "SAMPHIREBEAM_BOOT="+p.settings)
	p.writeSettings(p.settings, addresses[2], strings.TrimPrefix(storeServer.URL, "http://"))
	return p
}

// hostAddresses counts the calls of freeAddresses.
var hostAddresses atomic.Uint32

// freeAddresses returns a loopback IP that is unique to the test process and the call, and
// free addresses on it. No connection has it as its source, so the ports stay free until the
// process under test listens on them.
func freeAddresses(t *testing.T, count int) (ip string, addresses []string) {
	t.Helper()
	tests, n := os.Getpid(), hostAddresses.Add(1)
	ip = fmt.Sprintf("127.%d.%d.%d", 128+tests>>8%64, tests%256, 1+n%250)
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return ip, addresses
}

func (p *process) writeSettings(path, control, store string) {
	p.t.Helper()
	text := strings.Join([]string{
		"node_name=host-1", "zone=d1", "ip=" + p.ip, "listen_addrs.front=" + p.callers, "listen_addrs.ready=" + p.readiness,
		"listen_addrs.control=" + control, "platform.address=" + store, "limits.cpu_share=1", "limits.cores=1", "limits.memory_mb=284",
		"limits.max_fds=4100", "bounds.contact_ms=1000", "bounds.grace_s=6", "bounds.retry_budget_ratio=0.2",
		"bounds.retry_slack=56", "bounds.retry_window_s=10",
	}, "\n")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) start() {
	p.t.Helper()
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = logWriter, logWriter
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	_ = logWriter.Close() // the process has its own
	p.logReader, p.logDone = logReader, make(chan struct{})
	go func() {
		defer close(p.logDone)
		_, _ = io.Copy(&p.log, logReader) // ends with the process, or when a test closes the reader
	}()
	p.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait() // done before, unless the test has failed
		<-p.logDone
		if p.t.Failed() {
			out := p.log.String()
			p.t.Logf("end of the log: %s", out[max(0, len(out)-4000):])
		}
	})
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Errorf("%v: %v", s, err)
	}
}

func (p *process) awaitReady() {
	p.t.Helper()
	var err error
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var reply *http.Response
		if reply, err = http.Get("http://" + p.readiness + "/readyz"); err == nil {
			_ = reply.Body.Close()
			if reply.StatusCode == http.StatusOK {
				return
			}
			err = fmt.Errorf("status %d", reply.StatusCode)
		}
	}
	p.t.Fatalf("not ready: %v", err)
}

// order sends a request that must not be repeated.
func (p *process) order(id string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/orders/x", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "30000")
	reply, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", reply.StatusCode)
	}
	return nil
}

// awaitArrival waits until the upstream has been sent a request.
func (p *process) awaitArrival() {
	p.t.Helper()
	for end := time.Now().Add(eventTimeout); p.upstream.Arrived() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("no request arrived")
		}
	}
}

// awaitExit waits for the end of the process, which has to be its own decision.
func (p *process) awaitExit() {
	p.t.Helper()
	timeout := time.AfterFunc(eventTimeout, func() { _ = p.command.Process.Kill() })
	defer timeout.Stop()
	if err := p.command.Wait(); err != nil {
		p.t.Errorf("the process ended with %v", err)
	}
}

// TestSignalsDuringPlannedStopCutNothing guards against signals in a planned stop that end
// the process and cut off its requests: a change of the settings, and a second order to
// stop. They go on until the process is gone.
func TestSignalsDuringPlannedStopCutNothing(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			p := newProcess(t)
			p.start()
			p.awaitReady()
			const orders = 2
			results := make([]error, orders)
			var waiting sync.WaitGroup
			for i := range results {
				waiting.Go(func() { results[i] = p.order(fmt.Sprint("order-", i)) })
			}
			p.awaitArrival()
			p.signal(syscall.SIGTERM)
			ended := make(chan struct{})
			waiting.Go(func() {
				for {
					select {
					case <-ended:
						return
					case <-time.After(time.Millisecond):
						_ = p.command.Process.Signal(s) // fails once the process is gone
					}
				}
			})
			p.awaitExit()
			close(ended)
			waiting.Wait()
			for i, err := range results {
				if err != nil {
					t.Errorf("order %d, in flight before the stop: %v", i, err)
				}
			}
		})
	}
}

// readsSettingsFromPipe makes the process wait for its settings when it starts. The
// function that is returned waits until it does; the next one delivers them.
func (p *process) readsSettingsFromPipe() (await func() (deliver func())) {
	p.t.Helper()
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.Remove(p.settings); err != nil {
		p.t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.settings, 0o600); err != nil {
		p.t.Fatal(err)
	}
	return func() func() {
		pipe, err := os.OpenFile(p.settings, os.O_WRONLY, 0) // waits for the reader
		if err != nil {
			p.t.Fatal(err)
		}
		// What reads the settings again finds a file.
		if err := os.Remove(p.settings); err != nil {
			p.t.Fatal(err)
		}
		if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
			p.t.Fatal(err)
		}
		return func() {
			if _, err := pipe.Write(settings); err != nil {
				p.t.Fatal(err)
			}
			_ = pipe.Close()
		}
	}
}

// signalDelivery is the time that a process has to take a signal before the test goes on.
const signalDelivery = 50 * time.Millisecond

// TestSIGHUPDuringStartIsHandled guards against a process that ends when its settings file
// changes before it serves, and against a change that it misses.
func TestSIGHUPDuringStartIsHandled(t *testing.T) {
	t.Parallel()
	p := newProcess(t)
	await := p.readsSettingsFromPipe()
	p.start()
	deliver := await()
	p.signal(syscall.SIGHUP)
	time.Sleep(signalDelivery)
	deliver()
	p.awaitReady()
	if err := p.order("order"); err != nil {
		t.Error(err)
	}
	p.signal(syscall.SIGTERM)
	p.awaitExit()
	<-p.logDone
	if out := p.log.String(); !strings.Contains(out, `"event":"reload"`) {
		t.Errorf("the settings were not read again: %s", out)
	}
}

// TestSIGTERMDuringStartEndsTheProcess guards against a process that opens its ports to
// callers although it was ordered to stop before.
func TestSIGTERMDuringStartEndsTheProcess(t *testing.T) {
	t.Parallel()
	p := newProcess(t)
	await := p.readsSettingsFromPipe()
	p.start()
	deliver := await()
	p.signal(syscall.SIGTERM)
	time.Sleep(signalDelivery)
	deliver()
	p.awaitExit()
	<-p.logDone
	if out := p.log.String(); strings.Contains(out, `"event":"start"`) {
		t.Errorf("the host was started: %s", out)
	}
}

// TestLogWithoutReaderEndsNoProcess guards against SIGPIPE, which ends a process that
// writes to a log whose reader is gone.
func TestLogWithoutReaderEndsNoProcess(t *testing.T) {
	t.Parallel()
	p := newProcess(t)
	p.start()
	p.awaitReady()
	_ = p.logReader.Close()
	for i := range 3 { // each is logged
		if err := p.order(fmt.Sprint("order-", i)); err != nil {
			t.Fatal(err)
		}
	}
	p.signal(syscall.SIGTERM)
	p.awaitExit()
}
