// Command leaver takes the power from three machines while a server leaves without
// reporting that it drains: its entry is removed, and it serves on for some seconds.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/review/standins/lab"
)

const (
	// perSecond is how many requests are sent a second, playTime how long.
	perSecond = 60
	playTime  = 24 * time.Second
	// powerOffAt is when the machines lose power, dark how long they are down, and
	// leaveAfter how much later the server's entry is removed.
	powerOffAt = 10 * time.Second
	dark       = 5 * time.Second
	leaveAfter = 200 * time.Millisecond
	// drain is the bound drain_ms of the deployments.
	drain = 3 * time.Second
	// shards is the number of shards, each with a server in each of two zones.
	shards     = 6
	deadlineMs = 1500
)

// arrivals holds when requests arrived at the server that leaves.
type arrivals struct {
	mu  sync.Mutex
	at  []time.Time
	ids []string
}

func main() { lab.Main(run) }

func run(l *lab.Lab) (broken bool, err error) {
	seen := &arrivals{}
	leaver, err := startServers(l, seen)
	if err != nil {
		return false, err
	}
	if err := l.Store.Put("config", "main", config()); err != nil {
		return false, err
	}
	if err := l.Start("munster-a", "munster-a", "munster-a", "munster-b", "munster-b", "munster-c", "munster-c", "munster-d"); err != nil {
		return false, err
	}
	lost, others := split(l)
	began := time.Now()
	var traffic sync.WaitGroup
	traffic.Go(func() { sendRequests(l, others, began) })
	time.Sleep(time.Until(began.Add(powerOffAt)))
	if lab.Trouble() {
		traffic.Go(func() {
			if err := l.PowerOff(dark, lost...); err != nil {
				l.Record("power off: %v", err)
			}
		})
	}
	time.Sleep(leaveAfter)
	l.Store.Remove("servers", leaver.ID)
	left := time.Now()
	l.Record("the store has removed the entry of %s, which serves on", leaver.ID)
	traffic.Wait()
	return seen.check(l, left), nil
}

// split returns the three hosts that read the store for the others, and all others. Which
// hosts these are depends on the names of the hosts only.
func split(l *lab.Lab) (lost, others []*lab.Host) {
	var listed []scatter.Host
	for _, h := range l.Hosts {
		listed = append(listed, scatter.Host{ID: core.HostID(h.Name), Domain: core.DomainID(h.Zone), Cores: 1})
	}
	ranked, _ := scatter.RankHosts(listed)
	for _, h := range l.Hosts {
		if name := core.HostID(h.Name); name == ranked[0].ID || name == ranked[1].ID || name == ranked[2].ID {
			lost = append(lost, h)
		} else {
			others = append(others, h)
		}
	}
	return lost, others
}

func serviceName(i int) string { return fmt.Sprint("archive-desk-", i) }

// startServers starts the servers and returns the one that will leave.
func startServers(l *lab.Lab, seen *arrivals) (leaver *lab.Server, err error) {
	zones := []string{"munster-a", "munster-b"}
	for i := range shards * len(zones) {
		s := &lab.Server{
			ID: fmt.Sprint("i-shard-", i), Service: serviceName(i / len(zones)), Zone: zones[i%len(zones)], Slots: 2, Queue: 12,
			Work: 20 * time.Millisecond, Body: []byte("0123456789abcdef"),
		}
		if i == 0 {
			leaver = s
			s.OnRun = func(s *lab.Server, id string) {
				l.Record("%s runs %s", s.Name(), id)
				seen.mu.Lock()
				defer seen.mu.Unlock()
				seen.at, seen.ids = append(seen.at, time.Now()), append(seen.ids, id)
			}
		}
		if err := s.Listen(); err != nil {
			return nil, err
		}
		if err := l.Store.Put("servers", s.ID, s.Entry(1, time.Now(), 0)); err != nil {
			return nil, err
		}
	}
	return leaver, nil
}

func config() map[string]any {
	var gather, services []any
	for i := range shards {
		gather = append(gather, serviceName(i))
		services = append(services, map[string]any{"name": serviceName(i), "health_path": lab.HealthPath, "max_connections": 26, "warmup_s": 3, "warmup_per_s": 0})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-search", "host": "plates.example", "path_prefix": "/plates/", "kind": "idempotent", "gather": gather,
			"timeout_ms": deadlineMs, "target_latency_ms": 150, "priority": 1, "max_attempts": 2, "top_k": 4, "min_coverage": 0.8,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendRequests sends requests at an even rate to the hosts that keep their power.
func sendRequests(l *lab.Lab, hosts []*lab.Host, began time.Time) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; time.Since(began) < playTime; i++ {
		<-ticker.C
		id, host := fmt.Sprintf("%08x", i), hosts[i%len(hosts)]
		open.Go(func() {
			l.Record("%s is sent to %s", id, host.Name)
			l.Record("%s is answered with %d by %s", id, send(client, host, id), host.Name)
		})
	}
}

// send sends one request and returns the status of its answer, or 0.
func send(client *http.Client, host *lab.Host, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+host.Callers+"/plates/"+id, nil)
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

// check counts the requests that arrived later than drain after the server had left.
func (a *arrivals) check(l *lab.Lab, left time.Time) (broken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late, last := 0, time.Duration(0)
	for i, at := range a.at {
		if after := at.Sub(left); after > drain {
			late, last = late+1, after
			l.Record("DRAIN: %s reached the server %v after its entry was removed", a.ids[i], after)
		}
	}
	l.Record("the server ran %d requests, %d of them later than %v after its entry was removed, the last after %v", len(a.at), late, drain, last)
	return late > 0
}
