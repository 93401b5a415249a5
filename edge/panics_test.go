package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestPanicEndsOnlyAffectedRequest causes a panic in each worker. The request in
// progress gets a final answer at once, which is 503 only if it did not run, and
// the host continues to serve.
func TestPanicEndsOnlyAffectedRequest(t *testing.T) {
	long := strings.Repeat("x", 100<<10) // large enough to count against the memory limit
	for name, tt := range map[string]struct {
		inject func(*testCluster, *testHost) (restore func())
		body   string
		status int
		runs   int
	}{
		"decision": {
			inject: func(cluster *testCluster, h *testHost) func() {
				cluster.servers["o1"].PauseFor(600 * time.Millisecond)
				time.AfterFunc(200*time.Millisecond, func() {
					h.inbox.PutWait(input{query: func(*scatter.Engine) { panic("for the test") }})
				})
				return func() {}
			},
			status: http.StatusBadGateway, runs: 1,
		},
		"sender": {
			inject: func(_ *testCluster, h *testHost) func() {
				memory := h.sender.memory
				h.sender.memory = nil
				return func() { h.sender.memory = memory }
			},
			status: http.StatusBadGateway, runs: 1,
		},
		"callers": {
			inject: func(_ *testCluster, h *testHost) func() {
				memory := h.frontend.memory
				h.frontend.memory = nil
				return func() { h.frontend.memory = memory }
			},
			body: long, status: http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.addServer("orders", "o1", serverstub.Config{Body: []byte(long)})
			cluster.configure("orders")
			h := cluster.startHost("host-1", 1)
			restore := tt.inject(cluster, h)
			started := time.Now()
			got := h.request("POST", "/order/7", "id-1", tt.body)
			if took := time.Since(started); got.status != tt.status || took > 500*time.Millisecond {
				t.Errorf("got %d (%v) after %v, want %d", got.status, got.err, took, tt.status)
			}
			time.Sleep(600 * time.Millisecond)
			if runs, _ := cluster.servers["o1"].Runs("id-1"); runs != tt.runs {
				t.Errorf("it ran %d times, want %d", runs, tt.runs)
			}
			restore()
			eventually(t, func() error {
				if got := h.request("POST", "/order/7", fmt.Sprint("id-", time.Now().UnixNano()), ""); got.status != http.StatusOK {
					return fmt.Errorf("got %d afterwards", got.status)
				}
				return nil
			})
			if !strings.Contains(h.log.String(), `"event":"panic","duty":"`+name+`"`) {
				t.Error("the panic is not logged")
			}
		})
	}
}

// TestPanicInRegistry checks that an update whose delivery panicked is read again,
// and that its configuration takes effect.
func TestPanicInRegistry(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	hub := h.registry.hubs["configuration"]
	var broke atomic.Bool
	hub.mu.Lock()
	deliver := hub.deliver
	hub.deliver = func(batch platform.EventBatch) {
		if !broke.Swap(true) {
			panic("for the test")
		}
		deliver(batch)
	}
	hub.mu.Unlock()
	cluster.configure("shard-b", "shard-b")
	eventually(t, func() error {
		if !broke.Load() || h.configVersion.Load() != uint64(cluster.version) {
			return fmt.Errorf("version %d in force", h.configVersion.Load())
		}
		return nil
	})
}

// TestPanicInPeerCall checks that a panic ends only the gRPC call that caused it;
// the next call is answered.
func TestPanicInPeerCall(t *testing.T) {
	t.Parallel()
	m := newHostMetrics()
	broken := &hub{} // has a state and no feed to encode it
	broken.cursor.Advance(scatter.FeedUpdate{Reset: true, Revision: 1})
	h := &Host{
		metrics: m, panics: &panicHandler{log: zerolog.Nop(), count: m.panics},
		registry:  &registry{hubs: map[string]*hub{"broken": broken}},
		peerConns: newPeerConns(platform.HostSettings{MemoryBytes: 1 << 28, MaxDescriptors: 2870}, newClientLog(zerolog.Nop(), m.registry)),
	}
	listener, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	server := newPeerServer(h)
	defer server.Stop()
	go func() { _ = server.Serve(listener) }() // ends with Stop
	client, err := newPeers().client(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for feed, want := range map[string]codes.Code{"broken": codes.Internal, "unknown": codes.InvalidArgument} {
		for range 2 {
			if _, err := client.Snapshot(context.Background(), &edgepb.SnapshotRequest{Feed: feed}); status.Code(err) != want {
				t.Errorf("%s: got %v", feed, err)
			}
		}
	}
	if got := m.panics.Count(); got != 2 {
		t.Errorf("%d panics were counted", got)
	}
}
