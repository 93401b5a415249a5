package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync"

	"github.com/samphirebeam/samphirebeam/core"
)

// connState is the life-cycle state of a connection.
type connState int

const (
	// connActive: a request is being sent or its answer is awaited.
	connActive connState = iota
	// connUnpooled: no request is running, but the connection is not in the
	// pool of idle connections yet: it was just opened, or its answer was just
	// read.
	connUnpooled
	connIdle
	connClosed
)

// conn is one connection to an upstream. Only the goroutine that runs readLoop
// reads from it.
type conn struct {
	pool    *pool
	raw     net.Conn
	address string
	writer  *bufio.Writer
	written *countingWriter
	results chan result // receives the answer to the running request

	// answered is true if the last request on this connection was answered.
	// Only the request that holds the connection changes it.
	answered bool

	// reportMu ensures that a reply is reported before the closing of the
	// connection that carried it.
	reportMu sync.Mutex

	mu    sync.Mutex
	state connState
}

// countingWriter counts the bytes written, which shows whether any byte of a
// request may have been sent.
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

// acquire claims an idle connection for a request. It returns false if the
// connection is not idle any more.
func (c *conn) acquire() bool { return c.transition(connIdle, connActive) }

// acquireNew claims a connection that was opened for this request.
func (c *conn) acquireNew() bool { return c.transition(connUnpooled, connActive) }

// markIdle marks an unpooled connection as idle.
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

// markClosed marks the connection as closed and returns its previous state.
func (c *conn) markClosed() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.state
	c.state = connClosed
	return previous
}

// close closes the connection and releases its slot in the pool. Further calls
// do nothing.
func (c *conn) close() {
	if c.markClosed() != connClosed {
		c.teardown()
	}
}

func (c *conn) teardown() {
	_ = c.raw.Close()
	c.pool.release()
}

// readLoop reads answers until the connection ends. Data or an end of stream
// that arrives while no request is running makes the connection unusable.
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
		// Leave the active state before the answer is handed over, since its
		// receiver then marks the connection idle.
		if !c.transition(connActive, connUnpooled) {
			return // closed in the meantime: nothing waits for the answer
		}
		c.results <- answer
	}
}

func (c *conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connActive
}

// closeUnused closes a connection on which no request is running. It reports
// the closing if the connection was idle; if it was unpooled, HTTP.finish or
// HTTP.openIdle reports it.
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

// result is an answer read from a connection, or the error that prevented it.
type result struct {
	response *http.Response
	body     []byte
	err      error
}
