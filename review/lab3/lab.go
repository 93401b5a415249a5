package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
)

// lab holds the stand-ins and the edge processes of one script.
type lab struct {
	folder      string
	trouble     bool
	store       *platformstub.Stub
	storeServer *httptest.Server
	edges       []*edge
	servers     []*server
	started     time.Time

	mu     sync.Mutex
	record *os.File
}

// edge is one samphirebeam-edge process, started as the deploy file says.
type edge struct {
	name, zone             string
	front, ready, control  string
	store                  *proxy
	command                *exec.Cmd
	ended                  chan struct{}
	exitErr                error
	settings, logPath, ip4 string
}

// zones are the zones of the small deployment, with the number of machines in each.
var zones = []struct {
	name  string
	count int
}{{"munster-a", 3}, {"munster-b", 2}, {"munster-c", 2}, {"munster-d", 1}}

// memoryMB is the memory of a machine of the small deployment.
const memoryMB = 284

func newLab(recordPath string, trouble bool) (*lab, error) {
	folder, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{folder: folder, trouble: trouble, store: platformstub.New(), record: record, started: time.Now()}
	l.storeServer = httptest.NewServer(l.store)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// close ends all processes that this script started.
func (l *lab) close() {
	for _, e := range l.edges {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		if e.ended != nil {
			<-e.ended
		}
		e.store.close()
	}
	for _, s := range l.servers {
		s.close()
	}
	l.storeServer.CloseClientConnections()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
	_ = l.record.Close()
}

// smallZones returns the zone of each of n machines, in the proportions of the small deployment.
func smallZones(n int) []string {
	var order []string
	for len(order) < n {
		for _, z := range zones {
			for range z.count {
				order = append(order, z.name)
			}
		}
	}
	return order[:n]
}

// startEdges starts machines, one in each given zone.
func (l *lab) startEdges(inZones []string) error {
	var controls []string
	for i, zone := range inZones {
		p, err := newProxy(strings.TrimPrefix(l.storeServer.URL, "http://"))
		if err != nil {
			return err
		}
		e := &edge{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip4: fmt.Sprintf("127.3.%d.%d", os.Getpid()%250, i+1), store: p}
		if err := reserve(e.ip4, &e.front, &e.ready, &e.control); err != nil {
			return err
		}
		controls = append(controls, e.control)
		l.edges = append(l.edges, e)
	}
	for _, e := range l.edges {
		if err := l.startEdge(e, controls[:min(3, len(controls))], true); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) startEdge(e *edge, seeds []string, bootstrap bool) error {
	lines := []string{
		"node_name=" + e.name, "role=edge", "machine_class=frontend", "serves=frontend,control_plane",
		"ip=" + e.ip4, "zone=" + e.zone, "region=munster",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z.name+"=munster")
	}
	lines = append(lines,
		"listen_addrs.front="+e.front, "listen_addrs.ready="+e.ready, "listen_addrs.control="+e.control,
		"internal_port_range=7380,7395", "seed_nodes="+strings.Join(seeds, ","), fmt.Sprint("bootstrap=", bootstrap), "counts_as_loss=false",
		"limits.cpu_share=0.4", "limits.cores=1", fmt.Sprint("limits.memory_mb=", memoryMB), "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entrypoint=virtual_ip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,scatter,places,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4", "bounds.drain_ms=3000",
		"bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=12000",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=56", "bounds.warmup_overshoot=1.5", "bounds.warmup_slack=5",
		"bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"platform.address="+e.store.address(), "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	)
	e.settings = filepath.Join(l.folder, e.name+".conf")
	e.logPath = filepath.Join(l.folder, e.name+".log")
	if err := os.WriteFile(e.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	e.command = exec.Command("target/samphirebeam-edge", "run", "-config", "deploy/edge.yaml")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREBEAM_BOOT=" + e.settings}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.ended = ended
	command := e.command
	go func() {
		e.exitErr = command.Wait()
		close(ended)
	}()
	return nil
}

func (e *edge) signal(s syscall.Signal) {
	if e.command == nil || e.hasEnded() {
		return
	}
	_ = e.command.Process.Signal(s) // it may just have ended
}

func (e *edge) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// isReady asks as the platform does.
func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (l *lab) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, e := range l.edges {
			all = all && e.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

// memoryOf returns the resident memory of a process and its peak, in MB.
func (e *edge) memory() (now, peak float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64) // other lines are not read
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

// logLines returns the lines of a process's log that contain a text.
func (e *edge) logLines(text string) (found []string) {
	data, _ := os.ReadFile(e.logPath) // a missing log has no lines
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// reserve sets each address to an "ip:port" with a free port of its own.
func reserve(ip string, addresses ...*string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// proxy forwards TCP connections; while it is silent it takes all bytes and passes on none.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(near)
	}
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near) })
	both.Go(func() { p.copy(near, far) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, near)
	delete(p.conns, far)
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isSilent() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
