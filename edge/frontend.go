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
	// mostHeaderBytes is read of a head before the operators' limit is looked
	// at.
	maxParsedHeaderBytes = 256 << 10
	// writeTimeout ends the writing of a long answer that the caller does not
	// read.
	writeTimeout = 30 * time.Second
)

// pending is a caller's request that has no answer yet.
type pendingRequest struct {
	request platform.CallerRequest
	ctx     context.Context     // ends when the caller leaves
	answer  chan scatter.Answer // holds the answer
	// endHandovers end the call at the hosts that it was handed to.
	cancelHandovers []context.CancelFunc
}

// front takes requests from callers.
type frontend struct {
	tryEnqueue func(scatter.Event) bool
	metrics    *hostMetrics
	server     *http.Server
	sequence   atomic.Uint64
	stopping   atomic.Bool
	// withdrawn says that callers should go to other hosts for now.
	withdrawn      atomic.Bool
	maxHeaderBytes atomic.Int64
	maxBodyBytes   atomic.Int64
	memory         *platform.Memory
	panics         *panicHandler
	idleTimeout    atomic.Int64 // nanoseconds

	mu    sync.Mutex
	calls map[core.CallID]*pendingRequest
	idle  map[net.Conn]time.Time // callers' connections, since when they rest
}

func newFrontend(inbox func(scatter.Event) bool, m *hostMetrics, memory *platform.Memory, p *panicHandler) *frontend {
	f := &frontend{tryEnqueue: inbox, metrics: m, memory: memory, panics: p, calls: map[core.CallID]*pendingRequest{}, idle: map[net.Conn]time.Time{}}
	f.maxHeaderBytes.Store(fallbackHeaderBytes)
	f.maxBodyBytes.Store(fallbackBodyBytes)
	f.idleTimeout.Store(int64(fallbackIdleTimeout))
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		ReadHeaderTimeout: fallbackHeaderTimeout,
		MaxHeaderBytes:    maxParsedHeaderBytes,
		ErrorLog:          p.standardLog("callers"),
		ConnState:         f.connState,
	}
	return f
}

// limit takes what the configuration in force allows callers.
func (f *frontend) setLimits(limits scatter.CallerLimits) {
	if limits.MaxHeaderBytes > 0 {
		f.maxHeaderBytes.Store(int64(limits.MaxHeaderBytes))
	}
	if limits.MaxBodyBytes > 0 {
		f.maxBodyBytes.Store(limits.MaxBodyBytes)
	}
	if limits.IdleTimeout > 0 {
		f.idleTimeout.Store(int64(limits.IdleTimeout))
	}
}

// connState notes which connections rest.
func (f *frontend) connState(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateIdle {
		f.idle[c] = time.Now()
	} else {
		delete(f.idle, c)
	}
}

// idleSweep is the time between two looks for connections that rest too long.
const idleSweepInterval = time.Second

// closeIdle closes connections that rest longer than the configuration in force
// allows, until ctx ends.
func (f *frontend) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.closeIdleBefore(now.Add(-time.Duration(f.idleTimeout.Load())))
		}
	}
}

func (f *frontend) closeIdleBefore(limit time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, since := range f.idle {
		if since.Before(limit) {
			_ = c.Close() // it ends either way
			delete(f.idle, c)
		}
	}
}

func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	submitted := false
	defer f.panics.recoverPanic("callers", platform.RequestID(r.Header), func() {
		// Before the core was asked nothing can have run.
		kind := scatter.Refused
		if submitted {
			kind = scatter.UpstreamsFailed
		}
		w.Header().Set("Connection", "close")
		_ = platform.WriteReply(w, platform.Render(platform.CallerRequest{}, scatter.Answer{Kind: kind, RetryAfter: inboxFullRetryAfter}))
	})
	f.closeIfDraining(w)
	request, err := f.readRequest(w, r)
	if err != nil {
		platform.WriteReadError(w, err)
		f.metrics.unread.Inc(1)
		return
	}
	defer request.Release()
	started := time.Now()
	submitted = true
	answer, callerGone := f.submit(r.Context(), request, scatter.Arrived{At: started})
	if callerGone {
		panic(http.ErrAbortHandler) // without it the library would answer 200
	}
	f.closeIfDraining(w)
	f.writeReply(w, platform.Render(request, answer))
	f.metrics.latency.UpdateSince(started)
}

