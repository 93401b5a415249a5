package edge

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestLeavingServerReceivesNoRequests checks that a server receives no request
// after it has announced that it is leaving. The notice may come with any answer,
// failures and parts included, and holds even if the store lists the server as
// ready.
func TestLeavingServerReceivesNoRequests(t *testing.T) {
	for name, tt := range map[string]struct {
		fault serverstub.Fault
		path  string
	}{
		"answer":  {serverstub.NoFault, "/fetch/"},
		"failure": {serverstub.Fail, "/fetch/"},
		"refusal": {serverstub.Shed, "/fetch/"},
		"part":    {serverstub.NoFault, "/gather/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoShardCluster(t)
			h := cluster.startHost("host-1", 1)
			leaving := cluster.servers["a1"]
			leaving.SetFault(tt.fault)
			leaving.SetHeaders("Server-Leaving: 1\r\n")
			for i := 0; leaving.Arrived() == 0; i++ {
				h.request("GET", tt.path, fmt.Sprint("before-", i), "")
			}
			before := leaving.Arrived()
			for i := range 30 {
				if i == 15 {
					cluster.register("shard-a", "a1", "ready")
				}
				if got := h.request("GET", tt.path, fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
					t.Errorf("got %d", got.status)
				}
			}
			if after := leaving.Arrived(); after != before {
				t.Errorf("%d requests reached it afterwards", after-before)
			}
		})
	}
}

// TestRelaysObeyServerNotices checks that a server's notice to a relay applies to
// all requests that the relay sends. A leaving notice also reaches the host that
// decided on the send.
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
			// First both relays receive the notice.
			for _, h := range hosts[2:] {
				target := scatter.Upstream{ID: "shard0-0", Address: server.Address(), Started: 1}
				eventually(t, func() error {
					h.request("GET", "/gather/x", fmt.Sprint("warm-", time.Now().UnixNano()), "")
					if !h.sender.notices.get(target).Forbids() {
						return fmt.Errorf("%s has received no notice", h.platformSettings.Host)
					}
					return nil
				})
			}
			if name == "leaves" {
				server.SetHeaders("")
			}
			// With the shard's other server draining, the deciding host can only
			// choose this one.
			cluster.register("shard0", "shard0-1", "draining")
			time.Sleep(600 * time.Millisecond)
			before := server.Arrived()
			for i := range 20 {
				answer := hosts[0].request("GET", "/gather/x", fmt.Sprint("r-", i), "")
				if answer.status != http.StatusOK || answer.header.Get("Missing-Parts") != "1" {
					t.Errorf("status %d, %q missing", answer.status, answer.header.Get("Missing-Parts"))
				}
			}
			// A request to back off applies only to the relay that received it, so
			// the deciding host may send one request itself.
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

// TestServerBackoffIsObeyed checks that a server receives no further request from
// a host within the retry delay that it sent to that host.
func TestServerBackoffIsObeyed(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	server := cluster.servers["a1"]
	server.SetFault(serverstub.Shed)
	server.SetHeaders("Retry-After: 1.5\r\n")
	for i := 0; server.Arrived() == 0; i++ {
		h.request("GET", "/fetch/", fmt.Sprint("before-", i), "")
	}
	noticeAt, before := time.Now(), server.Arrived()
	after := before
	for i := 0; time.Since(noticeAt) < 1400*time.Millisecond; i++ {
		if got := h.request("GET", "/fetch/", fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
			t.Errorf("got %d", got.status)
		}
		// The last request may end, and be hedged, after the delay has passed.
		if now := server.Arrived(); time.Since(noticeAt) < 1400*time.Millisecond {
			after = now
		}
	}
	if after != before {
		t.Errorf("%d requests reached it within the retry delay", after-before)
	}
}

// TestRelayedPartsKeepTheLimit checks that a limit that a server states to a relay
// reaches the host that decides: with a part, and with one that the relay does not
// send because that host does not know of the limit.
func TestRelayedPartsKeepTheLimit(t *testing.T) {
	t.Parallel()
	cluster, hosts := newRelayCluster(t)
	server := cluster.servers["shard0-0"]
	server.SetHeaders("Server-Limit: 0\r\n")
	target := scatter.Upstream{ID: "shard0-0", Address: server.Address(), Started: 1}
	for _, relay := range hosts[2:] {
		eventually(t, func() error {
			hosts[1].request("GET", "/gather/x", fmt.Sprint("warm-", time.Now().UnixNano()), "")
			relay.request("GET", "/gather/x", fmt.Sprint("own-", time.Now().UnixNano()), "")
			if !relay.sender.notices.limitSince(target, time.Time{}).Stated {
				return fmt.Errorf("%s knows of no limit", relay.platformSettings.Host)
			}
			return nil
		})
	}
	limits := func(h *testHost) (count uint64) {
		h.decision.query(func(e *scatter.Engine) { count = e.Stats().Limited })
		return count
	}
	before := server.Arrived()
	for i := range 40 {
		if got := hosts[0].request("GET", "/gather/x", fmt.Sprint("r-", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	if after := server.Arrived(); limits(hosts[0]) == 0 || after > before {
		t.Errorf("%d requests reached the server, %d limits are known", after-before, limits(hosts[0]))
	}
	if got := limits(hosts[1]); got != 1 {
		t.Errorf("the host that first sent parts through the relays learned the limit %d times", got)
	}
}

// TestEndOfALimitIsReported checks that a host which may send a limited server nothing
// for long learns from another host that the limit has ended.
func TestEndOfALimitIsReported(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	// With the other server draining, all hosts need this one.
	cluster.register("shard-a", "a2", "draining")
	hosts := []*testHost{cluster.startHost("h1", 1), cluster.startHost("h2", 1), cluster.startHost("h3", 1), cluster.startHost("h4", 1)}
	server := cluster.servers["a1"]
	target := scatter.Upstream{ID: "a1", Address: server.Address(), Started: 1}
	ask := func() {
		for _, h := range hosts {
			h.request("GET", "/fetch/x", fmt.Sprint("r-", time.Now().UnixNano()), "")
		}
	}
	server.SetLimit(1) // three of the hosts share it
	ask()
	for _, h := range hosts {
		if !h.sender.notices.limitSince(target, time.Time{}).Stated {
			t.Fatalf("%s knows of no limit", h.platformSettings.Host)
		}
	}
	server.ClearLimit()
	eventually(t, func() error {
		ask()
		reports := 0
		for _, h := range hosts {
			if h.sender.notices.limitSince(target, time.Time{}).Stated {
				return fmt.Errorf("%s has not learned that the limit has ended", h.platformSettings.Host)
			}
			reports += strings.Count(h.log.String(), "reported by h")
		}
		if reports == 0 {
			return errors.New("no host has learned it from another one")
		}
		return nil
	})
}
