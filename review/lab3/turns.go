package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["turns"] = turnsScenario }

const (
	// turnServers is the number of servers of the service. All but one crash at the same
	// moment, the last one turnGap later; each is back turnDown after its crash, as a new boot
	// with a new id. That comes turnRounds times, turnEvery apart.
	turnServers = 6
	turnGap     = 320 * time.Millisecond
	turnDown    = 4500 * time.Millisecond
	turnRounds  = 4
	turnEvery   = 6 * time.Second
	// popularPerSecond is how many callers a second ask the same question, othersPerSecond how
	// many ask one of their own.
	popularPerSecond = 90
	othersPerSecond  = 5
	// The crashes begin at turnsAt, the final fault (all processes of the system are killed)
	// comes at finalAt; the processes start again downTime later. Requests count for judged
	// from recovery_s after that.
	turnsAt  = 16 * time.Second
	finalAt  = 40 * time.Second
	downTime = 1600 * time.Millisecond
	recovery = 12 * time.Second
	judged   = 10 * time.Second
	// expiry is after how long the store removes the entry of a server that is silent.
	expiry = 3600 * time.Millisecond
)

// turnServer is a server of the service that can crash.
type turnServer struct {
	l     *lab
	place int
	boot  int
	// deadly, if set, is told of the requests that crash the server.
	deadly *deadly

	mu    sync.Mutex
	conns map[net.Conn]bool
	down  bool
	http  *http.Server
	slots chan struct{}
}

// start starts a boot of the server at a new address and registers it.
func (s *turnServer) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.boot++
	s.down = false
	s.conns = map[net.Conn]bool{}
	s.slots = make(chan struct{}, serverSlots)
	id := s.id()
	s.http = &http.Server{Handler: s.handler(id, s.slots), ConnState: s.follow}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return s.l.store.Put("servers", id, map[string]any{
		"service": "orders", "address": listener.Addr().String(), "zone": zones[s.place%len(zones)].name, "version": "v1",
		"max_concurrency": serverSlots, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *turnServer) id() string { return fmt.Sprintf("i-turn%d-%d", s.place, s.boot) }

func (s *turnServer) follow(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == http.StateNew && s.down:
		_ = c.Close()
	case state == http.StateNew:
		s.conns[c] = true
	case state == http.StateClosed:
		delete(s.conns, c)
	}
}

// handler answers all questions well: it takes the work of order-lookup, 160 ms on average.
func (s *turnServer) handler(id string, slots chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.Header().Set("Instance-Id", id)
			return
		}
		request := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		if s.deadly.run(s, r.URL.Path) {
			return
		}
		work := min(960, 160*math.Exp(0.5*rand.NormFloat64()-0.125))
		select {
		case <-time.After(time.Duration(work * float64(time.Millisecond))):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Server-Stamp", id+"."+request)
		_, _ = fmt.Fprintf(w, "%s answers %s", id, request)
	})
}

// crash resets all connections and closes the port; the entry expires later. It returns false
// if the server is down already.
func (s *turnServer) crash() bool {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return false
	}
	s.down = true
	id, server, conns := s.id(), s.http, s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset
		}
	}
	_ = server.Close()
	time.AfterFunc(expiry, func() { s.l.store.Remove("servers", id) })
	time.AfterFunc(turnDown, func() {
		if err := s.start(); err != nil {
			s.l.note("%s is not back: %v", id, err)
		}
	})
	return true
}

// turnsScenario: many callers ask one question, which all servers answer well. The servers of
// the service go down and up by turns. At the end all processes of the system are killed.
func turnsScenario(l *lab) (int, error) {
	servers := make([]*turnServer, turnServers)
	for i := range servers {
		servers[i] = &turnServer{l: l, place: i}
		if err := servers[i].start(); err != nil {
			return couldNot, err
		}
	}
	if err := l.addServer("portal", "i-portal0", "munster-a", 5*time.Millisecond, nil); err != nil {
		return couldNot, err
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
	l.note("%d machines are ready", len(l.edges))
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	type second struct{ popular, popularServed, others, othersServed, refused atomic.Int64 }
	seconds := make([]second, 120)
	stop := make(chan struct{})
	var all sync.WaitGroup
	ask := func(n int) {
		consumer := newConsumer(l.edges[rand.IntN(len(l.edges))])
		defer consumer.client.CloseIdleConnections()
		s := &seconds[int(time.Since(begin).Seconds())]
		path, asked, served := "/lookup/popular", &s.popular, &s.popularServed
		if rand.IntN(popularPerSecond+othersPerSecond) < othersPerSecond {
			path, asked, served = fmt.Sprint("/lookup/own-", n), &s.others, &s.othersServed
		}
		asked.Add(1)
		switch a := consumer.ask(path, fmt.Sprint("t", n), "6000"); a.status {
		case http.StatusOK:
			served.Add(1)
		case http.StatusServiceUnavailable:
			s.refused.Add(1)
		}
	}
	all.Go(func() {
		ticker := time.NewTicker(time.Second / (popularPerSecond + othersPerSecond))
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
	if l.trouble {
		for round := range turnRounds {
			begins := turnsAt + time.Duration(round)*turnEvery
			at(begins)
			l.note("servers 1 to %d crash, back in %v", turnServers-1, turnDown)
			for _, s := range servers[1:] {
				s.crash()
			}
			at(begins + turnGap)
			l.note("server 0 crashes, back in %v", turnDown)
			servers[0].crash()
		}
	}
	at(finalAt)
	l.note("all processes are killed")
	var seeds []string
	for _, e := range l.edges {
		e.signal(syscall.SIGKILL)
		seeds = append(seeds, e.control)
	}
	for _, e := range l.edges {
		<-e.ended
	}
	at(finalAt + downTime)
	for _, e := range l.edges {
		if err := l.startEdge(e, seeds[:3], false); err != nil {
			return couldNot, err
		}
	}
	from := finalAt + downTime + recovery
	at(from + judged)
	close(stop)
	all.Wait()
	var before, beforeServed, after, afterServed int64
	for i := range seconds {
		s := &seconds[i]
		asked, served := s.popular.Load()+s.others.Load(), s.popularServed.Load()+s.othersServed.Load()
		switch start := time.Duration(i) * time.Second; {
		case start < finalAt-time.Second:
			before, beforeServed = before+asked, beforeServed+served
		case start >= from:
			after, afterServed = after+asked, afterServed+served
		}
		if asked > 0 {
			l.note("second %d: popular %d of %d served, others %d of %d, 503: %d", i, s.popularServed.Load(), s.popular.Load(), s.othersServed.Load(), s.others.Load(), s.refused.Load())
		}
	}
	l.note("before the final fault %d of %d served; later than recovery_s after the machines are back %d of %d", beforeServed, before, afterServed, after)
	if before == 0 || after == 0 || 4*beforeServed < before {
		return couldNot, fmt.Errorf("%d of %d served before the final fault", beforeServed, before)
	}
	if 4*afterServed < after {
		return broken, nil
	}
	return held, nil
}
