package edge

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// crashCluster is a cluster of four hosts in two failure domains, with servers
// that a deadly request crashes; they restart after a while.
type crashCluster struct {
	*testCluster
	hosts        []*testHost
	requestCount int
}

func newCrashCluster(t *testing.T) *crashCluster {
	cluster := &crashCluster{testCluster: newTestCluster(t)}
	for _, service := range []string{"files", "orders", "shard-a", "shard-b"} {
		for n := range 4 {
			id := fmt.Sprint(service, "-", n)
			cluster.addServerIn(fmt.Sprint("d", 1+n%2), service, id, serverstub.Config{
				Body: records(byte(n)), Work: 2 * time.Millisecond, CrashPath: "/deadly", DownFor: 600 * time.Millisecond,
				OnStart: func(starts int) { cluster.registerRestart(service, id, starts) },
			})
		}
	}
	cluster.configure("files", "shard-a", "shard-b")
	cluster.startHosts()
	return cluster
}

func (cluster *crashCluster) startHosts() {
	for n := range 4 {
		cluster.hosts = append(cluster.hosts, cluster.launchHost(fmt.Sprint("d", 1+n%2), fmt.Sprint("h", n), 1))
	}
	for _, h := range cluster.hosts {
		h.waitReadiness(true)
	}
	hosts := cluster.hosts
	cluster.t.Cleanup(func() { stopAll(hosts) })
}

// stopAll stops all hosts at the same time and waits until they have ended.
func stopAll(hosts []*testHost) {
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		h.stopAndWait()
	}
}

// resendFor sends a deadly request to the hosts in turn for a while. None of them
// may answer it with 200.
func (cluster *crashCluster) resendFor(path string, duration time.Duration) {
	cluster.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
		cluster.requestCount++
		h := cluster.hosts[cluster.requestCount%len(cluster.hosts)]
		if got := h.request("GET", path, fmt.Sprint("deadly-", cluster.requestCount), ""); got.err != nil || got.status == http.StatusOK {
			cluster.t.Errorf("%s: status %d, %v", path, got.status, got.err)
		}
	}
}

// crashTimes returns when servers began to run deadly requests, in order.
func (cluster *crashCluster) crashTimes() []time.Time {
	var all []time.Time
	for _, s := range cluster.servers {
		all = append(all, s.CrashTimes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// TestRequestIsQuarantinedAfterThreeCrashes checks that all hosts stop sending a
// request that crashes servers, whether or not they observed the crashes
// themselves (incident BUDGET).
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	for _, path := range []string{"/fetch/deadly", "/order/deadly", "/gather/deadly"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			cluster := newCrashCluster(t)
			cluster.resendFor(path, 4*time.Second)
			cluster.checkQuarantine(cluster.crashTimes())
		})
	}
}

// TestQuarantineSurvivesHostRestart checks that a quarantine holds after all hosts
// have restarted at the same time.
func TestQuarantineSurvivesHostRestart(t *testing.T) {
	t.Parallel()
	cluster := newCrashCluster(t)
	cluster.resendFor("/fetch/deadly", 2*time.Second)
	stopAll(cluster.hosts)
	cluster.hosts = nil
	cluster.startHosts()
	cluster.resendFor("/fetch/deadly", time.Second)
	cluster.checkQuarantine(cluster.crashTimes())
}

// TestSuspectsAreSharedAfterStoreOutage checks that a host shares the crashes that
// it observed while the store was down within the contact time after the store
// recovered.
func TestSuspectsAreSharedAfterStoreOutage(t *testing.T) {
	t.Parallel()
	cluster := newCrashCluster(t)
	if err := cluster.store.SetFaults(platformstub.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	// Only one host observes the crashes, which follow on each other.
	for range 3 {
		cluster.requestCount += 4
		cluster.hosts[0].request("GET", "/fetch/deadly", fmt.Sprint("deadly-", cluster.requestCount), "")
		time.Sleep(700 * time.Millisecond) // until the servers are back
	}
	if err := cluster.store.SetFaults(platformstub.Faults{LoseReplies: 2}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(contactTime)
	before := len(cluster.crashTimes())
	cluster.resendFor("/fetch/deadly", 2*time.Second)
	if after := len(cluster.crashTimes()); before == 0 || after > before {
		t.Errorf("%d servers crashed while the store was down, %d later", before, after-before)
	}
}

// checkQuarantine checks the rule BUDGET: once a request has crashed three servers
// it is quarantined within the contact time. Up to three later runs are accepted.
func (cluster *crashCluster) checkQuarantine(crashes []time.Time) {
	cluster.t.Helper()
	const allowed = 3
	if len(crashes) == 0 {
		cluster.t.Fatal("no server ran the request: the test checks nothing")
	}
	cluster.t.Logf("%d servers ended under %d requests", len(crashes), cluster.requestCount)
	if len(crashes) < allowed {
		return
	}
	deadline := crashes[allowed-1].Add(contactTime)
	later := slices.IndexFunc(crashes, func(at time.Time) bool { return at.After(deadline) })
	if later >= 0 && len(crashes)-later > allowed {
		cluster.t.Errorf("%d servers were crashed by %d requests, %d of them later than %v after the third", len(crashes), cluster.requestCount, len(crashes)-later, contactTime)
	}
}
