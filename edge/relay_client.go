package edge

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// relayQueueSize is how many messages may be queued for one relay.
const relayQueueSize = 256

// relayLinks holds one stream to each host that relays sends for this one.
type relayLinks struct {
	peers  *peers
	panics *panicHandler
	report func(scatter.AttemptEnded)

	ctx   context.Context // parent of the contexts of all streams
	close context.CancelFunc

	mu    sync.Mutex
	links map[string]*relayLink // by address
}

func newRelayLinks(p *peers, panics *panicHandler, report func(scatter.AttemptEnded)) *relayLinks {
	ctx, cancel := context.WithCancel(context.Background())
	return &relayLinks{peers: p, panics: panics, report: report, ctx: ctx, close: cancel, links: map[string]*relayLink{}}
}

// relayLink manages the stream to one relay. The stream is opened when there is
// a message to send.
type relayLink struct {
	report   func(scatter.AttemptEnded)
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

// relayCall groups the sends of one call that go through one relay.
type relayCall struct {
	id            uint64
	sends         []scatter.Send
	request       platform.CallerRequest
	ended         []bool // by index in sends
	remaining     int
	maybeSent     bool // the request may have reached the relay
	answered      bool // the relay returned at least one part
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

// relay has another host carry out sends of one call. It passes track a function
// that cancels them, before any of them can end.
func (l *relayLinks) relay(sends []scatter.Send, request platform.CallerRequest, track func(cancel func())) {
	link := l.link(sends[0].Via)
	call := &relayCall{sends: sends, request: request, ended: make([]bool, len(sends)), remaining: len(sends)}
	track(sync.OnceFunc(func() { link.cancel(call) }))
	link.enqueue(call)
}

// enqueue queues a call for the relay; it fails the call if the queue is full.
func (l *relayLink) enqueue(call *relayCall) {
	l.mu.Lock()
	l.sequence++
	call.id = l.sequence
	l.calls[call.id] = call
	call.deadlineTimer = time.AfterFunc(time.Until(call.sends[0].Deadline), func() { l.expire(call) })
	l.mu.Unlock()
	if m := call.request.Message; !utf8.ValidString(m.Host + m.Target) {
		// A message that cannot be encoded would end the stream, and with it the
		// requests of other callers.
		go l.finish(call, scatter.AttemptEnded{Outcome: scatter.NotRelayed, Cause: "the path is not UTF-8"})
		return
	}
	select {
	case l.outgoing <- relayMessage{call: call}:
	default:
		// finish reports to the inbox, which the decision goroutine must not
		// wait for.
		go l.finish(call, scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "too much waits for the relay"})
	}
}

// cancel ends a call whose caller has disconnected, here and at the relay.
func (l *relayLink) cancel(call *relayCall) {
	go l.finish(call, scatter.AttemptEnded{Outcome: scatter.Lost, Cause: "the caller left"})
	select {
	case l.outgoing <- relayMessage{call: call, cancel: true}:
	default: // the relay ends it at its deadline
	}
}

// expire ends a call at its deadline. It is the relay's fault if no part was
// returned; a missing part is no evidence of a faulty upstream.
func (l *relayLink) expire(call *relayCall) {
	l.mu.Lock()
	fault := !call.answered
	l.mu.Unlock()
	l.finish(call, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: fault, Cause: "the deadline is over"})
}

// finish ends a call, and reports the same result for all of its sends that are
// still in flight.
func (l *relayLink) finish(call *relayCall, result scatter.AttemptEnded) {
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

// remove marks all sends of a call as ended and removes the call. The caller
// holds l.mu.
func (l *relayLink) remove(call *relayCall) {
	for i := range call.ended {
		call.ended[i] = true
	}
	call.deadlineTimer.Stop()
	delete(l.calls, call.id)
}

// run opens the stream whenever a message is queued, until ctx ends.
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

// serve opens the stream, and sends and receives messages until it ends.
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
				return <-ended // Send returns io.EOF; Recv returns the cause
			}
		}
		select {
		case err := <-ended:
			return err
		case message = <-l.outgoing:
		}
	}
}

// encode returns the message to send, or nil if the call has already ended.
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

// receive handles the relay's replies until the stream ends.
func (l *relayLink) receive(stream grpc.BidiStreamingClient[edgepb.RelayRequest, edgepb.RelayReply]) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		l.handleReply(reply)
	}
}

