package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// quotaLease is how long a host counts the share of another after its last message.
	// Half a second without tokens costs a tenth of the requests in the window around a
	// failure.
	quotaLease = 500 * time.Millisecond
	// quotaHeartbeat is the longest time between two messages that delegate a share, so
	// that the loss of one message does not end the lease.
	quotaHeartbeat = 200 * time.Millisecond
	// quotaTick is the resolution of leases and heartbeats.
	quotaTick = 100 * time.Millisecond
	// quotaSettleTime is how long after a change of the gatherers the previous ones
	// decide. All hosts learn of a change within it.
	quotaSettleTime = time.Second
	// quotaSettled is how long after that a host counts only the shares of hosts that
	// state to which host they delegate them.
	quotaSettled = time.Second
)

// quotaShares decides which part of the quotas a host grants. It answers partitions and
// frozen hosts: hosts that decide on the same team and cannot reach each other must not
// grant the quota twice.
//
// Each gatherer has an equal share of each quota. It delegates it to one host at a time:
// the one that it asks for tokens. A message to the quota owner delegates the shares of
// the teams that it owns; to another host, only those that the message names. A host
// grants the sum of the shares that were delegated to it within quotaLease. A gatherer
// delegates a share to another host, or uses it itself, only when the previous lease has
// ended.
//
// A silent gatherer therefore takes its share of the quotas with it: it cannot be told from
// one that is cut off. The exception is one whose address refuses connections while
// another gatherer of its failure domain is heard: no process runs there, since whole
// domains are cut off from each other, not single hosts of different domains. Its share is
// with those that hear that other gatherer, so that two sides never both have it.
type quotaShares struct {
	members []Host
	// since is when a host became a member, changedAt when the members last changed;
	// both are the zero time for the first list.
	since     map[core.HostID]time.Time
	changedAt time.Time
	startedAt time.Time
	// heard is when a host last delegated the shares of the teams that this host owns.
	heard map[core.HostID]time.Time
	// seenAt is when anything was received from a host.
	seenAt map[core.HostID]time.Time
	// refuses reports whether the address of a host refuses connections.
	refuses func(core.HostID) bool
}

func newQuotaShares() quotaShares {
	return quotaShares{since: map[core.HostID]time.Time{}, heard: map[core.HostID]time.Time{}, seenAt: map[core.HostID]time.Time{}}
}

// setMembers replaces the gatherers among which the quotas are divided.
func (s *quotaShares) setMembers(now time.Time, members []Host) {
	since := make(map[core.HostID]time.Time, len(members))
	for _, h := range members {
		if s.isMember(h.ID) || len(s.members) == 0 {
			since[h.ID] = s.since[h.ID]
		} else {
			since[h.ID] = now
		}
	}
	if len(s.members) > 0 {
		s.changedAt = now
	}
	s.members, s.since = slices.Clone(members), since
}

func (s *quotaShares) isMember(id core.HostID) bool {
	return slices.ContainsFunc(s.members, func(h Host) bool { return h.ID == id })
}

// isDown reports whether no process runs at the address of a host.
func (s *quotaShares) isDown(now time.Time, self core.HostID, down Host) bool {
	return s.refuses(down.ID) && now.Sub(s.seenAt[down.ID]) >= quotaLease && slices.ContainsFunc(s.members, func(h Host) bool {
		return h.Domain == down.Domain && (h.ID == self || h.ID != down.ID && now.Sub(s.seenAt[h.ID]) < quotaLease)
	})
}

// quotaPart is the part of a quota that a host grants.
type quotaPart struct {
	// quota and fallback are from 0 to 1. The fallback is 0 while all shares are here.
	quota, fallback float64
}

// of returns the part of a team's quota that a host grants if it decides on the team.
func (s *quotaShares) of(now time.Time, self core.HostID, t *quotaTeam) quotaPart {
	if !s.isMember(self) {
		return quotaPart{}
	}
	isOwner := t.owners[0].ID == self && (s.changedAt.IsZero() || now.Sub(s.changedAt) >= quotaSettled)
	shares, asking := 0, 1
	if !now.Before(t.lapsesAt) && now.Sub(s.startedAt) >= quotaLease {
		shares++
	}
	for _, h := range s.members {
		if h.ID == self {
			continue
		}
		delegated := t.delegatedBy[h.ID]
		if heard := s.heard[h.ID]; isOwner && heard.After(delegated) {
			delegated = heard
		}
		isNew := !s.since[h.ID].IsZero() && now.Sub(s.since[h.ID]) < quotaSettled
		isDown := s.isDown(now, self, h)
		if (isDown || now.Sub(delegated) < quotaLease) && !isNew {
			shares++
		}
		if isDown || now.Sub(delegated) < quotaLease || now.Sub(t.askedBy[h.ID]) < quotaLease {
			asking++
		}
	}
	n := float64(len(s.members))
	if shares == len(s.members) {
		return quotaPart{quota: 1}
	}
	return quotaPart{quota: float64(shares) / n, fallback: float64(asking) / n}
}
