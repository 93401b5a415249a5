//go:build linux

package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// head returns a request's head without the empty line at its end.
func head(method, path string, i int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 50000\r\n", method, path, i)
}

// paths are a route and a path without a route.
var paths = []string{"/files/x", "/none/x"}

// TestBodiesShortOfTheirEnd guards against bodies of legal size that are held
// while their last byte is missing.
func TestBodiesShortOfTheirEnd(t *testing.T) {
	h := start(t, maxFDs, 100)
	body := strings.Repeat("b", maxBodyBytes-1)
	h.crowd(1500, h.callers, func(i int, c net.Conn) {
		send(c, head("POST", paths[i%2], i), fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), body)
	})
	h.check()
}

// TestBodiesInSmallPieces guards against bodies in many small writes or chunks,
// most of which stay below the size from which a body is reserved.
func TestBodiesInSmallPieces(t *testing.T) {
	h := start(t, maxFDs, 100)
	chunks := strings.Repeat("40\r\n"+strings.Repeat("c", 64)+"\r\n", 16)
	pieces := strings.Repeat("p", 1000)
	h.crowd(1500, h.callers, func(i int, c net.Conn) {
		if i%2 == 0 {
			send(c, head("POST", paths[i/2%2], i), "Transfer-Encoding: chunked\r\n\r\n")
			for j := 0; j < 63 && send(c, chunks); j++ {
			}
			return
		}
		send(c, head("POST", paths[i/2%2], i), "Content-Length: 65536\r\n\r\n")
		for j := 0; j < 65 && send(c, pieces); j++ {
		}
	})
	h.check()
}

// TestBodiesOverTheLimit guards against bodies without an end at every HTTP port.
func TestBodiesOverTheLimit(t *testing.T) {
	h := start(t, maxFDs, 100)
	block := strings.Repeat("o", 64<<10)
	for _, address := range []string{h.callers, h.readiness, h.metrics} {
		h.crowd(300, address, func(i int, c net.Conn) {
			path := append(paths, "/readyz", "/metrics")[i%4]
			if i%2 == 0 {
				send(c, head("POST", path, i), "Content-Length: 1073741824\r\n\r\n")
			} else {
				send(c, head("POST", path, i), "Transfer-Encoding: chunked\r\n\r\n40000000\r\n")
			}
			for j := 0; j < 32 && send(c, block); j++ {
			}
		})
	}
	h.check()
}

// shortFields returns fields of as few bytes as possible, with different names.
func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes-12; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestManyShortFields guards against heads of legal size that cost many times
// their bytes once they are parsed. Their bodies keep them in memory.
func TestManyShortFields(t *testing.T) {
	h := start(t, maxFDs, 100)
	fields := shortFields(maxHeaderBytes - 300)
	h.crowd(1500, h.callers, func(i int, c net.Conn) {
		send(c, head("POST", paths[i%2], i), fields, "Content-Length: 100\r\n\r\nbody")
	})
	h.check()
}

// TestHeadsWithoutEnd guards against heads that stop short of the limit of the
// HTTP library, at every HTTP port.
func TestHeadsWithoutEnd(t *testing.T) {
	h := start(t, maxFDs, 100)
	fields := shortFields(250 << 10)
	for address, n := range map[string]int{h.callers: 1500, h.readiness: 300, h.metrics: 300} {
		h.crowd(n, address, func(i int, c net.Conn) { send(c, head("GET", paths[i%2], i), fields) })
	}
	h.check()
}

// TestHugeHeads guards against complete heads far over the limit of the
// configuration, whose fields the HTTP library has parsed before the limit applies.
func TestHugeHeads(t *testing.T) {
	h := start(t, maxFDs, 100)
	fields := shortFields(250 << 10)
	h.crowd(1500, h.callers, func(i int, c net.Conn) { send(c, head("GET", paths[i%2], i), fields, "\r\n") })
	h.check()
}

// TestPipelinedRequests guards against callers that send requests on one
// connection without reading the answers.
func TestPipelinedRequests(t *testing.T) {
	h := start(t, maxFDs, 60<<10)
	h.crowd(600, h.callers, func(i int, c net.Conn) {
		one := head("GET", paths[i%2], i) + "\r\n"
		for j := 0; j < 20 && send(c, strings.Repeat(one, 100)); j++ {
		}
	})
	h.check()
}

// TestUnreadAnswers guards against long answers that nobody reads.
func TestUnreadAnswers(t *testing.T) {
	h := start(t, maxFDs, 1<<20)
	h.crowd(1500, h.callers, func(i int, c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		send(c, head("GET", paths[0], i), "\r\n")
	})
	h.check()
}

// TestSlowClients guards against clients that stop in the middle of a head, at
// more connections than the process has descriptors.
func TestSlowClients(t *testing.T) {
	h := start(t, 600, 100)
	for _, address := range []string{h.callers, h.readiness, h.metrics, h.control} {
		h.crowd(500, address, func(i int, c net.Conn) {
			switch i % 3 {
			case 0: // sends nothing
			case 1:
				send(c, "GET /fi")
			case 2:
				send(c, head("POST", paths[0], i), "Content-Length: 10\r\n\r\nhalf")
			}
		})
	}
	h.check()
}

// TestLargestRequest guards against a limit that refuses a request inside the
// limits of the configuration while there is no other load.
func TestLargestRequest(t *testing.T) {
	h := start(t, maxFDs, 100)
	request := head("POST", paths[0], 1) + shortFields(maxHeaderBytes-300) + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + strings.Repeat("b", maxBodyBytes)
	h.crowd(1, h.callers, func(_ int, c net.Conn) {
		for range 2 { // the second on the reused connection
			send(c, request)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err := expectOK(response, err); err != nil {
				t.Error(err)
			}
		}
	})
	h.check()
}
