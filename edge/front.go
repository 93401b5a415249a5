package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// fallbackHeaderTimeout and fallbackIdleTimeout hold while the operators'
	// configuration is not known.
	fallbackHeaderTimeout = 10 * time.Second
	fallbackIdleTimeout   = 60 * time.Second
	fallbackHeaderBytes   = 64 << 10
	fallbackBodyBytes     = 1 << 20
)

// pending is a caller's request that has no answer yet.
type pending struct {
	request platform.CallerRequest
	ctx     context.Context     // ends when the caller leaves
	answer  chan scatter.Answer // holds the answer
	// endHandover ends the call at the host that it was handed to.
	endHandover context.CancelFunc
}

// front takes requests from callers.
type front struct {
	inbox    func(scatter.Event) bool
	metrics  *meters
	server   *http.Server
	sequence atomic.Uint64
	stopping atomic.Bool
	maxBody  atomic.Int64
	maxIdle  atomic.Int64 // nanoseconds

	mu    sync.Mutex
	calls map[core.CallID]*pending
	idle  map[net.Conn]time.Time // callers' connections, since when they rest
}

func newFront(inbox func(scatter.Event) bool, m *meters) *front {
	f := &front{inbox: inbox, metrics: m, calls: map[core.CallID]*pending{}, idle: map[net.Conn]time.Time{}}
	f.maxBody.Store(fallbackBodyBytes)
	f.maxIdle.Store(int64(fallbackIdleTimeout))
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		ReadHeaderTimeout: fallbackHeaderTimeout,
		MaxHeaderBytes:    fallbackHeaderBytes,
		ConnState:         f.connState,
	}
	return f
}

// limit takes what the configuration in force allows callers.
func (f *front) limit(limits scatter.CallerLimits) {
	if limits.MaxBodyBytes > 0 {
		f.maxBody.Store(limits.MaxBodyBytes)
	}
	if limits.IdleTimeout > 0 {
		f.maxIdle.Store(int64(limits.IdleTimeout))
	}
}

// connState notes which connections rest.
func (f *front) connState(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateIdle {
		f.idle[c] = time.Now()
	} else {
		delete(f.idle, c)
	}
}

// idleSweep is the time between two looks for connections that rest too long.
const idleSweep = time.Second

// closeIdle closes connections that rest longer than the configuration in force
// allows, until ctx ends.
func (f *front) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.closeIdleBefore(now.Add(-time.Duration(f.maxIdle.Load())))
		}
	}
}

func (f *front) closeIdleBefore(limit time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, since := range f.idle {
		if since.Before(limit) {
			_ = c.Close() // it ends either way
			delete(f.idle, c)
		}
	}
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r.Body = http.MaxBytesReader(w, r.Body, f.maxBody.Load())
	request, err := platform.ReadRequest(r)
	if err != nil {
		var readError *platform.ReadError
		if errors.As(err, &readError) {
			platform.WriteReadError(w, readError)
		}
		return
	}
	started := time.Now()
	answer, left := f.ask(r.Context(), request, scatter.Arrived{At: started})
	if left {
		return
	}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := platform.WriteReply(w, platform.Render(request, answer)); err != nil {
		f.metrics.answersCut.Inc(1)
	}
	f.metrics.latency.UpdateSince(started)
}

// ask puts a request to the core and waits for its answer; left means that the
// caller closed its connection first. The event says how the request came.
func (f *front) ask(ctx context.Context, request platform.CallerRequest, arrived scatter.Arrived) (answer scatter.Answer, left bool) {
	call := core.CallID(f.sequence.Add(1))
	p := &pending{request: request, ctx: ctx, answer: make(chan scatter.Answer, 1)}
	f.mu.Lock()
	f.calls[call] = p
	f.mu.Unlock()
	defer f.forget(call)
	arrived.Call, arrived.RequestID, arrived.Host, arrived.Path = call, request.ID, request.Host, request.Path
	arrived.Budget, arrived.Question = request.Budget, request.Question
	if !f.inbox(arrived) {
		f.metrics.inboxFull.Inc(1)
		return scatter.Answer{Kind: scatter.Refused, RetryAfter: fullRetry}, false
	}
	select {
	case answer := <-p.answer:
		return answer, false
	case <-ctx.Done():
		f.inbox(scatter.CallerGone{Call: call})
		return scatter.Answer{}, true
	}
}

// fullRetry is when a request may come back that found the inbox full.
const fullRetry = 200 * time.Millisecond

func (f *front) forget(call core.CallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, call)
}

// find returns a call; nil when its caller is gone.
func (f *front) find(call core.CallID) *pending {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[call]
}

// answer hands an answer to the waiting request.
func (f *front) answer(answer scatter.Answer) {
	if p := f.find(answer.Call); p != nil {
		p.answer <- answer
	}
}

func (f *front) run(listener net.Listener) error {
	if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
