package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/clients"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// The fallback limits apply while no configuration is in force here.
	fallbackHeaderTimeout = 10 * time.Second
	fallbackIdleTimeout   = 60 * time.Second
	fallbackHeaderBytes   = 64 << 10
	fallbackBodyBytes     = 1 << 20
	// maxParsedHeaderBytes is the limit of the HTTP library, which applies before
	// the operators' limit is checked.
	maxParsedHeaderBytes = 256 << 10
	// writeTimeout bounds the writing of a long answer to a caller that does not
	// read it.
	writeTimeout = 30 * time.Second
)

// pendingRequest is a caller's request that has no answer yet.
type pendingRequest struct {
	request platform.CallerRequest
	ctx     context.Context     // ends when the caller disconnects
	answer  chan scatter.Answer // has room for one answer
	// cancelHandovers cancel the call at the hosts that it was handed over to.
	cancelHandovers []context.CancelFunc
}

// errGivesWay is the cause of a request that is refused since its connection gives way.
var errGivesWay = eris.New("the connection gives way to others")

// frontend serves the HTTP requests of callers.
type frontend struct {
	tryEnqueue func(scatter.Event) bool
	metrics    *hostMetrics
	server     *http.Server
	sequence   atomic.Uint64
	stopping   atomic.Bool
	// withdrawn is true while callers should use other hosts.
	withdrawn      atomic.Bool
	maxHeaderBytes atomic.Int64
	maxBodyBytes   atomic.Int64
	memory         *platform.Memory
	conns          *clientConns
	panics         *panicHandler
	headerTimeout  atomic.Int64 // nanoseconds
	idleTimeout    atomic.Int64 // nanoseconds

	mu    sync.Mutex
	calls map[core.CallID]*pendingRequest
	idle  map[net.Conn]time.Time // callers' idle connections, and since when
}

func newFrontend(tryEnqueue func(scatter.Event) bool, m *hostMetrics, memory *platform.Memory, maxConns int, log *clientLog, p *panicHandler) *frontend {
	f := &frontend{tryEnqueue: tryEnqueue, metrics: m, memory: memory, panics: p, calls: map[core.CallID]*pendingRequest{}, idle: map[net.Conn]time.Time{}}
	f.setLimits(scatter.CallerLimits{})
	f.conns = newClientConns("callers", maxConns, memory, f.maxHeaderBytes.Load, log)
	f.server = &http.Server{
		Handler: http.HandlerFunc(f.serve),
		// Otherwise "OPTIONS *" is answered with a success before the handler runs.
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               maxParsedHeaderBytes,
		ErrorLog:                     p.standardLog("callers"),
		ConnState:                    f.connState,
		ConnContext:                  withClientConn,
	}
	return f
}

// setLimits applies the limits that the configuration in force sets for callers. The
// fallback limits apply for those that it does not set.
func (f *frontend) setLimits(limits scatter.CallerLimits) {
	f.maxHeaderBytes.Store(int64(positiveOr(limits.MaxHeaderBytes, fallbackHeaderBytes)))
	f.maxBodyBytes.Store(positiveOr(limits.MaxBodyBytes, fallbackBodyBytes))
	f.headerTimeout.Store(int64(positiveOr(limits.HeaderTimeout, fallbackHeaderTimeout)))
	f.idleTimeout.Store(int64(positiveOr(limits.IdleTimeout, fallbackIdleTimeout)))
}

// positiveOr returns a limit, or the fallback if it is not set.
func positiveOr[T int | int64 | time.Duration](limit, fallback T) T {
	if limit > 0 {
		return limit
	}
	return fallback
}

// connState tracks which connections are idle.
func (f *frontend) connState(c net.Conn, state http.ConnState) {
	setConnState(c, state)
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateIdle {
		f.idle[c] = time.Now()
	} else {
		delete(f.idle, c)
	}
}

// idleSweepInterval is the interval at which expired idle connections are closed.
const idleSweepInterval = time.Second

// closeIdle closes connections that are idle for longer than the configuration
// in force allows, until ctx ends.
func (f *frontend) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			idleTimeout := time.Duration(f.idleTimeout.Load())
			f.closeIdleBefore(now.Add(-idleTimeout))
			f.conns.closeStalled(now, time.Duration(f.headerTimeout.Load()), idleTimeout)
		}
	}
}

// closeIdleBefore closes connections that have been idle since before limit.
func (f *frontend) closeIdleBefore(limit time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, since := range f.idle {
		if since.Before(limit) {
			_ = c.Close() // best effort
			delete(f.idle, c)
		}
	}
}

