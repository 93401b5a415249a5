package edge

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// dialTimeout bounds the opening of a connection to an upstream.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the
	// upstream announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's own idle timeout a connection
	// is closed.
	idleMargin = 800 * time.Millisecond
	// maxIdleNonRepeatable is how long a connection may have been idle before it
	// carries a request that must not run twice. If it was idle for longer, the
	// upstream may already have closed it.
	maxIdleNonRepeatable = 500 * time.Millisecond
	// upstreamBufferBytes is the size of a connection's read buffer and of its
	// write buffer.
	upstreamBufferBytes = 2 << 10
	// poolSweepInterval is the interval at which expired idle connections are
	// closed.
	poolSweepInterval = time.Second
	// maxCarried bounds the memory of a connection: one that has carried more
	// requests whose deadlines have not passed is not reused.
	maxCarried = 1024
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	raw         net.Conn
	reader      *platform.ReplyReader
	writer      *bufio.Writer
	target      scatter.Upstream
	idleSince   time.Time
	idleTimeout time.Duration
	carried     carriedRequests
}

// carriedRequests are the requests that a connection has carried and whose
// deadlines have not passed. An upstream may send an answer once more, late, and
// answers are matched by the ID of the request only, which all sends of a request
// share. A request is therefore sent at most once on each connection.
type carriedRequests []carriedRequest

type carriedRequest struct {
	id     uint64 // hash of the ID
	expiry time.Time
}

var carriedSeed = maphash.MakeSeed()

func (r *carriedRequests) add(id string, now, expiry time.Time) {
	if len(*r) == cap(*r) {
		*r = slices.DeleteFunc(*r, func(c carriedRequest) bool { return now.After(c.expiry) })
	}
	*r = append(*r, carriedRequest{maphash.String(carriedSeed, id), expiry})
}

func (r carriedRequests) contains(id string) bool {
	hash := maphash.String(carriedSeed, id)
	return slices.ContainsFunc(r, func(c carriedRequest) bool { return c.id == hash })
}

// connPool holds the idle connections by upstream. The connections to one
// upstream, in use and idle together, stay within the limit that each send
// carries, since the core has no more sends in flight than that.
type connPool struct {
	mu     sync.Mutex
	idle   map[poolKey][]*conn // the least recently used first
	inUse  map[poolKey]int
	opened uint64 // total since the start
}

// poolKey identifies one start of an upstream: a restarted upstream keeps its
// ID but may have another address.
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

// takeIdle returns an idle connection that is still open and has not carried the
// request, or nil; the caller then opens a new one.
func (p *connPool) takeIdle(send scatter.Send, requestID string, now time.Time) *conn {
	for {
		c := p.popIdle(send, requestID, now)
		if c == nil {
			return nil
		}
		if c.isOpen() {
			return c
		}
		_ = c.raw.Close()
	}
}

// popIdle removes and returns the most recently used idle connection that has not
// carried the request.
func (p *connPool) popIdle(send scatter.Send, requestID string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKeyOf(send.Target)
	at := p.indexIdle(key, requestID)
	if at < 0 {
		return nil
	}
	c := p.idle[key][at]
	if !send.Repeatable && now.Sub(c.idleSince) > maxIdleNonRepeatable {
		return nil
	}
	p.idle[key] = slices.Delete(p.idle[key], at, at+1)
	return c
}

// indexIdle returns the index of the most recently used idle connection that has not
// carried the request, or -1. The caller holds p.mu.
func (p *connPool) indexIdle(key poolKey, requestID string) int {
	idle := p.idle[key]
	for at := len(idle) - 1; at >= 0; at-- {
		if !idle[at].carried.contains(requestID) {
			return at
		}
	}
	return -1
}

// hasIdle reports whether there is an idle connection for a send of a request.
func (p *connPool) hasIdle(send scatter.Send, requestID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.indexIdle(poolKeyOf(send.Target), requestID) >= 0
}

// acquire counts a connection as in use.
func (p *connPool) acquire(send scatter.Send) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[poolKeyOf(send.Target)]++
}

// tryAcquire counts a connection as in use, unless the upstream already has as
// many in use as the send allows.
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

// evictIdle counts a connection that is about to be opened, and closes the
// oldest idle ones if it would exceed the limit.
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

// release counts a connection as no longer in use, and keeps it as idle unless c
// is nil.
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

// sweep closes the connections whose idle timeout has expired.
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

// counts returns the number of connections opened so far, and of those open
// now.
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

// isOpen reports whether an idle connection is open, not expired and has no
// unread bytes: bytes that arrive while no request is in flight belong to none.
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

// abort resets the connection and discards unsent bytes, so that a cancelled
// request cannot arrive later.
func (c *conn) abort() { abort(c.raw) }

func abort(raw net.Conn) {
	if tcp, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // the connection ends either way
	}
	_ = raw.Close()
}

// setIdleTimeout sets how long the connection may stay idle; upstreamIdle is the
// idle timeout that the upstream announced, or 0.
func (c *conn) setIdleTimeout(upstreamIdle time.Duration) {
	switch {
	case upstreamIdle > 0:
		c.idleTimeout = max(upstreamIdle-idleMargin, upstreamIdle/2)
	case c.idleTimeout == 0:
		c.idleTimeout = defaultIdleTimeout
	}
}
