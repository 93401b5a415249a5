package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// rolloutCluster is a cluster under load: /fetch/ goes to the service s1, which is also a
// shard of /gather/.
type rolloutCluster struct {
	*testCluster
	hosts            []*testHost
	requests, failed atomic.Int64
	stop             chan struct{}
	callers          sync.WaitGroup
}

type rolloutStatus struct {
	State   string `json:"state"`
	Target  string `json:"target_version"`
	Reason  string `json:"reason"`
	Ordered time.Time
}

func newRolloutCluster(t *testing.T) *rolloutCluster {
	cluster := &rolloutCluster{testCluster: newTestCluster(t), stop: make(chan struct{})}
	cluster.versions = map[string]string{"new-1": "v2", "new-2": "v2"}
	cluster.rollout = scatter.RolloutLimits{Share: 0.2, Slack: 50, Rollback: 2 * time.Second, Apply: 500 * time.Millisecond}
	cluster.configure("s1", "s1", "s2")
	for _, id := range []string{"old-1", "old-2"} {
		cluster.addServer("s1", id, serverstub.Config{})
	}
	cluster.addServer("s2", "other", serverstub.Config{})
	for _, name := range []string{"h1", "h2", "h3"} {
		cluster.hosts = append(cluster.hosts, cluster.startHost(name, 1))
	}
	for i := range 6 {
		cluster.callers.Go(func() { cluster.call(i) })
	}
	t.Cleanup(cluster.stopCallers)
	return cluster
}

func (cluster *rolloutCluster) stopCallers() {
	select {
	case <-cluster.stop:
	default:
		close(cluster.stop)
	}
	cluster.callers.Wait()
}

func (cluster *rolloutCluster) call(caller int) {
	for n := 0; ; n++ {
		select {
		case <-cluster.stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		path := []string{"/fetch/x", "/gather/x"}[n%2]
		cluster.requests.Add(1)
		if r := cluster.hosts[(caller+n)%3].request("GET", path, fmt.Sprintf("%d-%d", caller, n), ""); r.err != nil || r.status != http.StatusOK {
			cluster.failed.Add(1)
		}
	}
}

func (cluster *rolloutCluster) arrived(prefix string) (count int) {
	for id, s := range cluster.servers {
		if strings.HasPrefix(id, prefix) {
			count += s.Arrived()
		}
	}
	return count
}

// order orders the roll-out and waits until it ends; it returns the status.
func (cluster *rolloutCluster) order() (status rolloutStatus) {
	cluster.t.Helper()
	const duration = 9
	cluster.put("rollouts", "s1", map[string]any{"service": "s1", "target_version": "v2", "duration_s": duration})
	for end := time.Now().Add(duration * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		entry, _ := cluster.store.Get("rollouts", "s1")
		if _ = json.Unmarshal(entry.Status, &status); status.State == "completed" || status.State == "reverted" {
			return status
		}
	}
	cluster.t.Fatalf("the roll-out has not ended by its deadline: %+v", status)
	return status
}

// A good version isn't completed, or requests are lost when the old servers stop at that
// moment, or servers of the new version get requests before the order.
func TestRolloutOfGoodVersion(t *testing.T) {
	cluster := newRolloutCluster(t)
	for _, id := range []string{"new-1", "new-2"} {
		cluster.addServer("s1", id, serverstub.Config{})
	}
	time.Sleep(time.Second)
	if n := cluster.arrived("new"); n > 0 {
		t.Errorf("%d requests reached the new version before the order", n)
	}
	if status := cluster.order(); status.State != "completed" || status.Target != "v2" {
		t.Fatalf("%+v", status)
	}
	failed, old := cluster.failed.Load(), cluster.arrived("old")
	for _, id := range []string{"old-1", "old-2"} {
		cluster.servers[id].Close()
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range []string{"old-1", "old-2"} {
		cluster.store.Remove("servers", id)
	}
	time.Sleep(time.Second)
	cluster.stopCallers()
	if now := cluster.arrived("old"); now > old {
		t.Errorf("%d requests reached the old version after it was told to stop", now-old)
	}
	if lost := cluster.failed.Load(); lost > failed || failed > 0 {
		t.Errorf("%d requests failed before the completion, %d after", failed, lost-failed)
	}
}

// A bad version isn't reverted, gets more than its share, or gets requests afterwards.
func TestRolloutOfBadVersion(t *testing.T) {
	cluster := newRolloutCluster(t)
	for _, id := range []string{"new-1", "new-2"} {
		cluster.addServer("s1", id, serverstub.Config{})
		cluster.servers[id].SetFault(serverstub.Fail)
	}
	before := cluster.requests.Load()
	if status := cluster.order(); status.State != "reverted" || status.Reason == "" {
		t.Fatalf("%+v", status)
	}
	time.Sleep(500 * time.Millisecond) // of 2 s that are allowed
	exposed, requests := cluster.arrived("new"), cluster.requests.Load()-before
	if most := 0.2*float64(requests) + 50; exposed == 0 || float64(exposed) > most {
		t.Errorf("%d of %d requests reached the bad version, up to %.0f may", exposed, requests, most)
	}
	time.Sleep(1500 * time.Millisecond)
	if now := cluster.arrived("new"); now > exposed {
		t.Errorf("%d requests reached the version after it was reverted", now-exposed)
	}
}

// A deployment without the settings of roll-outs makes calls for them, or ignores upstreams of
// other versions.
func TestRolloutsOff(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.versions = map[string]string{"new-1": "v2"}
	cluster.configure("s1", "s2")
	cluster.addServer("s2", "other", serverstub.Config{})
	cluster.addServer("s1", "new-1", serverstub.Config{})
	cluster.addServer("s1", "old-1", serverstub.Config{})
	h := cluster.startHost("h1", 1)
	if len(h.registry.hubs) != 5 {
		t.Errorf("%d feeds", len(h.registry.hubs))
	}
	h.request("GET", "/fetch/x", "1", "")
	used, other := "old-1", "new-1"
	if cluster.servers["new-1"].Arrived() > 0 {
		used, other = other, used
	}
	cluster.register("s1", used, "draining")
	eventually(t, func() error {
		h.request("GET", "/fetch/x", "2", "")
		if cluster.servers[other].Arrived() == 0 {
			return fmt.Errorf("%s gets no requests", other)
		}
		return nil
	})
}

// A host can't follow readers of an older build, which don't have the feeds of roll-outs, or
// does not learn of orders there.
func TestRolloutBesideOlderBuild(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configure("s1", "s2")
	cluster.addServer("s2", "other", serverstub.Config{})
	for _, name := range []string{"h1", "h2", "h3"} {
		cluster.startHost(name, 1)
	}
	cluster.rollout = scatter.RolloutLimits{Share: 0.1, Slack: 50, Rollback: time.Second, Apply: time.Second}
	h := cluster.startHost("h4", 0.1)
	eventually(t, func() error {
		if h.registry.openStreams.Load() == 0 || h.registry.current.Load().isReader() {
			return errors.New("the host does not follow")
		}
		return nil
	})
	cluster.put("rollouts", "s1", map[string]any{"service": "s1", "target_version": "v2", "duration_s": 9})
	eventually(t, func() error {
		if !h.registry.hubs[platform.RolloutFeedName].contains("s1") {
			return errors.New("the order is not known")
		}
		return nil
	})
}
