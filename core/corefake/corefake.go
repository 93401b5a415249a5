// Package corefake provides fakes of the interfaces between roles for tests.
package corefake

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Membership is a fixed set of live hosts.
type Membership struct {
	Host    core.HostID
	Hosts   []core.HostID // sorted
	Domains map[core.HostID]core.DomainID
}

// Self returns the host to which this view belongs.
func (m *Membership) Self() core.HostID { return m.Host }

// Live returns the hosts.
func (m *Membership) Live() []core.HostID { return m.Hosts }

// IsLive reports whether h is among the hosts.
func (m *Membership) IsLive(h core.HostID) bool { return slices.Contains(m.Hosts, h) }

// DomainOf returns the failure domain of a host.
func (m *Membership) DomainOf(h core.HostID) core.DomainID { return m.Domains[h] }

// Ownership is a table of shares that the test modifies directly.
type Ownership struct {
	Host      core.HostID
	Owners    map[core.UpstreamID]core.HostID
	Exclusive map[core.UpstreamID]time.Time
	Warm      map[core.UpstreamID]bool
	Drains    map[core.UpstreamID]bool
	Released  []core.UpstreamID
	// ReleasedWarm holds the warm argument of the last Release of each upstream.
	ReleasedWarm map[core.UpstreamID]bool
}

// OwnerOf returns the owner of a share.
func (o *Ownership) OwnerOf(id core.UpstreamID) (core.HostID, bool) {
	h, ok := o.Owners[id]
	return h, ok
}

// Holds reports whether Host is the owner.
func (o *Ownership) Holds(_ time.Time, id core.UpstreamID) bool { return o.Owners[id] == o.Host }

// ExclusiveUntil returns the end of the exclusive right to a share.
func (o *Ownership) ExclusiveUntil(id core.UpstreamID) time.Time { return o.Exclusive[id] }

// KnownWarm returns the entry in Warm.
func (o *Ownership) KnownWarm(id core.UpstreamID) bool { return o.Warm[id] }

// Draining returns the entry in Drains.
func (o *Ownership) Draining(id core.UpstreamID) bool { return o.Drains[id] }

// Release records the call.
func (o *Ownership) Release(_ time.Time, id core.UpstreamID, warm bool, _ *core.Actions) {
	if o.ReleasedWarm == nil {
		o.ReleasedWarm = map[core.UpstreamID]bool{}
	}
	o.ReleasedWarm[id] = warm
	o.Released = append(o.Released, id)
}
