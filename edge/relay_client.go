package edge

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// relayQueue is the most messages that wait to be written to one relay.
const relayQueueSize = 256

// relayLinks hold one stream to each host that relays for this one.
type relayLinks struct {
	peers  *peers
	panics *panicHandler
	report func(scatter.Replied)

	ctx   context.Context // of all streams
	close context.CancelFunc

	mu    sync.Mutex
	links map[string]*relayLink // by address
}

func newRelayLinks(p *peers, errors *panicHandler, report func(scatter.Replied)) *relayLinks {
	ctx, end := context.WithCancel(context.Background())
	return &relayLinks{peers: p, panics: errors, report: report, ctx: ctx, close: end, links: map[string]*relayLink{}}
}

// relayLink is the stream to one relay, opened when it is first used.
type relayLink struct {
	report   func(scatter.Replied)
	panics   *panicHandler
	open     func(context.Context) (grpc.BidiStreamingClient[edgepb.RelayRequest, edgepb.RelayReply], error)
	outgoing chan relayMessage

	mu       sync.Mutex
	sequence uint64
	calls    map[uint64]*relayCall
}

// relayMessage starts or cancels a call at a relay.
type relayMessage struct {
	call   *relayCall
	cancel bool
}

// relayCall is the sends of one call that travel through one relay.
type relayCall struct {
	id            uint64
	sends         []scatter.Send
	request       platform.CallerRequest
	ended         []bool // by send
	remaining     int
	maybeSent     bool // it may have reached the relay
	answered      bool // the relay returned something
	deadlineTimer *time.Timer
}

// link returns the stream to a host.
func (l *relayLinks) link(host scatter.Host) *relayLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.links[host.Address]
	if link == nil {
		link = &relayLink{
			report:   l.report,
			panics:   l.panics,
			outgoing: make(chan relayMessage, relayQueueSize),
			calls:    map[uint64]*relayCall{},
			open: func(ctx context.Context) (grpc.BidiStreamingClient[edgepb.RelayRequest, edgepb.RelayReply], error) {
				client, err := l.peers.client(host.Address)
				if err != nil {
					return nil, err
				}
				return client.Relay(ctx)
			},
		}
		l.links[host.Address] = link
		go link.run(l.ctx)
	}
	return link
}

// relay lets another host carry out sends of one call. Track gets what ends
// them at the caller's wish, before any of them can end.
func (l *relayLinks) relay(sends []scatter.Send, request platform.CallerRequest, track func(cancel func())) {
	link := l.link(sends[0].Via)
	call := &relayCall{sends: sends, request: request, ended: make([]bool, len(sends)), remaining: len(sends)}
	track(sync.OnceFunc(func() { link.cancel(call) }))
	link.enqueue(call)
}

// begin queues a call; one that finds the queue full is not relayed.
func (l *relayLink) enqueue(call *relayCall) {
	l.mu.Lock()
	l.sequence++
	call.id = l.sequence
	l.calls[call.id] = call
	call.deadlineTimer = time.AfterFunc(time.Until(call.sends[0].Deadline), func() { l.expire(call) })
	l.mu.Unlock()
	select {
	case l.outgoing <- relayMessage{call: call}:
	default:
		// The decision duty must not wait for its own inbox.
		go l.finish(call, scatter.Replied{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "too much waits for the relay"})
	}
}

// cancel ends a call whose caller left.
func (l *relayLink) cancel(call *relayCall) {
	go l.finish(call, scatter.Replied{Outcome: scatter.Lost, Cause: "the caller left"})
	select {
	case l.outgoing <- relayMessage{call: call, cancel: true}:
	default: // the relay ends it at its deadline
	}
}

// expire ends a call at its deadline. Silence says nothing of the upstreams.
func (l *relayLink) expire(call *relayCall) {
	l.mu.Lock()
	fault := !call.answered
	l.mu.Unlock()
	l.finish(call, scatter.Replied{Outcome: scatter.Lost, RelayFault: fault, Cause: "the deadline is over"})
}

// end reports the same end of all sends that are open.
func (l *relayLink) finish(call *relayCall, result scatter.Replied) {
	l.mu.Lock()
	var open []uint64
	for i := range call.sends {
		if !call.ended[i] {
			open = append(open, call.sends[i].Attempt)
		}
	}
	l.remove(call)
	l.mu.Unlock()
	for _, attempt := range open {
		result.Attempt = attempt
		l.report(result)
	}
}

// forget drops a call, all of whose sends have ended.
func (l *relayLink) remove(call *relayCall) {
	for i := range call.ended {
		call.ended[i] = true
	}
	call.deadlineTimer.Stop()
	delete(l.calls, call.id)
}

// run opens the stream whenever there is something to send, until ctx ends.
func (l *relayLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.outgoing:
			l.failAll(l.serve(ctx, first))
		}
	}
}

// serve carries messages both ways until the stream ends.
func (l *relayLink) serve(ctx context.Context, first relayMessage) (err error) {
	defer l.panics.recoverPanic("relay client", first.call.request.ID, func() { err = errUnexpected })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.open(ctx)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		defer l.panics.recoverPanic("relay client", "", func() { ended <- errUnexpected })
		ended <- l.receive(stream)
	}()
	refs := upstreamRefs{}
	for message := first; ; {
		if encoded := l.encode(message, refs); encoded != nil {
			if err := stream.Send(encoded); err != nil {
				return <-ended // Send says only that the stream has ended
			}
		}
		select {
		case err := <-ended:
			return err
		case message = <-l.outgoing:
		}
	}
}

