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
	recovery = 6 * time.Second
	// startWithin is how long the hosts have to become ready.
	startWithin = 10 * time.Second
	// faultPause is the mean time between the beginnings of two faults.
	faultPause = 500 * time.Millisecond
	// deadlyRetries is how often a request may still reach servers after all
	// hosts had the time to learn that it crashes them, which no restart ends.
	deadlyRetries = 3
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
	if !f.allReadyWithin(startWithin) {
		return Result{}, eris.New("the hosts do not become ready")
	}
	p := newPromises(f)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range config.Callers {
		callers.Go(func() { p.call(i, config.Seed, stop) })
	}
	t := &trouble{fleet: f, promises: p, random: rand.New(rand.NewPCG(config.Seed, 0)), folder: config.Folder}
	callers.Go(func() { p.crash(config.Seed, stop) })
	t.run(config.Faults)
	t.killAll()
	before := f.crashed()
	p.recovers()
	if later := f.crashed() - before; before > 0 && later > deadlyRetries {
		p.breaks("%d servers crashed under one request, and %d more after all hosts were killed", before, later)
	}
	close(stop)
	callers.Wait()
	time.Sleep(100 * time.Millisecond) // what is under way at servers ends
	p.settle()
	return Result{Violations: p.broken, Answered: p.answered, Faults: t.done}, nil
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
func (p *promises) recovers() {
	if err := p.fleet.configure(); err != nil {
		p.breaks("configure: %v", err)
	}
	if !p.fleet.allReadyWithin(recovery) {
		p.breaks("not all hosts are ready %v after the last fault", recovery)
	}
	time.Sleep(recovery / 2)
	set := p.fleet.sets[len(p.fleet.sets)-1]
	client := newProbe()
	for _, h := range p.fleet.hosts {
		status, header, _ := ask(client, h, "GET", "/gather/x", "probe-"+h.name, "")
		parts := len(strings.Split(header.Get("Part-Stamps"), ","))
		if status != 200 || parts != len(set) {
			p.breaks("%s: gather %d with %d of %d parts after recovery", h.name, status, parts, len(set))
		}
		if status, _, _ := ask(client, h, "POST", "/order/x", "probe-"+h.name, "one probe-"+h.name); status != 200 {
			p.breaks("%s: order %d after recovery", h.name, status)
		}
	}
}

// trouble makes faults, which overlap; each ends by itself.
type trouble struct {
	fleet    *fleet
	promises *promises
	random   *rand.Rand
	folder   string
	done     []string
	under    sync.WaitGroup
}

// run begins faults for a while and waits for their ends.
func (t *trouble) run(d time.Duration) {
	faults := []func() (what string, end func()){
		t.stopHost, t.killHost, t.pauseHost, t.storeFault, t.storeLink, t.serverFault, t.serverLink, t.drain, t.change,
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(t.random.Float64() * 2 * float64(faultPause)))
		what, finish := faults[t.random.IntN(len(faults))]()
		length := time.Duration((0.1 + 1.9*t.random.Float64()) * float64(time.Second))
		t.done = append(t.done, what)
		t.under.Go(func() {
			time.Sleep(length)
			finish()
		})
	}
	t.under.Wait()
}

func (t *trouble) host() *host     { return t.fleet.hosts[t.random.IntN(len(t.fleet.hosts))] }
func (t *trouble) server() *server { return t.fleet.servers[t.random.IntN(len(t.fleet.servers))] }

// restart starts a host again once its process has ended.
func (t *trouble) restart(h *host, ended <-chan struct{}) {
	if ended != nil {
		<-ended
	}
	if err := h.start(t.fleet.program, t.folder); err != nil {
		t.promises.breaks("%v", err)
	}
}

func (t *trouble) stopHost() (string, func()) {
	h := t.host()
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

func (t *trouble) killHost() (string, func()) {
	h := t.host()
	ended := h.signal(syscall.SIGKILL)
	return "SIGKILL " + h.name, func() { t.restart(h, ended) }
}

// killAll ends all hosts at the same moment, a time of contact after the last
// fault, and starts them again.
func (t *trouble) killAll() {
	time.Sleep(contactMs * time.Millisecond)
	t.done = append(t.done, "SIGKILL all")
	ends := make([]<-chan struct{}, len(t.fleet.hosts))
	for i, h := range t.fleet.hosts {
		ends[i] = h.signal(syscall.SIGKILL)
	}
	for i, h := range t.fleet.hosts {
		t.restart(h, ends[i])
	}
}

func (t *trouble) pauseHost() (string, func()) {
	h := t.host()
	h.signal(syscall.SIGSTOP)
	return "SIGSTOP " + h.name, func() { h.signal(syscall.SIGCONT) }
}

func (t *trouble) storeFault() (string, func()) {
	faults := []platformstub.Faults{
		{Down: true}, {Silent: true}, {Busy: true}, {ForgetWatches: true}, {Delay: "300ms"}, {LoseReplies: 3},
	}
	fault := faults[t.random.IntN(len(faults))]
	set := func(f platformstub.Faults) {
		if err := t.fleet.store.SetFaults(f); err != nil {
			t.promises.breaks("%v", err)
		}
	}
	set(fault)
	if t.random.IntN(3) == 0 {
		t.fleet.store.Compact()
	}
	return fmt.Sprintf("store %+v", fault), func() { set(platformstub.Faults{}) }
}

func (t *trouble) harmProxy(name string, p *proxy) (string, func()) {
	switch t.random.IntN(4) {
	case 0:
		p.reset()
		return "reset " + name, func() {}
	case 1:
		p.harm(0, true, false)
		return "silence " + name, func() { p.harm(0, false, false); p.reset() }
	case 2:
		p.harm(0, false, true)
		return "one way " + name, func() { p.harm(0, false, false); p.reset() }
	default:
		p.harm(30*time.Millisecond, false, false)
		return "delay " + name, func() { p.harm(0, false, false) }
	}
}

func (t *trouble) storeLink() (string, func()) {
	h := t.host()
	return t.harmProxy("store of "+h.name, h.store)
}

func (t *trouble) serverLink() (string, func()) {
	s := t.server()
	return t.harmProxy("server "+s.id, s.proxy)
}

func (t *trouble) serverFault() (string, func()) {
	s := t.server()
	fault := serverstub.Fault(1 + t.random.IntN(int(serverstub.CloseAfterAnswer)))
	s.SetFault(fault)
	return fmt.Sprintf("server %s fault %d", s.id, fault), func() { s.SetFault(serverstub.NoFault) }
}

func (t *trouble) drain() (string, func()) {
	s := t.server()
	if err := t.fleet.register(s, "draining"); err != nil {
		t.promises.breaks("%v", err)
	}
	return "drain " + s.id, func() {
		if err := t.fleet.register(s, "ready"); err != nil {
			t.promises.breaks("%v", err)
		}
	}
}

func (t *trouble) change() (string, func()) {
	if err := t.fleet.configure(); err != nil {
		t.promises.breaks("%v", err)
	}
	return "configuration", func() {}
}
