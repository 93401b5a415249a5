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
	// peerSentShare is the share of the machine's memory for messages that other hosts
	// have not accepted yet. Hosts that read may exceed it, as when many hosts start
	// and all request the state of the feeds.
	peerSentShare = 0.05
	// peerStallTime is how long a host may accept nothing before it may be closed for
	// that. The buffers of the system hold what a host gets in an ordinary pause.
	peerStallTime = 250 * time.Millisecond
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
	// dataFrameBytes is the memory of a DATA frame in the queue of a call besides its
	// bytes. Hosts send a message in frames of dataFrameSize or more, and may begin
	// one with a smaller frame.
	dataFrameBytes = 512
	dataFrameSize  = 8 << 10
	// sentMessageBytes is the memory of a message in the queue of a connection besides
	// its bytes. A byte that was written returns writtenByteCredit of it: a message
	// has at least 14 bytes on the wire.
	sentMessageBytes  = 512
	writtenByteCredit = sentMessageBytes/14 + 1
)

// peerConns bounds what connections to the port between hosts hold: it counts the
// memory of messages until they are complete or sent, and the calls. When it runs out,
// the connection that holds the most is closed. It exists for loads of clients that
// stop in the middle of large messages or open calls without end.
type peerConns struct {
	net.Listener
	limit    int
	memory   *platform.Memory // connections, calls and received messages
	sent     *platform.Memory // messages that are not accepted yet
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
	accepted atomic.Int64 // when bytes were last accepted
	pending  atomic.Int64 // memory of messages that are not complete
	unsent   atomic.Int64 // memory of messages that the other host has not accepted
	frames   frameCounter // of the bytes that were received; only the reader uses it
	calls    atomic.Int64
	served   atomic.Bool // a call was received
	forgiven atomic.Int64
	closed   atomic.Bool
}

func newPeerConns(s platform.HostSettings, log *clientLog) *peerConns {
	memory := int64(peerMemoryShare * float64(s.MemoryBytes))
	p := &peerConns{
		limit:  max(minConnections, min(connectionShare(s, peerDescriptorShare), int(peerConnShare*float64(memory)/peerConnBytes))),
		memory: platform.NewMemory(memory), sent: platform.NewMemory(int64(peerSentShare * float64(s.MemoryBytes))),
		log: log, conns: map[string]*peerConn{},
	}
	p.memory.MakeRoom, p.sent.MakeRoom = p.makeRoom, p.makeSentRoom
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
	c := &peerConn{Conn: raw, conns: p, raw: control, frames: newFrameCounter()}
	now := time.Now().UnixNano()
	c.progress.Store(now)
	c.accepted.Store(now)
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

// makeSentRoom closes the connections that accept nothing and have most to accept.
func (p *peerConns) makeSentRoom(bytes int64) bool {
	p.evicting.Lock()
	defer p.evicting.Unlock()
	conns, states := p.snapshot()
	for i, c := range conns {
		states[i] = clients.Client{Phase: clients.Answer, Progress: time.Unix(0, c.accepted.Load()), Bytes: c.unsent.Load()}
	}
	chosen := clients.Eviction{StallTime: peerStallTime}.ForMemory(time.Now(), states, bytes)
	for _, at := range chosen {
		_ = conns[at].Close()
	}
	p.log.count("unread", "hosts", len(chosen))
	return len(chosen) > 0
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.receive(b[:n]) {
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
	case !c.receive((*buffer)[:n]):
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
func (c *peerConn) receive(b []byte) bool {
	held := int64(len(b) + dataFrameBytes*c.frames.count(b))
	now := time.Now().UnixNano()
	c.progress.Store(now)
	if last := c.forgiven.Load(); now-last > int64(frameInterval) && c.forgiven.CompareAndSwap(last, now) {
		c.complete(intervalFrameBytes)
	}
	if c.conns.memory.Reserve(held) != nil {
		_ = c.Close()
		return false
	}
	c.pending.Add(held)
	if c.closed.Load() {
		c.complete(c.pending.Load()) // closed since the reservation
	}
	return true
}

// Write implements net.Conn.
func (c *peerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.accepted.Store(time.Now().UnixNano())
	release(c.conns.sent, &c.unsent, int64(n)*(1+writtenByteCredit))
	return n, err
}

// send counts a message that was queued.
func (c *peerConn) send(size int) {
	held := int64(size + sentMessageBytes)
	if c.conns.sent.Reserve(held) != nil {
		c.conns.sent.Charge(held) // all others accept what they get
	}
	c.unsent.Add(held)
	if c.closed.Load() {
		release(c.conns.sent, &c.unsent, held) // closed since the reservation
	}
}

// complete returns up to n bytes of messages that were received.
func (c *peerConn) complete(n int64) { release(c.conns.memory, &c.pending, n) }

// release returns up to n bytes of an amount.
func release(memory *platform.Memory, amount *atomic.Int64, n int64) {
	for {
		held := amount.Load()
		released := min(n, held)
		if released == 0 {
			return
		}
		if amount.CompareAndSwap(held, held-released) {
			memory.Release(released)
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
	release(c.conns.sent, &c.unsent, c.unsent.Load())
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
		c.complete(int64(event.WireLength + messageFrameBytes + dataFrameBytes*(2+event.WireLength/dataFrameSize)))
	case *stats.OutPayload:
		c.send(event.WireLength)
	case *stats.End:
		p.memory.Release(peerCallBytes)
		if c.calls.Add(-1) == 0 {
			c.complete(c.pending.Load())
		} else {
			c.complete(callFrameBytes)
		}
	}
}
