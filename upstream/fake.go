package upstream

import (
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Fake is a Client without a network, for tests of the code that uses a Client.
type Fake struct {
	// Report receives replies and connection events.
	Report func(core.Event)
	// Answer returns the reply to an attempt and the time until it arrives. If
	// it is nil, every attempt is answered with OK immediately.
	Answer func(core.Dispatch) (core.UpstreamReply, time.Duration)

	mu      sync.Mutex
	open    map[core.UpstreamID]int
	running map[core.AttemptID]chan core.Kind
	wg      sync.WaitGroup
}

var _ Client = (*Fake)(nil)

// NewFake returns a fake client.
func NewFake(report func(core.Event)) *Fake {
	return &Fake{
		Report:  report,
		open:    map[core.UpstreamID]int{},
		running: map[core.AttemptID]chan core.Kind{},
	}
}

// Dispatch reports the reply that Answer returns, unless the attempt is
// cancelled or its deadline passes first.
func (f *Fake) Dispatch(d core.Dispatch) {
	reply, duration := core.UpstreamReply{Kind: core.OK, Ran: core.HasRun}, time.Duration(0)
	if f.Answer != nil {
		reply, duration = f.Answer(d)
	}
	reply.Upstream, reply.Attempt, reply.Echo = d.Upstream.ID, d.Attempt, d.Attempt.String()
	cancelled := make(chan core.Kind, 1)
	f.mu.Lock()
	f.running[d.Attempt] = cancelled
	f.mu.Unlock()
	f.wg.Go(func() {
		select {
		case <-time.After(duration):
		case reply.Kind = <-cancelled:
			reply.Ran = core.RanUnknown
		case <-time.After(time.Until(d.Deadline)):
			reply.Kind, reply.Ran = core.DeadlineExceeded, core.RanUnknown
		}
		f.mu.Lock()
		delete(f.running, d.Attempt)
		f.mu.Unlock()
		f.Report(reply)
	})
}

// Cancel ends a running attempt.
func (f *Fake) Cancel(c core.CancelDispatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancelled := f.running[c.Attempt]; cancelled != nil {
		signalCancel(cancelled)
	}
}

func signalCancel(cancelled chan core.Kind) {
	select {
	case cancelled <- core.Cancelled:
	default: // already cancelled
	}
}

// OpenConns counts connections as open without delay.
func (f *Fake) OpenConns(o core.OpenConns) {
	for f.countConn(o) {
		f.Report(core.UpstreamConn{Upstream: o.Upstream.ID, Open: true})
	}
}

func (f *Fake) countConn(o core.OpenConns) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[o.Upstream.ID] >= min(o.Want, o.Upstream.Connections) {
		return false
	}
	f.open[o.Upstream.ID]++
	return true
}

// CloseConns resets the number of open connections to zero.
func (f *Fake) CloseConns(c core.CloseConns) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[c.Upstream] = 0
}

// Conns returns the number of open connections.
func (f *Fake) Conns(id core.UpstreamID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open[id]
}

// Close cancels all running attempts.
func (f *Fake) Close() {
	f.mu.Lock()
	for _, cancelled := range f.running {
		signalCancel(cancelled)
	}
	f.mu.Unlock()
	f.wg.Wait()
}
