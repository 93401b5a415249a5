package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// proxy forwards connections on loopback and harms them on request.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	delay  time.Duration
	silent bool // bytes are swallowed, both ways
	oneWay bool // bytes towards the target are swallowed
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

// copy moves bytes until one side ends, which ends the other.
func (p *proxy) copy(to, from net.Conn, towards bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			delay, drop := p.delay, p.silent || p.oneWay && towards
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

// reset breaks all connections without a proper end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection ends either way
		}
		_ = c.Close()
	}
}

// harm sets what is wrong with the connections; false and 0 end it.
func (p *proxy) setFaults(delay time.Duration, silent, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent, p.oneWay = delay, silent, deaf
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
