package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestHostsCallARefusingStoreRarely guards against hosts that call a store which refuses
// them for each feed and record, and that have an older configuration for longer than the
// contact time after its return.
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
	calls := func() (sum uint64) {
		for _, h := range hosts {
			sum += h.objects.Calls()
		}
		return sum
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

// newIdleHost returns a host that does not run.
func (cluster *testCluster) newIdleHost() *Host {
	address := func() string { return freeAddress(cluster.t) }
	h, err := New(DefaultSettings(), platform.HostSettings{
		Host: "h", Domain: "d1", IP: "127.0.0.1", Callers: address(), Readiness: address(), Control: address(), Store: cluster.address, Contact: contactTime,
	}, io.Discard)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(h.closeListeners)
	return h
}

// TestStartMakesNoNeedlessCalls guards against hosts that list at their start what seeds
// and streams have brought, and store a record that the list already has.
func TestStartMakesNoNeedlessCalls(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	h := cluster.newIdleHost()
	h.registry.register(t.Context())
	h.registry.loadFeeds(t.Context())
	h.registry.loadHosts(t.Context())
	first := h.objects.Calls()
	if first != 6 || !h.registry.allFeedsLoaded() {
		t.Fatalf("%d calls load a host with nothing, want 6", first)
	}
	h.registry.register(t.Context())
	h.registry.loadFeeds(t.Context())
	if got := h.objects.Calls() - first; got > 0 {
		t.Errorf("%d calls for what is loaded already", got)
	}
}

// TestRegistrationsRunOneAtATime guards against registrations that add up while the store
// refuses them, since the record is found outdated or missing again and again.
func TestRegistrationsRunOneAtATime(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	if err := cluster.store.SetFaults(platformstub.Faults{Busy: true}); err != nil {
		t.Fatal(err)
	}
	h := cluster.newIdleHost()
	ctx, cancel := context.WithTimeout(t.Context(), 2*contactTime)
	defer cancel()
	var tasks sync.WaitGroup
	for range 10 {
		tasks.Go(func() { h.registry.register(ctx) })
	}
	tasks.Wait()
	if got := h.objects.CallsByPurpose()[platform.PurposeRegister]; got < 2 || got > 8 {
		t.Errorf("%d calls in %v", got, 2*contactTime)
	}
}

// TestHeldFeedsCountTheStoreAsFailed guards against entries that expired in an outage of
// the store and are taken for removed ones, because the feed made no call of its own.
func TestHeldFeedsCountTheStoreAsFailed(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	if err := cluster.store.SetFaults(platformstub.Faults{Busy: true}); err != nil {
		t.Fatal(err)
	}
	h := cluster.launchHost("d1", "h", 1)
	for name, hub := range h.registry.hubs {
		eventually(t, func() error {
			hub.mu.Lock()
			defer hub.mu.Unlock()
			if !hub.storeFailing {
				return errors.New(name + ": the store has not failed")
			}
			return nil
		})
	}
}
