package edge

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// relays splits sends into those that go out here and those that travel
// through each other host.
func relays(sends []scatter.Send) (direct []scatter.Send, through map[core.HostID][]scatter.Send) {
	for _, s := range sends {
		if s.Via.ID == "" {
			direct = append(direct, s)
			continue
		}
		if through == nil {
			through = map[core.HostID][]scatter.Send{}
		}
		through[s.Via.ID] = append(through[s.Via.ID], s)
	}
	return direct, through
}

// relay lets another host carry out sends of one call. Cancelling any of them
// cancels all: only a caller that left does so.
func (h *Host) relay(sends []scatter.Send) {
	p := h.front.find(sends[0].Call)
	if p == nil {
		go func() {
			for _, s := range sends {
				h.report(scatter.Replied{Attempt: s.Attempt, Outcome: scatter.Unreached, Cause: "the caller left"})
			}
		}()
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), sends[0].Deadline)
	h.sender.track(sends, cancel)
	go func() {
		defer cancel()
		h.peers.relayThrough(ctx, sends, p.request, func(r scatter.Replied) {
			h.sender.untrack(r.Attempt)
			h.report(r)
		})
	}()
}

// relayThrough reports the end of each send, once.
func (p *peers) relayThrough(ctx context.Context, sends []scatter.Send, request platform.CallerRequest, report func(scatter.Replied)) {
	var sent atomic.Bool
	open := make(map[int]bool, len(sends))
	for i := range sends {
		open[i] = true
	}
	declined, heard, err := p.readRelay(context.WithValue(ctx, sentKey{}, &sent), sends, request, func(index int, r scatter.Replied) {
		if open[index] {
			delete(open, index)
			report(r)
		}
	})
	rest := scatter.Replied{Outcome: scatter.Lost, Cause: "the relay returned nothing"}
	if err != nil {
		rest.Cause = err.Error()
	}
	// Silence until the deadline says nothing of the upstreams; a call that
	// ended here says nothing of the relay.
	rest.RelayFault = ctx.Err() == nil || !heard
	if ctx.Err() == context.Canceled {
		rest.RelayFault = false
	}
	if declined || !sent.Load() || status.Code(err) == codes.Unimplemented {
		rest.Outcome = scatter.NotRelayed
	}
	for i := range open {
		rest.Attempt = sends[i].Attempt
		report(rest)
	}
}

// readRelay reads a relay's answers until all are in or the stream ends.
func (p *peers) readRelay(ctx context.Context, sends []scatter.Send, request platform.CallerRequest, take func(int, scatter.Replied)) (declined, heard bool, err error) {
	client, err := p.client(sends[0].Via.Address)
	if err != nil {
		return false, false, err
	}
	stream, err := client.Relay(ctx, encodeRelay(sends, request))
	if err != nil {
		return false, false, err
	}
	for left := len(sends); left > 0; {
		reply, err := stream.Recv()
		if err != nil {
			return false, heard, err
		}
		if reply.Declined {
			return true, true, nil
		}
		heard = true
		for _, part := range reply.Parts {
			if index := int(part.Index); index >= 0 && index < len(sends) {
				take(index, decodePart(sends[index].Attempt, part))
				left--
			}
		}
	}
	return false, true, nil
}

func encodeRelay(sends []scatter.Send, request platform.CallerRequest) *edgepb.RelayRequest {
	m, first := request.Message, sends[0]
	r := &edgepb.RelayRequest{
		Method: m.Method, Host: m.Host, Target: m.Target, Headers: encodeHeaders(m.Header),
		LeftUs: time.Until(first.Deadline).Microseconds(),
		HoldUs: first.Hold.Microseconds(),
		Top:    int32(first.Top),
	}
	for _, s := range sends {
		r.Targets = append(r.Targets, &edgepb.RelayTarget{
			Upstream: string(s.Target.ID), Address: s.Target.Address, Connections: int32(s.Connections), Started: s.Target.Started,
		})
	}
	return r
}

func decodePart(attempt uint64, part *edgepb.RelayedPart) scatter.Replied {
	replied := scatter.Replied{
		Attempt: attempt,
		Outcome: scatter.Outcome(part.Outcome),
		Cause:   part.Cause,
		Took:    time.Duration(part.TookUs) * time.Microsecond,
	}
	if replied.Outcome == scatter.Succeeded {
		replied.Payload = platform.NewPart(part.Signature, part.Records)
	}
	return replied
}

// Relay implements edgepb.EdgeServer.
func (s *service) Relay(r *edgepb.RelayRequest, stream grpc.ServerStreamingServer[edgepb.RelayReply]) error {
	if s.host.stopping.Load() {
		return stream.Send(&edgepb.RelayReply{Declined: true})
	}
	request := platform.NewRequest(platform.Message{Method: r.Method, Host: r.Host, Target: r.Target, Header: decodeHeaders(r.Headers)})
	deadline := time.Now().Add(time.Duration(r.LeftUs) * time.Microsecond)
	results := make(chan *edgepb.RelayedPart, len(r.Targets))
	for i, target := range r.Targets {
		send := scatter.Send{
			Target:      scatter.Upstream{ID: core.UpstreamID(target.Upstream), Address: target.Address, Started: target.Started},
			Connections: int(target.Connections), Deadline: deadline, Repeatable: true,
		}
		go func() {
			started := time.Now()
			replied := s.host.sender.relay(stream.Context(), send, request.Forward)
			results <- encodePart(i, replied, time.Since(started), int(r.Top))
		}()
	}
	return sendParts(stream, results, len(r.Targets), time.Duration(r.HoldUs)*time.Microsecond)
}

func encodePart(index int, replied scatter.Replied, took time.Duration, top int) *edgepb.RelayedPart {
	part := &edgepb.RelayedPart{
		Index: int32(index), Outcome: int32(replied.Outcome), TookUs: max(1, took.Microseconds()), Cause: replied.Cause,
	}
	if reply, whole := replied.Payload.(*platform.Reply); whole && replied.Outcome == scatter.Succeeded {
		part.Signature, part.Records = reply.Part(top)
	}
	return part
}

// sendParts returns what comes while answers are held back in one message, and
// each later one by itself.
func sendParts(stream grpc.ServerStreamingServer[edgepb.RelayReply], results <-chan *edgepb.RelayedPart, count int, hold time.Duration) error {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	held, reply := true, &edgepb.RelayReply{}
	for got := 0; got < count; {
		select {
		case <-timer.C:
			held = false
		case part := <-results:
			reply.Parts = append(reply.Parts, part)
			got++
		}
		if held && got < count || len(reply.Parts) == 0 {
			continue
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
		reply = &edgepb.RelayReply{}
	}
	return nil
}
