package edge

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// restore takes the store away for a moment and brings it back from a copy.
func (cluster *testCluster) restore(copied time.Time) {
	cluster.t.Helper()
	if err := cluster.store.SetFaults(platformstub.Faults{Down: true}); err != nil {
		cluster.t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	cluster.store.Restore(time.Since(copied))
	if err := cluster.store.SetFaults(platformstub.Faults{}); err != nil {
		cluster.t.Fatal(err)
	}
}

// TestConfigurationAcknowledgedAfterRestoreIsNotInForce: a version that is written
// after the store was restored is in force on all hosts within the contact time.
func TestConfigurationAcknowledgedAfterRestoreIsNotInForce(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	cluster.addServer("new-files", "n-0", serverstub.Config{})
	hosts := []*testHost{cluster.startHost("h1", 1), cluster.startHost("h2", 1), cluster.startHost("h3", 1), cluster.startHost("h4", 1), cluster.startHost("h5", 0.1)}
	time.Sleep(100 * time.Millisecond)
	copied := time.Now()
	for range 3 {
		cluster.configure("shard-b", "shard-a", "shard-b")
		time.Sleep(300 * time.Millisecond)
	}
	cluster.restore(copied)
	time.Sleep(200 * time.Millisecond)
	cluster.configure("new-files", "shard-a", "shard-b")
	time.Sleep(contactTime)
	for _, h := range hosts {
		before := cluster.servers["n-0"].Arrived()
		if got := h.request("GET", "/fetch/x", fmt.Sprint("r-", h.platformSettings.Host), ""); got.status != http.StatusOK {
			t.Errorf("%s: status %d", h.platformSettings.Host, got.status)
		}
		if cluster.servers["n-0"].Arrived() == before {
			t.Errorf("%s handles requests by an older version", h.platformSettings.Host)
		}
	}
}

// TestHostsLostByARestoreRegisterAgain: hosts that registered after the copy was made
// write their records again within the contact time.
func TestHostsLostByARestoreRegisterAgain(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	hosts := []*testHost{cluster.startHost("h1", 1), cluster.startHost("h2", 1)}
	copied := time.Now()
	for _, name := range []string{"h3", "h4", "h5"} {
		hosts = append(hosts, cluster.startHost(name, 1))
	}
	eventually(t, func() error { return hosts[0].wantRegistered(hosts) })
	cluster.restore(copied)
	time.Sleep(contactTime)
	for _, h := range hosts {
		if err := h.wantRegistered(hosts); err != nil {
			t.Error(err)
		}
	}
}

func (h *testHost) wantRegistered(hosts []*testHost) error {
	for _, other := range hosts {
		if name := string(other.platformSettings.Host); !h.registry.hosts.contains(name) {
			return fmt.Errorf("%s: %s has no record", h.platformSettings.Host, name)
		}
	}
	return nil
}

// TestSuspectsLostByARestoreAreStoredAgain: findings that the store lost are stored
// again, for hosts that start later, also if the host that found them is gone.
func TestSuspectsLostByARestoreAreStoredAgain(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	cluster.startHost("h1", 1)
	copied := time.Now()
	ended := []any{map[string]any{"id": "x-1"}, map[string]any{"id": "x-2"}}
	fingerprint := core.FingerprintOf([]byte("deadly"))
	question := map[string]any{"fingerprint": hex.EncodeToString(fingerprint[:]), "ended": ended}
	cluster.put("samphirebeam-suspects", "gone", map[string]any{"questions": []any{question}})
	time.Sleep(contactTime)
	cluster.restore(copied)
	eventually(t, func() error {
		response, err := http.Get("http://" + cluster.address + "/objects/samphirebeam-suspects/h1")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("h1 has stored nothing: status %d", response.StatusCode)
		}
		return nil
	})
}

// TestHostStartedAfterARestoreTakesAnOlderConfiguration: until the operators write a
// lost version again, the store has an older one than the hosts.
func TestHostStartedAfterARestoreTakesAnOlderConfiguration(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	hosts := []*testHost{cluster.startHost("h1", 1), cluster.startHost("h2", 1)}
	time.Sleep(100 * time.Millisecond)
	copied := time.Now()
	time.Sleep(50 * time.Millisecond)
	cluster.configure("shard-b", "shard-a", "shard-b")
	wantVersion := func() error {
		for _, h := range hosts {
			if got := h.configVersion.Load(); got != uint64(cluster.version) {
				return fmt.Errorf("%s: version %d is in force, want %d", h.platformSettings.Host, got, cluster.version)
			}
		}
		return nil
	}
	eventually(t, wantVersion)
	cluster.restore(copied)
	time.Sleep(contactTime)
	hosts = append(hosts, cluster.startHost("h3", 1), cluster.startHost("h4", 0.1))
	eventually(t, wantVersion)
	cluster.configure("shard-a", "shard-a", "shard-b")
	eventually(t, wantVersion)
}
