package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync"

	"github.com/samphirebeam/samphirebeam/core"
)

// connState is where a connection is in its life.
type connState int

const (
	// connWorking: a request is on its way or awaited.
	connActive connState = iota
	// connSettled: its answer was read; the connection is not idle yet.
	connUnpooled
	connIdle
	connClosed
)

// conn is one connection. One goroutine, watch, reads from it.
type conn struct {
	pool    *pool
	raw     net.Conn
	address string
	writer  *bufio.Writer
	written *countingWriter
	results chan result // holds the answer of the request that is running

	// answered says that a request has had its answer here; it changes while
	// the request holds the connection.
	answered bool

	// order makes the core learn of a reply before it learns that the same
	// connection broke.
	reportMu sync.Mutex

	mu    sync.Mutex
	state connState
}

// countingWriter says whether any byte of a request may have left.
type countingWriter struct {
	raw   net.Conn
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.raw.Write(b)
	w.bytes += int64(n)
	return n, err
}

func newConn(p *pool, raw net.Conn, address string) *conn {
	written := &countingWriter{raw: raw}
	return &conn{
		pool:    p,
		raw:     raw,
		address: address,
		written: written,
		writer:  bufio.NewWriter(written),
		results: make(chan result, 1),
		state:   connUnpooled,
	}
}

// begin claims an idle connection for a request.
func (c *conn) acquire() bool { return c.transition(connIdle, connActive) }

// beginFresh claims a connection that was opened for the request.
func (c *conn) acquireNew() bool { return c.transition(connUnpooled, connActive) }

// rest makes a settled connection idle.
func (c *conn) markIdle() bool { return c.transition(connUnpooled, connIdle) }

func (c *conn) transition(from, to connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != from {
		return false
	}
	c.state = to
	return true
}

// die returns the state before the connection was given up.
func (c *conn) markClosed() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.state
	c.state = connClosed
	return previous
}

// close closes the connection and gives its place back, once.
func (c *conn) close() {
	if c.markClosed() != connClosed {
		c.teardown()
	}
}

func (c *conn) teardown() {
	_ = c.raw.Close()
	c.pool.release()
}

// watch reads answers until the connection ends. Bytes or an end that come
// while no request is running mean that the connection is of no more use.
func (c *conn) readLoop(cfg Config) {
	reader := bufio.NewReader(c.raw)
	for {
		_, err := reader.Peek(1)
		if !c.isActive() {
			c.closeUnused(cfg)
			return
		}
		answer := result{err: err}
		if err == nil {
			answer = readResult(reader, cfg.MaxBody)
		}
		if answer.err != nil || answer.response.Close {
			c.close()
			c.results <- answer
			return
		}
		// Settled before the answer is handed over: the next state is idle.
		if !c.transition(connActive, connUnpooled) {
			return // closed meanwhile: nobody waits for the answer
		}
		c.results <- answer
	}
}

func (c *conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connActive
}

// breakIdle ends a connection on which no request is running and reports it
// if it was idle; if it was settled, the end of the request reports it.
func (c *conn) closeUnused(cfg Config) {
	previous := c.markClosed()
	if previous == connClosed {
		return
	}
	c.teardown()
	if previous != connIdle {
		return
	}
	c.pool.removeIdle(c)
	c.reportMu.Lock()
	defer c.reportMu.Unlock()
	cfg.Report(core.UpstreamConn{Upstream: c.pool.id, Open: false})
}

// result is the answer that a connection gave, or why there is none.
type result struct {
	response *http.Response
	body     []byte
	err      error
}
