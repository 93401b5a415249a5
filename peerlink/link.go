package peerlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Link is one host's end of all its links. Its methods may be called from any
// goroutine.
type Link struct {
	cfg    Config
	server *grpc.Server
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	peers map[core.HostID]*peer

	address  string
	counters counters
}

type counters struct {
	sent, batches, received, refused, broken atomic.Uint64
}

// Stats counts what went over the links.
type Stats struct {
	Sent, Batches, Received uint64
	// Refused counts messages that found their queue full or no address.
	Refused uint64
	// Dropped counts state updates that made room for newer messages.
	Dropped uint64
	// Broken counts streams that broke.
	Broken uint64
}

// Listen opens the peer service.
func Listen(cfg Config) (*Link, error) {
	cfg.fillDefaults()
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	l := &Link{
		cfg:     cfg,
		peers:   map[core.HostID]*peer{},
		address: listener.Addr().String(),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.server = grpc.NewServer(serverOptions(cfg)...)
	peerpb.RegisterPeerServer(l.server, &peerService{link: l})
	l.wg.Go(func() { _ = l.server.Serve(listener) })
	return l, nil
}

func serverOptions(cfg Config) []grpc.ServerOption {
	creds := cfg.ServerCredentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxBatchBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
	}
}

// Address returns the address that the peer service listens on.
func (l *Link) Address() string { return l.address }

// SetAddress says where a peer listens. A changed address replaces the stream.
func (l *Link) SetAddress(host core.HostID, address string) {
	if host == l.cfg.Host || address == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	if p := l.peers[host]; p != nil {
		p.setAddress(address)
		return
	}
	p := newPeer(l, host, address)
	l.peers[host] = p
	l.wg.Go(p.run)
}

// Send queues a message for a peer. False means that it was not sent and never
// will be: the queue is full, or the peer's address is not known.
func (l *Link) Send(to core.HostID, m *peerpb.Message) bool {
	l.mu.Lock()
	p := l.peers[to]
	l.mu.Unlock()
	if p == nil || !p.enqueue(m) {
		l.counters.refused.Add(1)
		return false
	}
	return true
}

// Reset breaks the stream to a peer, which tells it that messages were lost.
func (l *Link) Reset(host core.HostID) {
	l.mu.Lock()
	p := l.peers[host]
	l.mu.Unlock()
	if p != nil {
		p.breakStream()
	}
}

// Forget ends the link to a peer that has left for good.
func (l *Link) Forget(host core.HostID) {
	l.mu.Lock()
	p := l.peers[host]
	delete(l.peers, host)
	l.mu.Unlock()
	if p != nil {
		p.stop()
	}
}

// Stats returns the counters.
func (l *Link) Stats() Stats {
	s := Stats{
		Sent:     l.counters.sent.Load(),
		Batches:  l.counters.batches.Load(),
		Received: l.counters.received.Load(),
		Refused:  l.counters.refused.Load(),
		Broken:   l.counters.broken.Load(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		s.Dropped += p.queue.Counts().Dropped
	}
	return s
}

// Close sends what is queued to connected peers, then ends all links. It
// returns when no goroutine of the link runs any more or ctx is done.
func (l *Link) Close(ctx context.Context) {
	l.flush(ctx)
	l.cancel()
	l.server.Stop()
	l.wg.Wait()
}

func (l *Link) flush(ctx context.Context) {
	l.mu.Lock()
	peers := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		peers = append(peers, p)
	}
	l.mu.Unlock()
	for _, p := range peers {
		p.drain(ctx)
	}
}
