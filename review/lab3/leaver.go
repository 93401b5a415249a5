package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["leaver"] = leaverScenario }

const (
	// deadlyInterval is the time between two of the requests that crash the servers that run
	// them; each comes at a random machine. Their caller leaves after leavesAfter, and the server
	// crashes deadlyWork after it has begun to run one.
	deadlyInterval = 2500 * time.Millisecond
	leavesAfter    = 60 * time.Millisecond
	deadlyWork     = 100 * time.Millisecond
	deadlyFor      = 85 * time.Second
	// calmInterval is the time between two ordinary requests that the service gets.
	calmInterval = 20 * time.Second
	// contact is contact_ms, allowedLate how many deadly requests may reach servers later than
	// that after the third crash.
	contact     = 4 * time.Second
	allowedLate = 3
)

// deadly records what the requests that crash servers did.
type deadly struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// leaverScenario: a request that crashes each server that runs it comes again and again, and
// its caller leaves before the crash.
func leaverScenario(l *lab) (int, error) {
	d := &deadly{}
	for i := range turnServers {
		s := &turnServer{l: l, place: i, deadly: d}
		if err := s.start(); err != nil {
			return couldNot, err
		}
	}
	for i := range 10 {
		if err := l.addServer(fmt.Sprint("shard", i%shardCount), fmt.Sprint("i-shard", i), "munster-b", 5*time.Millisecond, records("s", 4)); err != nil {
			return couldNot, err
		}
	}
	if err := l.configure(1, "orders"); err != nil {
		return couldNot, err
	}
	if err := l.startEdges(smallZones(8)); err != nil {
		return couldNot, err
	}
	if !l.awaitReady(20 * time.Second) {
		return couldNot, fmt.Errorf("the machines are not ready")
	}
	time.Sleep(3 * time.Second)
	l.note("%d machines are ready", len(l.edges))
	stop := make(chan struct{})
	var all sync.WaitGroup
	var calm, calmServed, sent, refused atomic.Int64
	repeat := func(interval time.Duration, ask func(n int)) {
		all.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
					all.Go(func() { ask(n) })
				}
			}
		})
	}
	machine := func() *edge { return l.edges[rand.IntN(len(l.edges))] }
	repeat(calmInterval, func(n int) {
		c := newConsumer(machine())
		defer c.client.CloseIdleConnections()
		calm.Add(1)
		if a := c.ask(fmt.Sprint("/lookup/own-", n), fmt.Sprint("o", n), "6000"); a.status == http.StatusOK {
			calmServed.Add(1)
		}
	})
	repeat(50*time.Millisecond, func(n int) {
		c := newConsumer(machine())
		defer c.client.CloseIdleConnections()
		c.ask(fmt.Sprint("/search/", n), fmt.Sprint("s", n), "1500")
	})
	repeat(deadlyInterval, func(n int) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if l.trouble {
			time.AfterFunc(leavesAfter, cancel)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine().front+"/lookup/deadly", nil)
		if err != nil {
			return
		}
		request.Host = hostName
		request.Header.Set("Request-Id", fmt.Sprint("d", n))
		request.Header.Set("Deadline-Ms", "6000")
		sent.Add(1)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			refused.Add(1)
		}
		_ = response.Body.Close()
	})
	time.Sleep(deadlyFor)
	close(stop)
	all.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	for _, at := range d.crashes {
		l.note("a server crashed at %.3f", at.Sub(l.started).Seconds())
	}
	for _, at := range d.arrivals {
		if len(d.crashes) >= 3 && at.Sub(d.crashes[2]) > contact {
			late++
			l.note("a deadly request reached a server at %.3f", at.Sub(l.started).Seconds())
		}
	}
	l.note("deadly: %d sent, %d refused, %d reached servers, %d crashes, %d reached servers later than contact_ms after the third crash; ordinary at the service: %d of %d served",
		sent.Load(), refused.Load(), len(d.arrivals), len(d.crashes), late, calmServed.Load(), calm.Load())
	if late > allowedLate {
		return broken, nil
	}
	return held, nil
}

// run crashes the server if the request is a deadly one.
func (d *deadly) run(s *turnServer, path string) bool {
	if d == nil || !strings.Contains(path, "/deadly") {
		return false
	}
	d.mu.Lock()
	d.arrivals = append(d.arrivals, time.Now())
	d.mu.Unlock()
	time.Sleep(deadlyWork)
	if s.crash() {
		d.mu.Lock()
		d.crashes = append(d.crashes, time.Now())
		d.mu.Unlock()
	}
	return true
}
