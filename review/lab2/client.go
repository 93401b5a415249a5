package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callerWait is how long a consumer waits for an answer, and the time-out of all routes.
const callerWait = 6 * time.Second

// consumer is one connection of a consumer.
type consumer struct {
	lab    *lab
	to     *host
	conn   net.Conn
	reader *bufio.Reader
}

// answer is how a request of a consumer ended.
type answer struct {
	id             string
	sent, answered time.Time
	status         int // 0 if the connection ended without a complete answer
	close, signed  bool
	err            error
}

// connect opens a connection to a host.
func (l *lab) connect(to *host) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", to.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{lab: l, to: to, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// do sends a request and waits for its answer.
func (c *consumer) do(method, path string, body []byte) answer {
	a := answer{id: newID(), sent: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, siteHost, a.id, callerWait.Milliseconds())
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.lab.note("request %s %s %s is sent to %s", a.id, method, path, c.to.name)
	_ = c.conn.SetDeadline(a.sent.Add(callerWait))
	if _, a.err = c.conn.Write(append([]byte(head+"\r\n"), body...)); a.err == nil {
		a.err = c.read(method, &a)
	}
	a.answered = time.Now()
	if a.err != nil {
		a.status = 0
		c.lab.note("request %s has no complete answer after %d ms: %v", a.id, a.answered.Sub(a.sent).Milliseconds(), a.err)
	} else {
		c.lab.note("request %s is answered %d after %d ms", a.id, a.status, a.answered.Sub(a.sent).Milliseconds())
	}
	return a
}

// read reads an answer.
func (c *consumer) read(method string, a *answer) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	a.status, a.close, a.signed = response.StatusCode, response.Close, response.Header.Get("Server-Stamp") != ""
	return err
}

func (c *consumer) end() { _ = c.conn.Close() }
