package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestGoneUpstreamIsNotKeptAfterALostSource guards against work for an upstream that is
// gone: a host that had lost the hosts that it follows took its missing entry for one
// that had expired while the store was down.
func TestGoneUpstreamIsNotKeptAfterALostSource(t *testing.T) {
	for name, tt := range map[string]struct {
		mayHaveFailed bool
		kept          bool
	}{
		"the host lost its source": {false, false},
		"the store was down":       {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 4)
			r.run(time.Second)
			r.step(scatter.StoreReachable{Reachable: false})
			r.run(1600 * ms)
			// A new source first sends the list.
			listed := append(pair("orders"), pair("files")[1])
			for _, shard := range []string{"shard00", "shard01", "shard02", "shard03"} {
				listed = append(listed, pair(core.ServiceID(shard))...)
			}
			r.step(scatter.UpstreamsListed{Upstreams: listed})
			r.step(scatter.StoreReachable{Reachable: true, MayHaveFailed: tt.mayHaveFailed})
			for range 10 {
				r.ask(fetchPath)
				r.run(50 * ms)
			}
			if kept := r.sentTo("files-a") > 0; kept != tt.kept {
				t.Errorf("the upstream without an entry is used: %v, want %v", kept, tt.kept)
			}
		})
	}
}

// TestLostSourceDoesNotEndAnEarlierGracePeriod: entries that expired in an outage are
// kept for the whole grace period, also if the host loses its source meanwhile.
func TestLostSourceDoesNotEndAnEarlierGracePeriod(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.StoreReachable{Reachable: false})
	r.run(4 * time.Second)
	r.step(scatter.StoreReachable{Reachable: true, MayHaveFailed: true})
	r.step(scatter.UpstreamRemoved{ID: "files-a"})
	r.run(200 * ms)
	r.step(scatter.StoreReachable{Reachable: false})
	r.step(scatter.StoreReachable{Reachable: true})
	for range 4 {
		r.ask(fetchPath)
	}
	r.run(50 * ms)
	if r.sentTo("files-a") == 0 {
		t.Error("the upstream is not used")
	}
}

func TestStoreMayHaveFailed(t *testing.T) {
	for name, tt := range map[string]struct {
		gap  scatter.SourceGap
		want bool
	}{
		"the followed hosts are lost":                {scatter.SourceGap{Length: 3 * time.Second, Source: scatter.RegistrySource{UpFor: time.Minute}}, false},
		"the store answers at once":                  {scatter.SourceGap{Length: 3 * time.Second}, false},
		"a host of an older build is followed":       {scatter.SourceGap{Length: 3 * time.Second}, false},
		"the same after failed calls":                {scatter.SourceGap{Length: 3 * time.Second, StoreFailed: true}, true},
		"the store turns this host away":             {scatter.SourceGap{Length: 3 * time.Second, StoreFailed: true, Source: scatter.RegistrySource{UpFor: 4 * time.Second, Failed: true}}, false},
		"the source has read for a part of the time": {scatter.SourceGap{Length: 3 * time.Second, StoreFailed: true, Source: scatter.RegistrySource{UpFor: time.Second}}, true},
		"the source's calls failed meanwhile":        {scatter.SourceGap{Length: 3 * time.Second, Source: scatter.RegistrySource{UpFor: time.Second, Failed: true}}, true},
		"a new reader":                               {scatter.SourceGap{Length: 3 * time.Second, Source: scatter.RegistrySource{UpFor: time.Second}}, false},
	} {
		if got := tt.gap.StoreMayHaveFailed(); got != tt.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
