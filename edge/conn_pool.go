package edge

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// dialTimeout ends the opening of a connection to an upstream.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long an idle connection is kept when the upstream
	// does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's own timeout an idle
	// connection is closed.
	idleMargin = 800 * time.Millisecond
	// freshIdle is the longest rest of a connection that a request takes which
	// must not run twice: on one that rested longer, the upstream's close may
	// be on its way.
	maxIdleNonRepeatable = 500 * time.Millisecond
	// upstreamBuffer is the size of a connection's read and write buffers.
	upstreamBufferBytes = 2 << 10
	// sweepEvery is the time between two looks for idle connections to close.
	poolSweepInterval = time.Second
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	raw         net.Conn
	reader      *platform.ReplyReader
	writer      *bufio.Writer
	target      scatter.Upstream
	idleSince   time.Time // when it became idle
	idleTimeout time.Duration
}

// pools keeps the idle connections by upstream. Connections to one upstream in
// use and idle together stay within the limit that each send brings, since the
// core starts no more sends than that at once.
type connPool struct {
	mu     sync.Mutex
	idle   map[poolKey][]*conn
	inUse  map[poolKey]int
	opened uint64
}

// poolKey is an upstream at an address: a start under the same ID may be
// elsewhere.
type poolKey struct {
	id      string
	address string
	started int64
}

func poolKeyOf(target scatter.Upstream) poolKey {
	return poolKey{string(target.ID), target.Address, target.Started}
}

func newConnPool() *connPool {
	return &connPool{idle: map[poolKey][]*conn{}, inUse: map[poolKey]int{}}
}

// take returns an idle connection that is still sound, or nil; the caller then
// opens one. Connections over the limit are closed.
func (p *connPool) takeIdle(send scatter.Send, now time.Time) *conn {
	for {
		c := p.popIdle(send, now)
		if c == nil {
			return nil
		}
		if c.isOpen() {
			return c
		}
		_ = c.raw.Close()
	}
}

// pop takes the connection that was used last, and counts it as in use.
func (p *connPool) popIdle(send scatter.Send, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKeyOf(send.Target)
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	if !send.Repeatable && now.Sub(c.idleSince) > maxIdleNonRepeatable {
		return nil
	}
	p.idle[key] = idle[:len(idle)-1]
	return c
}

// begin counts a send.
func (p *connPool) acquire(send scatter.Send) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[poolKeyOf(send.Target)]++
}

// beginWithin counts a send if the upstream has fewer connections in use than
// the send allows.
func (p *connPool) tryAcquire(send scatter.Send) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKeyOf(send.Target)
	if p.inUse[key] >= send.Connections {
		return false
	}
	p.inUse[key]++
	return true
}

// makeRoom closes the oldest idle connection when one more would exceed the
// limit.
func (p *connPool) evictIdle(send scatter.Send) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKeyOf(send.Target)
	idle := p.idle[key]
	for len(idle) > 0 && len(idle)+p.inUse[key] > send.Connections {
		_ = idle[0].raw.Close()
		idle = idle[1:]
	}
	p.idle[key] = idle
	p.opened++
}

// end returns a connection after a send, or nil when it is of no more use.
func (p *connPool) release(send scatter.Send, c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKeyOf(send.Target)
	if p.inUse[key]--; p.inUse[key] <= 0 {
		delete(p.inUse, key)
	}
	if c == nil {
		return
	}
	c.idleSince = now
	p.idle[key] = append(p.idle[key], c)
}

// sweep closes the connections that rested too long.
func (p *connPool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		for len(idle) > 0 && now.Sub(idle[0].idleSince) > idle[0].idleTimeout {
			_ = idle[0].raw.Close()
			idle = idle[1:]
		}
		if len(idle) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = idle
		}
	}
}

// counts returns the connections opened so far, and those open now.
func (p *connPool) counts() (opened uint64, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		open += len(idle)
	}
	for _, n := range p.inUse {
		open += n
	}
	return p.opened, open
}

func newConn(raw net.Conn, target scatter.Upstream) *conn {
	return &conn{
		raw:    raw,
		reader: platform.NewReplyReader(raw, upstreamBufferBytes),
		writer: bufio.NewWriterSize(raw, upstreamBufferBytes),
		target: target,
	}
}

// sound says that an idle connection is open and holds no bytes: what an
// upstream sends while no request runs belongs to none.
func (c *conn) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if time.Since(c.idleSince) > c.idleTimeout {
		return false
	}
	holder, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// abort closes the connection and drops what the upstream did not receive yet,
// so that a request that was given up cannot arrive later.
func (c *conn) abort() { abort(c.raw) }

func abort(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection ends either way
	}
	_ = raw.Close()
}

// settle sets how long the connection may rest.
func (c *conn) setIdleTimeout(upstreamIdle time.Duration) {
	switch {
	case upstreamIdle > 0:
		c.idleTimeout = max(upstreamIdle-idleMargin, upstreamIdle/2)
	case c.idleTimeout == 0:
		c.idleTimeout = defaultIdleTimeout
	}
}
