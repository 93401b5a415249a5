package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// storeGate lets this host's calls to the store start when the host's back-off allows
// it. All calls but those of the check of absent hosts pass through it.
type storeGate struct {
	// situation returns what the back-off depends on.
	situation func() scatter.StoreSituation

	mu      sync.Mutex
	backoff *scatter.StoreBackoff
	changed chan struct{} // closed and replaced when a waiting call may start
}

// storeCall is a call that the gate let start.
type storeCall struct {
	started time.Time
	probe   bool
}

func newStoreGate(contact time.Duration, situation func() scatter.StoreSituation) *storeGate {
	return &storeGate{situation: situation, backoff: scatter.NewStoreBackoff(contact, rand.Float64), changed: make(chan struct{})}
}

// begin waits until a call may start; it returns false if ctx ends first. Retry is true
// if the last call of this purpose was refused, urgent whether it is so now (see
// scatter.StoreSituation). OnWait, if set, is called if the call
// has to wait, with whether that is because of a refused call.
func (g *storeGate) begin(ctx context.Context, retry bool, urgent func() bool, onWait func(refused bool)) (storeCall, bool) {
	for ctx.Err() == nil {
		s := g.situation()
		s.Urgent = urgent()
		now := time.Now()
		g.mu.Lock()
		wait, probe := g.backoff.Begin(now, s, retry)
		changed, refused := g.changed, g.backoff.Refused()
		g.mu.Unlock()
		if wait <= 0 {
			return storeCall{started: now, probe: probe}, true
		}
		if onWait != nil {
			onWait(refused)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
	return storeCall{}, false
}

// end records the result of a call. ctx is the one that was passed to begin.
func (g *storeGate) end(ctx context.Context, call storeCall, err error) {
	outcome := scatter.StoreServed
	switch {
	case err != nil && ctx.Err() != nil:
		outcome = scatter.StoreCallEnded
	case platform.StoreRefused(err):
		outcome = scatter.StoreRefused
	}
	g.mu.Lock()
	g.backoff.End(time.Now(), call.started, call.probe, outcome)
	g.mu.Unlock()
	g.wake()
}

// Urgencies of calls whose urgency does not change.
func always() bool { return true }
func never() bool  { return false }

// run makes a call when the back-off allows it; it returns false if ctx ends first.
func (g *storeGate) run(ctx context.Context, retry bool, urgent func() bool, timeout time.Duration, call func(context.Context) error) (err error, made bool) {
	started, ok := g.begin(ctx, retry, urgent, nil)
	if !ok {
		return ctx.Err(), false
	}
	err = errUnexpected
	defer func() { g.end(ctx, started, err) }()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = call(callCtx)
	return err, true
}

// doubt makes the next call run alone until it succeeds.
func (g *storeGate) doubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoff.Doubt()
}

// wake makes the waiting calls check again whether they may start, after a call has
// ended or a stream has come up or ended.
func (g *storeGate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}
