package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// peerConnectTimeout bounds the opening of a connection to a host.
	// peerInitialBackoff is the delay after a failed attempt; it doubles with
	// each further failure, up to peerMaxBackoff.
	peerConnectTimeout = 600 * time.Millisecond
	peerInitialBackoff = 100 * time.Millisecond
	peerMaxBackoff     = time.Second
	// peerAckTimeout closes a connection on which the other host acknowledges
	// nothing for that long. peerPingInterval detects an idle connection that is
	// dead; gRPC accepts no shorter interval.
	peerAckTimeout      = time.Second
	peerPingInterval    = 10 * time.Second
	peerMaxMessageBytes = 32 << 20
	// peerMaxHeaderBytes bounds the headers of a gRPC call. The headers of a
	// caller's request are part of the message and do not count.
	peerMaxHeaderBytes = 32 << 10
	// peerWindowBytes is the flow-control window of a stream and of a connection.
	// A fixed window keeps gRPC from probing the bandwidth with pings.
	peerWindowBytes = 1 << 20
)

// peers holds the connections to other hosts by address.
type peers struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers() *peers { return &peers{conns: map[string]*grpc.ClientConn{}} }

// client returns a client of the host at an address. The connection is opened
// with the first call and shared by all clients of the address.
func (p *peers) client(address string) (edgepb.EdgeClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		return edgepb.NewEdgeClient(conn), nil
	}
	conn, err := grpc.NewClient(
		"passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: peerInitialBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: peerMaxBackoff},
			MinConnectTimeout: peerConnectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: peerPingInterval, Timeout: peerAckTimeout}),
		grpc.WithMaxHeaderListSize(peerMaxHeaderBytes),
		grpc.WithInitialWindowSize(peerWindowBytes),
		grpc.WithInitialConnWindowSize(peerWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(peerMaxMessageBytes)),
	)
	if err != nil {
		return nil, eris.Wrap(err, "host at "+address)
	}
	p.conns[address] = conn
	return edgepb.NewEdgeClient(conn), nil
}

// close closes all connections.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// sentKey is the context key of an *atomic.Bool that is set once a call's headers
// were sent.
type sentKey struct{}

// sentHandler records which calls may have reached the other host.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, out := s.(*stats.OutHeader); !out {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}

// handOver has another host answer a request. ctx ends when the caller
// disconnects or the deadline passes.
func (p *peers) handOver(ctx context.Context, h scatter.Handover, request platform.CallerRequest) scatter.HandoverEnded {
	ended := scatter.HandoverEnded{Call: h.Call, To: h.To.ID, Outcome: scatter.Unreached}
	client, err := p.client(h.To.Address)
	if err != nil {
		ended.Cause = err.Error()
		return ended
	}
	var sent atomic.Bool
	reply, err := client.Run(context.WithValue(ctx, sentKey{}, &sent), encodeRun(h, request))
	switch {
	case err == nil && reply.Declined:
		ended.Outcome, ended.Cause, ended.Partitioned = scatter.NotExecuted, "declined", reply.Partitioned
	case err == nil && (reply.Status < 200 || reply.Status > 599):
		ended.Outcome, ended.Cause = scatter.Lost, fmt.Sprintf("status %d", reply.Status)
	case err == nil:
		ended.Outcome, ended.OverQuota = scatter.Succeeded, reply.Status == http.StatusTooManyRequests
		if reply.Status >= http.StatusInternalServerError {
			ended.Outcome = scatter.Failed
		}
		ended.Took = time.Duration(reply.TookUs) * time.Microsecond
		ended.Version = reply.ConfigVersion
		ended.Payload = platform.NewReply(int(reply.Status), decodeHeaders(reply.Headers), reply.Body)
	case sent.Load() && status.Code(err) != codes.Unimplemented:
		ended.Outcome, ended.Cause = scatter.Lost, err.Error()
	default:
		ended.Cause = err.Error()
	}
	return ended
}

// ping checks whether a host responds, and returns whether it is withdrawn from
// serving callers.
func (p *peers) ping(ctx context.Context, address string) (withdrawn bool, err error) {
	client, err := p.client(address)
	if err != nil {
		return false, err
	}
	reply, err := client.Ping(ctx, &edgepb.PingRequest{})
	if status.Code(err) == codes.Unimplemented {
		return false, nil // a host of an older version, which responds
	}
	return reply.GetWithdrawn(), eris.Wrap(err, "ping")
}

func encodeRun(h scatter.Handover, request platform.CallerRequest) *edgepb.RunRequest {
	m := request.Message
	return &edgepb.RunRequest{
		Method:     m.Method,
		Host:       m.Host,
		Target:     m.Target,
		Headers:    encodeHeaders(m.Header),
		Body:       m.Body,
		Framed:     m.Framed,
		SpentUs:    h.Spent.Microseconds(),
		AllowStale: h.AllowStale,
		Repeat:     h.Repeat,

		ConfigVersion: h.SeenVersion,
	}
}

func decodeRun(r *edgepb.RunRequest) platform.CallerRequest {
	return platform.NewRequest(platform.Message{
		Method: r.Method, Host: r.Host, Target: r.Target,
		Header: decodeHeaders(r.Headers), Body: r.Body, Framed: r.Framed,
	})
}

func encodeHeaders(header http.Header) []*edgepb.Header {
	encoded := make([]*edgepb.Header, 0, len(header))
	for name, values := range header {
		h := &edgepb.Header{Name: name, Values: values}
		if slices.ContainsFunc(values, func(value string) bool { return !utf8.ValidString(value) }) {
			h.Values = nil
			for _, value := range values {
				h.RawValues = append(h.RawValues, []byte(value))
			}
		}
		encoded = append(encoded, h)
	}
	return encoded
}

func decodeHeaders(encoded []*edgepb.Header) http.Header {
	header := make(http.Header, len(encoded))
	for _, h := range encoded {
		header[h.Name] = h.Values
		for _, value := range h.RawValues {
			header[h.Name] = append(header[h.Name], string(value))
		}
	}
	return header
}
