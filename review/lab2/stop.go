package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stop"] = stopWithChangedSettings }

// stopWithChangedSettings stops one host as planned, and tells it meanwhile that its
// settings file has changed. All requests that it has read must be answered.
func stopWithChangedSettings(l *lab, trouble bool) (broken bool, err error) {
	const (
		requests = 12
		work     = 900 * time.Millisecond
	)
	for i := range 6 {
		if _, err := l.addServer("orders", zones[i%len(zones)], func(*http.Request) time.Duration { return work }, []byte("order")); err != nil {
			return false, err
		}
	}
	if err := l.configure([]string{"orders"}, single("/orders/", "orders", "non_idempotent", time.Second)); err != nil {
		return false, err
	}
	shapes := make([]hostShape, 4)
	for i := range shapes {
		shapes[i] = hostShape{zones[i], 0.4, 284}
	}
	if err := l.addHosts(shapes...); err != nil {
		return false, err
	}
	if err := l.startAll(5 * time.Second); err != nil {
		return false, err
	}
	stopped := l.hosts[1]
	var answers [requests]answer
	var waiting sync.WaitGroup
	for i := range requests {
		c, err := l.connect(stopped)
		if err != nil {
			return false, err
		}
		defer c.end()
		// A connection that was used before: the platform keeps it with its host.
		if first := c.do(http.MethodPost, fmt.Sprint("/orders/first/", i), []byte("{}")); first.status != http.StatusOK {
			return false, fmt.Errorf("before the stop a request ended with status %d: %w", first.status, first.err)
		}
		waiting.Go(func() {
			time.Sleep(time.Duration(requests-i) * work)
			answers[i] = c.do(http.MethodPost, fmt.Sprint("/orders/", i), []byte("{}"))
		})
	}
	time.Sleep(work + 200*time.Millisecond)
	l.note("%s gets SIGTERM", stopped.name)
	if !stopped.signal(syscall.SIGTERM) {
		return false, fmt.Errorf("no process to stop")
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		l.note("the settings file of %s changes, and it gets SIGHUP", stopped.name)
		if err := stopped.writeSettings(false); err != nil {
			return false, err
		}
		if !stopped.signal(syscall.SIGHUP) {
			return false, fmt.Errorf("no process to signal")
		}
	}
	waiting.Wait()
	ran := map[string]bool{}
	for _, r := range l.allRuns() {
		ran[r.id] = true
	}
	lost := 0
	for _, a := range answers {
		if a.status == 0 && ran[a.id] {
			lost++
		}
	}
	l.note("* %d of %d requests were passed on to a server, and their connections ended without an answer", lost, requests)
	return lost > 0, nil
}
