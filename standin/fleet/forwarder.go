package fleet

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Forwarder is a TCP proxy in front of a host's peer address. It can simulate a
// one-way partition: the host still connects to others, but no other host can
// connect to it.
type Forwarder struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	cut    bool
	conns  map[net.Conn]bool
}

// newForwarder listens on a free loopback address.
func newForwarder() (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "forwarder")
	}
	f := &Forwarder{listener: listener, conns: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// Address returns the address that peers connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Cut closes all connections and any new ones until Restore.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	for c := range f.conns {
		_ = c.Close()
	}
}

// Restore accepts connections again.
func (f *Forwarder) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = false
}

func (f *Forwarder) close() {
	if f == nil {
		return
	}
	_ = f.listener.Close()
	f.Cut()
}

func (f *Forwarder) setTarget(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = address
}

func (f *Forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(c)
	}
}

// forward copies bytes between a connection and a new one to the target until
// either is closed.
func (f *Forwarder) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !f.add(near, far) {
		return
	}
	defer f.remove(near, far)
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

// add registers connections to be closed by Cut. It returns false while the
// Forwarder is cut.
func (f *Forwarder) add(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		return false
	}
	for _, c := range conns {
		f.conns[c] = true
	}
	return true
}

func (f *Forwarder) remove(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.conns, c)
	}
}
