// Package serverstub simulates a server of the users' platform as
// samphirebeam-edge reaches it: a few requests run at once, some are queued,
// the rest are shed. Tests switch on faults while it runs. It is a stand-in and
// no part of the product.
package serverstub

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is a kind of incorrect behaviour of a server.
type Fault int

// The faults of a server.
const (
	// NoFault is correct behaviour.
	NoFault Fault = iota
	// LoseAnswer runs each request and closes the connection without an answer.
	LoseAnswer
	// Truncate closes the connection in the middle of the body.
	Truncate
	// TruncateHead closes the connection in the middle of the head, after the
	// signature.
	TruncateHead
	// Extra sends each answer twice.
	Extra
	// Unframed sends no Content-Length; the end of the connection ends the body.
	Unframed
	// MalformedAnswer sends bytes that are no HTTP answer.
	MalformedAnswer
	// OddStatus sends each answer with the status 000, followed by a sound answer.
	OddStatus
	// Fail runs each request and answers 500.
	Fail
	// Shed refuses each request with 503 without running it.
	Shed
	// LateRejection refuses the first send of each request without running it, and
	// sends that answer once more after the next request on the connection arrives.
	LateRejection
	// Early refuses a request that has a body before reading the body.
	Early
	// WrongInstance answers each request with 421, as if another server had
	// started at the address.
	WrongInstance
	// CloseAfterAnswer closes the connection after each answer although the
	// answer says keep-alive.
	CloseAfterAnswer
	// The Endless faults send one part of an answer until the caller closes the
	// connection: a status line, a header, interim answers, a body, chunk
	// extensions or a trailer.
	EndlessStatus
	EndlessHeader
	EndlessInterim
	EndlessBody
	EndlessExtension
	EndlessTrailer
)

// An Early server reads the body earlyReadDelay after its answer. Until then
// its receive buffer holds about earlyReadBufferBytes of it.
const (
	earlyReadDelay       = 400 * time.Millisecond
	earlyReadBufferBytes = 4 << 10
)

// Config describes a server.
type Config struct {
	// ID is the instance that the Expect-Instance header of a request has to
	// name.
	ID string
	// Slots is the number of requests that run at once, Queue the number that
	// may wait.
	Slots, Queue int
	// Work is the service time of a request.
	Work time.Duration
	// Body is the body of each answer.
	Body []byte
	// CrashPath, if set, makes the server crash when a request whose path
	// contains it starts to run. The server restarts at the same address after
	// DownFor.
	CrashPath string
	DownFor   time.Duration
	// CrashAfter is how long such a request runs before, whether or not its sender
	// waits for the answer.
	CrashAfter time.Duration
	// OnStart is called after each restart with the number of starts so far.
	OnStart func(starts int)
}

// Server is one running server.
type Server struct {
	config  Config
	address string

	mu           sync.Mutex
	listener     net.Listener
	slots        chan struct{}
	conns        map[net.Conn]bool // open connections
	closed       bool
	starts       int
	crashTimes   []time.Time // starts of the requests that crashed the server
	fault        Fault
	extraHeaders string    // header lines added to each answer
	limit        string    // the stated rate limit in requests per second, if any
	limitedSince time.Time // when the limit was first stated
	limited      []time.Time
	endlessBytes int64     // bytes of endless answers written so far
	pausedUntil  time.Time // no request starts to run before
	waiting      int
	runs         map[string]int // number of runs by request id
	bodies       map[string]string
	received     map[string][]Run // by request id
	refused      map[string]bool  // by request id, under LateRejection
	arrived      int
}

// Start opens a server on a free loopback port.
func Start(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{config: config, address: listener.Addr().String(), runs: map[string]int{}, bodies: map[string]string{}, received: map[string][]Run{}, refused: map[string]bool{}}
	s.startProcess(listener)
	return s, nil
}

// startProcess simulates a start of the process: it serves the listener with
// empty slots and returns the number of starts so far.
func (s *Server) startProcess(listener net.Listener) (starts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.waiting = 0
	s.listener, s.slots, s.conns = listener, make(chan struct{}, max(1, s.config.Slots)), map[net.Conn]bool{}
	go s.accept(listener)
	return s.starts
}

