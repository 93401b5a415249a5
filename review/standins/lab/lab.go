// Package lab starts a small deployment on loopback for the scripts of the review:
// the project's stand-in of the store, servers of the review's own, and the program
// under test as separate processes with the command of the deploy file.
package lab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
)

// The bounds of the deployments, as the settings of every host state them.
const (
	contactMs = 4000
	graceS    = 6
)

// startTimeout bounds the time until all hosts are ready.
const startTimeout = 15 * time.Second

// Lab is one running deployment.
type Lab struct {
	Store  *platformstub.Stub
	Hosts  []*Host
	folder string
	server *http.Server
	record *os.File
	began  time.Time
	mu     sync.Mutex
}

// Host is one process of the program under test.
type Host struct {
	Name, Zone string
	Callers    string
	ready      string
	settings   string
	log        *os.File
	process    *exec.Cmd
}

// New returns a deployment with a store and no hosts. It writes what happens to
// the file record, and the settings and logs of the hosts to a temporary folder.
func New(record string) (*Lab, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Lab{Store: platformstub.New(), folder: folder, record: out, began: time.Now()}
	l.server = &http.Server{Addr: listener.Addr().String(), Handler: l.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// Record writes a line to the record, with the time since the start.
func (l *Lab) Record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// Start starts one host in each of the zones, and waits until all are ready.
// The working directory has to be the root of the repository.
func (l *Lab) Start(zones ...string) error {
	for i, zone := range zones {
		h := &Host{Name: fmt.Sprintf("frontend-%s-%d", zone, i+1), Zone: zone}
		// The addresses depend on the process, so that scripts that run at the same
		// time do not take ports from each other.
		pid := os.Getpid()
		if err := l.prepare(h, zones, fmt.Sprintf("127.%d.%d.%d", 2+pid/250%100, pid%250, i+1)); err != nil {
			return err
		}
		l.Hosts = append(l.Hosts, h)
	}
	for _, h := range l.Hosts {
		if err := l.StartHost(h); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if l.allReady() {
			l.Record("all %d hosts are ready", len(l.Hosts))
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %v; their logs are in %s", startTimeout, l.folder)
}

// prepare picks free ports for a host and writes its settings file.
func (l *Lab) prepare(h *Host, zones []string, ip string) error {
	addresses := make([]string, 3)
	for i := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		addresses[i] = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	h.Callers, h.ready = addresses[0], addresses[1]
	h.settings = filepath.Join(l.folder, h.Name+".conf")
	lines := []string{
		"node_name=" + h.Name, "role=edge", "machine_class=frontend", "serves=frontend,control_plane", "ip=" + ip, "zone=" + h.Zone, "region=munster",
		"listen_addrs.front=" + h.Callers, "listen_addrs.ready=" + h.ready, "listen_addrs.control=" + addresses[2],
		"internal_port_range=7380,7395", "bootstrap=true", "counts_as_loss=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entrypoint=virtual_ip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,scatter,places,platform",
		fmt.Sprint("bounds.contact_ms=", contactMs), fmt.Sprint("bounds.grace_s=", graceS),
		"bounds.ack_ms=5000", "bounds.drain_ms=3000", "bounds.config_apply_ms=3000",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=56",
		"bounds.warmup_overshoot=1.5", "bounds.warmup_slack=5",
		"platform.address=" + l.server.Addr, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=munster")
	}
	return os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// StartHost starts the process of a host, as the deploy file does.
func (l *Lab) StartHost(h *Host) error {
	var err error
	if h.log, err = os.OpenFile(filepath.Join(l.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.process = exec.Command("target/samphirebeam-edge", "run", "-config", "deploy/edge.yaml")
	h.process.Env = append(os.Environ(), "SAMPHIREBEAM_BOOT="+h.settings)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	return h.process.Start()
}

// KillAll kills the processes of all hosts at the same moment, and starts them again
// after down.
func (l *Lab) KillAll(down time.Duration) error {
	for _, h := range l.Hosts {
		_ = h.process.Process.Kill()
	}
	l.Record("all processes are killed")
	for _, h := range l.Hosts {
		_ = h.process.Wait() // it was killed
		_ = h.log.Close()
		if err := notFirstStart(h.settings); err != nil {
			return err
		}
	}
	time.Sleep(down)
	for _, h := range l.Hosts {
		if err := l.StartHost(h); err != nil {
			return err
		}
	}
	l.Record("all processes are started again")
	return nil
}

// PowerOff takes the power from the machines of some hosts: their processes stand
// still, and nothing that was sent to them is answered. After dark the machines are
// back, and their processes start anew.
func (l *Lab) PowerOff(dark time.Duration, hosts ...*Host) error {
	for _, h := range hosts {
		if err := h.process.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		l.Record("%s loses power", h.Name)
	}
	time.Sleep(dark)
	for _, h := range hosts {
		_ = h.process.Process.Kill()
		_ = h.process.Wait() // it was killed
		_ = h.log.Close()
		if err := notFirstStart(h.settings); err != nil {
			return err
		}
		if err := l.StartHost(h); err != nil {
			return err
		}
		l.Record("%s is back", h.Name)
	}
	return nil
}

// notFirstStart changes a settings file for a start that is not the first one.
func notFirstStart(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600)
}

func (l *Lab) allReady() bool {
	client := http.Client{Timeout: time.Second}
	for _, h := range l.Hosts {
		response, err := client.Get("http://" + h.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// Close ends all processes and removes the temporary folder.
func (l *Lab) Close() {
	for _, h := range l.Hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			_ = h.process.Wait()
			_ = h.log.Close()
		}
	}
	_ = l.server.Close()
	_ = l.record.Close()
	_ = os.RemoveAll(l.folder)
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case with the record's path from the command line, which further
// arguments may follow, and ends the process with the exit status of a script: 1 if the rule was broken, 0 if it held,
// 2 if the case could not run.
func Main(run func(*Lab) (broken bool, err error)) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD")
		os.Exit(2)
	}
	l, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		l.Close()
		os.Exit(2)
	}()
	broken, err := run(l)
	if err != nil {
		l.Record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	l.Record("broken: %v", broken)
	l.Close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
