package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Server is a sound server of the platform: it runs Slots requests at a time, queues
// Queue more and rejects the others. If Extra is set, that share of its answers is
// sent once more, late: where the next answer on the connection is expected.
type Server struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration // mean; evenly spread from half of it to one and a half times
	Body              []byte
	Extra             func() float64
	Born              time.Time
	// Deadly reports whether a request crashes the server, which the case brings about;
	// its run never ends with an answer.
	Deadly func(id string) bool
	// OnRun is called when a request begins to run, OnReject when one is rejected.
	OnRun, OnReject func(s *Server, id string)
	// OnExtra is called when an answer is sent once more; to is the request that it
	// precedes the answer of.
	OnExtra func(s *Server, status, of, to string)

	listener net.Listener
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	conns    map[net.Conn]bool
	coldTill time.Time
	ended    chan struct{} // closed when the boot that runs ends
}

// HealthPath is the path of the servers' status check.
const HealthPath = "/healthz"

// Name returns the ID of the server's current boot.
func (s *Server) Name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ID
}

// Rename gives the server the ID of its next boot.
func (s *Server) Rename(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ID, s.Born = id, time.Now()
}

// BeColdFor makes the server cold for a time, which its answers to status checks state.
func (s *Server) BeColdFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldTill = time.Now().Add(d)
}

// Listen opens a server at a free loopback port, or at the address where it
// listened before.
func (s *Server) Listen() error {
	address := "127.0.0.1:0"
	if s.listener != nil {
		address = s.listener.Addr().String()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.slots, s.waiting, s.conns = listener, make(chan struct{}, s.Slots), 0, map[net.Conn]bool{}
	s.ended = make(chan struct{})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// Crash closes the listener and resets all connections.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	close(s.ended)
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// GoDark takes the power from the server's machine: connections that are open are
// neither answered nor closed, and new ones hang. The returned function brings the
// machine back, which knows nothing of the old connections.
func (s *Server) GoDark() (back func() error, err error) {
	s.mu.Lock()
	address := s.listener.Addr().(*net.TCPAddr)
	_ = s.listener.Close()
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	close(s.ended)
	s.mu.Unlock()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	to := &syscall.SockaddrInet4{Port: address.Port}
	copy(to.Addr[:], address.IP.To4())
	if err := syscall.Bind(fd, to); err != nil {
		return nil, err
	}
	// The kernel drops the opening packets of connections for which the queue has no
	// room. A few connections fill it.
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	fillers := fill(address.String())
	return func() error {
		_ = syscall.Close(fd)
		for _, c := range fillers {
			_ = c.Close()
		}
		for c := range conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return s.Listen()
	}, nil
}

// fill opens connections to an address until one hangs.
func fill(address string) (fillers []net.Conn) {
	for {
		c, err := net.DialTimeout("tcp", address, fillTimeout)
		if err != nil {
			return fillers
		}
		fillers = append(fillers, c)
	}
}

// fillTimeout is how long a connection attempt takes at most that shows that the
// queue of new connections has no room left.
const fillTimeout = 20 * time.Millisecond

// crashed returns a channel that is closed when the boot that runs ends.
func (s *Server) crashed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// isOpen reports whether a connection belongs to the boot that runs.
func (s *Server) isOpen(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[c]
}

// Entry returns the entry of the server in the store.
func (s *Server) Entry(sequence int, born time.Time, warmupLeft time.Duration) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone, "version": "v1", "max_concurrency": s.Slots,
		"state": "ready", "warmup_left_ms": warmupLeft.Milliseconds(), "sequence": sequence, "born": born.UnixMilli(),
	}
}

// serve serves one connection, one request at a time.
func (s *Server) serve(c net.Conn) {
	defer func() {
		if s.isOpen(c) { // otherwise the machine has no power
			_ = c.Close()
		}
	}()
	reader := bufio.NewReader(c)
	late, lateStatus, lateOf := "", "", ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if late != "" {
			if s.OnExtra != nil {
				s.OnExtra(s, lateStatus, lateOf, id)
			}
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		status, answer := s.answer(r, id)
		if answer == "" {
			<-s.crashed() // until then the connection stays open
			return
		}
		if !s.isOpen(c) {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if s.Extra != nil && rand.Float64() < s.Extra() {
			late, lateStatus, lateOf = answer, status, id
		}
	}
}

// answer runs or rejects a request.
func (s *Server) answer(r *http.Request, id string) (status, answer string) {
	self := s.Name()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != self {
		return "421", fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	s.mu.Lock()
	if r.URL.Path == HealthPath {
		defer s.mu.Unlock()
		left := max(0, time.Until(s.coldTill)).Milliseconds()
		return "200", fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nWarmup-Ms: %d\r\nContent-Length: 0\r\n\r\n", s.ID, left)
	}
	slots := s.slots
	if s.waiting >= s.Slots+s.Queue {
		s.mu.Unlock()
		if s.OnReject != nil {
			s.OnReject(s, id)
		}
		return "503", fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	s.waiting++
	s.mu.Unlock()
	slots <- struct{}{}
	if s.OnRun != nil {
		s.OnRun(s, id)
	}
	if s.Deadly != nil && s.Deadly(id) {
		return "", ""
	}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(s.Work)))
	<-slots
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return "200", fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, self, id, len(s.Body), s.Body)
}
