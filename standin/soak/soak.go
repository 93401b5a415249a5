// Package soak runs several samphirebeam-edge processes on loopback, injects
// random faults from outside and checks what callers and servers observe. The
// seed of a run determines all its random choices.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

const (
	// recoveryTimeout bounds the time from the last fault until all hosts are
	// ready.
	recoveryTimeout = 6 * time.Second
	// startTimeout bounds the time until all hosts are ready at the beginning.
	startTimeout = 10 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 500 * time.Millisecond
	// maxCrashesAfterRestart bounds the server crashes by one request after all
	// hosts were restarted. By then there was time for the suspicion against the
	// request to reach every host, and a restart must not lose it.
	maxCrashesAfterRestart = 3
	// maxLateCrashes bounds those that come later than the contact time after the third.
	maxLateCrashes = 3
)

// Config describes a soak.
type Config struct {
	// Program is the path of samphirebeam-edge.
	Program string
	// Folder is the directory for settings and logs.
	Folder string
	// Seed determines the random choices.
	Seed uint64
	// Hosts is the number of processes, Callers the number of callers.
	Hosts, Callers int
	// Faults is the time during which new faults start.
	Faults time.Duration
}

// Result is the outcome of a soak.
type Result struct {
	Violations []string       // guarantees that were violated
	Answered   map[string]int // number of requests by kind and status
	Faults     []string       // injected faults, in order
}

// Run runs one soak. It returns an error only if the soak could not be run.
func Run(config Config) (Result, error) {
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return Result{}, eris.Wrap(err, "folder")
	}
	f, err := newFleet(config.Program, config.Folder, config.Hosts, config.Seed)
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
	c := newChecker(f)
	f.stateLimits(config.Seed)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range config.Callers {
		callers.Go(func() { c.runCaller(i, config.Seed, stop) })
	}
	j := &faultInjector{fleet: f, checker: c, random: rand.New(rand.NewPCG(config.Seed, 0)), folder: config.Folder}
	callers.Go(func() { c.sendCrashRequests(config.Seed, stop) })
	callers.Go(func() { j.restoreStore(config.Seed, config.Faults) })
	callers.Go(func() { j.changeSettings(config.Seed, stop) })
	j.run(config.Faults)
	j.killAll()
	before, restarted := f.crashCount(), time.Now()
	j.restoreAfterChanges()
	c.checkRecovery()
	j.checkPartition()
	c.checkRecovery()
	c.checkLateCrashes(restarted)
	if later := f.crashCount() - before; before > 0 && later > maxCrashesAfterRestart && !callersLeave(config.Seed) {
		c.violated("%d servers crashed under one request, and %d more after all hosts were killed", before, later)
	}
	close(stop)
	callers.Wait()
	time.Sleep(100 * time.Millisecond) // requests in flight at servers finish
	c.checkOrders()
	c.checkTeams()
	c.checkLimits()
	return Result{Violations: c.violations, Answered: c.answered, Faults: j.injected}, nil
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

// checkRecovery checks that, within a bounded time after the last fault, every
// host is ready, serves gathers and orders, and applies the newest
// configuration version.
func (c *checker) checkRecovery() {
	if err := c.fleet.configure(); err != nil {
		c.violated("configure: %v", err)
	}
	if !c.fleet.allReadyWithin(recoveryTimeout) {
		c.violated("not all hosts are ready %v after the last fault", recoveryTimeout)
	}
	time.Sleep(recoveryTimeout / 2)
	set := c.fleet.shardSets[len(c.fleet.shardSets)-1]
	whole := func(status int, header http.Header) bool {
		return status == http.StatusOK && len(partStamps(header)) == len(set)
	}
	for _, h := range c.fleet.hosts {
		if status, header := c.probe(h, http.MethodGet, "/gather/x", whole); !whole(status, header) {
			c.violated("%s: gather %d with parts %q of %d after recovery", h.name, status, partStamps(header), len(set))
		}
		taken := func(status int, _ http.Header) bool { return status == http.StatusOK }
		if status, _ := c.probe(h, http.MethodPost, "/order/x", taken); status != http.StatusOK {
			c.violated("%s: order %d after recovery", h.name, status)
		}
	}
	c.checkWithdrawnKey()
}

func partStamps(header http.Header) []string { return strings.Split(header.Get("Part-Stamps"), ",") }

