package core

import "cmp"

// Position is a place in the history of the platform's store. The store counts its
// changes by revision. When it is restored from an older copy it begins a new era,
// in which revisions that were used before are used again.
type Position struct {
	// Era counts from FirstEra; 0 is unknown.
	Era, Revision uint64
}

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// Compare orders positions: by era, then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// revisionBits is how many bits of a version hold the revision; the bits above hold
// the number of restores. In the first era, versions are equal to revisions.
const revisionBits = 40

// Version returns the position as one number, which orders positions in the same way.
func (p Position) Version() uint64 {
	return (max(p.Era, FirstEra)-FirstEra)<<revisionBits | p.Revision
}

// PositionOf returns the position of a version.
func PositionOf(version uint64) Position {
	return Position{Era: version>>revisionBits + FirstEra, Revision: version & (1<<revisionBits - 1)}
}
