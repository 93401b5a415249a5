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
const relayQueue = 256

// relayLinks hold one stream to each host that relays for this one.
type relayLinks struct {
	peers  *peers
	panics *panics
	report func(scatter.AttemptEnded)

	ctx   context.Context // of all streams
	close context.CancelFunc

	mu    sync.Mutex
	links map[string]*relayLink // by address
}

func newRelayLinks(p *peers, errors *panics, report func(scatter.AttemptEnded)) *relayLinks {
	ctx, end := context.WithCancel(context.Background())
	return &relayLinks{peers: p, panics: errors, report: report, ctx: ctx, close: end, links: map[string]*relayLink{}}
}

// relayLink is the stream to one relay, opened when it is first used.
type relayLink struct {
	report   func(scatter.AttemptEnded)
	panics   *panics
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
	id      uint64
	sends   []scatter.Send
	request platform.CallerRequest
	ended   []bool // by send
	left    int
	sent    bool // it may have reached the relay
	heard   bool // the relay returned something
	expiry  *time.Timer
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
			outgoing: make(chan relayMessage, relayQueue),
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
	call := &relayCall{sends: sends, request: request, ended: make([]bool, len(sends)), left: len(sends)}
	track(sync.OnceFunc(func() { link.cancel(call) }))
	link.begin(call)
}

// begin queues a call; one that finds the queue full is not relayed.
func (l *relayLink) begin(call *relayCall) {
	l.mu.Lock()
	l.sequence++
	call.id = l.sequence
	l.calls[call.id] = call
	call.expiry = time.AfterFunc(time.Until(call.sends[0].Deadline), func() { l.expire(call) })
	l.mu.Unlock()
	select {
	case l.outgoing <- relayMessage{call: call}:
	default:
		// The decision duty must not wait for its own inbox.
		go l.end(call, scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "too much waits for the relay"})
	}
}

// cancel ends a call whose caller left.
func (l *relayLink) cancel(call *relayCall) {
	go l.end(call, scatter.AttemptEnded{Outcome: scatter.Lost, Cause: "the caller left"})
	select {
	case l.outgoing <- relayMessage{call: call, cancel: true}:
	default: // the relay ends it at its deadline
	}
}

// expire ends a call at its deadline. Silence says nothing of the upstreams.
func (l *relayLink) expire(call *relayCall) {
	l.mu.Lock()
	fault := !call.heard
	l.mu.Unlock()
	l.end(call, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: fault, Cause: "the deadline is over"})
}

// end reports the same end of all sends that are open.
func (l *relayLink) end(call *relayCall, how scatter.AttemptEnded) {
	l.mu.Lock()
	var open []uint64
	for i := range call.sends {
		if !call.ended[i] {
			open = append(open, call.sends[i].Attempt)
		}
	}
	l.forget(call)
	l.mu.Unlock()
	for _, attempt := range open {
		how.Attempt = attempt
		l.report(how)
	}
}

// forget drops a call, all of whose sends have ended.
func (l *relayLink) forget(call *relayCall) {
	for i := range call.ended {
		call.ended[i] = true
	}
	call.expiry.Stop()
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
	defer l.panics.caught("relay client", first.call.request.ID, func() { err = errUnexpected })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.open(ctx)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		defer l.panics.caught("relay client", "", func() { ended <- errUnexpected })
		ended <- l.receive(stream)
	}()
	refs := relayRefs{}
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
func (l *relayLink) encode(m relayMessage, refs relayRefs) *edgepb.RelayRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.cancel {
		if !m.call.sent {
			return nil
		}
		return &edgepb.RelayRequest{Id: m.call.id, Cancel: true}
	}
	if l.calls[m.call.id] != m.call {
		return nil
	}
	m.call.sent = true
	return encodeRelay(m.call, refs)
}

func (l *relayLink) receive(stream grpc.BidiStreamingClient[edgepb.RelayRequest, edgepb.RelayReply]) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		l.take(reply)
	}
}

// take reports what a relay returned.
func (l *relayLink) take(reply *edgepb.RelayReply) {
	l.mu.Lock()
	call := l.calls[reply.Id]
	l.mu.Unlock()
	if call == nil {
		return // it has ended here
	}
	if reply.Declined {
		l.end(call, scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "declined"})
		return
	}
	if reply.Part == nil {
		l.end(call, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true, Cause: "the relay's answer makes no sense"})
		return
	}
	if replied, first := l.collect(call, reply.Part); first {
		l.report(replied)
	}
}

// collect notes an end that a relay returned; first is false when the send has
// ended before.
func (l *relayLink) collect(call *relayCall, part *edgepb.RelayedPart) (replied scatter.AttemptEnded, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call.heard = true
	index := int(part.GetIndex())
	if index < 0 || index >= len(call.sends) || call.ended[index] {
		return scatter.AttemptEnded{}, false
	}
	call.ended[index] = true
	if call.left--; call.left == 0 {
		l.forget(call)
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
		how := scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: cause}
		if call.sent {
			how.Outcome = scatter.Lost
		}
		l.end(call, how)
	}
}

// relayRefs are the upstreams that one stream has named.
type relayRefs map[poolKey]uint32

// target names an upstream, the first time with all that a relay has to know.
func (r relayRefs) target(send scatter.Send) *edgepb.RelayTarget {
	key := keyOf(send.Target)
	if ref, named := r[key]; named {
		return &edgepb.RelayTarget{Ref: ref}
	}
	ref := uint32(len(r) + 1)
	r[key] = ref
	return &edgepb.RelayTarget{
		Ref: ref, Upstream: key.id, Address: key.address, Started: key.started, Connections: int32(send.Connections),
	}
}

func encodeRelay(call *relayCall, refs relayRefs) *edgepb.RelayRequest {
	m, first := call.request.Message, call.sends[0]
	r := &edgepb.RelayRequest{
		Id: call.id, ConfigVersion: first.Version, Method: m.Method, Host: m.Host, Target: m.Target, Headers: encodeHeaders(m.Header),
		LeftUs: time.Until(first.Deadline).Microseconds(),
		Top:    int32(first.Top),
	}
	for _, s := range call.sends {
		r.Targets = append(r.Targets, refs.target(s))
	}
	return r
}

func decodePart(attempt uint64, part *edgepb.RelayedPart) scatter.AttemptEnded {
	replied := scatter.AttemptEnded{
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
