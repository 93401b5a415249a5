// Command popular has many callers ask the same question, which all servers answer
// well. The servers of the service crash together once and come back some seconds
// later. At the end all processes of the system are killed and started again.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/review/standins/lab"
)

const (
	// popularPerSecond is how many callers a second ask the popular question, and
	// othersPerSecond how many ask one that nobody else asks.
	popularPerSecond = 90
	othersPerSecond  = 10
	// crashAt is when the servers crash, downFor how long they are down.
	crashAt = 15 * time.Second
	downFor = 4500 * time.Millisecond
	// finalAt is the final fault, and back how much later the processes start again.
	finalAt = 32 * time.Second
	back    = time.Second
	// recovery is the bound recovery_s of the deployments, judged how long the
	// requests are counted after it.
	recovery   = 12 * time.Second
	judged     = 12 * time.Second
	heartbeat  = 1200 * time.Millisecond
	deadlineMs = 6000
	// servers is the number of servers of the service. As in every deployment there
	// are servers of other services, here one for each of otherServers.
	servers      = 6
	otherServers = 10
)

// period is a part of the play over which requests are counted.
type period struct{ sent, served, popular, popularServed int }

// counter counts requests by the second in which they were sent.
type counter struct {
	mu       sync.Mutex
	bySecond map[int]*period
	statuses map[string]int
}

func main() { lab.Main(run) }

func run(l *lab.Lab) (broken bool, err error) {
	running, err := startServers(l)
	if err != nil {
		return false, err
	}
	if err := l.Store.Put("config", "main", config()); err != nil {
		return false, err
	}
	if err := l.Start("munster-a", "munster-a", "munster-a", "munster-b", "munster-b", "munster-c", "munster-c", "munster-d"); err != nil {
		return false, err
	}
	c := &counter{bySecond: map[int]*period{}, statuses: map[string]int{}}
	began := time.Now()
	l.Record("the traffic begins")
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { sendRequests(l, c, began, stop) })
	if lab.Trouble() {
		time.Sleep(time.Until(began.Add(crashAt)))
		if err := crashServers(l, running); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(finalAt)))
	if err := l.KillAll(back); err != nil {
		return false, err
	}
	backAt := time.Since(began)
	time.Sleep(recovery + judged)
	close(stop)
	traffic.Wait()
	return c.check(l, backAt), nil
}

// startServers starts all servers and returns those of the service that crashes.
func startServers(l *lab.Lab) ([]*lab.Server, error) {
	zones := []string{"munster-a", "munster-b", "munster-c", "munster-d"}
	var started []*lab.Server
	for i := range servers {
		s := &lab.Server{ID: fmt.Sprint("i-order-", i), Service: "orders-office", Zone: zones[i%len(zones)], Slots: 6, Queue: 24, Work: 160 * time.Millisecond, Body: []byte("an order")}
		if err := s.Listen(); err != nil {
			return nil, err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, time.Now(), 0)); err != nil {
			return nil, err
		}
		started = append(started, s)
	}
	for i := range otherServers {
		s := &lab.Server{ID: fmt.Sprint("i-archive-", i), Service: fmt.Sprint("archive-desk-", i/2), Zone: zones[i%2], Slots: 2, Queue: 12, Work: 20 * time.Millisecond}
		if err := s.Listen(); err != nil {
			return nil, err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, time.Now(), 0)); err != nil {
			return nil, err
		}
	}
	return started, nil
}

// crashServers crashes all servers at the same moment. Their entries lapse after three
// heartbeats. Each comes back as a new boot with a new ID.
func crashServers(l *lab.Lab, running []*lab.Server) error {
	for _, s := range running {
		s.Crash()
	}
	l.Record("all servers of the service crash")
	time.Sleep(3 * heartbeat)
	for _, s := range running {
		l.Store.Remove("servers", s.ID)
	}
	time.Sleep(downFor - 3*heartbeat)
	for _, s := range running {
		s.Rename(s.Name() + "-again")
		if err := s.Listen(); err != nil {
			return err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, time.Now(), 0)); err != nil {
			return err
		}
	}
	l.Record("all servers of the service are back")
	return nil
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": "orders.example", "path_prefix": "/order/", "kind": "idempotent", "service": "orders-office",
			"timeout_ms": deadlineMs, "target_latency_ms": 600, "priority": 2, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "orders-office", "health_path": lab.HealthPath, "max_connections": 51, "warmup_s": 3, "warmup_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendRequests sends requests at an even rate until stop is closed.
func sendRequests(l *lab.Lab, c *counter, began time.Time, stop <-chan struct{}) {
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Second / (popularPerSecond + othersPerSecond))
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id, path, host := fmt.Sprintf("%08x", i), "/order/2f", l.Hosts[rand.IntN(len(l.Hosts))]
		popular := rand.Float64()*(popularPerSecond+othersPerSecond) < popularPerSecond
		if !popular {
			path = "/order/of-" + id
		}
		open.Go(func() {
			at := time.Since(began)
			status := send(client, host, path, id)
			l.Record("sent at %.3f to %s: %s %s, answered with %d", at.Seconds(), host.Name, id, path, status)
			c.add(at, popular, status)
		})
	}
}

// send sends one request and returns the status of its answer, or 0.
func send(client *http.Client, host *lab.Host, path, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+host.Callers+path, nil)
	if err != nil {
		return 0
	}
	request.Host = "orders.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMs))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (c *counter) add(at time.Duration, popular bool, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := int(at / time.Second)
	p := c.bySecond[second]
	if p == nil {
		p = &period{}
		c.bySecond[second] = p
	}
	p.sent++
	if popular {
		p.popular++
	}
	if status == http.StatusOK {
		p.served++
		if popular {
			p.popularServed++
		}
	}
}

// sum adds up the seconds from one time to another.
func (c *counter) sum(from, to time.Duration) (total period) {
	for second, p := range c.bySecond {
		if at := time.Duration(second) * time.Second; at >= from && at < to {
			total.sent += p.sent
			total.served += p.served
			total.popular += p.popular
			total.popularServed += p.popularServed
		}
	}
	return total
}

// check compares the share of requests that is served before the final fault with
// that of the requests sent later than recovery after the processes are back.
func (c *counter) check(l *lab.Lab, backAt time.Duration) (broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, after := c.sum(0, finalAt), c.sum(backAt+recovery, time.Hour)
	l.Record("before the crash: %+v", c.sum(0, crashAt))
	l.Record("from a second after the servers are back to the final fault: %+v", c.sum(crashAt+downFor+time.Second, finalAt))
	l.Record("before the final fault: %+v", before)
	l.Record("later than %v after the processes are back: %+v", recovery, after)
	return 4*before.served >= before.sent && 4*after.served < after.sent
}
