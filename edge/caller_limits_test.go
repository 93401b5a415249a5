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

// tierPower returns the cores of a host in launchTier: one strong host, and weak ones.
func tierPower(i int) float64 {
	if i == 0 {
		return 1
	}
	return 0.1
}

// launchTier starts so many hosts together that some of them only hand requests over, and
// returns all hosts and one of these.
func (cluster *testCluster) launchTier() (hosts []*testHost, entry *testHost) {
	cluster.t.Helper()
	for i := range 7 {
		hosts = append(hosts, cluster.launchHost("d1", fmt.Sprint("h", i), tierPower(i)))
	}
	eventually(cluster.t, func() error {
		for _, h := range hosts {
			count := 0
			h.decision.query(func(e *scatter.Engine) { count = len(e.Registered()) })
			if count < len(hosts) {
				return fmt.Errorf("%s counts %d hosts", h.platformSettings.Host, count)
			}
			if h.role() == scatter.Entry {
				entry = h
			}
		}
		return nil
	})
	if entry == nil {
		cluster.t.Fatal("no entry host")
	}
	return hosts, entry
}

func (h *testHost) role() (role scatter.Role) {
	h.decision.query(func(e *scatter.Engine) { role = e.Role() })
	return role
}

// TestEntryHostAppliesTheLimitsOfTheConfiguration guards against hosts that hand requests
// over, and deny what the configuration in force allows or accept what it does not.
func TestEntryHostAppliesTheLimitsOfTheConfiguration(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.firstStart = true
	cluster.addServer("orders", "o", serverstub.Config{})
	cluster.configure("orders")
	_, entry := cluster.launchTier()
	requests := 0
	await := func(body, want int) {
		t.Helper()
		eventually(t, func() error {
			requests++
			if got := entry.request(http.MethodPost, "/order/x", fmt.Sprint("r-", requests), strings.Repeat("x", body)); got.status != want {
				return fmt.Errorf("a body of %d bytes: status %d, want %d (%w)", body, got.status, want, got.err)
			}
			return nil
		})
	}
	await(2<<20, http.StatusRequestEntityTooLarge)
	cluster.maxBodyBytes = 4 << 20
	cluster.configure("orders")
	await(2<<20, http.StatusOK)
	cluster.maxBodyBytes = 1000
	cluster.configure("orders")
	await(2000, http.StatusRequestEntityTooLarge)
	await(1000, http.StatusOK)
	if entry.registry.current.Load().active {
		t.Error("the host does not only hand over")
	}
}

// TestOlderReportsOfLimitsDoNotCount guards against limits that revert: hosts that are
// followed learn of versions at different times.
func TestOlderReportsOfLimitsDoNotCount(t *testing.T) {
	core := scatter.New(scatter.Options{Self: "h"})
	report := func(version uint64, bytes int64) (uint64, int64) {
		var out scatter.Actions
		core.Step(time.Unix(1_700_000_000, 0), scatter.LimitsReported{Version: version, Limits: scatter.CallerLimits{MaxBodyBytes: bytes}}, &out)
		version, limits := core.Limits()
		return version, limits.MaxBodyBytes
	}
	report(2, 200)
	if version, bytes := report(1, 100); version != 2 || bytes != 200 {
		t.Errorf("limit %d of version %d", bytes, version)
	}
	if version, bytes := report(3, 300); version != 3 || bytes != 300 {
		t.Errorf("limit %d of version %d", bytes, version)
	}
}
