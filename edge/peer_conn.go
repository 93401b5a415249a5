package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/stats"

	"github.com/samphirebeam/samphirebeam/core/clients"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// peerMemoryShare is the share of the machine's memory for the connections, calls
	// and incomplete messages of other hosts; connections may take peerConnShare of it.
	peerMemoryShare = 0.15
	peerConnShare   = 0.75
	// peerConnBytes is the memory of a connection: a buffer of 32 KB while it is read,
	// and its goroutines.
	peerConnBytes = 44 << 10
	// peerCallBytes is the memory of a call: its goroutine, stream and headers.
	peerCallBytes = 16 << 10
	// peerMaxCalls is the most calls of one host at a time.
	peerMaxCalls = 2000
	// peerMaxCallHeaderBytes bounds the headers of a call of another host, which are
	// a few hundred bytes.
	peerMaxCallHeaderBytes = 8 << 10
	// Frames of HTTP/2 other than messages count as received too. So much of them is
	// forgiven with each message, each call and each interval, in which a connection
	// without calls that end receives a few frames.
	messageFrameBytes  = 64
	callFrameBytes     = 512
	intervalFrameBytes = 4 << 10
	frameInterval      = 10 * time.Second
)

// peerConns bounds what connections to the port between hosts hold: it counts the
// bytes of messages until they are complete, and the calls. When either runs out,
// the connection that holds the most is closed. It exists for loads of clients that
// stop in the middle of large messages or open calls without end.
type peerConns struct {
	net.Listener
	limit    int
	memory   *platform.Memory
	log      *clientLog
	evicting sync.Mutex

	mu    sync.Mutex
	conns map[string]*peerConn // by remote address
}

// peerConn is a connection of another host.
type peerConn struct {
	net.Conn
	conns    *peerConns
	raw      syscall.RawConn
	progress atomic.Int64 // when bytes were last received, Unix time in nanoseconds
	pending  atomic.Int64 // bytes received of messages that are not complete
	calls    atomic.Int64
	served   atomic.Bool // a call was received
	forgiven atomic.Int64
	closed   atomic.Bool
}

func newPeerConns(s platform.HostSettings, log *clientLog) *peerConns {
	memory := int64(peerMemoryShare * float64(s.MemoryBytes))
	p := &peerConns{
		limit:  max(minConnections, min(connectionShare(s, peerDescriptorShare), int(peerConnShare*float64(memory)/peerConnBytes))),
		memory: platform.NewMemory(memory), log: log, conns: map[string]*peerConn{},
	}
	p.memory.MakeRoom = p.makeRoom
	return p
}

// on sets the listener whose connections are accepted.
func (p *peerConns) on(listener net.Listener) net.Listener {
	p.Listener = listener
	return p
}

// Accept implements net.Listener.
func (p *peerConns) Accept() (net.Conn, error) {
	for {
		raw, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := p.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection, or returns nil if there is no place for it.
func (p *peerConns) admit(raw net.Conn) *peerConn {
	if p.count() >= p.limit {
		conns, states := p.snapshot()
		chosen := clients.Eviction{StallTime: stallTime}.ForConnections(time.Now(), states, max(1, int(evictionBatch*float64(p.limit))))
		for _, at := range chosen {
			_ = conns[at].Close()
		}
		p.log.count("connections_full", "hosts", len(chosen))
		if p.count() >= p.limit {
			p.log.count("connection_refused", "hosts", 1)
			return nil
		}
	}
	control, err := rawConn(raw)
	if err != nil {
		return nil // the client has closed it already
	}
	c := &peerConn{Conn: raw, conns: p, raw: control}
	now := time.Now().UnixNano()
	c.progress.Store(now)
	c.forgiven.Store(now)
	p.memory.Charge(peerConnBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[raw.RemoteAddr().String()] = c
	return c
}

// rawConn returns the access to the descriptor of a connection.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	holder, ok := c.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("a %T has no descriptor", c)
	}
	return holder.SyscallConn()
}

func (p *peerConns) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// snapshot returns all connections and their states. One with calls is running:
// it is not closed to make place for another connection.
func (p *peerConns) snapshot() ([]*peerConn, []clients.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*peerConn, 0, len(p.conns))
	states := make([]clients.Client, 0, len(p.conns))
	for _, c := range p.conns {
		conns = append(conns, c)
		phase := clients.Head
		switch {
		case c.calls.Load() > 0:
			phase = clients.Running
		case c.served.Load():
			phase = clients.Idle
		}
		states = append(states, clients.Client{
			Phase: phase, Address: clientAddress(c.Conn), Progress: time.Unix(0, c.progress.Load()), Served: c.served.Load(),
			Bytes: c.pending.Load() + c.calls.Load()*peerCallBytes,
		})
	}
	return conns, states
}

