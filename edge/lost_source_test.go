package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestRemovedServerIsNotUsedAfterReadersAreLost guards against requests to a server
// that is gone: the hosts that read the store for the others end together, and the
// others take the missing entry for one that expired in an outage of the store.
func TestRemovedServerIsNotUsedAfterReadersAreLost(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.addServer("files", "f0", serverstub.Config{})
	cluster.configure("files")
	var hosts []*testHost
	for n := range 5 {
		hosts = append(hosts, cluster.startHost(fmt.Sprint("host-", n), 1))
	}
	for _, h := range hosts {
		eventually(t, func() error {
			if p := h.registry.current.Load(); len(p.ranked) != len(hosts) {
				return fmt.Errorf("%d hosts are listed", len(p.ranked))
			}
			if h.registry.openStreams.Load() == 0 && !h.registry.storeReadersUp() {
				return fmt.Errorf("it neither reads the store nor follows a reader")
			}
			return nil
		})
	}
	// Streams are stable, and the hosts that read for a while only have stopped.
	time.Sleep(scatter.StableStreamAfter + time.Second)
	followers := 0
	for _, h := range hosts {
		if h.registry.current.Load().isReader() {
			h.peerServer.Stop()
		}
	}
	cluster.store.Remove("servers", "f0")
	gone := cluster.servers["f0"]
	time.Sleep(1200 * time.Millisecond) // until the others read the store themselves
	before := gone.Arrived()
	for _, h := range hosts {
		if h.registry.current.Load().isReader() {
			continue
		}
		followers++
		if got := h.request("GET", "/fetch/", string(h.platformSettings.Host), ""); got.status != http.StatusServiceUnavailable {
			t.Errorf("got %d", got.status)
		}
	}
	if followers != 2 {
		t.Fatalf("%d hosts follow others, want 2: the test covers nothing", followers)
	}
	if after := gone.Arrived(); after > before {
		t.Errorf("%d requests reached the server that is gone", after-before)
	}
}
