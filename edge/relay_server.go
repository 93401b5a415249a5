package edge

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// relayStream serves one other host, for which this host relays sends.
type relayStream struct {
	sender        *sender
	panics        *panicHandler
	stream        grpc.BidiStreamingServer[edgepb.RelayRequest, edgepb.RelayReply]
	configVersion *atomic.Uint64 // version of the configuration in force here
	upstreamLinks *upstreamLinks
	// targets holds the upstreams described on the stream, by reference. Only
	// the receiving goroutine uses it.
	targets map[uint32]scatter.Send

	mu       sync.Mutex
	stopping bool
	running  sync.WaitGroup
	cancels  map[uint64]context.CancelFunc
	sendMu   sync.Mutex // stream.Send must not be called concurrently
}

// upstreamLinks is the state of this host's links to the upstreams.
type upstreamLinks struct {
	down     atomic.Bool // no new connection can be opened
	openOnly atomic.Bool // those that are open may still work
}

// unusable reports whether no upstream can be reached at all.
func (l *upstreamLinks) unusable() bool { return l.down.Load() && !l.openOnly.Load() }

// Relay implements edgepb.EdgeServer.
func (s *peerService) Relay(stream grpc.BidiStreamingServer[edgepb.RelayRequest, edgepb.RelayReply]) error {
	r := &relayStream{
		sender: s.host.sender, panics: s.host.panics, stream: stream, configVersion: &s.host.configVersion, upstreamLinks: &s.host.upstreamLinks,
		targets: map[uint32]scatter.Send{}, cancels: map[uint64]context.CancelFunc{},
	}
	ended := make(chan error, 1)
	go func() {
		defer r.panics.recoverPanic("relay", "", func() { ended <- errUnexpected })
		ended <- r.receive()
	}()
	select {
	case err := <-ended:
		return err // the end of the stream cancels the requests in flight
	case <-s.host.draining:
		r.drain()
	}
	// Requests that still arrive are declined. If the stream ended first, the
	// other host could not determine whether they were sent to the upstreams.
	select {
	case err := <-ended:
		return err
	case <-s.host.closingStreams:
		return status.Error(codes.Unavailable, "this host stops")
	}
}

// receive handles the other host's messages until the stream ends.
func (r *relayStream) receive() error {
	for {
		request, err := r.stream.Recv()
		if err != nil {
			return err
		}
		if request.Cancel {
			r.cancel(request.Id)
			continue
		}
		r.start(request)
	}
}

// drain declines new requests and waits for those in flight.
func (r *relayStream) drain() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.running.Wait()
}

// cancel ends a request in flight.
func (r *relayStream) cancel(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[id]; cancel != nil {
		cancel()
	}
}

// start sends a request to its upstreams, unless another version of the
// configuration is in force here, or this host is stopping or reaches no upstreams.
func (r *relayStream) start(request *edgepb.RelayRequest) {
	sends := r.decode(request)
	ctx, cancel := context.WithCancel(r.stream.Context())
	if request.ConfigVersion != r.configVersion.Load() || r.upstreamLinks.unusable() || !r.admit(request.Id, cancel) {
		cancel()
		r.reply(&edgepb.RelayReply{Id: request.Id, Declined: true})
		return
	}
	message := platform.NewRequest(platform.Message{
		Method: request.Method, Host: request.Host, Target: request.Target, Header: decodeHeaders(request.Headers),
	})
	var parts sync.WaitGroup
	order := &partOrder{keeper: scatter.NewTopKeeper(max(0, int(request.Top)))}
	for i, send := range sends {
		parts.Go(func() {
			started := time.Now()
			defer r.panics.recoverPanic("relay", message.ID, func() {
				part := &edgepb.RelayedPart{Index: int32(i), Outcome: int32(scatter.Lost), Cause: errUnexpected.Error()}
				r.reply(&edgepb.RelayReply{Id: request.Id, Part: part})
			})
			replied := r.sender.relay(ctx, send, message.Forward, r.upstreamLinks.openOnly.Load())
			took := time.Since(started)
			order.Lock()
			defer order.Unlock()
			part := encodePart(i, replied, took, order.keeper)
			r.reply(&edgepb.RelayReply{Id: request.Id, Part: part})
		})
	}
	go func() {
		parts.Wait()
		r.finish(request.Id)
	}()
}

// admit registers a request; it returns false if this host is stopping.
func (r *relayStream) admit(id uint64, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.running.Add(1)
	r.cancels[id] = cancel
	return true
}

// finish removes a request, all of whose parts have ended.
func (r *relayStream) finish(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[id]()
	delete(r.cancels, id)
	r.running.Done()
}

// decode returns the sends of a request, and stores the upstreams that it
// describes for the first time.
func (r *relayStream) decode(request *edgepb.RelayRequest) []scatter.Send {
	deadline := time.Now().Add(time.Duration(request.LeftUs) * time.Microsecond)
	sends := make([]scatter.Send, len(request.Targets))
	for i, target := range request.Targets {
		if target.Upstream != "" {
			r.targets[target.Ref] = scatter.Send{
				Target:      scatter.Upstream{ID: core.UpstreamID(target.Upstream), Address: target.Address, Started: target.Started},
				Connections: int(target.Connections),
				Repeatable:  true,
			}
		}
		sends[i] = r.targets[target.Ref]
		sends[i].Deadline, sends[i].Top = deadline, max(0, int(request.Top))
		if target.LimitAgeUs != nil {
			sends[i].LimitKnownAt = time.Now().Add(-time.Duration(*target.LimitAgeUs) * time.Microsecond)
		}
	}
	return sends
}

// reply sends a message to the other host.
func (r *relayStream) reply(reply *edgepb.RelayReply) {
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	_ = r.stream.Send(reply) // receive returns the error of a broken stream
}

// partOrder makes the parts of one request leave in the order in which the
// keeper compared their records. A part omits records that earlier parts outrank,
// so those parts must reach the gathering host first.
type partOrder struct {
	sync.Mutex
	keeper *scatter.TopKeeper
}

// encodePart returns the result of one send with the records that keeper selects.
func encodePart(index int, replied scatter.AttemptEnded, took time.Duration, keeper *scatter.TopKeeper) *edgepb.RelayedPart {
	part := &edgepb.RelayedPart{
		Index: int32(index), Outcome: int32(replied.Outcome.AsRelayed()), TookUs: max(1, took.Microseconds()), Cause: strings.ToValidUTF8(replied.Cause, "\ufffd"),
	}
	if reply, ok := replied.Payload.(*platform.Reply); ok && replied.Outcome == scatter.Succeeded {
		part.Signature, part.Records = reply.Part(keeper)
	}
	if !utf8.ValidString(part.Signature) {
		part.Outcome, part.Signature, part.Records, part.Cause = int32(scatter.Lost), "", nil, "the signature is not UTF-8"
	}
	// A request to back off is not forwarded. It applies to this host only: the
	// other host may send the part itself.
	part.Leaving = replied.Notice.Leaving
	if limit := replied.Notice.Limit; limit.Stated {
		part.Limit = &limit.PerSecond
	}
	return part
}
