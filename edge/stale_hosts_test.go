package edge

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// TestRecordsOfAbsentHostsAreRemoved checks that the record of a host that is
// absent for long is removed, that records of running hosts stay, and that a
// running host whose record was removed registers again.
func TestRecordsOfAbsentHostsAreRemoved(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	hosts := []*testHost{cluster.startHost("host-1", 1), cluster.startHost("host-2", 1), cluster.startHost("host-3", 1), cluster.startHost("host-4", 1), cluster.startHost("weak", 0.1)}
	absent := scatter.Host{ID: "gone", Domain: "d1", Address: freeAddress(t), Cores: 0.1}
	if err := platform.RegisterHost(t.Context(), hosts[0].objects, absent); err != nil {
		t.Fatal(err)
	}
	checkHostCount := func(h *testHost, want int) error {
		ranked := 0
		h.decision.query(func(e *scatter.Engine) { ranked = len(e.Registered()) })
		if ranked != want {
			return fmt.Errorf("%s ranks %d hosts, want %d", h.platformSettings.Host, ranked, want)
		}
		return nil
	}
	for _, h := range hosts {
		eventually(t, func() error {
			if h.registry.openStreams.Load() == 0 && !h.registry.storeReadersUp() {
				return errors.New("it neither reads the store nor follows a reader")
			}
			return checkHostCount(h, len(hosts)+1)
		})
	}
	time.Sleep(followSilenceTimeout) // until the streams are stable
	// A host that has lost the store checks nothing, so the checks are repeated until
	// a host that reads it has made them all.
	checkAfter := func(times ...time.Duration) {
		t.Helper()
		eventually(t, func() error {
			checked := false
			for _, h := range hosts {
				var expiry scatter.HostExpiry
				reads := func() bool { return h.registry.current.Load().isReader() && h.registry.storeReadersUp() }
				before := reads()
				for _, later := range times {
					h.registry.checkStaleHosts(t.Context(), &expiry, time.Now().Add(later))
				}
				checked = checked || before && reads()
			}
			if !checked {
				return errors.New("no host reads the store")
			}
			return nil
		})
	}
	// The absent host does not return its followers, so hosts unknown here may follow
	// it. The removal therefore takes the longer time, two hours.
	checkAfter(0, 11*time.Minute, 110*time.Minute)
	for _, h := range hosts {
		if err := checkHostCount(h, len(hosts)+1); err != nil {
			t.Error(err)
		}
	}
	checkAfter(0, 11*time.Minute, 121*time.Minute)
	for _, h := range hosts {
		eventually(t, func() error { return checkHostCount(h, len(hosts)) })
	}
	// A running host whose record was removed registers again.
	cluster.store.Remove("samphirebeam-hosts", "weak")
	eventually(t, func() error { return checkHostCount(hosts[0], len(hosts)-1) })
	eventually(t, func() error { return checkHostCount(hosts[0], len(hosts)) })
}
