package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// blockedWriter is the log of a host whose reader has stopped reading.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// TestStopEndsWhateverHangs guards against processes that are killed at the end of the
// stop period, since their planned stop waits for something that does not end.
func TestStopEndsWhateverHangs(t *testing.T) {
	t.Parallel()
	connect := func(t *testing.T, address, send string) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, send)
	}
	const unread = "GET /fetch/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nDeadline-Ms: 30000\r\n\r\n"
	// hang blocks the decision loop.
	hang := func(h *testHost) { h.inbox.Put(input{query: func(*scatter.Engine) { select {} }}) }
	for name, hangs := range map[string]func(t *testing.T, h *testHost){
		"nothing": func(*testing.T, *testHost) {},
		"a host that connects and sends nothing": func(t *testing.T, h *testHost) {
			connect(t, h.platformSettings.Control, "")
		},
		"a host that stops within its first message": func(t *testing.T, h *testHost) {
			connect(t, h.platformSettings.Control, "PRI * HTTP/2.0\r\n")
		},
		"a caller that connects and sends nothing": func(t *testing.T, h *testHost) {
			connect(t, h.platformSettings.Callers, "")
		},
		"a caller that reads no answers": func(t *testing.T, h *testHost) {
			connect(t, h.platformSettings.Callers, strings.Repeat(unread, 2000))
		},
		"a caller whose body does not end": func(t *testing.T, h *testHost) {
			connect(t, h.platformSettings.Callers, strings.Replace(unread, "\r\n\r\n", "\r\nContent-Length: 9\r\n\r\n1", 1))
		},
		"a log that nobody reads": func(_ *testing.T, h *testHost) {
			log, writer := newLog(blockedWriter{}, 0, "h", "d", func(int) {})
			log.Info().Msg("a line")
			h.logWriter = writer
		},
		"a decision loop that hangs": func(_ *testing.T, h *testHost) { hang(h) },
		"a full inbox": func(_ *testing.T, h *testHost) {
			hang(h)
			for h.tryEnqueue(scatter.Tick{}) {
				continue
			}
		},
		"a ping that waits for the decision loop": func(t *testing.T, h *testHost) {
			client, err := newPeers().client(h.platformSettings.Control)
			if err != nil {
				t.Fatal(err)
			}
			hang(h)
			go func() { _, _ = client.Ping(context.Background(), &edgepb.PingRequest{}) }()
			time.Sleep(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoShardCluster(t)
			h := cluster.startHost("h", 1)
			hangs(t, h)
			started := time.Now()
			h.stop()
			select {
			case err := <-h.runResult:
				if err != nil {
					t.Error(err)
				}
				h.runResult <- err
			case <-time.After(h.platformSettings.StopWithin):
				t.Errorf("the host still runs %v after the order to stop", time.Since(started))
				h.runResult <- nil // the clean-up does not wait either
			}
		})
	}
}

// TestStopBeforeTheStartEnds guards against a host that does not end if it is stopped
// while it starts, when the store and the seeds do not answer.
func TestStopBeforeTheStartEnds(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	cluster.address, cluster.firstStart = silent.Addr().String(), true
	h := cluster.launchHost("d1", "h", 1, silent.Addr().String())
	started := time.Now()
	h.stopAndWait()
	if took := time.Since(started); took > h.platformSettings.StopWithin {
		t.Errorf("it ended after %v", took)
	}
}

// TestStopAnswersRequestsBesideHangs guards against a stop that cuts off requests in
// flight because something else hangs.
func TestStopAnswersRequestsBesideHangs(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	cluster.addServer("slow", "s-0", serverstub.Config{Work: 1200 * time.Millisecond})
	cluster.configure("slow", "shard-a", "shard-b")
	h := cluster.startHost("h", 1)
	eventually(t, func() error {
		if got := h.configVersion.Load(); got != uint64(cluster.version) {
			return fmt.Errorf("version %d", got)
		}
		return nil
	})
	c, err := net.Dial("tcp", h.platformSettings.Control)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	answered := make(chan callerReply, 1)
	time.AfterFunc(400*time.Millisecond, func() { answered <- h.request("GET", "/fetch/x", "r", "") })
	h.stopAndWait()
	if got := <-answered; got.status != http.StatusOK {
		t.Errorf("status %d, %v", got.status, got.err)
	}
}
