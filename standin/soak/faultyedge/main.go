// Command faultyedge is samphirebeam-edge with links to the upstreams that a soak can
// cut. Loopback addresses cannot be cut for one process only without privileges.
//
// The variable SOAK_CUT holds the path of a file with the kind of the cut: empty, hang,
// reset, refuse or spare. It is read again every few milliseconds.
package main

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirebeam/samphirebeam/edge"
	"github.com/samphirebeam/samphirebeam/edge/command"
)

const pollInterval = 10 * time.Millisecond

func main() {
	l := &links{conns: map[*conn]struct{}{}}
	l.kind.Store("")
	go l.follow(os.Getenv("SOAK_CUT"))
	command.Main(edge.WithUpstreamDialer(l.dial))
}

// links are the connections to all upstreams.
type links struct {
	dialer net.Dialer
	kind   atomic.Value // string

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func (l *links) is(kind string) bool { return l.kind.Load() == kind }

// follow applies the kind of cut that the file names.
func (l *links) follow(path string) {
	for ; ; time.Sleep(pollInterval) {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // no cut yet
		}
		kind := strings.TrimSpace(string(data))
		if before := l.kind.Swap(kind); before != kind && (kind == "reset" || kind == "refuse") {
			l.resetAll()
		}
	}
}

func (l *links) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0) // the connection is closed anyway
		_ = c.TCPConn.Close()
	}
}

func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch {
	case l.is("refuse") || l.is("spare"):
		return nil, syscall.ECONNREFUSED
	case l.is("hang") || l.is("reset"):
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: raw.(*net.TCPConn), links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that drops all bytes in both directions while its links hang.
type conn struct {
	*net.TCPConn
	links *links
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.links.is("hang") {
			return n, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.links.is("hang") {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

func (c *conn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
