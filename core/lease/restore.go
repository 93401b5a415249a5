package lease

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// The platform may be restored from an older copy. The cell's objects then lack
// joins, fences and moves that hosts have acted on. Three rules keep exclusive rights
// exclusive: terms of a new era are never equal to those of an earlier one, so that
// the members that were lost are fenced and join again; a host that learns of the new
// era has no exclusive right until those of the earlier era have ended; and no share
// is assigned before that.

// termBits is how many bits of a term count the members of one era.
const termBits = 32

// eraOf returns the era of the platform in which an object has a version.
func eraOf(version uint64) uint64 { return core.PositionOf(version).Era }

// firstTerm returns the least term of an era.
func firstTerm(era uint64) uint64 { return max(1, (era-core.FirstEra)<<termBits) }

// sharesEra returns the era in which the shares were last written.
func sharesEra(s *peerpb.LeaseShares) uint64 { return max(s.GetEra(), core.FirstEra) }

// tableIsCurrent reports whether this host's table is of the same era as the members
// that it confirms renewals with. Otherwise the holders of the earlier era would keep
// their rights.
func (l *Lease) tableIsCurrent() bool {
	return eraOf(l.table.version) >= eraOf(l.writer.members.version)
}

// noteEra starts the wait of a host that learns of a restore by a newer table.
func (l *Lease) noteEra(version uint64) {
	if l.table.version == 0 || eraOf(version) == eraOf(l.table.version) {
		return
	}
	l.holder.exclusiveFrom = l.now.Add(l.config.FenceDelay)
}

// assignableAt returns when shares may be assigned with regard to a restore that no
// assignment has followed yet; the zero time means at once.
func (l *Lease) assignableAt() time.Time {
	w := &l.writer
	if sharesEra(l.table.shares) >= eraOf(l.table.version) {
		w.restoreSeenAt = time.Time{}
		return time.Time{}
	}
	if w.restoreSeenAt.IsZero() {
		w.restoreSeenAt = l.now
	}
	return w.restoreSeenAt.Add(l.config.FenceDelay)
}

// markEra sets the era of the next state of the shares, which may have no other change.
func (l *Lease) markEra(next *peerpb.LeaseShares) *peerpb.LeaseShares {
	era := eraOf(l.table.version)
	if sharesEra(l.table.shares) >= era {
		return next
	}
	if next == nil {
		next = proto.CloneOf(l.table.shares)
		next.Epoch++
	}
	next.Era = era
	return next
}
