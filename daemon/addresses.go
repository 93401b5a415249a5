package daemon

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// addresses tracks the addresses of the peers. The address that a host announces
// itself, spread by heartbeats, takes precedence over the platform's host list,
// which lags.
type addresses struct {
	known map[core.HostID]address
	set   func(core.HostID, string)
}

type address struct {
	incarnation uint64 // 0 if it comes from the settings or the host list
	hostPort    string
}

func newAddresses(set func(core.HostID, string)) *addresses {
	return &addresses{known: map[core.HostID]address{}, set: set}
}

// observe updates the addresses from a host list or a heartbeat.
func (a *addresses) observe(event core.Event) {
	switch e := event.(type) {
	case core.HostListed:
		for _, host := range e.Hosts {
			a.update(host.Host, address{0, host.Address})
		}
	case core.PeerMessage:
		if body, ok := e.Message.Body.(*peerpb.Message_Heartbeat); ok {
			a.observeHeartbeat(body.Heartbeat)
		}
	}
}

func (a *addresses) observeHeartbeat(h *peerpb.Heartbeat) {
	for _, member := range h.Members {
		a.update(core.HostID(member.Host), address{member.Incarnation, member.Address})
	}
}

func (a *addresses) update(host core.HostID, entry address) {
	previous := a.known[host]
	if entry.hostPort == "" || entry == previous || entry.incarnation < previous.incarnation {
		return
	}
	a.known[host] = entry
	if entry.hostPort != previous.hostPort {
		a.set(host, entry.hostPort)
	}
}
