package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// largeBodyBytes is the size from which a request body is written concurrently
// with reading the answer, since an upstream may answer before it has read the
// whole body.
const largeBodyBytes = 4 << 10

// DialFunc opens a connection, like the DialContext method of a net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// sender sends requests to upstreams. Each attempt runs on a goroutine of its
// own; the core bounds their number.
type sender struct {
	report  func(scatter.Event)
	pool    *connPool
	dial    DialFunc
	memory  *platform.Memory // bounds the bodies of answers
	notices noticeStore
	panics  *panicHandler

	mu      sync.Mutex
	running map[uint64]*attemptState // by attempt
}

// attemptState is the state of one attempt in flight.
type attemptState struct {
	cancel    context.CancelFunc
	conn      net.Conn // nil until it is connected
	cancelled bool
}

func newSender(report func(scatter.Event), memory *platform.Memory, p *panicHandler) *sender {
	return &sender{
		report:  report,
		memory:  memory,
		notices: newNoticeStore(),
		panics:  p,
		pool:    newConnPool(),
		dial:    (&net.Dialer{KeepAlive: -1}).DialContext,
		running: map[uint64]*attemptState{},
	}
}

// send starts an attempt.
func (s *sender) send(send scatter.Send, forward *platform.Forward) {
	state := &attemptState{}
	s.mu.Lock()
	s.running[send.Attempt] = state
	s.mu.Unlock()
	s.pool.acquire(send)
	go func() {
		replied, c := s.attempt(send, forward, state)
		s.mu.Lock()
		delete(s.running, send.Attempt)
		cancelled := state.cancelled
		s.mu.Unlock()
		if cancelled && c != nil {
			c.abort()
			c = nil
		}
		s.pool.release(send, c, time.Now())
		s.report(replied)
	}()
}

// relay makes an attempt on behalf of another host, until ctx ends. It uses no
// more connections to the upstream than the send allows, and sends nothing if the
// upstream has stated a rate limit here of which the other host does not know yet,
// or if openOnly is set and there is no open connection to the upstream.
func (s *sender) relay(ctx context.Context, send scatter.Send, forward *platform.Forward, openOnly bool) scatter.AttemptEnded {
	if openOnly && !s.pool.hasIdle(send, forward.ID()) {
		return scatter.AttemptEnded{Outcome: scatter.NotRelayed, Cause: "no connection is open, and none can be opened"}
	}
	if limit := s.notices.limitSince(send.Target, send.LimitKnownAt); limit.Stated {
		return scatter.AttemptEnded{Outcome: scatter.NotRelayed, Notice: scatter.Notice{Limit: limit}, Cause: "the upstream states a rate limit"}
	}
	if !s.pool.tryAcquire(send) {
		return scatter.AttemptEnded{Outcome: scatter.NotRelayed, Cause: "all connections are in use"}
	}
	state := &attemptState{}
	stop := context.AfterFunc(ctx, func() { s.cancelAttempt(state) })
	replied, c := s.attempt(send, forward, state)
	if !stop() && c != nil {
		c.abort()
		c = nil
	}
	s.pool.release(send, c, time.Now())
	return replied
}

// track registers attempts that another host carries out; cancel ends them.
func (s *sender) track(sends []scatter.Send, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, send := range sends {
		s.running[send.Attempt] = &attemptState{cancel: cancel}
	}
}

// untrack removes an attempt that another host carried out.
func (s *sender) untrack(attempt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, attempt)
}

// cancel ends an attempt by closing its connection.
func (s *sender) cancel(attempt uint64) {
	s.mu.Lock()
	state := s.running[attempt]
	s.mu.Unlock()
	if state != nil {
		s.cancelAttempt(state)
	}
}

// cancelAttempt cancels the dial of an attempt, or closes its connection.
func (s *sender) cancelAttempt(state *attemptState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.cancelled = true
	if state.cancel != nil {
		state.cancel()
	}
	if state.conn != nil {
		abort(state.conn)
	}
}

