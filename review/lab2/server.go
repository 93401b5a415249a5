package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a server of the platform: it runs a few requests at once and queues others.
type server struct {
	lab               *lab
	id, service, zone string
	work              func(*http.Request) time.Duration
	address           string
	http              *http.Server
	slots             chan struct{}
	body              []byte
	fails             func() bool // nil if all requests succeed

	mu   sync.Mutex
	runs []serverRun
}

// serverRun is one request that a server began to work on.
type serverRun struct {
	id, path string
	at       time.Time
	service  string
}

// serverSlots is how many requests a server runs at once.
const serverSlots = 6

// addServer starts a server and registers it.
func (l *lab) addServer(service, zone string, work func(*http.Request) time.Duration, body []byte) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		lab: l, id: fmt.Sprintf("i-%s-%d", service, len(l.servers)), service: service, zone: zone, work: work,
		address: listener.Addr().String(), slots: make(chan struct{}, serverSlots), body: body,
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }() // it ends when the lab is closed
	l.servers = append(l.servers, s)
	return s, l.store.Put("servers", s.id, map[string]any{
		"service": service, "address": s.address, "zone": zone, "version": "v1", "max_concurrency": serverSlots,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *server) close() { _ = s.http.Close() }

// ServeHTTP runs a request as PROTOCOL.md says.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.NewTimer(deadline)
	defer end.Stop()
	_, _ = io.Copy(io.Discard, r.Body) // the request runs whatever its body
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-end.C:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, serverRun{id, r.URL.Path, time.Now(), s.service})
	s.mu.Unlock()
	s.lab.note("request %s runs at %s (%s)", id, s.id, s.service)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s.%d", s.id, id, time.Since(s.lab.started).Milliseconds()))
	select {
	case <-time.After(s.work(r)):
		if s.fails != nil && s.fails() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
		_, _ = w.Write(s.body)
	case <-end.C:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
		s.lab.note("the caller of request %s left %s", id, s.id)
	}
}

// allRuns returns what all servers ran.
func (l *lab) allRuns() (runs []serverRun) {
	for _, s := range l.servers {
		s.mu.Lock()
		runs = append(runs, s.runs...)
		s.mu.Unlock()
	}
	return runs
}
