package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["alone"] = entryAloneTwice }

// applyTime is bounds.config_apply_ms of the hosts.
const applyTime = 3 * time.Second

// entryAloneTwice kills the hosts that answer for the entry hosts, twice. Between the two
// kills the operator moves one route to another service and drops another. After the
// second kill, requests to the entry hosts must not be handled as before the change.
func entryAloneTwice(l *lab, trouble bool) (broken bool, err error) {
	quick := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	for _, service := range []string{"orders", "portal"} {
		for i := range 4 {
			if _, err := l.addServer(service, zones[i], quick, []byte(service)); err != nil {
				return false, err
			}
		}
	}
	moved := func(service string) route {
		return single("/moved/", service, "idempotent", 600*time.Millisecond)
	}
	dropped := single("/dropped/", "orders", "idempotent", 600*time.Millisecond)
	services := []string{"orders", "portal"}
	if err := l.configure(services, moved("orders"), dropped); err != nil {
		return false, err
	}
	shapes := []hostShape{{zones[0], 0.8, 536}}
	for i := range 8 {
		shapes = append(shapes, hostShape{zones[(i+1)%len(zones)], 0.192, 184})
	}
	if err := l.addHosts(shapes...); err != nil {
		return false, err
	}
	if err := l.startAll(6 * time.Second); err != nil {
		return false, err
	}
	var entries, others []*host
	for _, h := range l.hosts {
		if roles := h.logged("hosts_counted", "detail"); len(roles) > 0 && roles[len(roles)-1] == "entry" {
			entries = append(entries, h)
		} else {
			others = append(others, h)
		}
	}
	l.note("%d hosts hand requests over, %d take them", len(entries), len(others))
	if len(entries) == 0 || len(others) > 5 {
		return false, fmt.Errorf("%d of %d hosts take requests", len(others), len(l.hosts))
	}
	t := &traffic{lab: l}
	for _, h := range entries {
		t.start(h)
	}
	defer t.stop()

	time.Sleep(time.Second)
	if err := killAll(l, others, trouble); err != nil {
		return false, err
	}
	// A host that had to answer itself follows the configuration for 30 s after that.
	time.Sleep(36 * time.Second)
	if err := l.configure(services, moved("portal")); err != nil {
		return false, err
	}
	due := time.Now().Add(applyTime)
	time.Sleep(applyTime + 3*time.Second)
	killed := time.Now()
	if err := killAll(l, others, trouble); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	t.stop()

	late, before := 0, 0
	runs := l.allRuns()
	for _, a := range t.sent() {
		if a.sent.Before(due) {
			continue
		}
		for _, r := range runs {
			if r.id != a.id || r.service != "orders" {
				continue
			}
			late++
			if a.sent.Before(killed) {
				before++
			}
			l.note("request %s for %s was sent %d ms after the new version was due, and %s ran it", a.id, r.path, a.sent.Sub(due).Milliseconds(), r.service)
		}
	}
	l.note("* %d requests were handled as only the older version allows, %d of them before the second kill", late, before)
	return late > 0, nil
}

// killAll kills the processes of hosts at the same moment, and starts them again.
func killAll(l *lab, hosts []*host, trouble bool) error {
	if !trouble {
		return nil
	}
	l.note("%d of %d processes are killed", len(hosts), len(l.hosts))
	for _, h := range hosts {
		if !h.signal(syscall.SIGKILL) {
			return fmt.Errorf("%s does not run", h.name)
		}
	}
	time.Sleep(2 * time.Second)
	for _, h := range hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// traffic is a steady flow of requests to some hosts.
type traffic struct {
	lab     *lab
	waiting sync.WaitGroup
	stopped sync.Once

	mu      sync.Mutex
	ending  bool
	answers []answer
}

// start sends requests to a host over four connections, up to 20 a second over each.
func (t *traffic) start(to *host) {
	for i := range 4 {
		t.over(to, fmt.Sprint([]string{"/moved/", "/dropped/"}[i%2], i), 50*time.Millisecond)
	}
}

// over sends requests to a host over one connection at a time, with a pause after each.
func (t *traffic) over(to *host, path string, pause time.Duration) {
	t.waiting.Go(func() {
		time.Sleep(rand.N(pause))
		var c *consumer
		for n := 0; !t.isEnding(); n++ {
			time.Sleep(pause)
			if c == nil {
				var err error
				if c, err = t.lab.connect(to); err != nil {
					c = nil
					continue
				}
			}
			a := c.do(http.MethodGet, fmt.Sprint(path, "/", n), nil)
			t.mu.Lock()
			t.answers = append(t.answers, a)
			t.mu.Unlock()
			if a.status == 0 || a.close {
				c.end()
				c = nil
			}
		}
		if c != nil {
			c.end()
		}
	})
}

func (t *traffic) isEnding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending
}

func (t *traffic) sent() []answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.answers)
}

func (t *traffic) stop() {
	t.stopped.Do(func() {
		t.mu.Lock()
		t.ending = true
		t.mu.Unlock()
		t.waiting.Wait()
	})
}
