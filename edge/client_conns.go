package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core/clients"
	"github.com/samphirebeam/samphirebeam/platform"
)

// Shares of the machine's memory and descriptors for clients. The heap limit of
// the command is 0.7 of the memory; what the shares leave of it is for the state of
// the host, garbage and the large messages of other hosts.
const (
	// fileDescriptors are the descriptors that are not for connections.
	fileDescriptors = 200
	// callerMemoryShare is for callers' connections, heads and bodies and for large
	// answers; connections may take callerConnShare of it.
	callerMemoryShare = 0.3
	callerConnShare   = 0.5
	// callerDescriptorShare, peerDescriptorShare and adminDescriptorShare are for
	// callers, for other hosts, and for each of the readiness and metrics ports.
	// The rest is for upstreams and the store.
	callerDescriptorShare = 3.0 / 8
	peerDescriptorShare   = 1.0 / 4
	adminDescriptorShare  = 1.0 / 64
	minConnections        = 8
	// unreservedAnswerBytes is how much of an answer is read without a reservation.
	unreservedAnswerBytes = 64 << 10
	// adminMemoryBytes is for the connections and heads of one of these ports,
	// adminHeaderBytes the limit of a head.
	adminMemoryBytes = 4 << 20
	adminHeaderBytes = 8 << 10
	// stallTime is how long a client may make no progress before it is closed in
	// preference to others, if memory or connections run out.
	stallTime = time.Second
	// evictionBatch is the fraction of the connections that is closed at once, so
	// that not every new connection needs a decision.
	evictionBatch = 1.0 / 32
	// answerStallTimeout closes a connection whose client accepts no byte of an
	// answer for that long.
	answerStallTimeout = 30 * time.Second
)

// clientConns are the open connections at one port, and a listener that bounds
// them. They exist for loads of clients that open many connections or stop in the
// middle of requests and answers.
type clientConns struct {
	net.Listener
	port         string
	limit        int
	memory       *platform.Memory
	maxHeadBytes func() int64
	eviction     clients.Eviction
	log          *clientLog

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	room  roomMaker
}

func newClientConns(port string, limit int, memory *platform.Memory, maxHeadBytes func() int64, log *clientLog) *clientConns {
	c := &clientConns{
		port: port, limit: max(limit, minConnections), memory: memory, maxHeadBytes: maxHeadBytes,
		eviction: clients.Eviction{StallTime: stallTime}, log: log, conns: map[*clientConn]struct{}{},
	}
	c.room = roomMaker{used: memory.Used, evict: c.evictForMemory, wait: roomWait, closing: map[*clientConn]closing{}}
	memory.MakeRoom = c.room.make
	return c
}

// on sets the listener whose connections are accepted.
func (l *clientConns) on(listener net.Listener) net.Listener {
	l.Listener = listener
	return l
}

