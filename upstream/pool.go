package upstream

import (
	"slices"
	"sync"

	"github.com/samphirebeam/samphirebeam/core"
)

// pool counts and keeps the connections to one upstream.
type pool struct {
	id core.UpstreamID

	mu      sync.Mutex
	address string
	limit   int
	open    int // connections open or being opened
	idle    []*conn
}

// configure takes the upstream's declared address and limit; connections to
// another address are of no more use.
func (p *pool) configure(address string, limit int) {
	p.mu.Lock()
	addressChanged := p.address != "" && p.address != address
	p.address, p.limit = address, limit
	p.mu.Unlock()
	if addressChanged {
		p.closeIdle()
	}
}

func (p *pool) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// reserve takes a place for one more connection while fewer than want, and
// than the limit, are open.
func (p *pool) reserve(want int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= min(want, p.limit) {
		return false
	}
	p.open++
	return true
}

// release gives a place back once its connection is closed.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// take returns an idle connection, or nil: one that has answered if only that
// may be reused, otherwise one that has not yet answered first.
func (p *pool) take(reuseOnly bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reuseOnly {
		if c := p.takeLast(false); c != nil {
			return c
		}
	}
	return p.takeLast(true)
}

// takeLast returns the idle connection used last among those that have
// answered, or have not; the lock is held.
func (p *pool) takeLast(answered bool) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.answered != answered {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.acquire() {
			return c
		}
	}
	return nil
}

// put makes a connection idle, or returns false: it is broken, or leads to a
// former address.
func (p *pool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.address != p.address || !c.markIdle() {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// closeIdle closes the idle connections. They are closed outside the lock,
// since each gives its place back.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// forget removes a connection that broke while idle.
func (p *pool) removeIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