// crash resets all connections, closes the listener and schedules a restart
// after DownFor.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	time.AfterFunc(s.config.DownFor, s.restart)
}

func (s *Server) restart() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(restartRetryDelay, s.restart) // old connections may still occupy the port
		return
	}
	starts := s.startProcess(listener)
	if s.config.OnStart != nil {
		s.config.OnStart(starts)
	}
}

// restartRetryDelay is the delay before the next attempt to listen on a port
// that is still in use.
const restartRetryDelay = 20 * time.Millisecond

// CrashTimes returns when the requests that crashed the server started to run.
func (s *Server) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashTimes)
}

// Address returns the server's "ip:port".
func (s *Server) Address() string { return s.address }

// Close stops accepting connections and prevents restarts.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
}

// SetFault replaces the current fault; NoFault ends it.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetHeaders sets header lines, each with its line end, that are added to all
// answers.
func (s *Server) SetHeaders(lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraHeaders = lines
}

// SetLimit makes the server state a rate limit in all answers from now on.
func (s *Server) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.limitedSince = strconv.FormatFloat(perSecond, 'f', -1, 64), time.Now()
}

// ClearLimit ends the statement of a rate limit.
func (s *Server) ClearLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = ""
}

// LimitedArrivals returns when the server began to state a rate limit, and the times
// of the requests received since then.
func (s *Server) LimitedArrivals() (since time.Time, arrivals []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limitedSince, slices.Clone(s.limited)
}

// EndlessBytes returns how many bytes of endless answers the kernel has
// accepted for sending.
func (s *Server) EndlessBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessBytes
}

// PauseFor delays the start of all requests that arrive from now on until d has
// passed.
func (s *Server) PauseFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// Runs returns how often a request ran on this server, and the body of its
// latest run.
func (s *Server) Runs(requestID string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID], s.bodies[requestID]
}

// Arrived returns the number of requests received, including those that were
// shed. Requests that were refused under the Early fault are not counted.
func (s *Server) Arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

// Stamp returns the signature of this server's answer to a request.
func (s *Server) Stamp(requestID string) string { return s.config.ID + "." + requestID }

func (s *Server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return // closed
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if tcp, ok := c.(*net.TCPConn); ok && s.currentFault() == Early {
			_ = tcp.SetReadBuffer(earlyReadBufferBytes) // the rest of the body stays with the sender
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	reader := bufio.NewReader(c)
	lateAnswer := func() {}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return // the caller closed the connection
		}
		lateAnswer()
		lateAnswer = func() {}
		fault := s.currentFault()
		if fault == Early && r.ContentLength > 0 {
			s.refuse(c, r, http.StatusBadRequest)
			time.Sleep(earlyReadDelay)
			_, _ = io.Copy(io.Discard, r.Body)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if fault == LateRejection && s.isFirstSend(r.Header.Get("Request-Id")) {
			s.refuse(c, r, http.StatusServiceUnavailable)
			lateAnswer = func() { s.refuse(c, r, http.StatusServiceUnavailable) }
			continue
		}
		if !s.answer(c, r, string(body), fault) {
			return
		}
	}
}

