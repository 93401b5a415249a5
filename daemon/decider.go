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

// decisionBatchSize is the maximum number of inputs taken from the inbox at once.
const decisionBatchSize = 256

// input is an entry of the inbox: either an event, or a function that inspects
// the core.
type input struct {
	event   core.Event
	inspect func(Decider)
}

// decisionLoop drives the core. Only the goroutine of the loop may use the core.
type decisionLoop struct {
	self    core.HostID
	core    Decider
	inbox   *ring.Ring[input]
	perform func(core.Action)
	// observeEvent is called with each event before the core processes it.
	observeEvent func(core.Event)
	// observeStep records the duration of each step.
	observeStep func(time.Duration)
	// localEvents holds events that result from actions. They are processed
	// before the next input.
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
		clear(batch) // release the messages to the garbage collector
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

// wait blocks until an input arrives or the core's next timer is due. In the
// latter case it steps the core with a Tick.
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

// step processes one event, then the local events that result from its actions.
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

// handleUnsent handles a message that could not be sent. For a request, it
// queues a local reply which tells the core that the request has not run. For a
// reply it returns true: the stream to the peer must be reset, so that the peer
// detects the loss.
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
