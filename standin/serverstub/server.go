// Package serverstub is a server of the users' platform, as samphirebeam-edge
// meets it: it runs a few requests at once, queues some, sheds the rest, and
// misbehaves as a test asks. It is a stand-in, apart from the product.
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

// Fault is how a server misbehaves.
type Fault int

// The faults of a server.
const (
	// Sound servers do not misbehave.
	NoFault Fault = iota
	// LoseAnswer runs a request and closes the connection without an answer.
	LoseAnswer
	// Truncate breaks off within the body.
	Truncate
	// Extra sends a second answer after each.
	Extra
	// Unframed sends no length and ends the answer with the connection.
	Unframed
	// Rubbish sends bytes that are no answer.
	MalformedAnswer
	// Fail runs a request and answers 500.
	Fail
	// Shed runs nothing.
	Shed
	// Early answers before it has read the body, which it reads later.
	Early
	// Other behaves as another server at the same address.
	WrongInstance
	// ForgetIdle closes connections soon after an answer, without notice.
	CloseAfterAnswer
	// The endless ones send without end until the caller closes: a status line,
	// a header, interim answers, a body, a chunk's extension, a trailer.
	EndlessStatus
	EndlessHeader
	EndlessInterim
	EndlessBody
	EndlessExtension
	EndlessTrailer
)

// earlyPause is how much later an Early server reads the body, of which
// earlyBuffer bytes may be on their way.
const (
	earlyReadDelay       = 400 * time.Millisecond
	earlyReadBufferBytes = 4 << 10
)

// Config is what a server is made of.
type Config struct {
	// ID is what requests have to expect.
	ID string
	// Slots run at once, Queue wait.
	Slots, Queue int
	// Work is how long a request runs.
	Work time.Duration
	// Body is the body of each answer.
	Body []byte
	// Deadly, if set, is a part of the paths whose requests end the process as
	// they begin to run. It is back at its address after DownFor.
	CrashPath string
	DownFor   time.Duration
	// OnStart is told how often the process has started when it is back.
	OnStart func(starts int)
}

// Server is one running server.
type Server struct {
	config  Config
	address string

	mu           sync.Mutex
	listener     net.Listener
	slots        chan struct{}
	conns        map[net.Conn]bool // open
	closed       bool
	starts       int
	crashTimes   []time.Time // when deadly requests began to run
	fault        Fault
	extraHeaders string    // added to each answer
	endlessBytes int64     // bytes of endless answers
	pausedUntil  time.Time // nothing runs before
	waiting      int
	runs         map[string]int // by request id
	bodies       map[string]string
	arrived      int
}

// Start opens a server on a free loopback port.
func Start(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{config: config, address: listener.Addr().String(), runs: map[string]int{}, bodies: map[string]string{}}
	s.startProcess(listener)
	return s, nil
}

// begin is one start of the process.
func (s *Server) startProcess(listener net.Listener) (starts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.waiting = 0
	s.listener, s.slots, s.conns = listener, make(chan struct{}, max(1, s.config.Slots)), map[net.Conn]bool{}
	go s.accept(listener)
	return s.starts
}

// crash ends the process, which starts again after DownFor.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // resets it
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
		time.AfterFunc(restartRetryDelay, s.restart) // connections of before still hold the port
		return
	}
	starts := s.startProcess(listener)
	if s.config.OnStart != nil {
		s.config.OnStart(starts)
	}
}

// restartRetry is the pause before a port that is still in use is tried again.
const restartRetryDelay = 20 * time.Millisecond

// Deadly returns when deadly requests began to run here.
func (s *Server) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashTimes)
}

// Address returns the server's "ip:port".
func (s *Server) Address() string { return s.address }

// Close stops taking connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
}

// SetFault changes how the server misbehaves.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetHeaders adds header lines, each with its line end, to all answers.
func (s *Server) SetHeaders(lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraHeaders = lines
}

// Sent returns how many bytes of endless answers callers took.
func (s *Server) EndlessBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endlessBytes
}

// Pause lets nothing run for a while.
func (s *Server) PauseFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// Runs returns how often a request ran here, and the body that it came with.
func (s *Server) Runs(requestID string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID], s.bodies[requestID]
}

// Arrived returns how many requests came, those that were shed included.
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
			_ = tcp.SetReadBuffer(earlyReadBufferBytes) // what is sent early has to wait
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
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return // the caller left
		}
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
		if !s.answer(c, r, string(body), fault) {
			return
		}
	}
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// answer answers one request; false ends the connection.
func (s *Server) answer(c net.Conn, r *http.Request, body string, fault Fault) bool {
	s.mu.Lock()
	s.arrived++
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
	if deadly {
		s.crashTimes = append(s.crashTimes, time.Now())
	}
	s.mu.Unlock()
	if deadly {
		s.crash()
		return false
	}
	time.Sleep(s.config.Work)
	<-slots
	return s.send(c, id, fault)
}

// enter waits for one of the slots, which it returns; nil means that there is no
// room.
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
	case MalformedAnswer:
		write("\x16\x03\x01 this is no answer\r\n\r\n")
		return false
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
	return s.extraHeaders
}

// sendOn sends a beginning and then the same again and again until the caller
// closes the connection.
func (s *Server) sendEndless(c net.Conn, begin, again string) bool {
	block := strings.Repeat(again, 1+endlessBlockBytes/max(1, len(again)))
	_, err := io.WriteString(c, begin)
	for err == nil {
		var n int
		n, err = io.WriteString(c, block)
		s.mu.Lock()
		s.endlessBytes += int64(n)
		s.mu.Unlock()
	}
	return false
}

// blockSize is about how much of an endless answer is written at once.
const endlessBlockBytes = 32 << 10
