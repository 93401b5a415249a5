package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

const goldKey = "gold-secret"

// newTeamCluster returns a cluster whose configuration has the team gold, with a gatherer
// in each of two failure domains and a host that hands its callers' requests over. Some
// upstreams are in the other domain than the first gatherer, so that parts are relayed.
func newTeamCluster(t *testing.T) (cluster *testCluster, hosts []*testHost) {
	cluster = newTestCluster(t)
	cluster.teams = []map[string]any{{"name": "gold", "api_keys": []string{goldKey}}}
	shards := []string{"shard0", "shard1", "shard2"}
	for i, shard := range shards {
		record := strings.Repeat(string(rune('a'+i)), scatter.RecordSize)
		cluster.addServerIn("d2", shard, shard+"-0", serverstub.Config{Work: 5 * time.Millisecond, Body: []byte(record)})
	}
	cluster.addServer("orders", "o-0", serverstub.Config{Body: []byte("taken")})
	cluster.configure(shards[0], shards...)
	hosts = []*testHost{cluster.startHostIn("d1", "h1", 1), cluster.startHostIn("d2", "h2", 1), cluster.startHostIn("d1", "weak", 0.1)}
	eventually(t, func() error {
		hosts[0].requestAs(goldKey, "GET", "/gather/warm", fmt.Sprint("warm-", time.Now().UnixNano()), "")
		if hosts[0].relayedCount() == 0 {
			return fmt.Errorf("nothing was relayed")
		}
		return nil
	})
	return cluster, hosts
}

// TestUpstreamsGetTheTeamAndNoKey guards against a key, or a team that the caller names,
// reaching an upstream or a log, on each way that a request takes: plain, gathered, relayed
// and handed over.
func TestUpstreamsGetTheTeamAndNoKey(t *testing.T) {
	cluster, hosts := newTeamCluster(t)
	for i, h := range hosts {
		for path, servers := range map[string][]string{
			"/order/x": {"o-0"}, "/fetch/x": {"shard0-0"}, "/gather/x": {"shard0-0", "shard1-0", "shard2-0"},
		} {
			method := map[bool]string{true: "POST", false: "GET"}[path == "/order/x"]
			id := fmt.Sprint("id-", i, path)
			if got := h.requestAs(goldKey, method, path, id, ""); got.status != http.StatusOK {
				t.Errorf("host %d, %s: status %d, %v", i, path, got.status, got.err)
			}
			for _, server := range servers {
				runs := cluster.servers[server].AllRuns()[id]
				if len(runs) == 0 {
					t.Errorf("host %d, %s did not reach %s", i, path, server)
				}
				for _, run := range runs {
					header := run.Header
					if got := strings.Join(header["Tenant"], ","); got != "gold" || header.Get("Authorization") != "" {
						t.Errorf("host %d, %s at %s: team %q, %d keys", i, path, server, got, len(header["Authorization"]))
					}
				}
			}
		}
	}
	for i, h := range hosts {
		if strings.Contains(h.log.String(), "secret") {
			t.Errorf("the log of host %d contains a key", i)
		}
	}
}

// TestRequestsWithoutValidKeyDoNotRun guards against requests that run without a key or
// with one that was withdrawn, at hosts that decide and at hosts that hand over.
func TestRequestsWithoutValidKeyDoNotRun(t *testing.T) {
	cluster, hosts := newTeamCluster(t)
	for i, h := range hosts {
		for _, key := range []string{"", "unknown"} {
			id := fmt.Sprint("denied-", i, key)
			got := h.requestAs(key, "GET", "/gather/x", id, "")
			runs, _ := cluster.servers["shard0-0"].Runs(id)
			if got.status != http.StatusUnauthorized || runs != 0 {
				t.Errorf("host %d, key %q: status %d after %d runs", i, key, got.status, runs)
			}
		}
	}
	cluster.teams[0]["api_keys"] = []string{"newer-secret"}
	cluster.configure("shard0", "shard0", "shard1", "shard2")
	for i, h := range hosts {
		eventually(t, func() error {
			withdrawn := h.requestAs(goldKey, "GET", "/gather/x", fmt.Sprint("old-", i, time.Now().UnixNano()), "")
			added := h.requestAs("newer-secret", "GET", "/gather/x", fmt.Sprint("new-", i, time.Now().UnixNano()), "")
			if withdrawn.status != http.StatusUnauthorized || added.status != http.StatusOK {
				return fmt.Errorf("host %d: the withdrawn key gets %d, the new one %d", i, withdrawn.status, added.status)
			}
			return nil
		})
	}
}
