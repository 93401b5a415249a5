package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestHostAloneAgainUsesNoOldConfiguration guards against a host that hands requests over
// and answers by the configuration of the last time that it had to answer itself.
func TestHostAloneAgainUsesNoOldConfiguration(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.firstStart = true
	cluster.addServer("before", "old", serverstub.Config{})
	cluster.addServer("after", "new", serverstub.Config{})
	cluster.configure("before")
	hosts, entry := cluster.launchTier()
	others := map[int]*testHost{}
	for i, h := range hosts {
		if h.role() != scatter.Entry {
			others[i] = h
		}
	}
	stopOthers := func() {
		var stops sync.WaitGroup
		for _, h := range others {
			stops.Go(h.stopAndWait)
		}
		stops.Wait()
	}
	requests := 0
	servedBy := func() string {
		requests++
		got := entry.request(http.MethodGet, "/fetch/x", fmt.Sprint("r-", requests), "")
		id, _, _ := strings.Cut(got.header.Get("Server-Stamp"), ".")
		return id
	}
	awaitServer := func(id string) {
		t.Helper()
		eventually(t, func() error {
			if got := servedBy(); got != id {
				return fmt.Errorf("served by %q, not %q", got, id)
			}
			return nil
		})
	}
	active := func() bool { return entry.registry.current.Load().active }

	stopOthers()
	awaitServer("old")
	if !active() {
		t.Fatal("the entry host answers, but not itself")
	}
	cluster.firstStart = false
	for i := range others {
		others[i] = cluster.startHost(fmt.Sprint("h", i), tierPower(i))
	}
	for end := time.Now().Add(60 * time.Second); active(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entry host does not stop following")
		}
	}
	cluster.configure("after")
	awaitServer("new")
	time.Sleep(contactTime)
	ended := make(chan struct{})
	go func() {
		stopOthers()
		close(ended)
	}()
	served := 0
	for stopped := false; !stopped || served == 0; time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			stopped = true
		default:
		}
		switch id := servedBy(); {
		case id == "old":
			t.Fatalf("request %d was run as only the older version allows", requests)
		case id == "new" && active():
			served++
		}
	}
	awaitServer("new")
}

// TestLapsedFeed guards against a host that passes on, or takes as the newest, what it has
// read of a feed that it does not follow any more.
func TestLapsedFeed(t *testing.T) {
	t.Parallel()
	var delivered []scatter.Event
	h := newHub(platform.ConfigFeed(nil), func(batch platform.EventBatch) { delivered = append(delivered, batch.Events...) })
	list := func(revision uint64, version int) platform.Update {
		spec := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"limits":{}}`, version)
		object := platform.StoredObject{Meta: platform.Meta{Name: "main", Revision: revision}, Spec: []byte(spec)}
		return platform.Update{Reset: true, Era: 1, Revision: revision, Changes: []platform.Change{{Object: object}}}
	}
	versionAfter := func(u platform.Update) (version uint64, applied bool) {
		delivered = nil
		applied = h.apply(u)
		for _, event := range delivered {
			if seen, ok := event.(scatter.ConfigSeen); ok {
				version = seen.Config.Version
			}
		}
		return version, applied
	}
	if version, _ := versionAfter(list(10, 5)); version != 5 {
		t.Fatalf("version %d", version)
	}
	h.setFollowed(false)
	if message, err := h.snapshot(); message != nil || err != nil {
		t.Errorf("a lapsed feed was passed on: %v, %v", message, err)
	}
	if version, _ := versionAfter(list(12, 6)); version != 0 {
		t.Errorf("version %d was applied while the feed is not followed", version)
	}
	h.setFollowed(true)
	if _, applied := versionAfter(platform.Update{Era: 1, Base: 10, Revision: 11}); applied || h.isLoaded() {
		t.Error("changes were applied to a lapsed state")
	}
	if version, _ := versionAfter(list(9, 4)); version != 0 || h.isLoaded() {
		t.Errorf("an older list was applied, with version %d", version)
	}
	// The store was restored and does not have the newest version yet.
	restored := list(3, 4)
	restored.Era = 2
	if version, _ := versionAfter(restored); version != 5 {
		t.Errorf("version %d after a restore, want the newest known one", version)
	}
	h.setFollowed(false)
	h.setFollowed(true)
	same := list(3, 4)
	same.Era = 2
	if version, _ := versionAfter(same); version != 5 {
		t.Errorf("version %d, the unchanged list must be delivered again", version)
	}
}

// TestLimitsOfCallersEndWithTheirConfiguration guards against limits that stay in force
// after the configuration that set them.
func TestLimitsOfCallersEndWithTheirConfiguration(t *testing.T) {
	t.Parallel()
	f := newFrontend(nil, newHostMetrics(), platform.NewMemory(1<<20), 8, nil, &panicHandler{})
	f.setLimits(scatter.CallerLimits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4})
	f.setLimits(scatter.CallerLimits{})
	got := [...]int64{f.maxHeaderBytes.Load(), f.maxBodyBytes.Load(), f.headerTimeout.Load(), f.idleTimeout.Load()}
	if want := [...]int64{fallbackHeaderBytes, fallbackBodyBytes, int64(fallbackHeaderTimeout), int64(fallbackIdleTimeout)}; got != want {
		t.Errorf("limits %v, want %v", got, want)
	}
}
