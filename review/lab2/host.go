package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostShape is what differs between the machines of a deployment.
type hostShape struct {
	zone     string
	cpuShare float64
	memoryMB int
}

// host is one machine of the query tier with its process.
type host struct {
	lab                        *lab
	name, settings, logFile    string
	shape                      hostShape
	callers, control, readyzAt string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	state   string // how the last process ended
	closed  bool
}

var zones = []string{"munster-a", "munster-b", "munster-c", "munster-d"}

// addHosts reserves the addresses of the hosts, and writes their settings.
func (l *lab) addHosts(shapes ...hostShape) error {
	for i, shape := range shapes {
		h := &host{lab: l, name: fmt.Sprintf("frontend-%s-%d", shape.zone, i+1), shape: shape}
		ip := fmt.Sprintf("127.9.%d.%d", os.Getpid()%250+1, i+1)
		for _, address := range []*string{&h.callers, &h.control, &h.readyzAt} {
			listener, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return err
			}
			*address = listener.Addr().String()
			defer func() { _ = listener.Close() }()
		}
		h.settings, h.logFile = filepath.Join(l.temp, h.name+".conf"), filepath.Join(l.temp, h.name+".log")
		l.hosts = append(l.hosts, h)
	}
	for _, h := range l.hosts {
		if err := h.writeSettings(true); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file. FirstStart is true when the whole tier starts
// for the first time.
func (h *host) writeSettings(firstStart bool) error {
	l := h.lab
	var seeds []string
	for _, other := range l.hosts[:min(3, len(l.hosts))] {
		seeds = append(seeds, other.control)
	}
	ip, _, err := net.SplitHostPort(h.callers)
	if err != nil {
		return err
	}
	lines := []string{
		"node_name=" + h.name, "role=edge", "machine_class=frontend", "serves=frontend,control_plane", "ip=" + ip,
		"zone=" + h.shape.zone, "region=munster",
		"listen_addrs.front=" + h.callers, "listen_addrs.ready=" + h.readyzAt, "listen_addrs.control=" + h.control,
		"internal_port_range=7380,7395", "seed_nodes=" + strings.Join(seeds, ","), "bootstrap=" + strconv.FormatBool(firstStart),
		"counts_as_loss=false", fmt.Sprint("limits.cpu_share=", h.shape.cpuShare), "limits.cores=1", fmt.Sprint("limits.memory_mb=", h.shape.memoryMB),
		"limits.max_fds=4100", "limits.link_mbps=200", "limits.disk_mb=0", "discovery=platform", "entrypoint=virtual_ip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,scatter,places,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4",
		"bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000",
		"bounds.rollback_slack_ms=250", "bounds.max_skew_ms=12000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10",
		"bounds.retry_slack=56", "bounds.warmup_overshoot=1.5", "bounds.warmup_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"platform.address=" + l.storeAddress, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=munster")
	}
	return os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the host's process as the deploy file does.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.process != nil {
		return nil
	}
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.lab.program, "run", "-config", h.lab.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.lab.temp, "LANG=C", "SAMPHIREBEAM_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = cmd, ended
	h.lab.note("%s starts, process %d", h.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the state tells how it ended
		_ = log.Close()
		h.mu.Lock()
		h.process, h.state = nil, cmd.ProcessState.String()
		h.mu.Unlock()
		h.lab.note("%s has ended: %s", h.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the host's process; it returns false if none runs.
func (h *host) signal(s syscall.Signal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return false
	}
	return h.process.Process.Signal(s) == nil
}

// pid returns the ID of the host's process, 0 if none runs.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Process.Pid
}

// end kills the process and waits for it; the host is not started again.
func (h *host) end() {
	h.mu.Lock()
	h.closed = true
	process, ended := h.process, h.ended
	if process != nil {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
	}
	h.mu.Unlock()
	if process != nil {
		<-ended
	}
}

// ready reports whether the host's readiness check succeeds.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readyzAt + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all hosts, waits until they are ready and for the lead after that.
func (l *lab) startAll(lead time.Duration) error {
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(lead); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range l.hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(l.hosts) && time.Now().After(end) {
			l.note("all %d hosts are ready", ready)
			break
		}
		if time.Now().After(end.Add(10 * time.Second)) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(l.hosts))
		}
	}
	for _, h := range l.hosts {
		if err := h.writeSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// logged returns the values of a field in the host's log lines of one event.
func (h *host) logged(event, field string) (values []string) {
	data, err := os.ReadFile(h.logFile)
	if err != nil {
		return nil
	}
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line["event"] == event {
			values = append(values, fmt.Sprint(line[field]))
		}
	}
	return values
}
