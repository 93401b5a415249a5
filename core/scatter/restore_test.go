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
