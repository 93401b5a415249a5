package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestServersThatSendWithoutEnd checks that an endless answer is cut off at a
// bound, another server answers the request, and the host's heap does not grow.
func TestServersThatSendWithoutEnd(t *testing.T) {
	const most = 24 << 20 // bytes that may be read of one answer
	cluster := newTwoShardCluster(t)
	// Socket buffers would grow to tens of MB, and what lies in them counts as read.
	cluster.prepareHost = func(h *Host) {
		h.sender.dial = (&net.Dialer{KeepAlive: -1, Control: setReceiveBuffer}).DialContext
	}
	h := cluster.startHost("host-1", 1)
	endless := cluster.servers["a1"]
	sequence := 0
	ask := func(path string) callerReply {
		sequence++
		return h.request("GET", path, fmt.Sprint("id-", sequence), "")
	}
	for name, fault := range map[string]serverstub.Fault{
		"status line": serverstub.EndlessStatus, "header": serverstub.EndlessHeader, "interim answers": serverstub.EndlessInterim,
		"body": serverstub.EndlessBody, "extensions": serverstub.EndlessExtension, "trailer": serverstub.EndlessTrailer,
	} {
		for _, path := range []string{"/fetch/", "/gather/"} {
			t.Run(name+path, func(t *testing.T) {
				sent := endless.EndlessBytes()
				endless.SetFault(fault)
				var held, before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&held)
				// After a fault the server is rarely chosen. Only the allocations
				// of the request that reaches it are counted.
				for endless.EndlessBytes() == sent {
					runtime.ReadMemStats(&before)
					got := ask(path)
					if got.status != http.StatusOK || got.header.Get("Missing-Parts") > "0" {
						t.Errorf("got %d, %q missing", got.status, got.header.Get("Missing-Parts"))
					}
				}
				eventually(t, func() error {
					if running := h.runningAttempts(); running > 0 {
						return fmt.Errorf("%d attempts still run", running)
					}
					return nil
				})
				runtime.GC()
				runtime.ReadMemStats(&after)
				if taken := endless.EndlessBytes() - sent; taken > most {
					t.Errorf("%d MB were read", taken>>20)
				}
				if grown := int64(after.HeapAlloc) - int64(held.HeapAlloc); grown > 8<<20 {
					t.Errorf("the host holds %d MB more", grown>>20)
				}
				if total := after.TotalAlloc - before.TotalAlloc; total > 4*most {
					t.Errorf("%d MB were allocated on the way", total>>20)
				}
				endless.SetFault(serverstub.NoFault)
				for arrived := endless.Arrived(); endless.Arrived() < arrived+5; {
					ask(path) // until the server is used again regularly
				}
			})
		}
	}
}

// setReceiveBuffer bounds the receive buffer of a socket.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	const bytes = 64 << 10
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return errors.Join(err, failed)
}

// runningAttempts returns the number of attempts in flight.
func (h *testHost) runningAttempts() int {
	h.sender.mu.Lock()
	defer h.sender.mu.Unlock()
	return len(h.sender.running)
}

// TestEndlessCallerRequestsAreCutOff checks that a caller's endless or stalled
// request is cut off at a bound, and that an answer, if any, is a 4xx that closes
// the connection.
func TestEndlessCallerRequestsAreCutOff(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	head := "POST /order/7 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 1500\r\n"
	for name, tt := range map[string]struct{ begin, again string }{
		"request line": {"GET /", "x"},
		"header":       {head + "X-Long: ", "long "},
		"body":         {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nlong\r\n"},
		"extension":    {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 100) + "\r\ny\r\n"},
		"trailer":      {head + "Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n", "X-Long: long\r\n"},
		"slow body":    {head + "Content-Length: 10\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", h.platformSettings.Callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			sent := make(chan int, 1)
			go func() {
				n, _ := io.WriteString(c, tt.begin)
				for block := strings.Repeat(tt.again, 1+(8<<10)/max(1, len(tt.again))); len(block) > 0; {
					more, err := io.WriteString(c, block)
					n += more
					if err != nil {
						break
					}
				}
				sent <- n
			}()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				if s := response.StatusCode; s/100 != 4 || !response.Close {
					t.Errorf("status %d, close %v", s, response.Close)
				}
			}
			_ = c.Close()
			if n := <-sent; n > 16<<20 {
				t.Errorf("%d MB were accepted", n>>20)
			}
		})
	}
}
