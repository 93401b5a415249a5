package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// contactTime is the contact time of the hosts in tests: the time within which a
// host has to be up to date once the store works again.
const contactTime = time.Second

// testCluster is a store with servers and hosts, all on loopback addresses.
type testCluster struct {
	t       testing.TB
	store   *platformstub.Stub
	address string
	servers map[string]*serverstub.Server
	domains map[string]string // failure domains of the servers
	version int               // latest version of the configuration
	// firstStart is true when the whole tier starts for the first time.
	firstStart bool
	// teams is the list of teams in the configuration; nil for none.
	teams []map[string]any
	// idleTimeout is the configured idle timeout of callers' connections.
	idleTimeout time.Duration
	// maxBodyBytes is the configured limit for callers' bodies.
	maxBodyBytes int
	// versions are the versions of servers; v1 if there is none.
	versions map[string]string
	rollout  scatter.RolloutLimits
	// prepareHost, if set, changes a host before it runs.
	prepareHost func(*Host)
}

func newTestCluster(t testing.TB) *testCluster {
	store := platformstub.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	return &testCluster{t: t, store: store, address: strings.TrimPrefix(server.URL, "http://"), servers: map[string]*serverstub.Server{}, domains: map[string]string{}, idleTimeout: 15 * time.Second, maxBodyBytes: 1 << 20}
}

// addServer starts a server in the failure domain d1 and registers it.
func (cluster *testCluster) addServer(service, id string, config serverstub.Config) {
	cluster.t.Helper()
	cluster.addServerIn("d1", service, id, config)
}

func (cluster *testCluster) addServerIn(domain, service, id string, config serverstub.Config) {
	cluster.t.Helper()
	cluster.domains[id] = domain
	config.ID = id
	config.Slots = max(config.Slots, 2)
	config.Queue = max(config.Queue, 12)
	s, err := serverstub.Start(config)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(s.Close)
	cluster.servers[id] = s
	cluster.register(service, id, "ready")
}

func (cluster *testCluster) register(service, id, state string) {
	cluster.registerState(service, id, state, 1)
}

// registerRestart stores the entry of a restarted server; starts counts its
// starts.
func (cluster *testCluster) registerRestart(service, id string, starts int) {
	cluster.registerState(service, id, "ready", starts)
}

func (cluster *testCluster) registerState(service, id, state string, born int) {
	version := "v1"
	if other, set := cluster.versions[id]; set {
		version = other
	}
	err := cluster.store.Put("servers", id, map[string]any{
		"service": service, "address": cluster.servers[id].Address(), "zone": cluster.domains[id], "version": version,
		"max_concurrency": 2, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": born,
	})
	if err != nil {
		cluster.t.Error(err) // not Fatal: restarted servers register on their own goroutines
	}
}

func (cluster *testCluster) put(kind, name string, spec any) {
	cluster.t.Helper()
	if err := cluster.store.Put(kind, name, spec); err != nil {
		cluster.t.Fatal(err)
	}
}

// configure writes the next version of the configuration: /gather/ gathers from
// the shards, /fetch/ goes to a service whose requests may be repeated, and
// /order/ to one whose requests may not.
func (cluster *testCluster) configure(fetch string, shards ...string) {
	cluster.version++
	route := func(prefix, kind string, more map[string]any) map[string]any {
		route := map[string]any{
			"name": prefix, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
			"target_latency_ms": 400, "priority": 1, "max_attempts": 2,
		}
		for key, value := range more {
			route[key] = value
		}
		return route
	}
	services := []map[string]any{}
	for _, name := range append([]string{fetch, "orders"}, shards...) {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 24, "warmup_s": 3, "warmup_per_s": 0})
	}
	config := map[string]any{
		"version": cluster.version,
		"routes": []any{
			route("/gather/", "idempotent", map[string]any{"gather": shards, "top_k": 3, "min_coverage": 0.5}),
			route("/fetch/", "idempotent", map[string]any{"service": fetch}),
			route("/order/", "non_idempotent", map[string]any{"service": "orders"}),
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": cluster.maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": cluster.idleTimeout.Milliseconds()},
	}
	if cluster.teams != nil {
		config["tenants"] = cluster.teams
	}
	cluster.put("config", "main", config)
}

