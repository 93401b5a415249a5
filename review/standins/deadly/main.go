// Command deadly has one caller send a request that crashes each server that runs it,
// again and again. In the trouble "leave" the caller leaves before the server crashes,
// in the trouble "dark" it stays, and the machine of the server goes dark with it.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/review/standins/lab"
)

const (
	// perSecond is how many sound requests are sent a second, until playAfter has
	// passed since the last deadly one.
	perSecond = 40
	playAfter = 7 * time.Second
	// The caller of the deadly request sends it every deadlyInterval, or when it has
	// the answer to the one before, first at deadlyFrom. It does so for leaveFor if it
	// leaves after patience, and for darkFor if it stays.
	deadlyFrom     = 5 * time.Second
	leaveFor       = 8 * time.Second
	darkFor        = 25 * time.Second
	deadlyInterval = 400 * time.Millisecond
	patience       = 100 * time.Millisecond
	// A server crashes crashAfter the beginning of the deadly request's run, and is
	// back downFor later. Its entry lapses after three heartbeats.
	crashAfter = 120 * time.Millisecond
	downFor    = 2 * time.Second
	heartbeat  = 1200 * time.Millisecond
	// contact is the bound contact_ms of the deployments, retries how many retries of
	// the deadly request may reach servers later than that after its third crash.
	contact    = 4 * time.Second
	retries    = 3
	deadlineMs = 6000
	servers    = 6
	deadlyPath = "/order/deadly"
)

// runs holds when the deadly request began to run and when it crashed a server.
type runs struct {
	mu      sync.Mutex
	began   []time.Time
	crashed []time.Time
}

func main() { lab.Main(run) }

// named reports whether the command line names a trouble.
func named(name string) bool { return len(os.Args) > 2 && os.Args[2] == name }

// deadlyFor returns how long the deadly request is sent.
func deadlyFor() time.Duration {
	if named("dark") {
		return darkFor
	}
	return leaveFor
}

// trouble reports whether a trouble is to be played.
func trouble(name string) bool {
	return lab.Trouble() && named(name)
}

func run(l *lab.Lab) (broken bool, err error) {
	seen := &runs{}
	if err := startServers(l, seen); err != nil {
		return false, err
	}
	if err := l.Store.Put("config", "main", config()); err != nil {
		return false, err
	}
	if err := l.Start("munster-a", "munster-a", "munster-a", "munster-b", "munster-b", "munster-c", "munster-c", "munster-d"); err != nil {
		return false, err
	}
	began := time.Now()
	var traffic sync.WaitGroup
	traffic.Go(func() { sendRequests(l, began) })
	traffic.Go(func() { sendDeadly(l, began) })
	traffic.Wait()
	return seen.check(l), nil
}

func startServers(l *lab.Lab, seen *runs) error {
	zones := []string{"munster-a", "munster-b", "munster-c", "munster-d"}
	for i := range servers {
		s := &lab.Server{
			ID: fmt.Sprintf("i-order-%d-1", i), Service: "orders-office", Zone: zones[i%len(zones)], Slots: 6, Queue: 24,
			Work: 160 * time.Millisecond, Body: []byte("an order"), Born: time.Now(),
		}
		boot := 1
		s.Deadly = isDeadly
		s.OnRun = func(s *lab.Server, id string) {
			l.Record("%s runs %s", s.Name(), id)
			if !isDeadly(id) {
				return
			}
			seen.mu.Lock()
			defer seen.mu.Unlock()
			seen.began = append(seen.began, time.Now())
			time.AfterFunc(crashAfter, func() {
				boot++
				crash(l, seen, s, fmt.Sprintf("i-order-%d-%d", i, boot))
			})
		}
		if err := s.Listen(); err != nil {
			return err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, s.Born, 0)); err != nil {
			return err
		}
	}
	return nil
}

// isDeadly reports whether a request crashes the server that runs it.
func isDeadly(id string) bool { return strings.HasPrefix(id, "deadly") }

// crash crashes a server, which comes back as a new boot with a new ID.
func crash(l *lab.Lab, seen *runs, s *lab.Server, next string) {
	back := s.Listen
	if trouble("dark") {
		var err error
		if back, err = s.GoDark(); err != nil {
			l.Record("%s doesn't go dark: %v", s.Name(), err)
			return
		}
	} else {
		s.Crash()
	}
	l.Record("%s crashes", s.Name())
	seen.mu.Lock()
	seen.crashed = append(seen.crashed, time.Now())
	seen.mu.Unlock()
	before := s.Name()
	time.AfterFunc(3*heartbeat, func() { l.Store.Remove("servers", before) })
	time.Sleep(downFor)
	s.Rename(next)
	if err := back(); err != nil {
		l.Record("%s is not back: %v", next, err)
		return
	}
	if err := l.Store.Put("servers", s.ID, s.Entry(1, s.Born, 0)); err != nil {
		l.Record("%s is not registered: %v", next, err)
	}
	l.Record("it is back as %s", next)
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-order", "host": "orders.example", "path_prefix": "/order/", "kind": "non_idempotent", "service": "orders-office",
			"timeout_ms": deadlineMs, "target_latency_ms": 600, "priority": 2, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": "orders-office", "health_path": lab.HealthPath, "max_connections": 51, "warmup_s": 3, "warmup_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendRequests sends sound requests at an even rate.
func sendRequests(l *lab.Lab, began time.Time) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; time.Since(began) < deadlyFrom+deadlyFor()+playAfter; i++ {
		<-ticker.C
		id, host := fmt.Sprintf("%08x", i), l.Hosts[i%len(l.Hosts)]
		open.Go(func() {
			l.Record("%s answers %s with %d", host.Name, id, send(context.Background(), client, host, "/order/of-"+id, id))
		})
	}
}

// sendDeadly sends the deadly request again and again, each time to another host.
func sendDeadly(l *lab.Lab, began time.Time) {
	time.Sleep(time.Until(began.Add(deadlyFrom)))
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Since(began) < deadlyFrom+deadlyFor(); i++ {
		ctx, cancel := context.WithCancel(context.Background())
		if trouble("leave") {
			time.AfterFunc(patience, cancel)
		}
		id, host := fmt.Sprint("deadly-", i), l.Hosts[rand.IntN(len(l.Hosts))]
		next := time.Now().Add(deadlyInterval)
		l.Record("%s is sent to %s", id, host.Name)
		l.Record("%s answers %s with %d (0: the caller has left, or the connection was closed)", host.Name, id, send(ctx, client, host, deadlyPath, id))
		cancel()
		time.Sleep(time.Until(next))
	}
}

// send sends one request and returns the status of its answer, or 0.
func send(ctx context.Context, client *http.Client, host *lab.Host, path, id string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Callers+path, strings.NewReader("one map"))
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

// check counts the runs of the deadly request that began later than contact after its
// third crash.
func (r *runs) check(l *lab.Lab) (broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	if len(r.crashed) >= 3 {
		for _, at := range r.began {
			if at.After(r.crashed[2].Add(contact)) {
				late++
			}
		}
	}
	l.Record("the deadly request ran %d times and crashed %d servers; it reached servers %d times later than %v after its third crash", len(r.began), len(r.crashed), late, contact)
	return late > retries
}
