// Package caller implements the HTTP API for callers: queries over a scope and
// calls to one service, with JSON bodies.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Port passes requests to the decision core of this host.
type Port interface {
	// Submit opens a call. The channel receives exactly one reply. If Submit
	// returns an error, the request has not run.
	Submit(*peerpb.Query) (core.CallID, <-chan *peerpb.QueryReply, *core.Error)
	// Gone reports that the caller of an open call no longer waits for the reply.
	Gone(core.CallID)
}

// Config configures the API.
type Config struct {
	Port Port
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	// MaxDeadline is the longest deadline that a request may ask for.
	MaxDeadline time.Duration
	// MaxLimit is the largest number of results that a request may ask for.
	MaxLimit uint32
	// Grace is how long after its deadline a request still waits for the reply of
	// the decision core, which normally arrives before the deadline.
	Grace time.Duration
	// Done is called for each request that received a reply, with the time that
	// it took. It may be nil.
	Done func(q *peerpb.Query, reply *peerpb.QueryReply, took time.Duration)
}

// Defaults for the fields that Config leaves zero.
const (
	defaultMaxBody     = 1 << 20
	defaultMaxDeadline = time.Minute
	defaultMaxLimit    = 10_000
	defaultGrace       = time.Second
)

func (c *Config) fillDefaults() {
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.MaxDeadline == 0 {
		c.MaxDeadline = defaultMaxDeadline
	}
	if c.MaxLimit == 0 {
		c.MaxLimit = defaultMaxLimit
	}
	if c.Grace == 0 {
		c.Grace = defaultGrace
	}
	if c.Done == nil {
		c.Done = func(*peerpb.Query, *peerpb.QueryReply, time.Duration) {}
	}
}

// New returns the handler of POST /v1/query and POST /v1/call.
func New(cfg Config) http.Handler {
	cfg.fillDefaults()
	a := &api{cfg}
	router := chi.NewRouter()
	router.Post("/v1/query", a.serve(decodeQuery))
	router.Post("/v1/call", a.serve(decodeCall))
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, core.Errorf(core.UnknownName, "no such path: %s", r.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", http.MethodPost)
		writeErrorAs(w, http.StatusMethodNotAllowed, core.Errorf(core.InvalidRequest, "use POST"))
	})
	return router
}

type api struct{ cfg Config }

// requestDecoder decodes the body of one type of request.
type requestDecoder func(cfg *Config, r *http.Request) (*peerpb.Query, *core.Error)

func (a *api) serve(decode requestDecoder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		q, refused := decode(&a.cfg, r)
		if refused != nil {
			writeError(w, refused)
			return
		}
		id, replies, refused := a.cfg.Port.Submit(q)
		if refused != nil {
			writeError(w, refused)
			return
		}
		reply := a.await(r.Context(), q, id, replies)
		if reply == nil {
			return
		}
		writeReply(w, q, reply)
		a.cfg.Done(q, reply, time.Since(started))
	}
}

// await returns the reply, or DeadlineExceeded if none arrives within Grace after
// the deadline. It returns nil if the caller disconnects.
func (a *api) await(ctx context.Context, q *peerpb.Query, id core.CallID, replies <-chan *peerpb.QueryReply) *peerpb.QueryReply {
	wait := time.Duration(q.RemainingUs)*time.Microsecond + a.cfg.Grace
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		a.cfg.Port.Gone(id)
		return nil
	case <-timeout.C:
		a.cfg.Port.Gone(id)
		return &peerpb.QueryReply{
			Kind:   int32(core.DeadlineExceeded),
			Ran:    int32(core.RanUnknown),
			Detail: "no reply by the deadline",
		}
	}
}
