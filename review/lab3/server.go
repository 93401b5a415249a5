package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	at     time.Time
	server string
	id     string
	method string
	target string
	body   int
}

// server is a server of the platform as PROTOCOL.md describes it: it runs a few requests
// at once, queues a few more and rejects the others.
type server struct {
	id, service, zone string
	work              time.Duration
	part              []byte // records of a part; nil for a plain service
	listener          net.Listener
	http              *http.Server
	slots             chan struct{}

	mu      sync.Mutex
	waiting int
	runs    []run
}

const (
	serverSlots = 6
	serverQueue = 24
)

// addServer starts a server and registers it.
func (l *lab) addServer(service, id, zone string, work time.Duration, part []byte) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, zone: zone, work: work, part: part, listener: listener, slots: make(chan struct{}, serverSlots)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	l.servers = append(l.servers, s)
	return l.register(s)
}

func (l *lab) register(s *server) error {
	return l.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "max_concurrency": serverSlots,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1700000000000,
	})
}

func (s *server) close() { _ = s.http.Close() }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.enter() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{at: time.Now(), server: s.id, id: id, method: r.Method, target: r.RequestURI, body: len(body)})
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
	}
	<-s.slots
	w.Header().Set("Server-Stamp", s.id+"."+id)
	if s.part != nil {
		_, _ = w.Write(s.part)
		return
	}
	_, _ = fmt.Fprintf(w, "%s answers %s", s.id, id)
}

// enter waits for a slot; false means that the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	if s.waiting >= serverQueue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	return true
}

// allRuns returns the runs at all servers, by request ID.
func (l *lab) allRuns() map[string][]run {
	all := map[string][]run{}
	for _, s := range l.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			all[r.id] = append(all[r.id], r)
		}
		s.mu.Unlock()
	}
	return all
}

// records returns n records of a part, in no order.
func records(name string, n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%-16s", fmt.Sprintf("%s-%d", name, (i*7)%n))
	}
	return []byte(b.String())
}
