package edge

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/ring"
)

const (
	// inboxSize is the capacity of the decision loop's inbox. When it is full,
	// requests from callers are refused; other events wait for room, since their
	// number is bounded by the work that the host itself started.
	inboxSize = 16384
	// maxEventBatch is the most events that are drained from the inbox at once.
	maxEventBatch = 256
)

// input is one item of the inbox: an event, or a query of the core's state.
type input struct {
	event scatter.Event
	query func(*scatter.Engine)
}

// decisionLoop drives the core. The core is used on its goroutine only.
type decisionLoop struct {
	core    *scatter.Engine
	inbox   *ring.Ring[input]
	execute func(now time.Time, actions *scatter.Actions)
	// replaceCore returns a new core in place of one that panicked, since its
	// state may be inconsistent.
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
		clear(batch) // release the payloads for garbage collection
		if len(batch) > 0 {
			continue
		}
		if d.inbox.Closed() {
			return
		}
		d.wait(timer)
	}
}

// handle processes one item of the inbox, and replaces the core if it panics.
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

// wait blocks until the inbox has an item or the core's next timer is due, and
// runs a due timer.
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

// step passes an event to the core and executes the resulting actions.
func (d *decisionLoop) step(event scatter.Event) {
	d.actions.Reset()
	now := time.Now()
	d.core.Step(now, event, &d.actions)
	d.execute(now, &d.actions)
}

// query runs read on the decision goroutine and waits for it; it returns false
// if the loop has ended.
func (d *decisionLoop) query(read func(*scatter.Engine)) bool {
	done := make(chan struct{})
	put := d.inbox.PutWait(input{query: func(e *scatter.Engine) {
		read(e)
		close(done)
	}})
	if put {
		<-done
	}
	return put
}
