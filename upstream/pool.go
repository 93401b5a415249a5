package upstream

import (
	"slices"
	"sync"

	"github.com/samphirebeam/samphirebeam/core"
)

// pool counts the connections to one upstream and holds the idle ones.
type pool struct {
	id core.UpstreamID

	mu      sync.Mutex
	address string
	limit   int
	open    int // connections open or being opened
	idle    []*conn
}

// configure sets the upstream's declared address and connection limit. If the
// address changes, idle connections to the old one are closed.
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

// reserve reserves a slot for one more connection. It returns false if want
// connections, or as many as the limit allows, are open already.
func (p *pool) reserve(want int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= min(want, p.limit) {
		return false
	}
	p.open++
	return true
}

// release frees the slot of a closed connection.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// take returns an idle connection, or nil if there is none. With reuseOnly, it
// returns only a connection that has already answered a request; otherwise it
// prefers one that has not.
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

// takeLast returns the most recently used idle connection whose answered field
// has the given value, or nil. The caller holds the lock.
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

// put adds a connection to the idle ones. It returns false if the connection
// is broken or was opened to a previous address.
func (p *pool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.address != p.address || !c.markIdle() {
		return false
	}
	p.idle = append(p.idle, c)
	return true
}

// closeIdle closes the idle connections. It closes them without holding the
// lock, because closing a connection calls release.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// removeIdle removes a connection that broke while idle.
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
