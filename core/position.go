package core

import "cmp"

// Position is a place in the history of the platform's store. The store counts its
// changes by revision. When it is restored from an older copy it begins a new era,
// in which revisions that were used before are used again.
type Position struct{ Era, Revision uint64 }

// Compare orders positions: by era, then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
