// Package roundrobin provides a router that selects a service's replicas in turn.
package roundrobin

import "github.com/samphirebeam/samphirebeam/core"

// RoundRobin is a core.Router.
type RoundRobin struct {
	last map[core.ServiceID]core.UpstreamID
}

// New returns a RoundRobin that starts each service at its first replica.
func New() *RoundRobin {
	return &RoundRobin{last: map[core.ServiceID]core.UpstreamID{}}
}

// Pick returns the index of the replica that follows the last selected one in
// the order of names. The last selection is kept by name and not by position,
// because the available replicas change between calls.
func (r *RoundRobin) Pick(service core.ServiceID, replicas []core.Replica) int {
	last := r.last[service]
	next := -1
	first := 0
	for i, replica := range replicas {
		if replica.Upstream < replicas[first].Upstream {
			first = i
		}
		if replica.Upstream <= last {
			continue
		}
		if next < 0 || replica.Upstream < replicas[next].Upstream {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	r.last[service] = replicas[next].Upstream
	return next
}