// startHost starts a host in the failure domain d1 and waits until it is ready.
func (cluster *testCluster) startHost(name string, power float64) *testHost {
	cluster.t.Helper()
	return cluster.startHostIn("d1", name, power)
}

func (cluster *testCluster) startHostIn(domain, name string, power float64) *testHost {
	cluster.t.Helper()
	h := cluster.launchHost(domain, name, power)
	h.waitReadiness(true)
	return h
}

// startHostWithSeed starts a host that can read the list of hosts from a seed.
func (cluster *testCluster) startHostWithSeed(name, seed string) *testHost {
	cluster.t.Helper()
	h := cluster.launchHost("d1", name, 1, seed)
	h.waitReadiness(true)
	return h
}

// launchHost starts a host without waiting until it is ready.
func (cluster *testCluster) launchHost(domain, name string, power float64, seeds ...string) *testHost {
	cluster.t.Helper()
	platformSettings := platform.HostSettings{
		Host: "", Domain: "", IP: "127.0.0.1", Callers: freeAddress(cluster.t), Readiness: freeAddress(cluster.t), Control: freeAddress(cluster.t),
		FirstStart: cluster.firstStart, Store: cluster.address, Cores: power, MemoryBytes: 1 << 28, StopWithin: 2 * time.Second, Contact: contactTime,
		Seeds: seeds, RetryRatio: 0.2, RetryAllowance: 56, RetryWindow: 10 * time.Second,
		Rollout: cluster.rollout,
	}
	platformSettings.Host, platformSettings.Domain = hostID(name), domainID(domain)
	settings := DefaultSettings()
	settings.MetricsPort = 0
	log := &syncBuffer{}
	h, err := New(settings, platformSettings, log)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if cluster.prepareHost != nil {
		cluster.prepareHost(h)
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &testHost{Host: h, t: cluster.t, log: log, stop: stop, runResult: make(chan error, 1), once: &sync.Once{}, client: newCaller()}
	go func() { started.runResult <- h.Run(ctx) }()
	cluster.t.Cleanup(func() {
		started.stopAndWait()
		if cluster.t.Failed() {
			cluster.t.Logf("log of %s:\n%s", name, log)
		}
	})
	return started
}

// freeAddresses counts the calls of freeAddress.
var freeAddresses atomic.Uint32

// freeAddress returns a free address. Its loopback IP is unique to the test
// process and the call, and is not the source address of any connection, so that
// the port stays free until the test listens on it.
func freeAddress(t testing.TB) string {
	t.Helper()
	process, n := os.Getpid(), freeAddresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+process>>8%64, process%256, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// testHost is a running host.
type testHost struct {
	*Host
	t         testing.TB
	log       *syncBuffer
	stop      context.CancelFunc
	runResult chan error
	once      *sync.Once
	client    *http.Client
}

// stopAndWait stops the host and waits until it has ended. Further calls do
// nothing.
func (h *testHost) stopAndWait() {
	h.once.Do(func() {
		h.stop()
		if err := <-h.runResult; err != nil {
			h.t.Error(err)
		}
	})
}

func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}, Timeout: 5 * time.Second}
}

func (h *testHost) waitReadiness(want bool) {
	h.t.Helper()
	eventually(h.t, func() error {
		response, err := http.Get("http://" + h.platformSettings.Readiness + "/readyz")
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if got := response.StatusCode == http.StatusOK; got != want {
			return fmt.Errorf("ready: %v, want %v", got, want)
		}
		return nil
	})
}

// callerReply is a caller's view of an answer.
type callerReply struct {
	status int
	header http.Header
	body   []byte
	closes bool // the host closes the connection after the answer
	err    error
}

// request sends a caller's request to the host.
func (h *testHost) request(method, path, id, body string) callerReply {
	return h.requestAs("", method, path, id, body)
}

// requestAs sends a caller's request with a key; an empty key sends none.
func (h *testHost) requestAs(key, method, path, id, body string) callerReply {
	request, err := http.NewRequest(method, "http://"+h.platformSettings.Callers+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("Tenant", "forged")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return callerReply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callerReply{status: response.StatusCode, header: response.Header, body: data, closes: response.Close, err: err}
}

// eventually retries a check for a few seconds.
func eventually(t testing.TB, check func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// syncBuffer is a buffer for the log of a host, safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