// serve answers one request of a caller.
func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	submitted := false
	defer f.panics.recoverPanic("callers", platform.RequestID(r.Header), func() {
		// No upstream can have executed the request before it was submitted.
		kind := scatter.Refused
		if submitted {
			kind = scatter.UpstreamsFailed
		}
		w.Header().Set("Connection", "close")
		_ = platform.WriteReply(w, platform.Render(platform.CallerRequest{}, scatter.Answer{Kind: kind, RetryAfter: refusalRetryAfter}))
	})
	f.closeIfDraining(w)
	request, err := f.readRequest(w, r)
	if err != nil {
		setClientPhase(r.Context(), clients.Answer)
		platform.WriteReadError(w, err)
		f.metrics.unreadRequests.Inc(1)
		return
	}
	defer request.Release()
	if !setClientPhase(r.Context(), clients.Running) {
		platform.WriteReadError(w, &platform.ReadError{Status: http.StatusRequestTimeout, Cause: errGivesWay})
		f.metrics.unreadRequests.Inc(1)
		return
	}
	started := time.Now()
	submitted = true
	answer, callerGone := f.submit(r.Context(), request, scatter.RequestArrived{At: started})
	if callerGone {
		panic(http.ErrAbortHandler) // otherwise the library would answer 200
	}
	f.closeIfDraining(w)
	setClientPhase(r.Context(), clients.Answer)
	f.writeReply(r.Context(), w, platform.Render(request, answer))
	f.metrics.latency.UpdateSince(started)
}

// closeIfDraining makes the caller open a new connection for its next request
// while this host is stopping or withdrawn.
func (f *frontend) closeIfDraining(w http.ResponseWriter) {
	if f.stopping.Load() || f.withdrawn.Load() {
		w.Header().Set("Connection", "close")
	}
}

// readRequest reads a caller's request. The body has to arrive within the time
// for which the caller waits for the answer.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request) (platform.CallerRequest, *platform.ReadError) {
	limits := platform.RequestLimits{HeaderBytes: int(f.maxHeaderBytes.Load()), BodyBytes: f.maxBodyBytes.Load(), Memory: f.memory}
	if r.ContentLength == 0 {
		return platform.ReadRequest(r, limits)
	}
	wait := platform.CallerTimeout(r.Header)
	if wait == 0 {
		wait = time.Duration(f.idleTimeout.Load())
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return platform.CallerRequest{}, &platform.ReadError{Status: http.StatusServiceUnavailable, Cause: err}
	}
	if givesWay(r.Context()) { // the deadline has replaced that of the eviction
		return platform.CallerRequest{}, &platform.ReadError{Status: http.StatusRequestTimeout, Cause: errGivesWay}
	}
	request, readErr := platform.ReadRequest(r, limits)
	if readErr != nil {
		return request, readErr
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return request, &platform.ReadError{Status: http.StatusServiceUnavailable, Cause: err}
	}
	return request, nil
}

// writeReply writes an answer to the caller.
func (f *frontend) writeReply(ctx context.Context, w http.ResponseWriter, reply *platform.Reply) {
	defer reply.Release()
	control := http.NewResponseController(w)
	long := len(reply.Body) > largeBodyBytes
	if long {
		defer holdAnswer(ctx, f.memory, len(reply.Body))()
		// Fails only if the writer supports no deadline, as in tests.
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

// submit passes a request to the core and waits for its answer. callerGone is
// true if the caller closed its connection first. arrived holds what the request
// itself does not contain, such as when and from where it arrived.
func (f *frontend) submit(ctx context.Context, request platform.CallerRequest, arrived scatter.RequestArrived) (answer scatter.Answer, callerGone bool) {
	call := core.CallID(f.sequence.Add(1))
	p := &pendingRequest{request: request, ctx: ctx, answer: make(chan scatter.Answer, 1)}
	f.mu.Lock()
	f.calls[call] = p
	f.mu.Unlock()
	defer f.remove(call)
	arrived.Call, arrived.RequestID, arrived.Host, arrived.Path = call, request.ID, request.Host, request.Path
	arrived.Budget, arrived.Fingerprint, arrived.HasBody = request.Budget, request.Fingerprint, request.Message.Framed
	arrived.Key, arrived.HasKey = request.Key, request.HasKey
	if !f.tryEnqueue(arrived) {
		f.metrics.inboxFull.Inc(1)
		return scatter.Answer{Kind: scatter.Refused, RetryAfter: refusalRetryAfter}, false
	}
	select {
	case answer := <-p.answer:
		return answer, false
	case <-ctx.Done():
		f.tryEnqueue(scatter.CallerGone{Call: call})
		return scatter.Answer{}, true
	}
}

// refusalRetryAfter is the retry delay that is sent to callers when the inbox is
// full, or a panic ended the request before it was sent to an upstream.
const refusalRetryAfter = 200 * time.Millisecond

// remove removes a call that was answered or whose caller has disconnected.
func (f *frontend) remove(call core.CallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, call)
}

// find returns a call, or nil if it was answered or its caller has disconnected.
func (f *frontend) find(call core.CallID) *pendingRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[call]
}

// deliver passes an answer to the waiting request.
func (f *frontend) deliver(answer scatter.Answer) {
	p := f.find(answer.Call)
	if p == nil {
		return
	}
	select {
	case p.answer <- answer:
	default: // already answered, when the core was replaced after a panic
	}
}

// run serves callers until the server is shut down.
func (f *frontend) run(listener net.Listener) error {
	if err := f.server.Serve(f.conns.on(listener)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
