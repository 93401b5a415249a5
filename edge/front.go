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
	mostHeaderBytes = 256 << 10
	// writeTimeout ends the writing of a long answer that the caller does not
	// read.
	writeTimeout = 30 * time.Second
)

// pending is a caller's request that has no answer yet.
type pending struct {
	request platform.CallerRequest
	ctx     context.Context     // ends when the caller leaves
	answer  chan scatter.Answer // holds the answer
	// endHandovers end the call at the hosts that it was handed to.
	endHandovers []context.CancelFunc
}

// front takes requests from callers.
type front struct {
	inbox    func(scatter.Event) bool
	metrics  *meters
	server   *http.Server
	sequence atomic.Uint64
	stopping atomic.Bool
	// withdrawn says that callers should go to other hosts for now.
	withdrawn atomic.Bool
	maxHead   atomic.Int64
	maxBody   atomic.Int64
	memory    *platform.Memory
	panics    *panics
	maxIdle   atomic.Int64 // nanoseconds

	mu    sync.Mutex
	calls map[core.CallID]*pending
	idle  map[net.Conn]time.Time // callers' connections, since when they rest
}

func newFront(inbox func(scatter.Event) bool, m *meters, memory *platform.Memory, p *panics) *front {
	f := &front{inbox: inbox, metrics: m, memory: memory, panics: p, calls: map[core.CallID]*pending{}, idle: map[net.Conn]time.Time{}}
	f.maxHead.Store(fallbackHeaderBytes)
	f.maxBody.Store(fallbackBodyBytes)
	f.maxIdle.Store(int64(fallbackIdleTimeout))
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		ReadHeaderTimeout: fallbackHeaderTimeout,
		MaxHeaderBytes:    mostHeaderBytes,
		ErrorLog:          p.standardLog("callers"),
		ConnState:         f.connState,
	}
	return f
}

// limit takes what the configuration in force allows callers.
func (f *front) limit(limits scatter.CallerLimits) {
	if limits.MaxHeaderBytes > 0 {
		f.maxHead.Store(int64(limits.MaxHeaderBytes))
	}
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
	asked := false
	defer f.panics.caught("callers", platform.RequestID(r.Header), func() {
		// Before the core was asked nothing can have run.
		kind := scatter.Refused
		if asked {
			kind = scatter.UpstreamsFailed
		}
		w.Header().Set("Connection", "close")
		_ = platform.WriteReply(w, platform.Render(platform.CallerRequest{}, scatter.Answer{Kind: kind, RetryAfter: fullRetry}))
	})
	f.sendElsewhere(w)
	request, err := f.read(w, r)
	if err != nil {
		platform.WriteReadError(w, err)
		f.metrics.unread.Inc(1)
		return
	}
	defer request.Release()
	started := time.Now()
	asked = true
	answer, left := f.ask(r.Context(), request, scatter.Arrived{At: started})
	if left {
		panic(http.ErrAbortHandler) // without it the library would answer 200
	}
	f.sendElsewhere(w)
	f.write(w, platform.Render(request, answer))
	f.metrics.latency.UpdateSince(started)
}

// sendElsewhere has the caller open its next connection anew while this host is
// stopping or withdrawn.
func (f *front) sendElsewhere(w http.ResponseWriter) {
	if f.stopping.Load() || f.withdrawn.Load() {
		w.Header().Set("Connection", "close")
	}
}

// read takes a caller's request. A caller has as long for a body as it waits
// for the answer.
func (f *front) read(w http.ResponseWriter, r *http.Request) (platform.CallerRequest, *platform.ReadError) {
	limits := platform.RequestLimits{HeaderBytes: int(f.maxHead.Load()), BodyBytes: f.maxBody.Load(), Memory: f.memory}
	if r.ContentLength == 0 {
		return platform.ReadRequest(r, limits)
	}
	wait := platform.CallerTimeout(r.Header)
	if wait == 0 {
		wait = time.Duration(f.maxIdle.Load())
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
func (f *front) write(w http.ResponseWriter, reply *platform.Reply) {
	defer reply.Release()
	control := http.NewResponseController(w)
	long := len(reply.Body) > largeBody
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
func (f *front) ask(ctx context.Context, request platform.CallerRequest, arrived scatter.Arrived) (answer scatter.Answer, left bool) {
	call := core.CallID(f.sequence.Add(1))
	p := &pending{request: request, ctx: ctx, answer: make(chan scatter.Answer, 1)}
	f.mu.Lock()
	f.calls[call] = p
	f.mu.Unlock()
	defer f.forget(call)
	arrived.Call, arrived.RequestID, arrived.Host, arrived.Path = call, request.ID, request.Host, request.Path
	arrived.Budget, arrived.Question, arrived.HasBody = request.Budget, request.Question, request.Message.Framed
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
	p := f.find(answer.Call)
	if p == nil {
		return
	}
	select {
	case p.answer <- answer:
	default: // it has one: the core began anew after an error
	}
}

func (f *front) run(listener net.Listener) error {
	if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
