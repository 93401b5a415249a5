package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestServerThatSaysItLeaves: the word may come with any answer, also with one
// that is a failure or belongs to a part, and whatever the store says.
func TestLeavingServerReceivesNoRequests(t *testing.T) {
	for name, tt := range map[string]struct {
		fault serverstub.Fault
		path  string
	}{
		"answer":  {serverstub.Sound, "/fetch/"},
		"failure": {serverstub.Fail, "/fetch/"},
		"refusal": {serverstub.Shed, "/fetch/"},
		"part":    {serverstub.Sound, "/gather/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoShardCluster(t)
			h := cluster.startHost("host-1", 1)
			leaves := cluster.servers["a1"]
			leaves.SetFault(tt.fault)
			leaves.SetHeaders("Server-Leaving: 1\r\n")
			for i := 0; leaves.Arrived() == 0; i++ {
				h.request("GET", tt.path, fmt.Sprint("before-", i), "")
			}
			before := leaves.Arrived()
			for i := range 30 {
				if i == 15 {
					cluster.register("shard-a", "a1", "ready")
				}
				if got := h.request("GET", tt.path, fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
					t.Errorf("got %d", got.status)
				}
			}
			if after := leaves.Arrived(); after != before {
				t.Errorf("%d requests reached it afterwards", after-before)
			}
		})
	}
}

// TestRelaysKeepToWhatServersAsk: what a server tells a relay holds for all that
// the relay sends, and its leaving also for the host that decided.
func TestRelaysObeyServerNotices(t *testing.T) {
	for name, headers := range map[string]string{
		"leaves":        "Server-Leaving: 1\r\n",
		"wants nothing": "Retry-After: 30\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, hosts := newRelayCluster(t)
			server := cluster.servers["shard0-0"]
			server.SetHeaders(headers)
			if name != "leaves" {
				server.SetFault(serverstub.Shed)
			}
			// Its relays learn first.
			for _, h := range hosts[2:] {
				target := scatter.Upstream{ID: "shard0-0", Address: server.Address(), Started: 1}
				eventually(t, func() error {
					h.request("GET", "/gather/x", fmt.Sprint("warm-", time.Now().UnixNano()), "")
					if !h.sender.notices.get(target).Forbids() {
						return fmt.Errorf("%s was told nothing", h.platformSettings.Host)
					}
					return nil
				})
			}
			if name == "leaves" {
				server.SetHeaders("")
			}
			// No other server of the shard is left, so the host that decides asks
			// for this one.
			cluster.register("shard0", "shard0-1", "draining")
			time.Sleep(600 * time.Millisecond)
			before := server.Arrived()
			for i := range 20 {
				answer := hosts[0].request("GET", "/gather/x", fmt.Sprint("r-", i), "")
				if answer.status != http.StatusOK || answer.header.Get("Missing-Parts") != "1" {
					t.Errorf("status %d, %q missing", answer.status, answer.header.Get("Missing-Parts"))
				}
			}
			// A host that was told nothing itself may ask once.
			most := before
			if name != "leaves" {
				most++
			}
			if after := server.Arrived(); after > most {
				t.Errorf("%d requests reached it afterwards", after-before)
			}
		})
	}
}

// TestServerThatWantsNothing: at most two requests reach a server within the
// time for which it turned this host away.
func TestServerBackoffIsObeyed(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	busy := cluster.servers["a1"]
	busy.SetFault(serverstub.Shed)
	busy.SetHeaders("Retry-After: 1.5\r\n")
	for i := 0; busy.Arrived() == 0; i++ {
		h.request("GET", "/fetch/", fmt.Sprint("before-", i), "")
	}
	told, before := time.Now(), busy.Arrived()
	after := before
	for i := 0; time.Since(told) < 1400*time.Millisecond; i++ {
		if got := h.request("GET", "/fetch/", fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
			t.Errorf("got %d", got.status)
		}
		// The last request may end, and be hedged, after the time is over.
		if now := busy.Arrived(); time.Since(told) < 1400*time.Millisecond {
			after = now
		}
	}
	if after != before {
		t.Errorf("%d requests reached it within the time", after-before)
	}
}
