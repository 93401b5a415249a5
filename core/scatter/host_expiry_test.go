package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestPresentHostDoesNotDelayExpiryOfOthers: a host that follows no other and is
// marked present does not delay the expiry of other hosts.
func TestPresentHostDoesNotDelayExpiryOfOthers(t *testing.T) {
	var expiry scatter.HostExpiry
	hosts := []scatter.Host{{ID: "there"}, {ID: "gone"}, {ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	present := map[core.HostID]bool{"a": true, "b": true, "c": true, "d": true, "e": true}
	for now := epoch; now.Sub(epoch) < 11*time.Minute; now = now.Add(10 * time.Second) {
		switch h, found := expiry.Update(now, hosts, present, true); {
		case found && h.ID == "gone":
			return
		case found:
			expiry.MarkPresent(h.ID)
		}
	}
	t.Error("the absent host has not expired")
}

// TestAbsentHostsExpire lists when records are removed, with an update every ten
// seconds.
func TestAbsentHostsExpire(t *testing.T) {
	const minutes = time.Minute
	for name, tt := range map[string]struct {
		absent    int // number of ten hosts
		uncertain bool
		returns   time.Duration // when they are present again; 0 for never
		resetAt   time.Duration // when the store is unavailable; 0 for never
		runs      time.Duration
		expired   int
	}{
		"all are present":                    {0, false, 0, 0, 3 * time.Hour, 0},
		"absent for a while":                 {2, false, 9 * minutes, 0, time.Hour, 0},
		"absent long enough":                 {2, false, 0, 0, 11 * minutes, 2},
		"absent, not long enough":            {2, false, 0, 0, 9 * minutes, 0},
		"the store is unavailable meanwhile": {2, false, 0, 9 * minutes, 18 * minutes, 0},
		"unavailable and long enough after":  {2, false, 0, 9 * minutes, 20 * minutes, 2},
		"half are absent":                    {5, false, 0, 0, 110 * minutes, 0},
		"half are absent long enough":        {5, false, 0, 0, 130 * minutes, 5},
		"uncertain absence":                  {1, true, 0, 0, 110 * minutes, 0},
		"uncertain and long enough":          {1, true, 0, 0, 130 * minutes, 1},
		"regions separated for an hour":      {4, true, time.Hour, 0, 3 * time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var expiry scatter.HostExpiry
			hosts := make([]scatter.Host, 10)
			for i := range hosts {
				hosts[i].ID = core.HostID(fmt.Sprint("h", i))
			}
			expired := 0
			for now := epoch; now.Sub(epoch) < tt.runs; now = now.Add(10 * time.Second) {
				if tt.resetAt > 0 && now.Sub(epoch) == tt.resetAt {
					expiry.Reset()
				}
				present := map[core.HostID]bool{}
				for i, h := range hosts {
					present[h.ID] = i >= tt.absent || tt.returns > 0 && now.Sub(epoch) >= tt.returns
				}
				host, found := expiry.Update(now, hosts[expired:], present, !tt.uncertain)
				if !found {
					continue
				}
				if host.ID != hosts[expired].ID {
					t.Fatalf("%s has expired", host.ID)
				}
				expired++
			}
			if expired != tt.expired {
				t.Errorf("%d hosts have expired, want %d", expired, tt.expired)
			}
		})
	}
}