// sendElsewhere has the caller open its next connection anew while this host is
// stopping or withdrawn.
func (f *frontend) closeIfDraining(w http.ResponseWriter) {
	if f.stopping.Load() || f.withdrawn.Load() {
		w.Header().Set("Connection", "close")
	}
}

// read takes a caller's request. A caller has as long for a body as it waits
// for the answer.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request) (platform.CallerRequest, *platform.ReadError) {
	limits := platform.RequestLimits{HeaderBytes: int(f.maxHeaderBytes.Load()), BodyBytes: f.maxBodyBytes.Load(), Memory: f.memory}
	if r.ContentLength == 0 {
		return platform.ReadRequest(r, limits)
	}
	wait := platform.CallerWaits(r.Header)
	if wait == 0 {
		wait = time.Duration(f.idleTimeout.Load())
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return platform.CallerRequest{}, &platform.ReadError{Status: http.StatusServiceUnavailable, Cause: err}
	}
	request, failed := platform.ReadRequest(r, limits)
	if failed != nil {
		return request, failed
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return request, &platform.ReadError{Status: http.StatusServiceUnavailable, Cause: err}
	}
	return request, nil
}

// write hands an answer to the caller.
func (f *frontend) writeReply(w http.ResponseWriter, reply *platform.Reply) {
	defer reply.Release()
	control := http.NewResponseController(w)
	long := len(reply.Body) > largeBodyBytes
	if long {
		// The error says that there is no deadline to be had, as in tests.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if err := platform.WriteReply(w, reply); err != nil {
		f.metrics.answersCut.Inc(1)
		return
	}
	if long {
		_ = control.Flush()
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// ask puts a request to the core and waits for its answer; left means that the
// caller closed its connection first. The event says how the request came.
func (f *frontend) submit(ctx context.Context, request platform.CallerRequest, arrived scatter.Arrived) (answer scatter.Answer, callerGone bool) {
	call := core.CallID(f.sequence.Add(1))
	p := &pendingRequest{request: request, ctx: ctx, answer: make(chan scatter.Answer, 1)}
	f.mu.Lock()
	f.calls[call] = p
	f.mu.Unlock()
	defer f.remove(call)
	arrived.Call, arrived.RequestID, arrived.Host, arrived.Path = call, request.ID, request.Host, request.Path
	arrived.Budget, arrived.Question, arrived.HasBody = request.Budget, request.Question, request.Message.Framed
	if !f.tryEnqueue(arrived) {
		f.metrics.inboxFull.Inc(1)
		return scatter.Answer{Kind: scatter.Refused, RetryAfter: inboxFullRetryAfter}, false
	}
	select {
	case answer := <-p.answer:
		return answer, false
	case <-ctx.Done():
		f.tryEnqueue(scatter.CallerGone{Call: call})
		return scatter.Answer{}, true
	}
}

// fullRetry is when a request may come back that found the inbox full.
const inboxFullRetryAfter = 200 * time.Millisecond

func (f *frontend) remove(call core.CallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, call)
}

// find returns a call; nil when its caller is gone.
func (f *frontend) find(call core.CallID) *pendingRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[call]
}

// answer hands an answer to the waiting request.
func (f *frontend) deliver(answer scatter.Answer) {
	p := f.find(answer.Call)
	if p == nil {
		return
	}
	select {
	case p.answer <- answer:
	default: // it has one: the core began anew after an error
	}
}

func (f *frontend) run(listener net.Listener) error {
	if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
