package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// proxy forwards TCP connections on loopback and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	delay  time.Duration
	silent bool // bytes are dropped in both directions
	oneWay bool // bytes towards the target are dropped
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(near)
	}
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, true) })
	both.Go(func() { p.copy(near, far, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copy forwards bytes in one direction until either side closes, then closes
// both connections. towardsTarget is the direction that oneWay drops.
func (p *proxy) copy(to, from net.Conn, towardsTarget bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			delay, drop := p.delay, p.silent || p.oneWay && towardsTarget
			p.mu.Unlock()
			time.Sleep(delay)
			if !drop {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // an error does not matter: the connection is closed anyway
		}
		_ = c.Close()
	}
}

// setFaults replaces the faults of all connections; zero values end them.
func (p *proxy) setFaults(delay time.Duration, silent, oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent, p.oneWay = delay, silent, oneWay
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
