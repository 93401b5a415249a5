package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// largeBody is the size from which a body is written beside reading the
// answer, since an upstream may answer before it has read everything.
const largeBodyBytes = 4 << 10

// sender carries out the core's sends. Each runs on a goroutine of its own; the
// core bounds their number.
type sender struct {
	report  func(scatter.Event)
	pool    *connPool
	dialer  net.Dialer
	memory  *platform.Memory // for the bodies of answers
	notices noticeStore
	panics  *panicHandler

	mu      sync.Mutex
	running map[uint64]*attemptState
}

// sending is one send that runs.
type attemptState struct {
	cancel    context.CancelFunc
	conn      net.Conn // set once there is one
	cancelled bool
}

func newSender(report func(scatter.Event), memory *platform.Memory, p *panicHandler) *sender {
	return &sender{
		report:  report,
		memory:  memory,
		notices: newNoticeStore(),
		panics:  p,
		pool:    newConnPool(),
		dialer:  net.Dialer{KeepAlive: -1},
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

// relay makes an attempt for another host, until ctx ends. It takes no more
// connections to the upstream than the send allows.
func (s *sender) relay(ctx context.Context, send scatter.Send, forward *platform.Forward) scatter.Replied {
	if !s.pool.tryAcquire(send) {
		return scatter.Replied{Outcome: scatter.NotRelayed, Cause: "all connections are in use"}
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

// track lets cancel end attempts that run elsewhere.
func (s *sender) track(sends []scatter.Send, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, send := range sends {
		s.running[send.Attempt] = &attemptState{cancel: cancel}
	}
}

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

// abandon ends what runs for an attempt.
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

// run makes one attempt, unless the upstream has asked this host for none. It
// returns the connection if it can be used again.
func (s *sender) attempt(send scatter.Send, forward *platform.Forward, state *attemptState) (replied scatter.Replied, idle *conn) {
	defer s.panics.recoverPanic("sender", forward.ID(), func() {
		s.cancelAttempt(state) // its connection is in no known state
		replied = scatter.Replied{Attempt: send.Attempt, Outcome: scatter.Lost, Cause: "unexpected error"}
		idle = nil
	})
	failed := func(outcome scatter.Outcome, err error) (scatter.Replied, *conn) {
		return scatter.Replied{Attempt: send.Attempt, Outcome: outcome, Cause: err.Error()}, nil
	}
	withheld := func(notice scatter.Notice) (scatter.Replied, *conn) {
		return scatter.Replied{Attempt: send.Attempt, Outcome: scatter.Withheld, Notice: notice, Cause: "the upstream leaves or asked to back off"}, nil
	}
	if notice := s.notices.get(send.Target); notice.Forbids() {
		return withheld(notice)
	}
	c, err := s.connect(send, state)
	if err != nil {
		return failed(scatter.Unreached, err)
	}
	if !s.attach(state, c) {
		_ = c.raw.Close()
		return failed(scatter.Unreached, context.Canceled)
	}
	if notice := s.notices.get(send.Target); notice.Forbids() {
		// It asked while the connection was opened.
		s.detach(state)
		_ = c.raw.Close()
		return withheld(notice)
	}
	reply, reusable, err := s.exchange(c, send, forward)
	s.detach(state)
	if err != nil {
		c.abort()
		return failed(scatter.Lost, err)
	}
	s.notices.record(send.Target, reply.Notice)
	replied = scatter.Replied{Attempt: send.Attempt, Outcome: reply.Outcome, Payload: reply, Notice: reply.Notice}
	if reply.Close || !reusable {
		c.abort()
		return replied, nil
	}
	c.setIdleTimeout(reply.IdleFor)
	return replied, c
}

// connect takes an idle connection or opens one.
func (s *sender) connect(send scatter.Send, state *attemptState) (*conn, error) {
	if c := s.pool.takeIdle(send, time.Now()); c != nil {
		return c, nil
	}
	s.pool.evictIdle(send)
	ctx, cancel := context.WithTimeout(context.Background(), min(dialTimeout, time.Until(send.Deadline)))
	defer cancel()
	s.mu.Lock()
	state.cancel = cancel
	s.mu.Unlock()
	raw, err := s.dialer.DialContext(ctx, "tcp", send.Target.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, send.Target), nil
}

// hold lets cancel close the connection; false means that the attempt was
// cancelled before.
func (s *sender) attach(state *attemptState, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.cancel, state.conn = nil, c.raw
	return !state.cancelled
}

func (s *sender) detach(state *attemptState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.conn = nil
}

// exchange writes the request and reads its answer. Sound says that the whole
// request was written, so that the connection may carry another.
func (s *sender) exchange(c *conn, send scatter.Send, forward *platform.Forward) (reply *platform.Reply, reusable bool, err error) {
	if err := c.raw.SetDeadline(send.Deadline); err != nil {
		return nil, false, err
	}
	left := time.Until(send.Deadline)
	if forward.BodySize() < largeBodyBytes {
		if err := forward.Write(c.writer, send.Target, left); err != nil {
			return nil, false, err
		}
		reply, err = forward.ReadReply(c.reader, send.Top, s.memory)
		return reply, true, err
	}
	written := make(chan error, 1)
	go func() { written <- forward.Write(c.writer, send.Target, left) }()
	reply, err = forward.ReadReply(c.reader, send.Top, s.memory)
	select {
	case writeErr := <-written:
		// An upstream that did not run the request may not have read its body,
		// which lies in the buffers between: another request would wait for it.
		return reply, writeErr == nil && err == nil && !reply.Outcome.SurelyNotRun(), err
	default:
		// The answer came before the upstream had read the body. Closing the
		// connection ends the write.
		return reply, false, err
	}
}

// sweep closes connections that rested too long, until ctx ends.
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
