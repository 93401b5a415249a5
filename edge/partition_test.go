package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// cutUpstreams resets the host's connections to all upstreams, and refuses it new
// ones while cut is set.
func (h *testHost) cutUpstreams(cut *atomic.Bool) {
	cut.Store(true)
	h.sender.pool.mu.Lock()
	defer h.sender.pool.mu.Unlock()
	for key, idle := range h.sender.pool.idle {
		for _, c := range idle {
			c.abort()
		}
		delete(h.sender.pool.idle, key)
	}
}

// TestPartitionedHostHandsRequestsOver checks that a host that is refused all
// connections to upstreams has its callers served by the other hosts, that these
// read from the store that it is, and that it serves again once it reaches the
// upstreams.
func TestPartitionedHostHandsRequestsOver(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	for _, service := range []string{"files", "orders", "shard-a", "shard-b"} {
		for n := range 2 {
			cluster.addServerIn(fmt.Sprint("d", 1+n%2), service, fmt.Sprint(service, "-", n), serverstub.Config{Body: records(byte(n)), Work: 2 * time.Millisecond})
		}
	}
	cluster.configure("files", "shard-a", "shard-b")
	var cut atomic.Bool
	cluster.prepareHost = func(h *Host) {
		if h.platformSettings.Host != "host-1" {
			return
		}
		dial := h.sender.dial
		h.sender.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if cut.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return dial(ctx, network, address)
		}
	}
	first, second := cluster.startHostIn("d1", "host-1", 1), cluster.startHostIn("d2", "host-2", 1)
	eventually(t, func() error {
		known := 0
		first.decision.query(func(e *scatter.Engine) { known = len(e.Registered()) })
		if known != 2 {
			return fmt.Errorf("host-1 knows of %d hosts", known)
		}
		return nil
	})
	count := 0
	serve := func(d time.Duration) (failed int) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			for _, path := range []string{"/gather/x", "/fetch/x", "/order/x"} {
				count++
				if got := first.request("GET", path, fmt.Sprint("request-", count), ""); got.err != nil || got.status != http.StatusOK {
					failed++
				}
			}
		}
		return failed
	}
	if failed := serve(300 * time.Millisecond); failed > 0 {
		t.Fatalf("%d of %d requests failed before the partition", failed, count)
	}
	registered := func(want bool) error {
		feed := platform.HostFeed(second.objects)
		update, err := feed.List(t.Context())
		if err != nil {
			return err
		}
		hosts := feed.Events(update).Events[0].(scatter.HostsSeen).Hosts
		at := slices.IndexFunc(hosts, func(h scatter.Host) bool { return h.ID == "host-1" })
		if at < 0 || hosts[at].Partitioned != want {
			return fmt.Errorf("hosts %v, want host-1 partitioned: %v", hosts, want)
		}
		return nil
	}
	first.cutUpstreams(&cut)
	serve(contactTime)
	eventually(t, func() error { return registered(true) })
	if failed := serve(time.Second); failed > 0 {
		t.Errorf("%d requests failed at the partitioned host", failed)
	}
	cut.Store(false)
	eventually(t, func() error { return registered(false) })
	opened, _ := first.sender.pool.counts()
	if failed := serve(time.Second); failed > 0 {
		t.Errorf("%d requests failed after the partition", failed)
	}
	if now, _ := first.sender.pool.counts(); now == opened {
		t.Error("the host uses no upstream itself after the partition")
	}
}
