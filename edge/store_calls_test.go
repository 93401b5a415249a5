package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestHostsCallARefusingStoreRarely guards against hosts that call a store which refuses
// them for each feed and record, that list at the start what streams and seeds bring, and
// that have an older configuration for longer than the contact time after its return.
func TestHostsCallARefusingStoreRarely(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	cluster.addServer("new-files", "n-0", serverstub.Config{})
	first := cluster.startHost("h0", 1)
	hosts := []*testHost{first}
	for n := 1; n < 8; n++ {
		hosts = append(hosts, cluster.startHostWithSeed(fmt.Sprint("h", n), first.platformSettings.Control))
	}
	for _, h := range hosts {
		eventually(t, func() error {
			if h.registry.openStreams.Load() == 0 && !h.registry.storeReadersUp() {
				return fmt.Errorf("%s has no source", h.platformSettings.Host)
			}
			return h.wantRegistered(hosts)
		})
	}
	calls := func(only ...platform.Purpose) (sum uint64) {
		for _, h := range hosts {
			counts := h.objects.CallsByPurpose()
			for _, purpose := range only {
				sum += counts[purpose]
			}
			if len(only) == 0 {
				sum += h.objects.Calls()
			}
		}
		return sum
	}
	// h0 starts alone, and a host that is not registered yet may list feeds once.
	if got := calls(platform.PurposeHosts, platform.PurposeStart); got > 9 {
		t.Errorf("%d calls at the start that seeds and streams make unnecessary", got)
	}
	t.Logf("%d calls at the start of %d hosts", calls(), len(hosts))
	time.Sleep(contactTime) // until the substitutes of the start are done
	before := calls()
	if err := cluster.store.SetFaults(platformstub.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	const outage = 4 * contactTime
	time.Sleep(outage)
	// Each host calls at most once in 0.7 * 0.5 of the contact time, after the calls of
	// its five feeds and the first retries.
	if got, limit := calls()-before, uint64(len(hosts))*(5+3+uint64(outage/(contactTime*35/100))); got > limit {
		t.Errorf("%d calls while the store is down, want at most %d", got, limit)
	} else {
		t.Logf("%d calls while the store is down", got)
	}
	if err := cluster.store.SetFaults(platformstub.Faults{}); err != nil {
		t.Fatal(err)
	}
	cluster.configure("new-files", "shard-a", "shard-b")
	time.Sleep(contactTime)
	for _, h := range hosts {
		if got := h.configVersion.Load(); got != uint64(cluster.version) {
			t.Errorf("%s: version %d is in force, want %d", h.platformSettings.Host, got, cluster.version)
		}
	}
	var sum uint64
	for _, calls := range first.objects.CallsByPurpose() {
		sum += calls
	}
	if got := first.objects.Calls(); sum > got {
		t.Errorf("%d calls by purpose, %d in all", sum, got)
	}
}