// probe sends a request to a host. The callers still send, and one server of some
// services states a rate limit, so the host may refuse the request once, or once leave out
// the part of a limited shard. It must serve it whole after the wait that it offers.
func (c *checker) probe(h *host, method, path string, served func(int, http.Header) bool) (status int, header http.Header) {
	c.probes++
	id := fmt.Sprint("probe-", c.probes)
	status, header = c.sendProbe(h, method, path, id)
	switch {
	case served(status, header):
		return status, header
	case status == http.StatusServiceUnavailable:
		wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if err != nil {
			c.violated("%s: %s refused without an offer after recovery", h.name, path)
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
	case status != http.StatusOK || !c.lacksOnlyLimitedParts(header):
		return status, header
	}
	return c.sendProbe(h, method, path, id+"-again")
}

// lacksOnlyLimitedParts reports whether the answer to a gather has the parts of all
// shards without a limited server.
func (c *checker) lacksOnlyLimitedParts(header http.Header) bool {
	answered := map[string]bool{}
	for _, stamp := range partStamps(header) {
		id, _, _ := strings.Cut(stamp, ".")
		if s := c.fleet.serverByID(id); s != nil {
			answered[s.service] = true
		}
	}
	limited := map[string]bool{}
	for id := range c.fleet.limits {
		limited[c.fleet.serverByID(id).service] = true
	}
	return !slices.ContainsFunc(c.fleet.shardSets[len(c.fleet.shardSets)-1], func(shard string) bool { return !answered[shard] && !limited[shard] })
}

func (c *checker) sendProbe(h *host, method, path, id string) (status int, header http.Header) {
	body := ""
	if method == http.MethodPost {
		body = "one " + id
	}
	status, header, _ = sendRequest(c.fleet, newProbeClient(), h, method, path, id, body)
	if method == http.MethodPost {
		c.recordOrder(id, status)
	}
	return status, header
}

func (c *checker) recordOrder(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[id] = status
}

// faultInjector starts random faults, which may overlap. Each ends after a
// random time.
type faultInjector struct {
	fleet    *fleet
	checker  *checker
	random   *rand.Rand
	folder   string
	injected []string
	pending  sync.WaitGroup
}

// run starts faults for the duration d and waits until all have ended.
func (j *faultInjector) run(d time.Duration) {
	faults := []func() (what string, end func()){
		j.stopHost, j.killHost, j.pauseHost, j.storeFault, j.storeLink, j.serverFault, j.serverLink, j.drainServer, j.changeConfiguration,
		j.cutHosts,
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(j.random.Float64() * 2 * float64(meanFaultInterval)))
		what, finish := faults[j.random.IntN(len(faults))]()
		length := time.Duration((0.1 + 1.9*j.random.Float64()) * float64(time.Second))
		j.injected = append(j.injected, what)
		j.pending.Go(func() {
			time.Sleep(length)
			finish()
		})
	}
	j.pending.Wait()
}

func (j *faultInjector) randomHost() *host { return j.fleet.hosts[j.random.IntN(len(j.fleet.hosts))] }

func (j *faultInjector) randomServer() *server {
	return j.fleet.servers[j.random.IntN(len(j.fleet.servers))]
}

// restart waits until the process of a host has ended and starts it again.
func (j *faultInjector) restart(h *host, ended <-chan struct{}) {
	if ended != nil {
		<-ended
	}
	if err := h.start(j.fleet.program, j.folder); err != nil {
		j.checker.violated("%v", err)
	}
}

func (j *faultInjector) stopHost() (string, func()) {
	h := j.randomHost()
	ended := h.signal(syscall.SIGTERM)
	return "SIGTERM " + h.name, func() {
		select {
		case <-ended:
		case <-time.After(graceS * time.Second):
			ended = h.signal(syscall.SIGKILL)
		}
		j.restart(h, ended)
	}
}

// meanHangUpInterval is the mean time between two changes of a host's settings.
const meanHangUpInterval = 100 * time.Millisecond

// changeSettings sends random hosts SIGHUP, whatever else happens to them, until stop is
// closed. A host that ends because of it stays down, which checkRecovery reports.
func (j *faultInjector) changeSettings(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 5))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Float64() * 2 * float64(meanHangUpInterval))):
			j.fleet.hosts[random.IntN(len(j.fleet.hosts))].hangUp()
		}
	}
}

func (j *faultInjector) killHost() (string, func()) {
	h := j.randomHost()
	ended := h.signal(syscall.SIGKILL)
	return "SIGKILL " + h.name, func() { j.restart(h, ended) }
}

