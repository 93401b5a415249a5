package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestHostsLostByARestoreKeepTheirShares: hosts that registered after the copy of a
// restored store was made would leave the tier until they register again, and the
// others would divide connections and budgets among fewer hosts.
func TestHostsLostByARestoreKeepTheirShares(t *testing.T) {
	var hosts []scatter.Host
	for i := range 8 {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("host-", i)), Domain: "d1", Cores: 1})
	}
	r := newRig(t)
	want := func(when string, n int) {
		t.Helper()
		if got := len(r.engine.Ranked()); got != n {
			t.Errorf("%s: %d hosts, want %d", when, got, n)
		}
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	r.step(scatter.HostsSeen{Hosts: hosts[:1], Restored: true})
	want("after the restore", 8)
	r.run(time.Second)
	r.step(scatter.HostsSeen{Hosts: hosts[:6]})
	want("when some have registered again", 8)
	r.run(10 * time.Second)
	want("when the others have not", 6)
	r.step(scatter.HostsSeen{Hosts: hosts[:5]})
	want("when one is removed later", 5)
}

// TestQuarantineIsLostByARestore: a request is quarantined for what another host found.
// The store loses that, and this host's own findings, in a restore.
func TestQuarantineIsLostByARestore(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	other, mine := core.FingerprintOf([]byte("other")), core.FingerprintOf([]byte("mine"))
	ended := []scatter.UpstreamStart{{ID: "x-1"}, {ID: "x-2"}, {ID: "x-3"}}
	stored := map[core.HostID][]scatter.Suspect{"host-1": {{Fingerprint: mine, Ended: ended[:1]}}, "host-2": {{Fingerprint: other, Ended: ended}}}
	r.step(scatter.SuspectsSeen{ByHost: stored})
	refused := func(when string) {
		t.Helper()
		r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, Fingerprint: other}), scatter.Refused)
	}
	refused("before the restore")
	r.step(scatter.SuspectsSeen{Restored: true})
	refused("after the restore")
	r.run(time.Second)
	if len(r.storedSuspects) != 1 || len(r.storedSuspects[0]) != 2 {
		t.Fatalf("stored again: %v, want both fingerprints", r.storedSuspects)
	}
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.storedSuspects[0], "host-3": nil}})
	refused("when another host writes its record")
}
