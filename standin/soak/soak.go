// Package soak runs samphirebeam-edge as separate processes on loopback under
// random faults from outside, and checks what callers and servers see. Each
// run follows from its seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

const (
	// recovery is how long after the last fault everything works again.
	recoveryTimeout = 6 * time.Second
	// startWithin is how long the hosts have to become ready.
	startTimeout = 10 * time.Second
	// faultPause is the mean time between the beginnings of two faults.
	meanFaultInterval = 500 * time.Millisecond
	// deadlyRetries is how often a request may still reach servers after all
	// hosts had the time to learn that it crashes them, which no restart ends.
	maxCrashesAfterRestart = 3
)

// Config is what a soak is made of.
type Config struct {
	// Program is the path of samphirebeam-edge.
	Program string
	// Folder takes settings and logs.
	Folder string
	Seed   uint64
	// Hosts is the number of processes, Callers the number of callers.
	Hosts, Callers int
	// Faults is how long faults begin.
	Faults time.Duration
}

// Result is what a soak saw.
type Result struct {
	Violations []string       // promises that were broken
	Answered   map[string]int // requests by kind and status
	Faults     []string       // what was done, in order
}

// Run runs one soak. The error says that it could not be run.
func Run(config Config) (Result, error) {
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return Result{}, eris.Wrap(err, "folder")
	}
	f, err := newFleet(config.Program, config.Folder, config.Hosts)
	if err != nil {
		if f != nil {
			f.close()
		}
		return Result{}, err
	}
	defer f.close()
	if !f.allReadyWithin(startTimeout) {
		return Result{}, eris.New("the hosts do not become ready")
	}
	p := newChecker(f)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range config.Callers {
		callers.Go(func() { p.runCaller(i, config.Seed, stop) })
	}
	t := &faultInjector{fleet: f, checker: p, random: rand.New(rand.NewPCG(config.Seed, 0)), folder: config.Folder}
	callers.Go(func() { p.sendCrashRequests(config.Seed, stop) })
	t.run(config.Faults)
	t.killAll()
	before := f.crashCount()
	p.checkRecovery()
	if later := f.crashCount() - before; before > 0 && later > maxCrashesAfterRestart {
		p.violated("%d servers crashed under one request, and %d more after all hosts were killed", before, later)
	}
	close(stop)
	callers.Wait()
	time.Sleep(100 * time.Millisecond) // what is under way at servers ends
	p.checkOrders()
	return Result{Violations: p.violations, Answered: p.answered, Faults: t.injected}, nil
}

func (f *fleet) allReadyWithin(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return true
		}
	}
	return false
}

// recovers checks that, some time after the last fault, each host is ready,
// serves both kinds of requests and has the newest version in force.
func (p *checker) checkRecovery() {
	if err := p.fleet.configure(); err != nil {
		p.violated("configure: %v", err)
	}
	if !p.fleet.allReadyWithin(recoveryTimeout) {
		p.violated("not all hosts are ready %v after the last fault", recoveryTimeout)
	}
	time.Sleep(recoveryTimeout / 2)
	set := p.fleet.shardSets[len(p.fleet.shardSets)-1]
	client := newProbeClient()
	for _, h := range p.fleet.hosts {
		status, header, _ := sendRequest(client, h, "GET", "/gather/x", "probe-"+h.name, "")
		parts := len(strings.Split(header.Get("Part-Stamps"), ","))
		if status != 200 || parts != len(set) {
			p.violated("%s: gather %d with %d of %d parts after recovery", h.name, status, parts, len(set))
		}
		if status, _, _ := sendRequest(client, h, "POST", "/order/x", "probe-"+h.name, "one probe-"+h.name); status != 200 {
			p.violated("%s: order %d after recovery", h.name, status)
		}
	}
}

// trouble makes faults, which overlap; each ends by itself.
type faultInjector struct {
	fleet    *fleet
	checker  *checker
	random   *rand.Rand
	folder   string
	injected []string
	pending  sync.WaitGroup
}

// run begins faults for a while and waits for their ends.
func (t *faultInjector) run(d time.Duration) {
	faults := []func() (what string, end func()){
		t.stopHost, t.killHost, t.pauseHost, t.storeFault, t.storeLink, t.serverFault, t.serverLink, t.drainServer, t.changeConfiguration,
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(t.random.Float64() * 2 * float64(meanFaultInterval)))
		what, finish := faults[t.random.IntN(len(faults))]()
		length := time.Duration((0.1 + 1.9*t.random.Float64()) * float64(time.Second))
		t.injected = append(t.injected, what)
		t.pending.Go(func() {
			time.Sleep(length)
			finish()
		})
	}
	t.pending.Wait()
}