// killAll waits for the contact time after the last fault, kills all hosts at
// once and starts them again.
func (j *faultInjector) killAll() {
	time.Sleep(contactMs * time.Millisecond)
	j.injected = append(j.injected, "SIGKILL all")
	ends := make([]<-chan struct{}, len(j.fleet.hosts))
	for i, h := range j.fleet.hosts {
		ends[i] = h.signal(syscall.SIGKILL)
	}
	for i, h := range j.fleet.hosts {
		j.restart(h, ends[i])
	}
}

func (j *faultInjector) pauseHost() (string, func()) {
	h := j.randomHost()
	h.signal(syscall.SIGSTOP)
	return "SIGSTOP " + h.name, func() { h.signal(syscall.SIGCONT) }
}

func (j *faultInjector) storeFault() (string, func()) {
	faults := []platformstub.Faults{
		{Down: true}, {Silent: true}, {Busy: true}, {ForgetWatches: true}, {Delay: "300ms"}, {LoseReplies: 3},
	}
	fault := faults[j.random.IntN(len(faults))]
	j.setStoreFaults(fault)
	if j.random.IntN(3) == 0 {
		j.fleet.store.Compact()
	}
	return fmt.Sprintf("store %+v", fault), func() { j.setStoreFaults(platformstub.Faults{}) }
}

// maxCopyAge is the greatest age of the copy from which the store is restored.
const maxCopyAge = 4 * time.Second

// restoreStore takes the store away once, at a random time, and brings it back from
// an older copy.
func (j *faultInjector) restoreStore(seed uint64, faults time.Duration) {
	random := rand.New(rand.NewPCG(seed, 4))
	time.Sleep(time.Duration(random.Int64N(int64(faults))))
	age := time.Duration(random.Int64N(int64(maxCopyAge)))
	j.setStoreFaults(platformstub.Faults{Down: true})
	time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	if err := j.fleet.restoreStore(age); err != nil {
		j.checker.violated("%v", err)
	}
	j.setStoreFaults(platformstub.Faults{})
}

// lostVersions is how many versions of the configuration the store loses in
// restoreAfterChanges.
const lostVersions = 3

// restoreAfterChanges restores the store from a copy that is older than versions which
// are in force on all hosts. The next version is given out under a revision that they
// have seen.
func (j *faultInjector) restoreAfterChanges() {
	if !j.fleet.allReadyWithin(recoveryTimeout) {
		return // checkRecovery reports it
	}
	copied := time.Now()
	for range lostVersions {
		if err := j.fleet.configure(); err != nil {
			j.checker.violated("configure: %v", err)
		}
		time.Sleep(contactMs * time.Millisecond / 2)
	}
	j.setStoreFaults(platformstub.Faults{Down: true})
	if err := j.fleet.restoreStore(time.Since(copied)); err != nil {
		j.checker.violated("%v", err)
	}
	j.setStoreFaults(platformstub.Faults{})
}

func (j *faultInjector) setStoreFaults(f platformstub.Faults) {
	if err := j.fleet.store.SetFaults(f); err != nil {
		j.checker.violated("%v", err)
	}
}

func (j *faultInjector) proxyFault(name string, p *proxy) (string, func()) {
	switch j.random.IntN(4) {
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

func (j *faultInjector) storeLink() (string, func()) {
	h := j.randomHost()
	return j.proxyFault("store of "+h.name, h.store)
}

func (j *faultInjector) serverLink() (string, func()) {
	s := j.randomServer()
	return j.proxyFault("server "+s.id, s.proxy)
}

func (j *faultInjector) serverFault() (string, func()) {
	s := j.randomServer()
	fault := serverstub.Fault(1 + j.random.IntN(int(serverstub.CloseAfterAnswer)))
	s.SetFault(fault)
	return fmt.Sprintf("server %s fault %d", s.id, fault), func() { s.SetFault(serverstub.NoFault) }
}

func (j *faultInjector) drainServer() (string, func()) {
	s := j.randomServer()
	if err := j.fleet.register(s, "draining"); err != nil {
		j.checker.violated("%v", err)
	}
	return "drain " + s.id, func() {
		if err := j.fleet.register(s, "ready"); err != nil {
			j.checker.violated("%v", err)
		}
	}
}

func (j *faultInjector) changeConfiguration() (string, func()) {
	if err := j.fleet.configure(); err != nil {
		j.checker.violated("%v", err)
	}
	return "configuration", func() {}
}
