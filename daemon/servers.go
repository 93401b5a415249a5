package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/api/caller"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// server is an HTTP server and its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	address  string
}

// servers holds the HTTP servers of a host.
type servers struct{ caller, operator, admin *server }

func listenHTTP(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for HTTP")
	}
	return &server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
		},
		listener: listener,
		address:  listener.Addr().String(),
	}, nil
}

func (d *Daemon) listenHTTP() error {
	s := d.cfg.Settings
	callers := caller.New(caller.Config{
		Port:        d.calls,
		MaxBody:     s.Caller.MaxBodyBytes,
		MaxDeadline: s.Caller.MaxDeadline,
		MaxLimit:    uint32(s.Caller.MaxLimit),
		Grace:       s.Caller.Grace,
		Done:        d.observeAnswer,
	})
	var err error
	if d.servers.caller, err = listenHTTP(s.Caller.Address, d.closeWhileStopping(callers)); err != nil {
		return err
	}
	if d.servers.operator, err = listenHTTP(s.Operator.Address, d.operatorHandler()); err != nil {
		return err
	}
	d.servers.admin, err = listenHTTP(s.Admin.Address, d.adminHandler())
	return err
}

// closeWhileStopping adds "Connection: close" to responses while the host stops.
// Callers then open no further request on a connection that is about to close.
func (d *Daemon) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// observeAnswer records the latency of an answered request and logs it at debug
// level.
func (d *Daemon) observeAnswer(q *peerpb.Query, reply *peerpb.QueryReply, took time.Duration) {
	d.metrics.latency.Update(took)
	if line := d.log.Debug(); line.Enabled() {
		line.Str("query", q.RequestId).
			Str("scope", q.Scope).
			Str("service", q.Service).
			Stringer("kind", core.Kind(reply.Kind)).
			Stringer("ran", core.Ran(reply.Ran)).
			Uint32("attempts", reply.Attempts).
			Uint32("extra", reply.Extra).
			Dur("took_ms", took).
			Msg("answered")
	}
}

func (d *Daemon) operatorHandler() http.Handler {
	router := chi.NewRouter()
	if d.cfg.NewOperator != nil {
		router.Mount("/v1", d.cfg.NewOperator(d))
	}
	return router
}

func (d *Daemon) adminHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(http.ResponseWriter, *http.Request) {})
	router.Get("/readyz", d.serveReady)
	router.Get("/metrics", d.serveMetrics)
	router.Get("/status", d.serveStatus)
	if d.cfg.Settings.Admin.Pprof {
		router.HandleFunc("/debug/pprof/*", pprof.Index)
		router.HandleFunc("/debug/pprof/profile", pprof.Profile)
		router.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		router.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return router
}

func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	err := d.askWithTimeout(r, func(decider Decider) { ready = d.cfg.Ready == nil || d.cfg.Ready(decider) })
	if err != nil || !ready || d.stopping.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	d.metrics.writeText(w)
	d.writeCounters(w, r)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	var encoded []byte
	var encodeErr error
	err := d.askWithTimeout(r, func(decider Decider) {
		// Encode on the decision loop: the values may point into the core.
		if d.cfg.Status != nil {
			encoded, encodeErr = json.Marshal(d.cfg.Status(decider))
		}
	})
	if err = errors.Join(err, encodeErr); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}

func (d *Daemon) askWithTimeout(r *http.Request, inspect func(Decider)) error {
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	return d.Ask(ctx, inspect)
}

func (s *servers) open() []*server {
	var opened []*server
	for _, srv := range []*server{s.caller, s.operator, s.admin} {
		if srv != nil {
			opened = append(opened, srv)
		}
	}
	return opened
}

// start starts all servers. The channel receives the error of a server that
// fails.
func (s *servers) start() <-chan error {
	failed := make(chan error, len(s.open()))
	for _, srv := range s.open() {
		go func() {
			err := srv.http.Serve(srv.listener)
			if !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrap(err, srv.address)
			}
		}()
	}
	return failed
}

// shutdown waits for open requests until ctx is done and then closes their
// connections. This includes the admin server, which has nothing left to report.
func (s *servers) shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, srv := range s.open() {
		wg.Go(func() {
			if err := srv.http.Shutdown(ctx); err != nil {
				_ = srv.http.Close()
			}
			_ = srv.listener.Close() // not served yet when New failed
		})
	}
	wg.Wait()
}

func (d *Daemon) registerGauges() {
	d.metrics.gauge("inbox_length", func() int64 { return int64(d.inbox.Len()) })
	d.metrics.gauge("inbox_refused_total", func() int64 { return int64(d.inbox.Counts().Refused) })
	d.metrics.gauge("platform_ring_refused_total", func() int64 { return int64(d.platform.calls.Counts().Refused) })
	d.metrics.gauge("records_dropped_total", func() int64 { return int64(d.records.queue.Counts().Dropped) })
	d.metrics.gauge("open_calls", func() int64 { return int64(d.calls.size()) })
	d.metrics.gauge("peer_messages_sent_total", func() int64 { return int64(d.link.Stats().Sent) })
	d.metrics.gauge("peer_batches_sent_total", func() int64 { return int64(d.link.Stats().Batches) })
	d.metrics.gauge("peer_messages_received_total", func() int64 { return int64(d.link.Stats().Received) })
	d.metrics.gauge("peer_messages_refused_total", func() int64 { return int64(d.link.Stats().Refused) })
	d.metrics.gauge("peer_messages_dropped_total", func() int64 { return int64(d.link.Stats().Dropped) })
	d.metrics.gauge("peer_streams_broken_total", func() int64 { return int64(d.link.Stats().Broken) })
	d.metrics.gauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	d.metrics.gauge("heap_bytes", heapBytes)
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
