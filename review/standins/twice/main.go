// Command twice sends requests that may run at most once to hosts whose servers are
// full. Half of the servers are faulty at times: they send some of their answers once
// more, late, where the next answer is expected.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/review/standins/lab"
)

const (
	// playTime is how long requests are sent, perSecond how many to each service.
	playTime  = 95 * time.Second
	perSecond = 70
	// services is the number of services, each with one server in each of two zones.
	services = 12
	// extraShare is the share of its answers that a faulty server sends twice, for
	// faultyFor in each faultyEvery.
	extraShare  = 0.04
	faultyFor   = 5 * time.Second
	faultyEvery = 8 * time.Second
	deadlineMs  = 2000
)

// ledger holds what was run and answered, by the ID of the request.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]string // the servers that ran it
	statuses map[string]int
	rejected int
	extras   int
	sameID   int
}

func main() { lab.Main(run) }

func run(l *lab.Lab) (broken bool, err error) {
	book := &ledger{runs: map[string][]string{}, statuses: map[string]int{}}
	if err := startServers(l, book); err != nil {
		return false, err
	}
	if err := l.Store.Put("config", "main", config()); err != nil {
		return false, err
	}
	if err := l.Start("munster-a", "munster-a", "munster-a", "munster-b", "munster-b", "munster-c", "munster-c", "munster-d"); err != nil {
		return false, err
	}
	sendRequests(l, book)
	time.Sleep(time.Second) // what is still at the servers ends
	return book.check(l), nil
}

func startServers(l *lab.Lab, book *ledger) error {
	zones, began := []string{"munster-a", "munster-b"}, time.Now()
	for i := range services * len(zones) {
		s := &lab.Server{
			ID: fmt.Sprint("i-order-", i), Service: serviceName(i / len(zones)), Zone: zones[i%len(zones)], Slots: 2, Queue: 3, Work: 60 * time.Millisecond, Body: []byte("an order"),
			OnRun: func(s *lab.Server, id string) {
				l.Record("%s runs %s", s.Name(), id)
				book.mu.Lock()
				defer book.mu.Unlock()
				book.runs[id] = append(book.runs[id], s.ID)
			},
			OnReject: func(s *lab.Server, id string) {
				l.Record("%s rejects %s", s.ID, id)
				book.mu.Lock()
				defer book.mu.Unlock()
				book.rejected++
			},
			OnExtra: func(s *lab.Server, status, of, to string) {
				l.Record("%s sends its answer %s to %s once more, after it has read %s", s.ID, status, of, to)
				book.mu.Lock()
				defer book.mu.Unlock()
				book.extras++
				if of == to {
					book.sameID++
				}
			},
		}
		if i%len(zones) == 0 && lab.Trouble() {
			s.Extra = func() float64 {
				if time.Since(began)%faultyEvery < faultyFor {
					return extraShare
				}
				return 0
			}
		}
		if err := s.Listen(); err != nil {
			return err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, time.Now(), 0)); err != nil {
			return err
		}
	}
	return nil
}

func serviceName(i int) string { return fmt.Sprint("orders-", i) }

func config() map[string]any {
	var routes, listed []any
	for i := range services {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", i), "host": "orders.example", "path_prefix": fmt.Sprintf("/order/%d/", i), "kind": "non_idempotent",
			"service": serviceName(i), "timeout_ms": 2000, "target_latency_ms": 600, "priority": 1, "max_attempts": 2,
		})
		listed = append(listed, map[string]any{"name": serviceName(i), "health_path": lab.HealthPath, "max_connections": 26, "warmup_s": 3, "warmup_per_s": 0})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": listed,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendRequests sends requests at an even rate, each with an ID of its own.
func sendRequests(l *lab.Lab, book *ledger) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Second / (perSecond * services))
	defer ticker.Stop()
	var open sync.WaitGroup
	end := time.Now().Add(playTime)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		id, host, path := fmt.Sprintf("%08x", i), l.Hosts[i%len(l.Hosts)], fmt.Sprintf("/order/%d/new", rand.IntN(services))
		open.Go(func() {
			status := send(client, host, path, id)
			l.Record("%s answers %s with %d", host.Name, id, status)
			book.mu.Lock()
			defer book.mu.Unlock()
			book.statuses[id] = status
		})
	}
	open.Wait()
}

// send sends one request and returns the status of its answer, or 0.
func send(client *http.Client, host *lab.Host, path, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+host.Callers+path, strings.NewReader("one map "+id))
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

// check counts the requests that ran more than once, and those that were answered
// with a promise that they have not run and ran all the same.
func (b *ledger) check(l *lab.Lab) (broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := map[int]int{}
	twice, refused := 0, 0
	for id, status := range b.statuses {
		count[status]++
		switch runs := b.runs[id]; {
		case len(runs) > 1:
			twice++
			l.Record("TWICE: %s ran at %v, answered with %d", id, runs, status)
		case len(runs) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest):
			refused++
			l.Record("REFUSED: %s ran at %v, answered with %d", id, runs, status)
		}
	}
	l.Record("sent %d, answered by status %v, rejected by servers %d times, %d answers sent once more, %d of them to the same request", len(b.statuses), count, b.rejected, b.extras, b.sameID)
	l.Record("ran more than once: %d; refused and ran (rule REFUSED): %d", twice, refused)
	return twice > 0
}