// attempt makes one attempt, unless a notice of the upstream forbids it. It
// returns the connection if it can be reused.
func (s *sender) attempt(send scatter.Send, forward *platform.Forward, state *attemptState) (replied scatter.AttemptEnded, idle *conn) {
	defer s.panics.recoverPanic("sender", forward.ID(), func() {
		s.cancelAttempt(state) // the state of its connection is undefined
		replied = scatter.AttemptEnded{Attempt: send.Attempt, Outcome: scatter.Lost, Cause: "unexpected error"}
		idle = nil
	})
	failed := func(outcome scatter.Outcome, err error) (scatter.AttemptEnded, *conn) {
		return scatter.AttemptEnded{Attempt: send.Attempt, Outcome: outcome, Cause: err.Error()}, nil
	}
	withheld := func(notice scatter.Notice) (scatter.AttemptEnded, *conn) {
		return scatter.AttemptEnded{Attempt: send.Attempt, Outcome: scatter.Withheld, Notice: notice, Cause: "the upstream leaves or asked to back off"}, nil
	}
	if notice := s.notices.get(send.Target); notice.Forbids() {
		return withheld(notice)
	}
	c, err := s.connect(send, forward.ID(), state)
	if err != nil {
		return failed(scatter.Unreached, err)
	}
	if !s.attach(state, c) {
		_ = c.raw.Close()
		return failed(scatter.Unreached, context.Canceled)
	}
	if notice := s.notices.get(send.Target); notice.Forbids() {
		// The notice arrived while the connection was being opened.
		s.detach(state)
		_ = c.raw.Close()
		return withheld(notice)
	}
	sentAt := time.Now()
	c.carried.add(forward.ID(), sentAt, send.Deadline)
	reply, reusable, err := s.exchange(c, send, forward)
	s.detach(state)
	if err != nil {
		c.abort()
		return failed(scatter.Lost, err)
	}
	s.notices.record(sentAt, send.Target, reply.Notice)
	replied = scatter.AttemptEnded{Attempt: send.Attempt, Outcome: reply.Outcome, Payload: reply, Notice: reply.Notice}
	if reply.Close || !reusable || len(c.carried) > maxCarried {
		c.abort()
		return replied, nil
	}
	c.setIdleTimeout(reply.IdleFor)
	return replied, c
}

// connect returns an idle connection from the pool that has not carried the request,
// or opens a new one.
func (s *sender) connect(send scatter.Send, requestID string, state *attemptState) (*conn, error) {
	if c := s.pool.takeIdle(send, requestID, time.Now()); c != nil {
		return c, nil
	}
	s.pool.evictIdle(send)
	ctx, cancel := context.WithTimeout(context.Background(), min(dialTimeout, time.Until(send.Deadline)))
	defer cancel()
	s.mu.Lock()
	state.cancel = cancel
	s.mu.Unlock()
	raw, err := s.dial(ctx, "tcp", send.Target.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, send.Target), nil
}

// attach sets the connection that cancelling the attempt closes. It returns
// false if the attempt was already cancelled.
func (s *sender) attach(state *attemptState, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.cancel, state.conn = nil, c.raw
	return !state.cancelled
}

// detach removes the connection, so that a later cancel does not close it.
func (s *sender) detach(state *attemptState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.conn = nil
}

// exchange writes the request and reads its answer. reusable is true if the
// whole request was written, so that the connection may carry another one.
func (s *sender) exchange(c *conn, send scatter.Send, forward *platform.Forward) (reply *platform.Reply, reusable bool, err error) {
	if err := c.raw.SetDeadline(send.Deadline); err != nil {
		return nil, false, err
	}
	left := time.Until(send.Deadline)
	if forward.BodySize() < largeBodyBytes {
		if err := forward.Write(c.writer, send.Target, send.Identity, left); err != nil {
			return nil, false, err
		}
		reply, err = forward.ReadReply(c.reader, send.Top, s.memory)
		return reply, true, err
	}
	written := make(chan error, 1)
	go func() { written <- forward.Write(c.writer, send.Target, send.Identity, left) }()
	reply, err = forward.ReadReply(c.reader, send.Top, s.memory)
	select {
	case writeErr := <-written:
		// An upstream that did not execute the request may have left its body
		// unread in the socket buffers, where it would block the next request on
		// this connection.
		return reply, writeErr == nil && err == nil && !reply.Outcome.SurelyNotRun(), err
	default:
		// The answer arrived before the body was written. Closing the connection
		// ends the write.
		return reply, false, err
	}
}

// sweep closes expired idle connections periodically until ctx ends.
func (s *sender) sweep(ctx context.Context) {
	ticker := time.NewTicker(poolSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.pool.sweep(now)
		}
	}
}
