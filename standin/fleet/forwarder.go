package fleet

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Forwarder stands before a host's peer address and can cut it off: the host
// still reaches others, but nobody reaches it.
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

// Cut breaks all connections and refuses new ones until Mend.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	for c := range f.conns {
		_ = c.Close()
	}
}

// Restore lets connections in again.
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

// forward joins a connection to one to the target until either ends.
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

// add remembers connections that Cut breaks; false means that it is cut.
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
