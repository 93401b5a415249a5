package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// quotaLease is how long a host counts the share of another after its last message.
	// With 500 ms, 0.900 of the requests below the limit passed around a freeze of the
	// owner, which is the target.
	quotaLease = 450 * time.Millisecond
	// quotaHeartbeat is the longest time between two messages that delegate a share, so
	// that the loss of one message does not end the lease.
	quotaHeartbeat = 200 * time.Millisecond
	// quotaTick is the resolution of leases and heartbeats.
	quotaTick = 50 * time.Millisecond
	// quotaSettleTime is how long after a change of the gatherers the previous ones
	// decide. All hosts learn of a change within it.
	quotaSettleTime = time.Second
	// quotaTakeover is how long after the loss of the owner the hosts ask its successor.
	quotaTakeover = time.Second
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
// While shares are missing, a host grants fallback tokens besides, up to the parts of the
// hosts that ask it. No two hosts grant the part of one host within a window: the owner
// counts those that have asked it for a window, and a successor also those that ask it
// since it lost the owner.
//
// A silent gatherer therefore takes its share of the quotas with it: it cannot be distinguished from
// one that is cut off. The exception is one whose address refuses connections while
// another gatherer of its failure domain is heard: no process runs there. Its share goes to
// the host to which more than half of the remaining shares are delegated, so that no two
// hosts grant it. This relies on cuts that refuse connections being around whole domains or
// single hosts. A host that hears none and is refused is cut off itself, and grants nothing.
type quotaShares struct {
	members []Host
	// since is when a host became a member, changedAt when the members last changed;
	// both are the zero time for the first list.
	since     map[core.HostID]time.Time
	changedAt time.Time
	startedAt time.Time
	// heard is when a host last delegated the shares of the teams that this host owns.
	heard map[core.HostID]time.Time
	// heardSince is when the host began to do so without a pause.
	heardSince map[core.HostID]time.Time
	// seenAt is when anything was received from a host.
	seenAt map[core.HostID]time.Time
	// refuses reports whether the address of a host refuses connections.
	refuses func(core.HostID) bool
	// skipped returns since when a host is skipped; the zero time if it is not.
	skipped func(core.HostID) time.Time
}

func newQuotaShares() quotaShares {
	return quotaShares{since: map[core.HostID]time.Time{}, heard: map[core.HostID]time.Time{}, heardSince: map[core.HostID]time.Time{}, seenAt: map[core.HostID]time.Time{}}
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

// minLiveShare is the least part of all shares that have to be delegated to a host for it to
// count others as down: a small group of hosts is more likely to be cut off.
const minLiveShare = 1.0 / 3

// minCutOffMembers is how many members there have to be for a host to conclude that it is
// cut off: with fewer, it is as likely that all others are down.
const minCutOffMembers = 4

// isCutOff reports whether this host hears no other member and is refused by some.
func (s *quotaShares) isCutOff(now time.Time, self core.HostID) bool {
	refused := false
	for _, h := range s.members {
		if h.ID != self && now.Sub(s.seenAt[h.ID]) < quotaLease {
			return false
		}
		refused = refused || s.refuses(h.ID)
	}
	return refused && len(s.members) >= minCutOffMembers
}

// isDown reports whether no process runs at the address of a host.
func (s *quotaShares) isDown(now time.Time, self core.HostID, down Host) bool {
	return s.refuses(down.ID) && now.Sub(s.seenAt[down.ID]) >= quotaLease && slices.ContainsFunc(s.members, func(h Host) bool {
		return h.Domain == down.Domain && (h.ID == self || h.ID != down.ID && now.Sub(s.seenAt[h.ID]) < quotaLease)
	})
}

// hear records a message by which a host delegates shares.
func (s *quotaShares) hear(now time.Time, from core.HostID) {
	if now.Sub(s.heard[from]) >= quotaLease {
		s.heardSince[from] = now
	}
	s.heard[from] = now
}

// quotaPart is the part of a quota that a host grants.
type quotaPart struct {
	// quota and fallback are from 0 to 1. The fallback is 0 while all shares are here.
	quota, fallback float64
}

// of returns the part of a team's quota that a host grants if it decides on the team.
func (s *quotaShares) of(now time.Time, self core.HostID, t *quotaTeam, window time.Duration) quotaPart {
	if !s.isMember(self) || s.isCutOff(now, self) {
		return quotaPart{}
	}
	isOwner := t.owners[0].ID == self
	shares, down, fallback := 0, 0, 1
	if !now.Before(t.lapsesAt) && now.Sub(s.startedAt) >= quotaLease {
		shares++
	}
	for _, h := range s.members {
		if h.ID == self {
			continue
		}
		delegated := t.delegatedBy[h.ID]
		if heard := s.heard[h.ID]; isOwner && s.settled(now, s.changedAt) && heard.After(delegated) {
			delegated = heard
		}
		isDown := s.isDown(now, self, h)
		switch {
		case isDown:
			down++
		case now.Sub(delegated) < quotaLease && s.settled(now, s.since[h.ID]):
			shares++
		}
		asks := now.Sub(delegated) < quotaLease || now.Sub(t.askedBy[h.ID]) < quotaLease
		since := s.heardSince[h.ID]
		if !isOwner {
			since = t.asksSince[h.ID]
		}
		first := !isOwner && since.Sub(s.skipped(t.owners[0].ID)).Abs() < quotaTakeover
		if asks && (first || now.Sub(since) >= window) || isDown && now.Sub(s.seenAt[h.ID]) >= window {
			fallback++
		}
	}
	if 2*shares > len(s.members)-down && minLiveShare*float64(len(s.members)) <= float64(shares) {
		shares += down
	}
	n := float64(len(s.members))
	switch {
	case shares == len(s.members):
		return quotaPart{quota: 1}
	case s.mayHaveFallenBack(now, self, t, window):
		return quotaPart{quota: float64(shares) / n}
	default:
		return quotaPart{quota: float64(shares) / n, fallback: float64(fallback) / n}
	}
}

// settled reports whether a change of the members at some time is known to all hosts.
func (s *quotaShares) settled(now, changed time.Time) bool {
	return changed.IsZero() || now.Sub(changed) >= quotaSettled
}

// mayHaveFallenBack reports whether another host may have granted the fallback of this
// window: a successor before this one, the one that decided while this host was down, or
// before the members changed.
func (s *quotaShares) mayHaveFallenBack(now time.Time, self core.HostID, t *quotaTeam, window time.Duration) bool {
	if !s.changedAt.IsZero() && now.Sub(s.changedAt) < window || now.Sub(s.startedAt) < window {
		return true
	}
	for _, h := range t.owners[1:] {
		if h.ID == self {
			break
		}
		if now.Sub(s.skipped(h.ID)) < window {
			return t.owners[0].ID != self
		}
	}
	return false
}
