package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["crowd"] = crowdOfBodies }

// The crowd sends bodies of legal size in chunks, which stop just short of their end, and
// stays open; who is closed comes again. Ordinary consumers ask once in a tenth of a
// second, each on a connection of its own.
const (
	crowdSize     = 1400
	crowdBody     = 262144 // max_body_bytes of the configuration
	chunkBytes    = 1000
	crowdLasts    = 45 * time.Second
	ordinaryCount = 10
	// unservedLimit is how long no ordinary consumer is served before the process counts
	// as hanging. Each of them waits so long for an answer, and the servers are idle.
	unservedLimit = callerWait
)

// crowdOfBodies lets a crowd come to one machine, beside ordinary consumers.
func crowdOfBodies(l *lab, trouble bool) (broken bool, err error) {
	work := func(*http.Request) time.Duration { return 16 * time.Millisecond }
	for i := range 6 {
		if _, err := l.addServer("orders", zones[i%len(zones)], work, bytes.Repeat([]byte("o"), 1500)); err != nil {
			return false, err
		}
	}
	if err := l.configure([]string{"orders"}, single("/orders/", "orders", "idempotent", 600*time.Millisecond)); err != nil {
		return false, err
	}
	if err := l.addHosts(hostShape{zones[0], 0.4, 284}, hostShape{zones[1], 0.4, 284}, hostShape{zones[2], 0.4, 284}); err != nil {
		return false, err
	}
	if err := l.startAll(5 * time.Second); err != nil {
		return false, err
	}
	pressed := l.hosts[0]
	ordinary := &ordinaryConsumers{lab: l, to: pressed}
	began := time.Now()
	end := began.Add(crowdLasts)
	var waiting sync.WaitGroup
	for i := range ordinaryCount {
		waiting.Go(func() { ordinary.run(i, end) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		l.note("a crowd of %d clients comes to %s", crowdSize, pressed.name)
		body := bytes.Repeat([]byte("x"), crowdBody-1)
		for i := range crowdSize {
			waiting.Go(func() {
				for time.Now().Before(end) {
					l.stopShort(pressed, i, body, end)
				}
			})
		}
	}
	for range int(crowdLasts/time.Second) - 3 {
		time.Sleep(time.Second)
		now, highest := residentKB(pressed.pid())
		l.note("%s has %d KB of memory, at most %d KB, has used %.2f s of the processor, and is ready: %v", pressed.name, now, highest, processorSeconds(pressed.pid()), pressed.ready())
	}
	waiting.Wait()
	served, longest := ordinary.longestUnserved(began, end)
	l.note("* ordinary consumers: %d of %d requests were served, none for %d ms; %s runs: %v",
		served, len(ordinary.answers), longest.Milliseconds(), pressed.name, pressed.signal(syscall.Signal(0)))
	return longest >= unservedLimit, nil
}

// stopShort sends a request without the last byte of its body, and waits until it is closed.
func (l *lab) stopShort(to *host, number int, body []byte, end time.Time) {
	c, err := l.connect(to)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.end()
	_ = c.conn.SetDeadline(end)
	_, err = fmt.Fprintf(c.conn, "POST /orders/crowd/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nTransfer-Encoding: chunked\r\n\r\n",
		number, siteHost, newID())
	for at := 0; at < len(body) && err == nil; at += chunkBytes {
		chunk := body[at:min(len(body), at+chunkBytes)]
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	var one [1]byte
	for err == nil {
		_, err = c.conn.Read(one[:])
	}
}

// ordinaryConsumers send requests to a machine, each on its own connection.
type ordinaryConsumers struct {
	lab *lab
	to  *host

	mu      sync.Mutex
	answers []answer
}

func (o *ordinaryConsumers) run(number int, end time.Time) {
	var c *consumer
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(100 * time.Millisecond)
		a := answer{sent: time.Now()}
		if c == nil {
			if c, a.err = o.lab.connect(o.to); a.err != nil {
				c = nil
			}
		}
		if c != nil {
			a = c.do(http.MethodGet, fmt.Sprintf("/orders/ordinary/%d/%d", number, n), nil)
			if a.status == 0 || a.close {
				c.end()
				c = nil
			}
		}
		o.mu.Lock()
		o.answers = append(o.answers, a)
		o.mu.Unlock()
	}
	if c != nil {
		c.end()
	}
}

// longestUnserved returns how many requests were served, and the longest time between two
// successes.
func (o *ordinaryConsumers) longestUnserved(began, end time.Time) (served int, longest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.SortFunc(o.answers, func(a, b answer) int { return a.answered.Compare(b.answered) })
	last := began
	for _, a := range o.answers {
		if a.status == http.StatusOK {
			served++
			longest = max(longest, a.answered.Sub(last))
			last = a.answered
		}
	}
	return served, max(longest, end.Sub(last))
}
