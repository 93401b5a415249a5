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

// deadlyRig is a tier of four hosts in two failure domains, in front of servers
// that deadly requests end for a while.
type crashCluster struct {
	*testCluster
	hosts        []*testHost
	requestCount int
}

func newCrashCluster(t *testing.T) *crashCluster {
	r := &crashCluster{testCluster: newTestCluster(t)}
	for _, service := range []string{"files", "orders", "shard-a", "shard-b"} {
		for n := range 4 {
			id := fmt.Sprint(service, "-", n)
			r.addServerIn(fmt.Sprint("d", 1+n%2), service, id, serverstub.Config{
				Body: records(byte(n)), Work: 2 * time.Millisecond, Deadly: "/deadly", DownFor: 600 * time.Millisecond,
				OnStart: func(starts int) { r.registerRestart(service, id, starts) },
			})
		}
	}
	r.configure("files", "shard-a", "shard-b")
	r.startHosts()
	return r
}

func (r *crashCluster) startHosts() {
	for n := range 4 {
		r.hosts = append(r.hosts, r.launchHost(fmt.Sprint("d", 1+n%2), fmt.Sprint("h", n), 1))
	}
	for _, h := range r.hosts {
		h.waitReadiness(true)
	}
	hosts := r.hosts
	r.t.Cleanup(func() { stopAll(hosts) })
}

// stopAll stops hosts at once.
func stopAll(hosts []*testHost) {
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		h.stopAndWait()
	}
}

// resend puts a request to the hosts in turn for a while, beside others, each of
// which has to be served.
func (r *crashCluster) resend(path string, d time.Duration) {
	r.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
		r.requestCount++
		h := r.hosts[r.requestCount%len(r.hosts)]
		if got := h.request("GET", path, fmt.Sprint("deadly-", r.requestCount), ""); got.err != nil || got.status == http.StatusOK {
			r.t.Errorf("%s: status %d, %v", path, got.status, got.err)
		}
	}
}

// deadly returns when servers began to run deadly requests.
func (r *crashCluster) crashTimes() []time.Time {
	var all []time.Time
	for _, s := range r.servers {
		all = append(all, s.Deadly()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// TestRequestReachesServersNoMoreAfterItCrashedThree: whichever hosts it comes to,
// and whether they saw the crashes or not (incident BUDGET).
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	for _, path := range []string{"/fetch/deadly", "/order/deadly", "/gather/deadly"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newCrashCluster(t)
			r.resend(path, 4*time.Second)
			r.checkQuarantine(r.crashTimes())
		})
	}
}

// TestRestartedHostsKnowWhatCrashesServers: all hosts may end at once.
func TestQuarantineSurvivesHostRestart(t *testing.T) {
	t.Parallel()
	r := newCrashCluster(t)
	r.resend("/fetch/deadly", 2*time.Second)
	stopAll(r.hosts)
	r.hosts = nil
	r.startHosts()
	r.resend("/fetch/deadly", time.Second)
	r.checkQuarantine(r.crashTimes())
}

// TestHostsTellWhatCrashesServersOnceTheStoreIsBack: what they saw while it was
// away, within the time of contact.
func TestSuspectsAreSharedAfterStoreOutage(t *testing.T) {
	t.Parallel()
	r := newCrashCluster(t)
	if err := r.store.SetFaults(platformstub.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	// One host sees it all, the others nothing.
	for range 3 {
		r.requestCount += 4
		r.hosts[0].request("GET", "/fetch/deadly", fmt.Sprint("deadly-", r.requestCount), "")
	}
	if err := r.store.SetFaults(platformstub.Faults{LoseReplies: 2}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(contactTime)
	before := len(r.crashTimes())
	r.resend("/fetch/deadly", 2*time.Second)
	if after := len(r.crashTimes()); before == 0 || after > before {
		t.Errorf("%d servers crashed while the store was away, %d later", before, after-before)
	}
}

// wantNoMore checks what the rule BUDGET says of requests that crash servers.
func (r *crashCluster) checkQuarantine(began []time.Time) {
	r.t.Helper()
	const allowed = 3
	if len(began) == 0 {
		r.t.Fatal("no server ran the request: nothing is tested")
	}
	r.t.Logf("%d servers ended under %d requests", len(began), r.requestCount)
	if len(began) < allowed {
		return
	}
	known := began[allowed-1].Add(contactTime)
	later := slices.IndexFunc(began, func(at time.Time) bool { return at.After(known) })
	if later >= 0 && len(began)-later > allowed {
		r.t.Errorf("%d servers were crashed by %d requests, %d of them later than %v after the third", len(began), r.requestCount, len(began)-later, contactTime)
	}
}
