// Command cold has a server become cold again while the store is down. The server
// says so where it can: in the answers to status checks, and in its entry as soon as
// the store takes it.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/review/standins/lab"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
)

const (
	// perSecond is how many requests are sent a second, playTime how long.
	perSecond = 100
	playTime  = 20 * time.Second
	// downAt is when the store goes down, downFor how long. The server becomes cold
	// at coldAt, for warmup.
	downAt  = 8 * time.Second
	downFor = 4500 * time.Millisecond
	coldAt  = 9 * time.Second
	warmup  = 3 * time.Second
	// warmupPerSecond is what a cold server tolerates; overshoot and slack are the
	// bounds warmup_overshoot and warmup_slack.
	warmupPerSecond = 20
	overshoot       = 1.5
	slack           = 5
	deadlineMs      = 3000
)

// arrivals holds when requests began to run at the cold server.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func main() { lab.Main(run) }

func run(l *lab.Lab) (broken bool, err error) {
	seen := &arrivals{}
	cold, err := startServers(l, seen)
	if err != nil {
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
	time.Sleep(time.Until(began.Add(downAt)))
	if lab.Trouble() {
		if err := l.Store.SetFaults(platformstub.Faults{Silent: true}); err != nil {
			return false, err
		}
		l.Record("the store is down")
	}
	time.Sleep(time.Until(began.Add(coldAt)))
	coldFrom := time.Now()
	cold.BeColdFor(warmup)
	l.Record("%s is cold for %v", cold.ID, warmup)
	if lab.Trouble() {
		time.Sleep(time.Until(began.Add(downAt + downFor)))
		if err := l.Store.SetFaults(platformstub.Faults{}); err != nil {
			return false, err
		}
		l.Record("the store is back")
	}
	left := max(0, time.Until(coldFrom.Add(warmup)))
	if err := l.Store.Put("servers", cold.ID, cold.Entry(2, cold.Born, left)); err != nil {
		return false, err
	}
	l.Record("the store has the entry of %s, cold for another %v", cold.ID, left)
	traffic.Wait()
	return seen.check(l, coldFrom), nil
}

// startServers starts the servers and returns the one that becomes cold again.
func startServers(l *lab.Lab, seen *arrivals) (cold *lab.Server, err error) {
	for i, zone := range []string{"munster-a", "munster-b"} {
		s := &lab.Server{
			ID: fmt.Sprint("i-plates-", i), Service: "trail-portal", Zone: zone, Slots: 6, Queue: 24, Work: 20 * time.Millisecond,
			Body: []byte("a plate"), Born: time.Now(),
		}
		if i == 0 {
			cold = s
			s.OnRun = func(s *lab.Server, id string) {
				l.Record("%s runs %s", s.Name(), id)
				seen.mu.Lock()
				defer seen.mu.Unlock()
				seen.at = append(seen.at, time.Now())
			}
		}
		if err := s.Listen(); err != nil {
			return nil, err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, s.Born, 0)); err != nil {
			return nil, err
		}
	}
	return cold, nil
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-trail", "host": "plates.example", "path_prefix": "/trail/", "kind": "idempotent", "service": "trail-portal",
			"timeout_ms": deadlineMs, "target_latency_ms": 150, "priority": 1, "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "trail-portal", "health_path": lab.HealthPath, "max_connections": 51, "warmup_s": warmup.Seconds(), "warmup_per_s": warmupPerSecond,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendRequests sends requests at an even rate to all hosts.
func sendRequests(l *lab.Lab, began time.Time) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; time.Since(began) < playTime; i++ {
		<-ticker.C
		id, host := fmt.Sprintf("%08x", i), l.Hosts[i%len(l.Hosts)]
		open.Go(func() {
			l.Record("%s is sent to %s", id, host.Name)
			l.Record("%s is answered with %d by %s", id, send(client, host, id), host.Name)
		})
	}
}

// send sends one request and returns the status of its answer, or 0.
func send(client *http.Client, host *lab.Host, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+host.Callers+"/trail/"+id, nil)
	if err != nil {
		return 0
	}
	request.Host = "plates.example"
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

// check finds the second in which the cold server got most requests.
func (a *arrivals) check(l *lab.Lab, coldFrom time.Time) (broken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, at := 0, time.Duration(0)
	for i, first := range a.at {
		if first.Before(coldFrom) || first.Add(time.Second).After(coldFrom.Add(warmup)) {
			continue
		}
		count := 0
		for _, other := range a.at[i:] {
			if other.Before(first.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, at = count, first.Sub(coldFrom)
		}
	}
	allowed := overshoot*warmupPerSecond + slack
	l.Record("the cold server got at most %d requests in a second, from %v after it became cold; the bound is %g", most, at, allowed)
	return float64(most) > allowed
}
