package edge

import (
	"fmt"
	"testing"
)

// TestAccountOfHostsDoesNotDrift guards against a connection between hosts that
// behave being closed after many calls and messages, because frames that were
// received, or messages that were sent, stay in its account.
func TestAccountOfHostsDoesNotDrift(t *testing.T) {
	t.Parallel()
	const mostPerConnection = 4 << 10
	_, hosts := newRelayCluster(t)
	for i := range 150 {
		hosts[i%2].request("GET", "/gather/x", fmt.Sprint("r-", i), "")
	}
	for _, h := range hosts {
		eventually(t, func() error {
			h.peerConns.mu.Lock()
			defer h.peerConns.mu.Unlock()
			for address, c := range h.peerConns.conns {
				if pending, unsent := c.pending.Load(), c.unsent.Load(); pending > mostPerConnection || unsent > mostPerConnection {
					return fmt.Errorf("%s: connection of %s: %d bytes pending, %d unsent", h.platformSettings.Host, address, pending, unsent)
				}
			}
			return nil
		})
	}
}
