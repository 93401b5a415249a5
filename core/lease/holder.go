package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// held returns the share if this host holds it and has not released it,
// whatever the time.
func (l *Lease) heldShare(id core.UpstreamID) *peerpb.Share {
	s := l.table.byID[id]
	if s == nil || l.holder.term == 0 || s.GetTerm() != l.holder.term {
		return nil
	}
	if l.holder.released[id] != nil {
		return nil
	}
	return s
}

// OwnerOf returns the host that holds an upstream's share.
func (l *Lease) OwnerOf(id core.UpstreamID) (core.HostID, bool) {
	s := l.table.byID[id]
	if s == nil || s.GetTerm() == 0 || l.holder.released[id] != nil {
		return "", false
	}
	host, known := l.table.hosts[s.GetTerm()]
	return host, known
}

// Holds says whether this host may dispatch warm, repeatable work.
func (l *Lease) Holds(now time.Time, id core.UpstreamID) bool {
	return l.heldShare(id) != nil && now.Before(l.holder.heldUntil)
}

// ExclusiveUntil is when this host's sole right to the share ends.
func (l *Lease) ExclusiveUntil(id core.UpstreamID) time.Time {
	if l.heldShare(id) == nil || l.holder.confirmedAt.IsZero() {
		return time.Time{}
	}
	return l.holder.confirmedAt.Add(l.config.LeaseDuration)
}

// KnownWarm says that the share came by planned handover, upstream warm.
func (l *Lease) KnownWarm(id core.UpstreamID) bool { return l.heldShare(id).GetWarm() }

// Draining says that this host is about to give the share up.
func (l *Lease) Draining(id core.UpstreamID) bool { return l.heldShare(id).GetMoving() }

// Release gives a share up. From now on this host holds it no more; the
// release is sent until the table shows the next holder.
func (l *Lease) Release(now time.Time, id core.UpstreamID, warm bool, _ *core.Actions) {
	s := l.heldShare(id)
	if s == nil {
		return
	}
	l.stats.Releases++
	l.holder.released[id] = &peerpb.ShareRelease{Upstream: string(id), Epoch: s.GetEpoch(), Warm: warm}
	l.holder.nextRenew = earliestOf(l.holder.nextRenew, now.Add(releaseDelay))
	l.next = earliestOf(l.next, l.holder.nextRenew)
}

// releases returns what is given up and not yet taken, sorted.
func (l *Lease) pendingReleases() []*peerpb.ShareRelease {
	all := make([]*peerpb.ShareRelease, 0, len(l.holder.released))
	for _, r := range l.holder.released {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *peerpb.ShareRelease) int {
		return cmp.Compare(a.GetUpstream(), b.GetUpstream())
	})
	return all
}

// stop starts the planned stop: the next renewal asks that the shares move.
func (l *Lease) beginStop() {
	h := &l.holder
	if h.stopping {
		return
	}
	h.stopping = true
	h.stopRequestedAt = l.now
	h.nextRenew = l.now
}

// Idle says, after StopRequested, that every share has gone to another host
// or that there is no more time to wait for it.
func (l *Lease) Idle() bool {
	if !l.holder.stopping {
		return false
	}
	if l.now.Sub(l.holder.stopRequestedAt) >= l.config.StopTimeout || l.holder.term == 0 {
		return true
	}
	return l.holder.stopRecorded && l.ownedShares() == 0
}

// owned counts the shares that the table gives to this host.
func (l *Lease) ownedShares() int {
	count := 0
	for _, s := range l.table.shares.GetShares() {
		if s.GetTerm() == l.holder.term {
			count++
		}
	}
	return count
}
