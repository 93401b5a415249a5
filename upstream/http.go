package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// HTTP is a Client that calls upstreams over HTTP/1.1.
type HTTP struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	pools   map[core.UpstreamID]*pool
	running map[core.AttemptID]context.CancelFunc
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client without connections.
func NewHTTP(cfg Config) *HTTP {
	cfg.fillDefaults()
	h := &HTTP{
		cfg:     cfg,
		pools:   map[core.UpstreamID]*pool{},
		running: map[core.AttemptID]context.CancelFunc{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Dispatch starts one attempt.
func (h *HTTP) Dispatch(d core.Dispatch) {
	ctx, cancel := context.WithDeadline(h.ctx, d.Deadline)
	h.mu.Lock()
	h.running[d.Attempt] = cancel
	h.mu.Unlock()
	h.wg.Go(func() {
		reply, c := h.run(ctx, d)
		cancel()
		h.mu.Lock()
		delete(h.running, d.Attempt)
		h.mu.Unlock()
		h.finish(reply, c)
	})
}

// finish returns the connection to the pool and then reports the reply, so that
// an attempt that follows the reply can reuse the connection.
func (h *HTTP) finish(reply core.UpstreamReply, c *conn) {
	if c == nil {
		h.cfg.Report(reply)
		return
	}
	c.reportMu.Lock()
	defer c.reportMu.Unlock()
	kept := c.pool.put(c)
	h.cfg.Report(reply)
	if !kept {
		c.close()
		h.cfg.Report(core.UpstreamConn{Upstream: reply.Upstream, Open: false})
	}
}

// Cancel closes the connection of a running attempt.
func (h *HTTP) Cancel(c core.CancelDispatch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.running[c.Attempt]; cancel != nil {
		cancel()
	}
}

// OpenConns opens idle connections until Want are open in total.
func (h *HTTP) OpenConns(o core.OpenConns) {
	p := h.pool(o.Upstream)
	for p.reserve(o.Want) {
		h.wg.Go(func() { h.openIdle(p) })
	}
}

func (h *HTTP) openIdle(p *pool) {
	c, err := h.dial(h.ctx, p)
	if err != nil {
		h.cfg.Report(core.UpstreamConn{Upstream: p.id, Open: false})
		return
	}
	c.reportMu.Lock()
	defer c.reportMu.Unlock()
	kept := p.put(c)
	h.cfg.Report(core.UpstreamConn{Upstream: p.id, Open: kept})
	if !kept {
		c.close()
	}
}

// CloseConns closes idle connections.
func (h *HTTP) CloseConns(c core.CloseConns) {
	h.mu.Lock()
	p := h.pools[c.Upstream]
	h.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

// Close cancels running attempts and closes all connections.
func (h *HTTP) Close() {
	h.mu.Lock()
	h.cancel()
	h.mu.Unlock()
	h.wg.Wait()
}

// Conns returns the number of connections that are open or being opened.
func (h *HTTP) Conns(id core.UpstreamID) int {
	h.mu.Lock()
	p := h.pools[id]
	h.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.size()
}

// pool returns the upstream's pool, updated to its current address and limit.
func (h *HTTP) pool(u *core.Upstream) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[u.ID]
	if p == nil {
		p = &pool{id: u.ID}
		h.pools[u.ID] = p
	}
	p.configure(u.Address, u.Connections)
	return p
}

// dial opens a connection whose slot in the pool is already reserved. It
// releases the slot on failure.
func (h *HTTP) dial(ctx context.Context, p *pool) (*conn, error) {
	dialer := net.Dialer{Timeout: h.cfg.ConnectTimeout, KeepAlive: 15 * time.Second}
	address := p.currentAddress()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release()
		return nil, err
	}
	c := newConn(p, raw, address)
	// Closing the client closes the connection, which ends its readLoop.
	stopAfterFunc := context.AfterFunc(h.ctx, c.close)
	h.wg.Go(func() {
		c.readLoop(h.cfg)
		stopAfterFunc()
	})
	return c, nil
}
