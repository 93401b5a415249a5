package edge

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestIsolatedHostFailsReadinessCheck checks that a host that reaches no other
// failure domain and cannot serve fails its readiness check and closes callers'
// connections, and recovers once a host of another failure domain is up.
func TestIsolatedHostFailsReadinessCheck(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.addServer("files", "f1", serverstub.Config{Body: []byte("file")})
	cluster.addServer("orders", "o1", serverstub.Config{Body: []byte("order taken")})
	cluster.configure("files")
	isolated := cluster.startHostIn("d1", "cut-off", 1)
	farHosts := []*testHost{cluster.startHostIn("d2", "far-1", 1), cluster.startHostIn("d3", "far-2", 1)}
	if got := isolated.request("GET", "/fetch/x", "id-0", ""); got.status != http.StatusOK || got.closes {
		t.Fatalf("got %d before", got.status)
	}
	for _, far := range farHosts {
		far.stopAndWait()
	}
	cluster.store.Remove("servers", "f1")
	sequence := 0
	eventually(t, func() error {
		sequence++
		if got := isolated.request("GET", "/fetch/x", fmt.Sprint("id-", sequence), ""); !got.closes {
			return errors.New("the caller may keep its connection")
		}
		return nil
	})
	isolated.waitReadiness(false)
	cluster.startHostIn("d2", "far-3", 1)
	isolated.waitReadiness(true)
}

// TestFollowersReceiveSilentHosts checks that a host that hands requests over
// receives the list of silent hosts from the reader that it follows, and hands
// nothing over to a silent host.
func TestFollowersReceiveSilentHosts(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	strong := []*testHost{cluster.startHost("strong-1", 1), cluster.startHost("strong-2", 1), cluster.startHost("strong-3", 1)}
	for i := range 4 {
		cluster.startHost(fmt.Sprint("stands-by-", i), 0.1)
	}
	weak := cluster.startHost("weak", 0.1)
	eventually(t, func() (err error) {
		weak.decision.query(func(e *scatter.Engine) {
			if len(e.Registered()) < 8 || weak.registry.openStreams.Load() == 0 {
				err = errors.New("the weak host follows no reader yet")
			}
		})
		return err
	})
	strong[0].peerServer.Stop()
	eventually(t, func() error {
		for _, reader := range strong[1:] {
			if strings.Contains(reader.log.String(), `"event":"hosts_silent"`) {
				return nil
			}
		}
		return errors.New("no reader has reported the silent host")
	})
	time.Sleep(2 * heartbeatInterval)
	for i := range 20 {
		if got := weak.request("GET", "/gather/", fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
			t.Errorf("got %d", got.status)
		}
	}
	if strings.Contains(weak.log.String(), `"event":"host_rests","upstream":"strong-1"`) {
		t.Error("a caller's request was handed to the silent host")
	}
}
