package edge

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// heartbeatInterval is the longest time between two messages of a Follow stream.
// A follower ends a stream without a message for followSilenceTimeout.
const (
	heartbeatInterval    = 700 * time.Millisecond
	followSilenceTimeout = 1600 * time.Millisecond
)

// peerService implements the gRPC service for other hosts.
type peerService struct {
	edgepb.UnimplementedEdgeServer
	host *Host
}

// newPeerServer returns the gRPC server for other hosts.
func newPeerServer(h *Host) *grpc.Server {
	server := grpc.NewServer(
		grpc.UnaryInterceptor(h.panics.unaryInterceptor),
		grpc.StreamInterceptor(h.panics.streamInterceptor),
		grpc.StatsHandler(h.peerConns),
		grpc.MaxConcurrentStreams(peerMaxCalls),
		grpc.ConnectionTimeout(peerHandshakeTimeout),
		grpc.MaxHeaderListSize(peerMaxCallHeaderBytes),
		grpc.MaxRecvMsgSize(peerMaxMessageBytes),
		grpc.InitialWindowSize(peerWindowBytes),
		grpc.InitialConnWindowSize(peerWindowBytes),
	)
	edgepb.RegisterEdgeServer(server, &peerService{host: h})
	return server
}

// Follow implements edgepb.EdgeServer.
func (s *peerService) Follow(r *edgepb.FollowRequest, stream grpc.ServerStreamingServer[edgepb.FeedUpdate]) error {
	type feedSubscription struct {
		hub        *hub
		subscriber *subscriber
	}
	subscriptions := make([]feedSubscription, 0, len(r.Feeds))
	defer func() {
		for _, s := range subscriptions {
			s.hub.unsubscribe(s.subscriber)
		}
	}()
	merged := make(chan *edgepb.FeedUpdate)
	for _, name := range r.Feeds {
		hub := s.host.registry.hubs[name]
		if hub == nil {
			return status.Errorf(codes.InvalidArgument, "feed %q", name)
		}
		subscriber, err := hub.subscribe()
		if err != nil {
			return status.Error(codes.Internal, err.Error())
		}
		if subscriber == nil {
			return status.Error(codes.Unavailable, "this host does not read the store")
		}
		subscriptions = append(subscriptions, feedSubscription{hub, subscriber})
		go forwardUpdates(stream.Context(), subscriber, merged)
	}
	s.host.registry.followers.add(r.Host, 1)
	defer s.host.registry.followers.add(r.Host, -1)
	return s.sendUpdates(stream, merged)
}

// forwardUpdates sends a subscriber's updates to merged. When the subscription
// ends it sends nil and returns.
func forwardUpdates(ctx context.Context, s *subscriber, merged chan<- *edgepb.FeedUpdate) {
	for {
		update := <-s.updates
		select {
		case merged <- update:
		case <-ctx.Done():
			return
		}
		if update == nil {
			return
		}
	}
}

// sendUpdates sends a follower the updates of the feeds, each change of the list
// of silent hosts, and heartbeats.
func (s *peerService) sendUpdates(stream grpc.ServerStreamingServer[edgepb.FeedUpdate], merged <-chan *edgepb.FeedUpdate) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	heartbeat := func() *edgepb.FeedUpdate {
		silent, _ := s.host.registry.silentHosts.get()
		return &edgepb.FeedUpdate{SilentHosts: silent, CallerLimits: s.host.callerLimits.encode()}
	}
	if first := heartbeat(); len(first.SilentHosts) > 0 || first.CallerLimits != nil {
		if err := stream.Send(first); err != nil {
			return err
		}
	}
	for {
		var update *edgepb.FeedUpdate
		_, silentChanged := s.host.registry.silentHosts.get()
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.host.draining:
			return status.Error(codes.Unavailable, "this host stops")
		case <-silentChanged:
			update = heartbeat()
		case update = <-merged:
			if update == nil {
				return status.Error(codes.Unavailable, "this host does not read the store any more")
			}
		case <-ticker.C:
			update = heartbeat()
		}
		if err := stream.Send(update); err != nil {
			return err
		}
	}
}

// Snapshot implements edgepb.EdgeServer.
func (s *peerService) Snapshot(_ context.Context, r *edgepb.SnapshotRequest) (*edgepb.FeedUpdate, error) {
	hub := s.host.registry.hubs[r.Feed]
	if hub == nil {
		return nil, status.Errorf(codes.InvalidArgument, "feed %q", r.Feed)
	}
	update, err := hub.snapshot()
	switch {
	case err != nil:
		return nil, status.Error(codes.Internal, err.Error())
	case update == nil:
		return nil, status.Error(codes.Unavailable, "not known yet")
	}
	return update, nil
}

// Followers implements edgepb.EdgeServer.
func (s *peerService) Followers(context.Context, *edgepb.FollowersRequest) (*edgepb.FollowersReply, error) {
	hosts, unnamed := s.host.registry.followers.list()
	return &edgepb.FollowersReply{Hosts: hosts, Unnamed: int32(unnamed)}, nil
}

// Ping implements edgepb.EdgeServer. It goes through the decision loop, so that a
// host whose decision loop is stuck does not answer.
func (s *peerService) Ping(context.Context, *edgepb.PingRequest) (*edgepb.PingReply, error) {
	if !s.host.decision.query(func(*scatter.Engine) {}) {
		return nil, status.Error(codes.Unavailable, "this host stops")
	}
	return &edgepb.PingReply{Withdrawn: s.host.frontend.withdrawn.Load()}, nil
}

// Run implements edgepb.EdgeServer.
func (s *peerService) Run(ctx context.Context, r *edgepb.RunRequest) (*edgepb.RunReply, error) {
	declined := &edgepb.RunReply{Declined: true}
	if s.host.stopping.Load() {
		return declined, nil
	}
	if held := int64(len(r.Body)); held > 0 {
		if s.host.frontend.memory.Reserve(held) != nil {
			return declined, nil // another host may have memory for it
		}
		defer s.host.frontend.memory.Release(held)
	}
	request := decodeRun(r)
	started := time.Now()
	arrived := started.Add(-time.Duration(r.SpentUs) * time.Microsecond)
	answer, callerGone := s.host.frontend.submit(ctx, request, scatter.RequestArrived{At: arrived, FromHost: true, AllowStale: r.AllowStale, Repeat: r.Repeat, SeenVersion: r.ConfigVersion})
	switch {
	case callerGone:
		return nil, status.FromContextError(ctx.Err()).Err()
	case answer.Kind == scatter.Declined:
		declined.Partitioned = answer.Partitioned
		return declined, nil
	case answer.Kind == scatter.Interrupted:
		return nil, status.Error(codes.Aborted, "this host cannot answer the request any more")
	}
	reply := platform.Render(request, answer)
	return &edgepb.RunReply{
		Status: int32(reply.Status), Headers: encodeHeaders(reply.Header), Body: reply.Body,
		TookUs: time.Since(started).Microseconds(), ConfigVersion: s.host.configVersion.Load(),
	}, nil
}
