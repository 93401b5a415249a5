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

// TestUnexpectedErrorsEndOnlyTheWorkThatMetThem brings about an error in each
// duty. What it was working on gets a final answer at once, which is true, and
// the host serves on.
func TestUnexpectedErrorsEndOnlyTheWorkThatMetThem(t *testing.T) {
	long := strings.Repeat("x", 100<<10) // counts against the memory
	for name, tt := range map[string]struct {
		breaks func(*rig, *running) (fixed func())
		body   string
		status int
		runs   int
	}{
		"decision": {
			breaks: func(r *rig, h *running) func() {
				r.servers["o1"].Pause(600 * time.Millisecond)
				time.AfterFunc(200*time.Millisecond, func() {
					h.inbox.PutWait(input{ask: func(*scatter.Engine) { panic("for the test") }})
				})
				return func() {}
			},
			status: http.StatusBadGateway, runs: 1,
		},
		"sender": {
			breaks: func(_ *rig, h *running) func() {
				memory := h.sender.memory
				h.sender.memory = nil
				return func() { h.sender.memory = memory }
			},
			status: http.StatusBadGateway, runs: 1,
		},
		"callers": {
			breaks: func(_ *rig, h *running) func() {
				memory := h.front.memory
				h.front.memory = nil
				return func() { h.front.memory = memory }
			},
			body: long, status: http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.server("orders", "o1", serverstub.Config{Body: []byte(long)})
			r.configure("orders")
			h := r.host("host-1", 1)
			fixed := tt.breaks(r, h)
			started := time.Now()
			got := h.ask("POST", "/order/7", "id-1", tt.body)
			if took := time.Since(started); got.status != tt.status || took > 500*time.Millisecond {
				t.Errorf("got %d (%v) after %v, want %d", got.status, got.err, took, tt.status)
			}
			time.Sleep(600 * time.Millisecond)
			if runs, _ := r.servers["o1"].Runs("id-1"); runs != tt.runs {
				t.Errorf("it ran %d times, want %d", runs, tt.runs)
			}
			fixed()
			eventually(t, func() error {
				if got := h.ask("POST", "/order/7", fmt.Sprint("id-", time.Now().UnixNano()), ""); got.status != http.StatusOK {
					return fmt.Errorf("got %d afterwards", got.status)
				}
				return nil
			})
			if !strings.Contains(h.log.String(), `"event":"panic","duty":"`+name+`"`) {
				t.Error("the log does not say what happened")
			}
		})
	}
}

// TestUnexpectedErrorInTheRegistry: the update that brought it about is read
// again, and what comes later is in force.
func TestUnexpectedErrorInTheRegistry(t *testing.T) {
	t.Parallel()
	r := twoShards(t)
	h := r.host("host-1", 1)
	hub := h.registry.hubs["configuration"]
	var broke atomic.Bool
	hub.mu.Lock()
	deliver := hub.deliver
	hub.deliver = func(news platform.EventBatch) {
		if !broke.Swap(true) {
			panic("for the test")
		}
		deliver(news)
	}
	hub.mu.Unlock()
	r.configure("shard-b", "shard-b")
	eventually(t, func() error {
		if !broke.Load() || h.version.Load() != uint64(r.version) {
			return fmt.Errorf("version %d in force", h.version.Load())
		}
		return nil
	})
}

// TestUnexpectedErrorInACallOfAnotherHost ends that call; the next one is
// answered.
func TestUnexpectedErrorInACallOfAnotherHost(t *testing.T) {
	t.Parallel()
	m := newMeters()
	h := &Host{
		meters: m, panics: &panics{log: zerolog.Nop(), count: m.panics},
		registry: &registry{hubs: map[string]*hub{"broken": {known: true}}},
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