// Accept implements net.Listener.
func (l *clientConns) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection, or returns nil if there is no place for it.
func (l *clientConns) admit(raw net.Conn) *clientConn {
	if l.count() >= l.limit {
		l.evictConnections()
		if l.count() >= l.limit {
			l.log.count("connection_refused", l.port, 1)
			return nil
		}
	}
	l.memory.Charge(clientConnBytes) // connections within the limit always have memory
	c := &clientConn{Conn: raw, conns: l, address: clientAddress(raw)}
	c.progress.Store(time.Now().UnixNano())
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

// remove removes a connection that was closed.
func (l *clientConns) remove(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.memory.Release(clientConnBytes)
	c.releaseHead()
}

func (l *clientConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// snapshot returns the connections that may be closed, and their states.
func (l *clientConns) snapshot() ([]*clientConn, []clients.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*clientConn, 0, len(l.conns))
	states := make([]clients.Client, 0, len(l.conns))
	for c := range l.conns {
		if c.phase.Load() == evictedPhase || c.reserving.Load() {
			continue
		}
		conns = append(conns, c)
		states = append(states, c.state())
	}
	return conns, states
}

// evictConnections closes some connections so that others can be opened.
func (l *clientConns) evictConnections() {
	conns, states := l.snapshot()
	chosen := l.eviction.ForConnections(time.Now(), states, max(1, int(evictionBatch*float64(l.limit))))
	for _, at := range chosen {
		conns[at].evict(false)
	}
	l.log.count("connections_full", l.port, len(chosen))
}

// evictForMemory closes connections that hold the given number of bytes, and returns them
// with what each held.
func (l *clientConns) evictForMemory(bytes int64) map[*clientConn]int64 {
	conns, states := l.snapshot()
	evicted := map[*clientConn]int64{}
	for _, at := range l.eviction.ForMemory(time.Now(), states, bytes) {
		if conns[at].evict(true) {
			evicted[conns[at]] = states[at].Bytes
		}
	}
	l.log.count("memory_full", l.port, len(evicted))
	return evicted
}

// refused counts a head that was refused with a status.
func (l *clientConns) refused(status string) {
	cause := "head_too_large"
	if status == headNoMemory {
		cause = "head_without_memory"
	}
	l.log.count(cause, l.port, 1)
}

// closeStalled closes the connections whose head is not complete in time, whose
// body or answer makes no progress, or that have not sent anything yet, for too long.
func (l *clientConns) closeStalled(now time.Time, headerTimeout, idleTimeout time.Duration) {
	conns, states := l.snapshot()
	for i, s := range states {
		silent, limit := now.Sub(s.Progress), idleTimeout
		switch {
		case s.Phase == clients.Running || s.Phase == clients.Idle:
			continue // the core bounds the one, closeIdle the other
		case s.Phase == clients.Answer:
			limit = answerStallTimeout
		case s.Phase == clients.Head && conns[i].headRead.Load() > 0:
			silent, limit = now.Sub(time.Unix(0, conns[i].headSince.Load())), headerTimeout
		}
		if silent > limit {
			conns[i].evict(true)
			l.log.count("stalled", l.port, 1)
		}
	}
}

// setConnState follows the states that the HTTP library reports for a connection.
func setConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(clients.Body)
	case http.StateIdle:
		c.setPhase(clients.Idle)
	}
}

// callerShares returns the memory for callers, and how many connections they may
// open.
func callerShares(s platform.HostSettings) (memory int64, connections int) {
	memory = int64(callerMemoryShare * float64(s.MemoryBytes))
	return memory, min(connectionShare(s, callerDescriptorShare), int(callerConnShare*float64(memory)/clientConnBytes))
}

// connectionShare returns a share of the descriptors that are for connections.
func connectionShare(s platform.HostSettings, share float64) int {
	return int(share * float64(max(0, s.MaxDescriptors-fileDescriptors)))
}

// clientConnKey is the context key of a request's *clientConn.
type clientConnKey struct{}

// withClientConn adds the connection to the context of its requests.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// setClientPhase sets what the connection of a request waits for; it returns false if the
// connection gives way.
func setClientPhase(ctx context.Context, phase clients.Phase) bool {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		return c.setPhase(phase)
	}
	return true
}

// givesWay reports whether the connection of a request gives way to others.
func givesWay(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	return ok && c.phase.Load() == evictedPhase
}

// holdAnswer charges the account with an answer that the client has yet to read.
// An answer is never refused for lack of memory; new requests are.
func holdAnswer(ctx context.Context, memory *platform.Memory, size int) (release func()) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.body.Store(int64(size))
	}
	held := int64(min(size, unreservedAnswerBytes))
	memory.Charge(held)
	return func() { memory.Release(held) }
}

// clientLog counts what is closed and refused at clients' ports. It logs at most
// one line per second for each cause and port.
type clientLog struct {
	log      zerolog.Logger
	registry metrics.Registry

	mu         sync.Mutex
	lines      map[[2]string]time.Time
	suppressed map[[2]string]int
}

func newClientLog(log zerolog.Logger, registry metrics.Registry) *clientLog {
	return &clientLog{log: log, registry: registry, lines: map[[2]string]time.Time{}, suppressed: map[[2]string]int{}}
}

// count counts n connections or requests that were closed or refused for a cause.
func (l *clientLog) count(cause, port string, n int) {
	if n == 0 {
		return
	}
	metrics.GetOrRegisterCounter("clients_"+cause+"_"+port, l.registry).Inc(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	key, now := [2]string{cause, port}, time.Now()
	l.suppressed[key] += n
	if now.Sub(l.lines[key]) < time.Second {
		return
	}
	l.log.Warn().Str("event", "client_limit").Str("cause", cause).Str("port", port).Int("clients", l.suppressed[key]).Msg("closed or refused clients")
	l.lines[key], l.suppressed[key] = now, 0
}
