package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// Topology describes the hosts, failure domains and upstreams of a fleet. Layout
// is the usual implementation.
type Topology interface {
	HostCount() int
	// Domain returns the failure domain of the host with index n.
	Domain(n int) string
	// Stub returns the settings of the upstream stand-in.
	Stub(seed uint64) upstreamstub.Config
	// Declaration returns the objects to apply as YAML; address returns the
	// "ip:port" of an upstream.
	Declaration(address func(upstream string) string) string
}

// Config describes the fleet to start.
type Config struct {
	Layout Topology
	Seed   uint64
	// Bin is the directory of the programs samphirebeamd and standin.
	Bin string
	// Dir is the directory for settings files. The caller removes it.
	Dir string
	// Settings are added to the YAML settings of every host.
	Settings string
	// Forward places a Forwarder in front of the peer address of every host.
	Forward bool
	// OneWayDelay is the delay added to messages between hosts.
	OneWayDelay time.Duration
}

// Fleet is a set of running processes.
type Fleet struct {
	cfg       Config
	Standin   *Process
	Hosts     []*Host
	Platform  string // base URL
	Upstreams string // base URL of the upstream stand-in's control
	upstreams map[string]string
}

// Host is one samphirebeamd process.
type Host struct {
	*Process
	ID, Domain                    string
	Peer, Caller, Operator, Admin string // ip:port
	// Forwarder is nil unless Config.Forward is set.
	Forwarder *Forwarder
}

// Start starts the stand-ins and the hosts. After an error no process is left
// running.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg}
	err := f.start()
	if err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startStandin(); err != nil {
		return err
	}
	for n := range f.cfg.Layout.HostCount() {
		h, err := f.startHost(n)
		if err != nil {
			return err
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f.publishHosts()
}

func (f *Fleet) startStandin() error {
	type inline map[string]any
	stub := f.cfg.Layout.Stub(f.cfg.Seed)
	file, err := f.writeYAML("standin.yaml", inline{
		"platform": inline{"address": "127.0.0.1:0"},
		"upstreams": inline{
			"control":   "127.0.0.1:0",
			"seed":      stub.Seed,
			"upstreams": stub.Upstreams,
		},
	})
	if err != nil {
		return err
	}
	f.Standin, err = startProcess("standin", filepath.Join(f.cfg.Bin, "standin"), "-config", file)
	if err != nil {
		return err
	}
	if f.Platform, err = f.standinURL("platform"); err != nil {
		return err
	}
	if f.Upstreams, err = f.standinURL("control"); err != nil {
		return err
	}
	stats, err := f.Stats(false)
	f.upstreams = map[string]string{}
	for _, s := range stats {
		f.upstreams[s.ID] = s.Address
	}
	return err
}

func (f *Fleet) standinURL(name string) (string, error) {
	prefix := name + "="
	line, err := f.Standin.await(func(line string) bool { return strings.HasPrefix(line, prefix) })
	return "http://" + strings.TrimPrefix(line, prefix), err
}

func (f *Fleet) writeYAML(name string, content any) (string, error) {
	text, err := yaml.Marshal(content)
	if err != nil {
		return "", eris.Wrap(err, name)
	}
	file := filepath.Join(f.cfg.Dir, name)
	return file, eris.Wrap(os.WriteFile(file, text, 0o600), name)
}

// startHost starts the host with index n. The first host is the seed of the
// others.
func (f *Fleet) startHost(n int) (*Host, error) {
	h := &Host{ID: fmt.Sprintf("host-%d", n+1), Domain: f.cfg.Layout.Domain(n)}
	var b strings.Builder
	fmt.Fprintf(&b, "host: %s\nfailure_domain: %s\n", h.ID, h.Domain)
	fmt.Fprintf(&b, "peer:\n  address: 127.0.0.1:0\n  one_way_delay: %s\n", f.cfg.OneWayDelay)
	if f.cfg.Forward {
		var err error
		if h.Forwarder, err = newForwarder(); err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, "  advertise: %s\n", h.Forwarder.Address())
	}
	if len(f.Hosts) > 0 {
		fmt.Fprintf(&b, "  seeds: [%s=%s]\n", f.Hosts[0].ID, f.Hosts[0].Peer)
	}
	for _, section := range []string{"caller", "operator", "admin"} {
		fmt.Fprintf(&b, "%s: {address: '127.0.0.1:0'}\n", section)
	}
	fmt.Fprintf(&b, "platform: {url: '%s'}\n%s", f.Platform, f.cfg.Settings)
	file := filepath.Join(f.cfg.Dir, h.ID+".yaml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return h, f.run(h, file)
}

// run starts the process of a host and reads its addresses from its log.
func (f *Fleet) run(h *Host, file string) error {
	var err error
	h.Process, err = startProcess(h.ID, filepath.Join(f.cfg.Bin, "samphirebeamd"), "run", "-config", file)
	if err != nil {
		return err
	}
	line, err := h.await(func(line string) bool { return strings.Contains(line, `"message":"started"`) })
	if err != nil {
		h.Kill()
		return err
	}
	var started struct{ Peer, Caller, Operator, Admin string }
	if err := json.Unmarshal([]byte(line), &started); err != nil {
		return eris.Wrap(err, line)
	}
	h.Peer, h.Caller, h.Operator, h.Admin = started.Peer, started.Caller, started.Operator, started.Admin
	if h.Forwarder != nil {
		h.Forwarder.setTarget(h.Peer)
		h.Peer = h.Forwarder.Address()
	}
	return nil
}

// Replace starts a new process for the host with index n, whose process must
// have ended.
func (f *Fleet) Replace(n int) error {
	h, err := f.startHost(n)
	if err != nil {
		return err
	}
	f.Hosts[n] = h
	return f.publishHosts()
}

// Stop stops all hosts at the same time by the planned stop, then the stand-ins.
// The error joins those of all processes that did not stop properly.
func (f *Fleet) Stop(timeout time.Duration) error {
	var errs []error
	var stopping []*Host
	for _, h := range f.Hosts {
		if !h.Ended() {
			errs = append(errs, h.Signal(syscall.SIGTERM))
			stopping = append(stopping, h)
		}
	}
	for _, h := range stopping {
		errs = append(errs, h.Wait(timeout))
	}
	errs = append(errs, f.Standin.Signal(syscall.SIGTERM), f.Standin.Wait(timeout))
	f.Kill()
	return errors.Join(errs...)
}

// Kill kills all processes that are still running.
func (f *Fleet) Kill() {
	for _, h := range f.Hosts {
		h.Kill()
		h.Forwarder.close()
	}
	f.Standin.Kill()
}
