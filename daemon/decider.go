package daemon

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/ring"
)

// Decider is the decision core: see core/host.
type Decider interface {
	Step(now time.Time, event core.Event, out *core.Actions)
	// Next returns when the earliest timer is due; the zero time is none.
	Next() time.Time
}

// decisionBatch is the most events between two looks at what is due.
const decisionBatchSize = 256

// input is what the decision duty takes: an event, or a question about the
// core's state.
type input struct {
	event   core.Event
	inspect func(Decider)
}

// decision is the duty that drives the core; no other duty touches it.
type decisionLoop struct {
	self    core.HostID
	core    Decider
	inbox   *ring.Ring[input]
	perform func(core.Action)
	// observe sees each event before the core does.
	observeEvent func(core.Event)
	// timed takes the duration of each step.
	observeStep func(time.Duration)
	// local holds events that follow from actions; they come next.
	localEvents []core.Event
	actions     core.Actions
}

// run drives the core until the inbox is closed and empty.
func (d *decisionLoop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]input, 0, decisionBatchSize)
	d.step(core.Tick{})
	for {
		batch = d.inbox.Drain(batch[:0])
		for _, in := range batch {
			d.handle(in)
		}
		clear(batch) // let go of the messages
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
	if in.inspect != nil {
		in.inspect(d.core)
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
		d.step(core.Tick{})
	}
}

// step hands one event to the core, then those that follow from its actions.
func (d *decisionLoop) step(event core.Event) {
	d.stepOne(event)
	for len(d.localEvents) > 0 {
		next := d.localEvents[0]
		d.localEvents = d.localEvents[1:]
		d.stepOne(next)
	}
	d.localEvents = nil
}

func (d *decisionLoop) stepOne(event core.Event) {
	d.observeEvent(event)
	d.actions.Reset()
	now := time.Now()
	d.core.Step(now, event, &d.actions)
	d.observeStep(time.Since(now))
	for _, action := range d.actions.List {
		d.perform(action)
	}
}

// unsent says what the core learns of a message that was not sent: a request
// has not run. The sender of an answer cannot help it; the stream is reset, so
// that the peer learns that something was lost.
func (d *decisionLoop) handleUnsent(to core.HostID, m *peerpb.Message) (reset bool) {
	switch body := m.Body.(type) {
	case *peerpb.Message_SubQuery:
		d.answerLocally(to, &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: &peerpb.SubReply{
			Attempt:  body.SubQuery.Attempt,
			Kind:     int32(core.HostLost),
			Ran:      int32(core.NotRun),
			Upstream: body.SubQuery.Upstream,
		}}})
	case *peerpb.Message_Query:
		d.answerLocally(to, &peerpb.Message{Body: &peerpb.Message_QueryReply{QueryReply: &peerpb.QueryReply{
			Call:   body.Query.Call,
			Kind:   int32(core.HostLost),
			Ran:    int32(core.NotRun),
			Detail: "the host cannot be reached",
		}}})
	case *peerpb.Message_SubReply, *peerpb.Message_QueryReply:
		return true
	}
	return false
}

func (d *decisionLoop) answerLocally(from core.HostID, m *peerpb.Message) {
	d.localEvents = append(d.localEvents, core.PeerMessage{From: from, Message: m})
}
