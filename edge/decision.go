package edge

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/ring"
)

const (
	// inboxSize is the most events that wait for the decision duty. A caller's
	// request that finds it full is refused; other events wait for room, since
	// their number is bounded by what the host itself started.
	inboxSize = 16384
	// eventBatch is the most events between two looks at what is due.
	maxEventBatch = 256
)

// input is what the decision duty takes: an event, or a question about the
// core's state.
type input struct {
	event scatter.Event
	query func(*scatter.Engine)
}

// decision is the duty that drives the core; no other duty touches it.
type decisionLoop struct {
	core    *scatter.Engine
	inbox   *ring.Ring[input]
	execute func(now time.Time, actions *scatter.Actions)
	// renew replaces a core whose state an unexpected error may have broken.
	replaceCore func(old *scatter.Engine, during scatter.Event, cause any) *scatter.Engine
	actions     scatter.Actions
}

// run drives the core until the inbox is closed and empty.
func (d *decisionLoop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	batch := make([]input, 0, maxEventBatch)
	for {
		batch = d.inbox.Drain(batch[:0])
		for _, in := range batch {
			d.handle(in)
		}
		clear(batch) // let go of the payloads
		if len(batch) > 0 {
			continue
		}
		if d.inbox.Closed() {
			return
		}
		d.wait(timer)
	}
}

func (d *decisionLoop) handle(in input) {
	defer func() {
		if cause := recover(); cause != nil {
			d.core = d.replaceCore(d.core, in.event, cause)
		}
	}()
	if in.query != nil {
		in.query(d.core)
		return
	}
	d.step(in.event)
}

// wait sleeps until an event comes or a timer is due, which it runs.
func (d *decisionLoop) wait(timer *time.Timer) {
	due := d.core.Next()
	if due.IsZero() {
		<-d.inbox.Ready()
		return
	}
	timer.Reset(time.Until(due))
	select {
	case <-d.inbox.Ready():
	case <-timer.C:
		d.handle(input{event: scatter.Tick{}})
	}
}

func (d *decisionLoop) step(event scatter.Event) {
	d.actions.Reset()
	now := time.Now()
	d.core.Step(now, event, &d.actions)
	d.execute(now, &d.actions)
}

// ask runs a question on the decision duty and waits for it; false means that
// the duty has ended.
func (d *decisionLoop) query(question func(*scatter.Engine)) bool {
	answered := make(chan struct{})
	put := d.inbox.PutWait(input{query: func(e *scatter.Engine) {
		question(e)
		close(answered)
	}})
	if put {
		<-answered
	}
	return put
}
