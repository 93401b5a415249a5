package host

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/configsync"
	"github.com/samphirebeam/samphirebeam/core/gateway"
	"github.com/samphirebeam/samphirebeam/core/lease"
	"github.com/samphirebeam/samphirebeam/core/member"
	"github.com/samphirebeam/samphirebeam/core/once"
	"github.com/samphirebeam/samphirebeam/core/owner"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// stoppable is a role that reports when its planned stop is complete.
type stoppable interface {
	core.Role
	Idle() bool
}

// Host is the decision core of one host. It is not safe for concurrent use.
type Host struct {
	cfg     Config
	members *member.Member
	leases  *lease.Lease
	config  *configsync.Sync
	owner   *owner.Owner
	gateway *gateway.Gateway
	once    *once.Guard

	roles      []stoppable // in the order in which events reach them
	routes     receiverGroups
	scratch    core.Actions
	localQueue []*peerpb.Message
	topology   *core.Topology
	stopping   bool
	stopped    bool
}

// Step processes one event, runs the timers that are due, and appends the
// resulting actions to out. Messages from the host to itself are delivered within
// the step.
func (h *Host) Step(now time.Time, event core.Event, out *core.Actions) {
	h.deliver(now, event, out)
	h.runTimers(now, out)
	h.applyTopology(now, out)
	h.members.SetVersions(h.config.Generation(), h.leases.TableVersion())
	h.finishStop(out)
}

// Next returns when the earliest timer is due; the zero time if there is none.
func (h *Host) Next() time.Time {
	var earliest time.Time
	for _, role := range h.roles {
		due := role.Next()
		if due.IsZero() {
			continue
		}
		if earliest.IsZero() || due.Before(earliest) {
			earliest = due
		}
	}
	return earliest
}

func (h *Host) deliver(now time.Time, event core.Event, out *core.Actions) {
	if _, stop := event.(core.StopRequested); stop {
		h.stopping = true
	}
	for _, role := range h.receivers(event) {
		h.step(now, role, event, out)
	}
}

// step passes an event to one role and then delivers the messages that it sent to
// this host, in order, before any other event is processed.
func (h *Host) step(now time.Time, role core.Role, event core.Event, out *core.Actions) {
	role.Step(now, event, &h.scratch)
	h.moveActions(out)
	for len(h.localQueue) > 0 {
		message := h.localQueue[0]
		h.localQueue = h.localQueue[1:]
		own := core.PeerMessage{From: h.cfg.Self.Host, Incarnation: h.cfg.Incarnation, Message: message}
		for _, receiver := range h.receivers(own) {
			receiver.Step(now, own, &h.scratch)
			h.moveActions(out)
		}
	}
	h.localQueue = nil
}

// moveActions moves the scratch actions to out, and messages to this host to
// localQueue.
func (h *Host) moveActions(out *core.Actions) {
	for _, action := range h.scratch.List {
		send, isSend := action.(core.SendPeer)
		if isSend && send.To == h.cfg.Self.Host {
			h.localQueue = append(h.localQueue, send.Message)
			continue
		}
		out.Add(action)
	}
	h.scratch.Reset()
}

func (h *Host) runTimers(now time.Time, out *core.Actions) {
	for _, role := range h.roles {
		due := role.Next()
		if due.IsZero() || due.After(now) {
			continue
		}
		h.step(now, role, core.Tick{}, out)
	}
}

func (h *Host) applyTopology(now time.Time, out *core.Actions) {
	topology, changed := h.config.TakeTopology()
	if !changed {
		return
	}
	h.topology = topology
	h.deliver(now, core.TopologyChanged{Topology: topology}, out)
}

// finishStop emits Stopped once every role is idle.
func (h *Host) finishStop(out *core.Actions) {
	if !h.stopping || h.stopped {
		return
	}
	for _, role := range h.roles {
		if !role.Idle() {
			return
		}
	}
	h.stopped = true
	out.Add(core.Stopped{})
}