// encode returns what is sent, and nil for a call that has ended.
func (l *relayLink) encode(m relayMessage, refs upstreamRefs) *edgepb.RelayRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.cancel {
		if !m.call.maybeSent {
			return nil
		}
		return &edgepb.RelayRequest{Id: m.call.id, Cancel: true}
	}
	if l.calls[m.call.id] != m.call {
		return nil
	}
	m.call.maybeSent = true
	return encodeRelay(m.call, refs)
}

func (l *relayLink) receive(stream grpc.BidiStreamingClient[edgepb.RelayRequest, edgepb.RelayReply]) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		l.handleReply(reply)
	}
}

// take reports what a relay returned.
func (l *relayLink) handleReply(reply *edgepb.RelayReply) {
	l.mu.Lock()
	call := l.calls[reply.Id]
	l.mu.Unlock()
	if call == nil {
		return // it has ended here
	}
	if reply.Declined {
		l.finish(call, scatter.Replied{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "declined"})
		return
	}
	if reply.Part == nil {
		l.finish(call, scatter.Replied{Outcome: scatter.Lost, RelayFault: true, Cause: "the relay's answer makes no sense"})
		return
	}
	if replied, first := l.recordPart(call, reply.Part); first {
		l.report(replied)
	}
}

// collect notes an end that a relay returned; first is false when the send has
// ended before.
func (l *relayLink) recordPart(call *relayCall, part *edgepb.RelayedPart) (replied scatter.Replied, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call.answered = true
	index := int(part.GetIndex())
	if index < 0 || index >= len(call.sends) || call.ended[index] {
		return scatter.Replied{}, false
	}
	call.ended[index] = true
	if call.remaining--; call.remaining == 0 {
		l.remove(call)
	}
	return decodePart(call.sends[index].Attempt, part), true
}

// failAll ends all calls of a stream that broke.
func (l *relayLink) failAll(err error) {
	cause := eris.Wrap(err, "relay").Error()
	l.mu.Lock()
	calls := make([]*relayCall, 0, len(l.calls))
	for _, call := range l.calls {
		calls = append(calls, call)
	}
	l.mu.Unlock()
	for _, call := range calls {
		result := scatter.Replied{Outcome: scatter.NotRelayed, RelayFault: true, Cause: cause}
		if call.maybeSent {
			result.Outcome = scatter.Lost
		}
		l.finish(call, result)
	}
}

// relayRefs are the upstreams that one stream has named.
type upstreamRefs map[poolKey]uint32

// target names an upstream, the first time with all that a relay has to know.
func (r upstreamRefs) encodeTarget(send scatter.Send) *edgepb.RelayTarget {
	key := poolKeyOf(send.Target)
	if ref, named := r[key]; named {
		return &edgepb.RelayTarget{Ref: ref}
	}
	ref := uint32(len(r) + 1)
	r[key] = ref
	return &edgepb.RelayTarget{
		Ref: ref, Upstream: key.id, Address: key.address, Started: key.started, Connections: int32(send.Connections),
	}
}

func encodeRelay(call *relayCall, refs upstreamRefs) *edgepb.RelayRequest {
	m, first := call.request.Message, call.sends[0]
	r := &edgepb.RelayRequest{
		Id: call.id, ConfigVersion: first.Version, Method: m.Method, Host: m.Host, Target: m.Target, Headers: encodeHeaders(m.Header),
		LeftUs: time.Until(first.Deadline).Microseconds(),
		Top:    int32(first.Top),
	}
	for _, s := range call.sends {
		r.Targets = append(r.Targets, refs.encodeTarget(s))
	}
	return r
}

func decodePart(attempt uint64, part *edgepb.RelayedPart) scatter.Replied {
	replied := scatter.Replied{
		Attempt: attempt,
		Outcome: scatter.Outcome(part.GetOutcome()),
		Cause:   part.Cause,
		Took:    time.Duration(part.TookUs) * time.Microsecond,
		Notice:  scatter.Notice{Leaving: part.Leaving},
	}
	if !replied.Outcome.Known() || replied.Outcome == scatter.Succeeded && part.Signature == "" {
		replied.Outcome, replied.Cause = scatter.Lost, "the relay's answer makes no sense"
	}
	if replied.Outcome == scatter.Succeeded {
		replied.Payload = platform.NewPart(part.Signature, part.Records)
	}
	return replied
}

// relayKey names the sends of one call that travel through one host.
type relayKey struct {
	call core.CallID
	via  core.HostID
}

// splitRelayed splits sends into those that go out here and those that travel
// through other hosts.
func splitRelayed(sends []scatter.Send) (direct []scatter.Send, relayed map[relayKey][]scatter.Send) {
	for _, s := range sends {
		if s.Via.ID == "" {
			direct = append(direct, s)
			continue
		}
		if relayed == nil {
			relayed = map[relayKey][]scatter.Send{}
		}
		key := relayKey{s.Call, s.Via.ID}
		relayed[key] = append(relayed[key], s)
	}
	return direct, relayed
}