// handleReply reports the result that a relay returned.
func (l *relayLink) handleReply(reply *edgepb.RelayReply) {
	l.mu.Lock()
	call := l.calls[reply.Id]
	l.mu.Unlock()
	if call == nil {
		return // the call has already ended
	}
	if reply.Declined {
		l.finish(call, scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "declined"})
		return
	}
	if reply.Part == nil {
		l.finish(call, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true, Cause: "the relay's answer makes no sense"})
		return
	}
	if replied, first := l.recordPart(call, reply.Part); first {
		l.report(replied)
	}
}

// recordPart records the result of one send. first is false if the index is
// invalid or the send has already ended.
func (l *relayLink) recordPart(call *relayCall, part *edgepb.RelayedPart) (replied scatter.AttemptEnded, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call.answered = true
	index := int(part.GetIndex())
	if index < 0 || index >= len(call.sends) || call.ended[index] {
		return scatter.AttemptEnded{}, false
	}
	call.ended[index] = true
	if call.remaining--; call.remaining == 0 {
		l.remove(call)
	}
	return decodePart(call.sends[index].Attempt, part), true
}

// failAll ends all calls of a stream that failed.
func (l *relayLink) failAll(err error) {
	cause := eris.Wrap(err, "relay").Error()
	l.mu.Lock()
	calls := make([]*relayCall, 0, len(l.calls))
	for _, call := range l.calls {
		calls = append(calls, call)
	}
	l.mu.Unlock()
	for _, call := range calls {
		result := scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: cause}
		if call.maybeSent {
			result.Outcome = scatter.Lost
		}
		l.finish(call, result)
	}
}

// upstreamRefs maps the upstreams that were described on one stream to their
// references.
type upstreamRefs map[poolKey]uint32

// encodeTarget returns a reference to an upstream, with its full description
// when it is first used on the stream.
func (r upstreamRefs) encodeTarget(send scatter.Send) *edgepb.RelayTarget {
	key := poolKeyOf(send.Target)
	if ref, named := r[key]; named {
		return &edgepb.RelayTarget{Ref: ref, LimitAgeUs: limitAge(send)}
	}
	ref := uint32(len(r) + 1)
	r[key] = ref
	return &edgepb.RelayTarget{
		Ref: ref, Upstream: key.id, Address: key.address, Started: key.started, Connections: int32(send.Connections),
		LimitAgeUs: limitAge(send),
	}
}

// limitAge returns how long ago this host last learned whether the upstream of a
// send states a rate limit, in microseconds; nil if it has not.
func limitAge(send scatter.Send) *int64 {
	if send.LimitKnownAt.IsZero() {
		return nil
	}
	age := time.Since(send.LimitKnownAt).Microseconds()
	return &age
}

// encodeRelay returns the request of a call to a relay.
func encodeRelay(call *relayCall, refs upstreamRefs) *edgepb.RelayRequest {
	m, first := call.request.Message, call.sends[0]
	r := &edgepb.RelayRequest{
		Id: call.id, ConfigVersion: first.Version, Method: m.Method, Host: m.Host, Target: m.Target, Headers: encodeHeaders(m.HeaderAs(first.Identity)),
		LeftUs: time.Until(first.Deadline).Microseconds(),
		Top:    int32(first.Top),
	}
	for _, s := range call.sends {
		r.Targets = append(r.Targets, refs.encodeTarget(s))
	}
	return r
}

// decodePart returns the result of a send. One with an unknown outcome, or a
// success without a signature, counts as lost.
func decodePart(attempt uint64, part *edgepb.RelayedPart) scatter.AttemptEnded {
	replied := scatter.AttemptEnded{
		Attempt: attempt,
		Outcome: scatter.Outcome(part.GetOutcome()),
		Cause:   part.Cause,
		Took:    time.Duration(part.TookUs) * time.Microsecond,
		Notice:  scatter.Notice{Leaving: part.Leaving},
	}
	if part.Limit != nil && *part.Limit >= 0 {
		replied.Notice.Limit = scatter.RateLimit{Stated: true, PerSecond: *part.Limit}
	}
	if !replied.Outcome.Known() || replied.Outcome == scatter.Succeeded && part.Signature == "" {
		replied.Outcome, replied.Cause = scatter.Lost, "the relay's answer makes no sense"
	}
	if replied.Outcome == scatter.Succeeded {
		replied.Payload = platform.NewPart(part.Signature, part.Records)
	}
	return replied
}

// relayKey identifies the sends of one call that go through one host.
type relayKey struct {
	call core.CallID
	via  core.HostID
}

// splitRelayed splits sends into those from this host to the upstream and those
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
