package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// heldShare returns the share if this host holds it and has not released it,
// or else nil. It does not check whether the lease has expired.
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

// OwnerOf returns the host that holds the share of an upstream, and false if
// no host holds it or its holder is unknown.
func (l *Lease) OwnerOf(id core.UpstreamID) (core.HostID, bool) {
	s := l.table.byID[id]
	if s == nil || s.GetTerm() == 0 || l.holder.released[id] != nil {
		return "", false
	}
	host, known := l.table.hosts[s.GetTerm()]
	return host, known
}

// Holds reports whether this host may dispatch warm, repeatable work to an
// upstream.
func (l *Lease) Holds(now time.Time, id core.UpstreamID) bool {
	return l.heldShare(id) != nil && now.Before(l.holder.heldUntil)
}

// ExclusiveUntil returns when this host's exclusive right to the share ends, or
// the zero time if it has no such right.
func (l *Lease) ExclusiveUntil(id core.UpstreamID) time.Time {
	if l.heldShare(id) == nil || l.holder.confirmedAt.IsZero() || l.now.Before(l.holder.exclusiveFrom) {
		return time.Time{}
	}
	return l.holder.confirmedAt.Add(l.config.LeaseDuration)
}

// KnownWarm reports whether this host received the share by planned handover
// with the upstream warm.
func (l *Lease) KnownWarm(id core.UpstreamID) bool { return l.heldShare(id).GetWarm() }

// Draining reports whether this host holds the share and must release it.
func (l *Lease) Draining(id core.UpstreamID) bool { return l.heldShare(id).GetMoving() }

// Release gives up a share. This host stops holding it immediately; the release
// is sent with each renewal until the table shows that it was applied.
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

// pendingReleases returns the releases that the table does not reflect yet,
// sorted by upstream.
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

// beginStop starts the planned stop: renewals from now on request that the
// shares of this host are moved.
func (l *Lease) beginStop() {
	h := &l.holder
	if h.stopping {
		return
	}
	h.stopping = true
	h.stopRequestedAt = l.now
	h.nextRenew = l.now
}

// Idle reports whether a planned stop is complete: the stop is recorded in the
// platform and this host holds no more shares, or it has no membership, or
// StopTimeout has elapsed.
func (l *Lease) Idle() bool {
	if !l.holder.stopping {
		return false
	}
	if l.now.Sub(l.holder.stopRequestedAt) >= l.config.StopTimeout || l.holder.term == 0 {
		return true
	}
	return l.holder.stopRecorded && l.ownedShares() == 0
}

// ownedShares counts the shares that the table assigns to this host.
func (l *Lease) ownedShares() int {
	count := 0
	for _, s := range l.table.shares.GetShares() {
		if s.GetTerm() == l.holder.term {
			count++
		}
	}
	return count
}