// makeRoom closes the connections that hold the most. Their calls end as if the
// host had died, which other hosts have to expect at any time.
func (p *peerConns) makeRoom(bytes int64) bool {
	used := p.memory.Used()
	p.evicting.Lock()
	defer p.evicting.Unlock()
	if p.memory.Used() <= used-bytes {
		return true
	}
	conns, states := p.snapshot()
	now := time.Now()
	for i := range states {
		// Only what a connection holds counts: hosts have idle calls all the time.
		states[i].Phase, states[i].Progress, states[i].Served = clients.Body, now, false
	}
	chosen := clients.Eviction{StallTime: stallTime}.ForMemory(now, states, bytes)
	for _, at := range chosen {
		_ = conns[at].Close()
	}
	p.log.count("memory_full", "hosts", len(chosen))
	return len(chosen) > 0
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.receive(n) {
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// ReadOnReady is an optional method of connections of gRPC: a connection that waits
// for data holds no buffer.
func (c *peerConn) ReadOnReady(size int, pool mem.BufferPool) (buffer *[]byte, n int, err error) {
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		buffer = pool.Get(size)
		for n, readErr = syscall.Read(int(fd), *buffer); errors.Is(readErr, syscall.EINTR); {
			n, readErr = syscall.Read(int(fd), *buffer)
		}
		if n > 0 {
			return true
		}
		pool.Put(buffer)
		buffer = nil
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil || readErr != nil:
		err = errors.Join(err, readErr)
	case n == 0:
		err = io.EOF
	case !c.receive(n):
		err = io.ErrUnexpectedEOF
	default:
		return buffer, n, nil
	}
	if buffer != nil {
		pool.Put(buffer)
	}
	return nil, 0, err
}

// receive counts bytes that were received. If there is no memory for them, it
// closes the connection and returns false.
func (c *peerConn) receive(n int) bool {
	now := time.Now().UnixNano()
	c.progress.Store(now)
	if last := c.forgiven.Load(); now-last > int64(frameInterval) && c.forgiven.CompareAndSwap(last, now) {
		c.complete(intervalFrameBytes)
	}
	if c.conns.memory.Reserve(int64(n)) != nil {
		_ = c.Close()
		return false
	}
	c.pending.Add(int64(n))
	if c.closed.Load() {
		c.complete(c.pending.Load()) // closed since the reservation
	}
	return true
}

// complete returns up to n bytes that were received of messages.
func (c *peerConn) complete(n int64) {
	for {
		pending := c.pending.Load()
		released := min(n, pending)
		if c.pending.CompareAndSwap(pending, pending-released) {
			c.conns.memory.Release(released)
			return
		}
	}
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.conns.mu.Lock()
	if address := c.RemoteAddr().String(); c.conns.conns[address] == c {
		delete(c.conns.conns, address)
	}
	c.conns.mu.Unlock()
	err := c.Conn.Close()
	c.conns.memory.Release(peerConnBytes)
	c.complete(c.pending.Load())
	return err
}

// peerConnKey is the context key of a call's *peerConn.
type peerConnKey struct{}

// TagConn implements stats.Handler.
func (p *peerConns) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return context.WithValue(ctx, peerConnKey{}, p.conns[info.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (p *peerConns) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (p *peerConns) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler. It counts calls and complete messages.
func (p *peerConns) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, _ := ctx.Value(peerConnKey{}).(*peerConn)
	if c == nil {
		return
	}
	switch event := event.(type) {
	case *stats.Begin:
		c.served.Store(true)
		c.calls.Add(1)
		if p.memory.Reserve(peerCallBytes) != nil {
			p.memory.Charge(peerCallBytes) // its end releases it
			_ = c.Close()
		}
	case *stats.InPayload:
		c.complete(int64(event.WireLength) + messageFrameBytes)
	case *stats.End:
		p.memory.Release(peerCallBytes)
		if c.calls.Add(-1) == 0 {
			c.complete(c.pending.Load())
		} else {
			c.complete(callFrameBytes)
		}
	}
}
