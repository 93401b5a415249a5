package edge

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samphirebeam/samphirebeam/core/clients"
)

const (
	// clientConnBytes is the memory of an open HTTP connection: two buffers of 4 KB,
	// the stacks of two goroutines, and the state of the connection.
	clientConnBytes = 28 << 10
	// headFieldBytes is the memory of one field of a head besides its bytes: its
	// entries in the parsed header and in the copy that is forwarded.
	headFieldBytes = 256
	// headByteFactor is how often the bytes of a head are held: parsed and copied.
	headByteFactor = 2
	// headSlackBytes is how many bytes a head may exceed the limit by before it is
	// refused unparsed: what is tolerated, and what is read of the body with it.
	headSlackBytes = 8 << 10
	// A client whose head is refused gets refusalLinger to read the refusal, which a
	// reset would discard. At most lingerBytes of what it still sends are read.
	refusalLinger = 50 * time.Millisecond
	lingerBytes   = 256 << 10
	// writeChunkBytes is how much of an answer a client has to accept to make progress. A
	// slow client that reads steadily must not count as one that does not read.
	writeChunkBytes = 32 << 10
)

// clientConn is a connection of a client. It reserves the memory of heads before
// they are parsed.
type clientConn struct {
	net.Conn
	conns   *clientConns
	address netip.Addr

	phase    atomic.Int32 // a clients.Phase
	progress atomic.Int64 // when bytes were last received or accepted, Unix time in nanoseconds
	served   atomic.Bool
	closed   atomic.Bool
	// reserving is true while the connection waits for memory of others.
	reserving atomic.Bool
	// headRead is how many bytes of the current head were read, headHeld the memory
	// reserved for it, body the bytes of the current body or answer.
	headRead, headHeld, body atomic.Int64
	// headSince is when the first byte of the current head was read, Unix time in
	// nanoseconds.
	headSince atomic.Int64
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now().UnixNano()
	c.progress.Store(now)
	switch clients.Phase(c.phase.Load()) {
	case clients.Idle:
		if !c.setPhase(clients.Head) {
			return 0, io.EOF
		}
		fallthrough
	case clients.Head:
		if c.headRead.Load() == 0 {
			c.headSince.Store(now)
		}
		if status := c.reserveHead(p[:n]); status != "" {
			return 0, c.refuse(status)
		}
	case clients.Body:
		c.body.Add(int64(n))
	}
	return n, err
}

// Refusals of heads, which the HTTP library has not parsed yet.
const (
	headTooLarge = "431 Request Header Fields Too Large\r\n"
	headNoMemory = "503 Service Unavailable\r\nRetry-After: 0.200\r\n"
)

// reserveHead reserves the memory of the bytes of a head. It returns the status to
// refuse the head with, or an empty string.
func (c *clientConn) reserveHead(p []byte) string {
	if c.headRead.Add(int64(len(p))) > c.conns.maxHeadBytes()+headSlackBytes {
		return headTooLarge
	}
	held := int64(len(p)*headByteFactor + bytes.Count(p, []byte{'\n'})*headFieldBytes)
	c.reserving.Store(true)
	err := c.conns.memory.Reserve(held)
	c.reserving.Store(false)
	if err != nil {
		return headNoMemory
	}
	c.headHeld.Add(held)
	if c.closed.Load() {
		c.releaseHead() // closed since the reservation
	}
	return ""
}

// refuse answers a head that has not been read completely, and closes the
// connection.
func (c *clientConn) refuse(status string) error {
	c.conns.refused(status)
	_ = c.SetDeadline(time.Now().Add(refusalLinger)) // nobody waits for a client that does not read
	if _, err := io.WriteString(c.Conn, "HTTP/1.1 "+status+"Content-Length: 0\r\nConnection: close\r\n\r\n"); err == nil && status == headTooLarge {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		}
	}
	_ = c.Close()
	return io.EOF
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		c.progress.Store(time.Now().UnixNano())
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.conns.remove(c)
	return err
}

// evictedPhase is the phase of a connection that gives way. It is final, so that a request
// begins to run or the connection is closed, never both.
const evictedPhase = -1

// setPhase sets what the connection waits for; it returns false if the connection gives way.
func (c *clientConn) setPhase(phase clients.Phase) bool {
	for {
		before := c.phase.Load()
		if before == evictedPhase {
			return false
		}
		if c.phase.CompareAndSwap(before, int32(phase)) {
			break
		}
	}
	switch phase {
	case clients.Body:
		c.body.Store(0)
	case clients.Answer:
		c.body.Store(0)
		c.progress.Store(time.Now().UnixNano())
	case clients.Idle:
		c.served.Store(true)
		c.headRead.Store(0)
		c.releaseHead()
	}
	return true
}

// releaseHead returns the memory of a head that is no longer held.
func (c *clientConn) releaseHead() { c.conns.memory.Release(c.headHeld.Swap(0)) }

// state returns the input of the decision which connections to close.
func (c *clientConn) state() clients.Client {
	held := clientConnBytes + c.headHeld.Load()
	if phase := clients.Phase(c.phase.Load()); phase == clients.Body || phase == clients.Answer {
		held += c.body.Load()
	}
	return clients.Client{
		Phase: clients.Phase(c.phase.Load()), Address: c.address, Progress: time.Unix(0, c.progress.Load()), Bytes: held, Served: c.served.Load(),
	}
}

// evict closes the connection, unless a request has begun to run on it. A body that
// is being read is answered with status 408, which states that the request has not
// run. It returns false if the connection does not give way.
func (c *clientConn) evict(answer bool) bool {
	before := c.phase.Load()
	if before == int32(clients.Running) || before == evictedPhase || !c.phase.CompareAndSwap(before, evictedPhase) {
		return false
	}
	if answer && before == int32(clients.Body) && c.SetReadDeadline(time.Now()) == nil {
		return true
	}
	_ = c.Close()
	return true
}

// clientAddress returns the IP address of the other end.
func clientAddress(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}
