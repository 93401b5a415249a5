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

// Link manages the streams between one host and its peers. Its methods may be
// called from any goroutine.
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

// Stats counts messages, batches and broken streams over all links.
type Stats struct {
	Sent, Batches, Received uint64
	// Refused counts messages that Send refused.
	Refused uint64
	// Dropped counts state updates dropped from full queues to make room for
	// newer messages.
	Dropped uint64
	// Broken counts streams that broke.
	Broken uint64
}

// Listen starts to serve the peer service at the configured address.
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

// Address returns the address on which the peer service listens.
func (l *Link) Address() string { return l.address }

// SetAddress sets the address of a peer. If it differs from the previous one,
// the open stream to the peer is cancelled and the next one uses the new
// address.
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

// Send queues a message for a peer. It returns false if the message was refused
// and will not be sent: the peer's address is not known, its queue is full or
// closed, or the peer cannot be reached and the message is not a state update.
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

// Reset cancels the stream to a peer, so that the peer reports lost messages.
func (l *Link) Reset(host core.HostID) {
	l.mu.Lock()
	p := l.peers[host]
	l.mu.Unlock()
	if p != nil {
		p.breakStream()
	}
}

// Forget closes the link to a peer that has left permanently.
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

// Close sends the queued messages to connected peers, until ctx is done at the
// latest, and closes all links. It returns when all goroutines of the Link have
// ended.
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
