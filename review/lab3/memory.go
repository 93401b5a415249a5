package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["memory"] = memoryScenario }

const (
	// crowdPath is the length of the path of the clients that nobody controls: with the
	// other fields their heads stay below max_header_bytes (16,384).
	crowdPath = 15_000
	// crowdDeadline is their Deadline-Ms: an hour.
	crowdDeadline = "3600000"
	// crowdConnections are their connections, crowdInterval the time between two requests
	// on each of them.
	crowdConnections = 4
	crowdInterval    = 4 * time.Millisecond
	crowdTime        = 60 * time.Second
)

// handsOver returns a machine that hands its callers' requests over to others.
func (l *lab) handsOver() *edge {
	for _, e := range l.edges {
		if lines := e.logLines("hosts_counted"); len(lines) > 0 && !strings.Contains(lines[len(lines)-1], `"gatherer"`) {
			return e
		}
	}
	return nil
}

// memoryScenario: clients that nobody controls send legal requests with long paths and long
// deadlines to a machine. Each is answered at once. The machine has to stay within its memory.
func memoryScenario(l *lab) (int, error) {
	if err := l.deploy(smallZones(14)); err != nil {
		return couldNot, err
	}
	target := l.handsOver()
	if target == nil {
		return couldNot, errors.New("no machine hands requests over")
	}
	before, _ := target.memory()
	l.note("the clients go to %s, which holds %.0f of %d MB", target.name, before, memoryMB)
	var ordinary, served, sent, answered atomic.Int64
	stop := make(chan struct{})
	var all sync.WaitGroup
	repeat := func(interval time.Duration, ask func(*consumer, int)) {
		all.Go(func() {
			client := newConsumer(target)
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
					ask(client, i)
				}
			}
		})
	}
	for c := range 4 {
		repeat(40*time.Millisecond, func(client *consumer, i int) {
			ordinary.Add(1)
			if a := client.ask("/lookup/x", fmt.Sprintf("o%d-%d", c, i), "6000"); a.status == 200 {
				served.Add(1)
			}
		})
	}
	if l.trouble {
		path := "/nowhere/" + strings.Repeat("x", crowdPath)
		for c := range crowdConnections {
			repeat(crowdInterval, func(client *consumer, i int) {
				sent.Add(1)
				if a := client.ask(path, fmt.Sprintf("c%d-%d", c, i), crowdDeadline); a.status == 404 {
					answered.Add(1)
				}
			})
		}
	}
	code := held
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && code == held; {
		time.Sleep(time.Second)
		now, peak := target.memory()
		l.note("%s holds %.0f MB, at most %.0f MB; the crowd: %d sent, %d answered 404; ordinary consumers: %d sent, %d served",
			target.name, now, peak, sent.Load(), answered.Load(), ordinary.Load(), served.Load())
		switch {
		case target.hasEnded():
			l.note("the process has ended by itself: %v", target.exitErr)
			code = broken
		case peak > memoryMB:
			l.note("the process is over the memory of its machine, where the platform kills it")
			code = broken
		}
	}
	close(stop)
	all.Wait()
	if code == broken && !target.hasEnded() {
		time.Sleep(5 * time.Second)
		now, _ := target.memory()
		l.note("5 s after the last request, all of them answered, %s holds %.0f MB", target.name, now)
	}
	for _, e := range l.edges {
		now, peak := e.memory()
		l.note("%s holds %.0f MB, at most %.0f MB", e.name, now, peak)
	}
	return code, nil
}
