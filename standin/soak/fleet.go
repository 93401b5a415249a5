package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

const (
	// Gathers query the shards, each with serversPerShard servers. The
	// orderServers run the requests that must not run twice.
	shards          = 3
	serversPerShard = 2
	orderServers    = 2
	// The fileServers receive the request that crashes servers; each crash lasts
	// downTime. They are reached without a proxy, so that the hosts see the
	// connections break.
	fileServers = 4
	downTime    = 500 * time.Millisecond
	// contactMs is the setting bounds.contact_ms of the hosts, graceS their
	// bounds.grace_s: a stopping host that exceeds it is killed.
	contactMs = 1000
	graceS    = 2
	// serviceTime is how long a request runs on a server.
	serviceTime = 3 * time.Millisecond
)

// fleet holds the platform store, the servers and the hosts of one soak.
type fleet struct {
	program     string
	folder      string
	store       *platformstub.Stub
	storeServer *httptest.Server
	hosts       []*host
	servers     []*server
	fileServers []*serverstub.Server

	limits map[string]float64 // of the servers that state one
	teams  bool               // the configuration has teams
	// crashAfter is how long a request runs that crashes its server, downFor for how long
	// that is down.
	crashAfter, downFor time.Duration

	mu        sync.Mutex
	version   int
	shardSets [][]string // shards of each version, beginning with version 1

	writtenMu sync.Mutex
	// written is what operators and servers wrote last, by kind and name.
	written map[[2]string]any
}

// put writes to the store as an operator or a server.
func (f *fleet) put(kind, name string, spec any) error {
	f.writtenMu.Lock()
	defer f.writtenMu.Unlock()
	f.written[[2]string{kind, name}] = spec
	return f.store.Put(kind, name, spec)
}

// restoreStore goes back to a copy of the store. Operators and servers then write
// again what they wrote last; what the hosts wrote since the copy is lost.
func (f *fleet) restoreStore(age time.Duration) error {
	f.writtenMu.Lock()
	defer f.writtenMu.Unlock()
	f.store.Restore(age)
	for key, spec := range f.written {
		if err := f.store.Put(key[0], key[1], spec); err != nil {
			return err
		}
	}
	return nil
}

// server is a server stand-in behind a proxy.
type server struct {
	*serverstub.Server
	id, service, domain string
	proxy               *proxy
}

// host is one samphirebeam-edge process.
type host struct {
	name, settings   string
	cutFile          string // see the command faultyedge
	callers, control string
	readiness        string
	store            *proxy
	log              *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// startedAt is when the process was started, disturbed when it was sent a signal that
	// may cost a request.
	startedAt time.Time
	disturbed []time.Time
}

func newFleet(program, folder string, hosts int, seed uint64) (*fleet, error) {
	f := &fleet{program: program, folder: folder, teams: hasTeams(seed), downFor: downTime, store: platformstub.New(), written: map[[2]string]any{}}
	if callersLeave(seed) {
		f.crashAfter, f.downFor = leaverCrashAfter, leaverDownTime
	}
	f.storeServer = httptest.NewServer(f.store)
	for i := range shards {
		for j := range serversPerShard {
			// The last shard is in d2, the others are in d1, so that gathers in
			// each domain need relays to the other.
			domain := "d1"
			if i == shards-1 {
				domain = "d2"
			}
			if err := f.addServer(fmt.Sprint("shard-", i), fmt.Sprintf("s%d-%d", i, j), domain); err != nil {
				return f, err
			}
		}
	}
	for j := range orderServers {
		if err := f.addServer("orders", fmt.Sprint("o", j), "d1"); err != nil {
			return f, err
		}
	}
	for j := range fileServers {
		if err := f.addFileServer(fmt.Sprint("f", j)); err != nil {
			return f, err
		}
	}
	if err := f.configure(); err != nil {
		return f, err
	}
	for i := range hosts {
		if err := f.addHost(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) addServer(service, id, domain string) error {
	body := []byte(fmt.Sprintf("%-16s%-16s%-16s", id+"-3", id+"-1", id+"-2"))
	stub, err := serverstub.Start(serverstub.Config{ID: id, Slots: 4, Queue: 24, Work: serviceTime, Body: body})
	if err != nil {
		return err
	}
	p, err := newProxy(stub.Address())
	if err != nil {
		return err
	}
	s := &server{Server: stub, id: id, service: service, domain: domain, proxy: p}
	f.servers = append(f.servers, s)
	return f.register(s, "ready")
}

func (f *fleet) addFileServer(id string) error {
	register := func(address string, starts int) error {
		return f.put("servers", id, serverEntry("files", "d1", address, "ready", starts))
	}
	var stub *serverstub.Server
	stub, err := serverstub.Start(serverstub.Config{
		ID: id, Slots: 4, Queue: 24, Work: serviceTime, CrashPath: "/deadly", DownFor: f.downFor, CrashAfter: f.crashAfter,
		OnStart: func(starts int) { _ = register(stub.Address(), starts) }, // Put fails only if JSON cannot encode the entry
	})
	if err != nil {
		return err
	}
	f.fileServers = append(f.fileServers, stub)
	return register(stub.Address(), 1)
}

func (f *fleet) register(s *server, state string) error {
	return f.put("servers", s.id, serverEntry(s.service, s.domain, s.proxy.address(), state, 1))
}

func serverEntry(service, domain, address, state string, born int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": domain, "version": "v1", "max_concurrency": 4,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": born,
	}
}

// configure writes the next configuration version. Its gather route queries two
// shards or all of them, in turn.
func (f *fleet) configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	set := []string{"shard-0", "shard-1", "shard-2"}[:2+f.version%2]
	f.shardSets = append(f.shardSets, set)
	route := map[string]any{"host": "soak", "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "max_attempts": 2}
	with := func(more map[string]any) map[string]any {
		for key, value := range route {
			more[key] = value
		}
		return more
	}
	var services []map[string]any
	for _, name := range []string{"shard-0", "shard-1", "shard-2", "orders", "files"} {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 60})
	}
	config := map[string]any{
		"version": f.version, "services": services, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"routes": []any{
			with(map[string]any{"name": "gather", "path_prefix": "/gather/", "kind": "idempotent", "gather": set, "top_k": 4, "min_coverage": 0.5}),
			with(map[string]any{"name": "order", "path_prefix": "/order/", "kind": "non_idempotent", "service": "orders"}),
			with(map[string]any{"name": "file", "path_prefix": "/file/", "kind": "idempotent", "service": "files"}),
		},
	}
	if f.teams {
		config["tenants"] = teamSpecs(f.version)
	}
	return f.put("config", "main", config)
}

