package peerlink

import (
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// peerService implements the receiving end of the streams.
type peerService struct {
	peerpb.UnimplementedPeerServer
	link *Link
}

// Exchange receives the batches of one stream until it ends.
func (s *peerService) Exchange(stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Ack]) error {
	// The header commits the sender's stream; see peer.open.
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	var from core.HostID
	var incarnation uint64
	for {
		batch, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil // the sender closed the stream
		}
		if err != nil {
			s.link.reportLost(from)
			return err
		}
		if from == "" {
			from, incarnation = core.HostID(batch.Host), batch.Incarnation
		}
		if from == "" {
			return status.Error(codes.InvalidArgument, "the first batch names no host")
		}
		for _, m := range batch.Messages {
			s.link.cfg.Receive(from, incarnation, m)
		}
		s.link.counters.received.Add(uint64(len(batch.Messages)))
	}
}

// reportLost counts a broken stream and reports it, unless this Link is closing.
func (l *Link) reportLost(host core.HostID) {
	l.counters.broken.Add(1)
	if host != "" && l.ctx.Err() == nil {
		l.cfg.Lost(host)
	}
}