// isFirstSend reports whether a request has not arrived here before.
func (s *Server) isFirstSend(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.refused[id]
	s.refused[id] = true
	return first
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// answer handles one request; false means that the connection has to be closed.
func (s *Server) answer(c net.Conn, r *http.Request, body string, fault Fault) bool {
	s.mu.Lock()
	s.arrived++
	if s.limit != "" {
		s.limited = append(s.limited, time.Now())
	}
	s.mu.Unlock()
	expected := r.Header.Get("Expect-Instance")
	switch {
	case fault == WrongInstance, expected != "" && expected != s.config.ID:
		return s.refuse(c, r, http.StatusMisdirectedRequest)
	}
	slots := s.acquireSlot(fault)
	if slots == nil {
		return s.refuse(c, r, http.StatusServiceUnavailable)
	}
	id := r.Header.Get("Request-Id")
	deadly := s.config.CrashPath != "" && strings.Contains(r.URL.Path, s.config.CrashPath)
	s.mu.Lock()
	s.runs[id]++
	s.bodies[id] = body
	s.received[id] = append(s.received[id], Run{At: time.Now(), Header: r.Header})
	if deadly {
		s.crashTimes = append(s.crashTimes, time.Now())
	}
	s.mu.Unlock()
	if deadly {
		time.Sleep(s.config.CrashAfter)
		s.crash()
		return false
	}
	time.Sleep(s.config.Work)
	<-slots
	return s.send(c, id, fault)
}

// acquireSlot waits for a slot and returns the channel to release it to; nil
// means that the request is shed. A crash replaces the channel, so a slot is
// always released to the channel that it was acquired from.
func (s *Server) acquireSlot(fault Fault) chan struct{} {
	s.mu.Lock()
	if fault == Shed || s.waiting > s.config.Queue {
		s.mu.Unlock()
		return nil
	}
	s.waiting++
	pause, slots, start := time.Until(s.pausedUntil), s.slots, s.starts
	s.mu.Unlock()
	time.Sleep(max(0, pause))
	slots <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts == start {
		s.waiting--
	}
	return slots
}

func (s *Server) refuse(c net.Conn, r *http.Request, status int) bool {
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), r.Header.Get("Request-Id"), s.headerLines())
	_, err := io.WriteString(c, answer)
	return err == nil
}

func (s *Server) send(c net.Conn, id string, fault Fault) bool {
	status := "200 OK"
	if fault == Fail {
		status = "500 Internal Server Error"
	}
	head := "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + s.Stamp(id) + "\r\nX-Kept: yes\r\nConnection: keep-alive\r\n" + s.headerLines()
	framed := head + "Content-Length: " + strconv.Itoa(len(s.config.Body)) + "\r\n\r\n" + string(s.config.Body)
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch fault {
	case LoseAnswer:
		return false
	case Truncate:
		write(framed[:len(framed)-len(s.config.Body)/2])
		return false
	case TruncateHead:
		write(head)
		return false
	case MalformedAnswer:
		write("\x16\x03\x01 this is no answer\r\n\r\n")
		return false
	case OddStatus:
		return write(strings.Replace(head, status, "000", 1) + "Content-Length: 0\r\n\r\n" + framed)
	case Unframed:
		write(head + "Connection: close\r\n\r\n" + string(s.config.Body))
		return false
	case Extra:
		return write(framed + framed)
	case CloseAfterAnswer:
		return write(framed) && false
	case EndlessStatus:
		return s.sendEndless(c, "HTTP/1.1 200 ", "OK")
	case EndlessHeader:
		return s.sendEndless(c, head+"X-Long: ", "long ")
	case EndlessInterim:
		return s.sendEndless(c, "", "HTTP/1.1 103 Early Hints\r\nX-Long: long\r\n\r\n")
	case EndlessBody:
		return s.sendEndless(c, head+"Connection: close\r\n\r\n", string(s.config.Body))
	case EndlessExtension:
		return s.sendEndless(c, head+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 100)+"\r\ny\r\n")
	case EndlessTrailer:
		return s.sendEndless(c, head+"Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n", "X-Long: long\r\n")
	default:
		return write(framed)
	}
}

func (s *Server) headerLines() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		return s.extraHeaders + "Server-Limit: " + s.limit + "\r\n"
	}
	return s.extraHeaders
}

// sendEndless sends a prefix and then repeats a text until the caller closes the
// connection.
func (s *Server) sendEndless(c net.Conn, prefix, repeated string) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(endlessBlockBytes) // what lies in a buffer has not been read
	}
	block := strings.Repeat(repeated, 1+endlessBlockBytes/max(1, len(repeated)))
	_, err := io.WriteString(c, prefix)
	for err == nil {
		var n int
		n, err = io.WriteString(c, block)
		s.mu.Lock()
		s.endlessBytes += int64(n)
		s.mu.Unlock()
	}
	return false
}

// endlessBlockBytes is the approximate size of one write of an endless answer.
const endlessBlockBytes = 32 << 10