func (t *faultInjector) randomHost() *host { return t.fleet.hosts[t.random.IntN(len(t.fleet.hosts))] }

func (t *faultInjector) randomServer() *server {
	return t.fleet.servers[t.random.IntN(len(t.fleet.servers))]
}

// restart starts a host again once its process has ended.
func (t *faultInjector) restart(h *host, ended <-chan struct{}) {
	if ended != nil {
		<-ended
	}
	if err := h.start(t.fleet.program, t.folder); err != nil {
		t.checker.violated("%v", err)
	}
}

func (t *faultInjector) stopHost() (string, func()) {
	h := t.randomHost()
	ended := h.signal(syscall.SIGTERM)
	return "SIGTERM " + h.name, func() {
		select {
		case <-ended:
		case <-time.After(graceS * time.Second):
			ended = h.signal(syscall.SIGKILL)
		}
		t.restart(h, ended)
	}
}

func (t *faultInjector) killHost() (string, func()) {
	h := t.randomHost()
	ended := h.signal(syscall.SIGKILL)
	return "SIGKILL " + h.name, func() { t.restart(h, ended) }
}

// killAll ends all hosts at the same moment, a time of contact after the last
// fault, and starts them again.
func (t *faultInjector) killAll() {
	time.Sleep(contactMs * time.Millisecond)
	t.injected = append(t.injected, "SIGKILL all")
	ends := make([]<-chan struct{}, len(t.fleet.hosts))
	for i, h := range t.fleet.hosts {
		ends[i] = h.signal(syscall.SIGKILL)
	}
	for i, h := range t.fleet.hosts {
		t.restart(h, ends[i])
	}
}

func (t *faultInjector) pauseHost() (string, func()) {
	h := t.randomHost()
	h.signal(syscall.SIGSTOP)
	return "SIGSTOP " + h.name, func() { h.signal(syscall.SIGCONT) }
}

func (t *faultInjector) storeFault() (string, func()) {
	faults := []platformstub.Faults{
		{Down: true}, {Silent: true}, {Busy: true}, {ForgetWatches: true}, {Delay: "300ms"}, {LoseReplies: 3},
	}
	fault := faults[t.random.IntN(len(faults))]
	set := func(f platformstub.Faults) {
		if err := t.fleet.store.SetFaults(f); err != nil {
			t.checker.violated("%v", err)
		}
	}
	set(fault)
	if t.random.IntN(3) == 0 {
		t.fleet.store.Compact()
	}
	return fmt.Sprintf("store %+v", fault), func() { set(platformstub.Faults{}) }
}

func (t *faultInjector) proxyFault(name string, p *proxy) (string, func()) {
	switch t.random.IntN(4) {
	case 0:
		p.reset()
		return "reset " + name, func() {}
	case 1:
		p.setFaults(0, true, false)
		return "silence " + name, func() { p.setFaults(0, false, false); p.reset() }
	case 2:
		p.setFaults(0, false, true)
		return "one way " + name, func() { p.setFaults(0, false, false); p.reset() }
	default:
		p.setFaults(30*time.Millisecond, false, false)
		return "delay " + name, func() { p.setFaults(0, false, false) }
	}
}

func (t *faultInjector) storeLink() (string, func()) {
	h := t.randomHost()
	return t.proxyFault("store of "+h.name, h.store)
}

func (t *faultInjector) serverLink() (string, func()) {
	s := t.randomServer()
	return t.proxyFault("server "+s.id, s.proxy)
}

func (t *faultInjector) serverFault() (string, func()) {
	s := t.randomServer()
	fault := serverstub.Fault(1 + t.random.IntN(int(serverstub.CloseAfterAnswer)))
	s.SetFault(fault)
	return fmt.Sprintf("server %s fault %d", s.id, fault), func() { s.SetFault(serverstub.NoFault) }
}

func (t *faultInjector) drainServer() (string, func()) {
	s := t.randomServer()
	if err := t.fleet.register(s, "draining"); err != nil {
		t.checker.violated("%v", err)
	}
	return "drain " + s.id, func() {
		if err := t.fleet.register(s, "ready"); err != nil {
			t.checker.violated("%v", err)
		}
	}
}

func (t *faultInjector) changeConfiguration() (string, func()) {
	if err := t.fleet.configure(); err != nil {
		t.checker.violated("%v", err)
	}
	return "configuration", func() {}
}