func (f *fleet) addHost(i int) error {
	store, err := newProxy(strings.TrimPrefix(f.storeServer.URL, "http://"))
	if err != nil {
		return err
	}
	h := &host{name: fmt.Sprint("host-", i), store: store}
	// Each host has an IP address of its own. Outgoing connections use the usual
	// loopback address as their source, so none can occupy a port that was
	// reserved here before the host listens on it.
	ip := fmt.Sprintf("127.1.%d.%d", i/200, i%200+1)
	if err := reserveAddresses(ip, &h.callers, &h.control, &h.readiness); err != nil {
		return err
	}
	// Each failure domain has hosts with a full core and with a fifth of it.
	cpuShare, domain := 1.0, fmt.Sprint("d", i/2%2+1)
	if i%2 == 1 {
		cpuShare = 0.2
	}
	h.settings, h.cutFile = filepath.Join(f.folder, h.name+".conf"), filepath.Join(f.folder, h.name+".cut")
	lines := []string{
		"node_name=" + h.name, "zone=" + domain, "ip=" + ip, "listen_addrs.front=" + h.callers,
		"listen_addrs.ready=" + h.readiness, "listen_addrs.control=" + h.control, "internal_port_range=1,2",
		"platform.address=" + store.address(), fmt.Sprint("limits.cpu_share=", cpuShare), "limits.cores=1", "limits.memory_mb=256",
		fmt.Sprint("bounds.contact_ms=", contactMs), fmt.Sprint("bounds.grace_s=", graceS),
		"bounds.retry_budget_ratio=0.2", "bounds.retry_slack=56", "bounds.retry_window_s=10",
	}
	if err := os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return eris.Wrap(err, "settings")
	}
	if h.log, err = os.Create(filepath.Join(f.folder, h.name+".log")); err != nil {
		return eris.Wrap(err, "log")
	}
	f.hosts = append(f.hosts, h)
	return h.start(f.program, f.folder)
}

// reserveAddresses sets each address to an "ip:port" with a free port of its own.
func reserveAddresses(ip string, addresses ...*string) error {
	for _, address := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return eris.Wrap(err, "free port")
		}
		// Closed only at the end, so that no port is returned twice.
		defer func() { _ = l.Close() }()
		*address = l.Addr().String()
	}
	return nil
}

// start starts the process unless it is already running.
func (h *host) start(program, folder string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	config := filepath.Join(folder, "edge.yaml")
	if err := os.WriteFile(config, []byte("metrics_port: 0\n"), 0o600); err != nil {
		return eris.Wrap(err, "settings")
	}
	cmd := exec.Command(program, "run", "-config", config)
	cmd.Env = append(os.Environ(), "SAMPHIREBEAM_BOOT="+h.settings, "SOAK_CUT="+h.cutFile)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start "+h.name)
	}
	ended := make(chan struct{})
	h.process, h.ended, h.startedAt = cmd, ended, time.Now()
	go func() {
		_ = cmd.Wait() // the exit status does not matter: faults kill processes
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when
// the process has ended, or nil if no process runs.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return nil
	}
	h.disturbed = append(h.disturbed, time.Now())
	_ = h.process.Process.Signal(s) // fails if the process has just ended
	return h.ended
}

// loadTime is how long the system may take to load a program, which cannot handle a
// signal before.
const loadTime = 50 * time.Millisecond

// hangUp sends SIGHUP to the process, if one runs.
func (h *host) hangUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && time.Since(h.startedAt) > loadTime {
		_ = h.process.Process.Signal(syscall.SIGHUP) // fails if the process has just ended
	}
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops all hosts, proxies and servers.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		if ended := h.signal(syscall.SIGKILL); ended != nil {
			<-ended
		}
		h.store.close()
		_ = h.log.Close()
	}
	for _, s := range f.servers {
		s.proxy.close()
		s.Close()
	}
	for _, s := range f.fileServers {
		s.Close()
	}
	f.storeServer.CloseClientConnections()
}
