package resource

import (
	"cmp"
	"fmt"

	"github.com/samphirebeam/samphirebeam/core"
)

// lastKey returns the greatest key of a range. To = 0 stands for the end of the
// key space: the subtraction wraps around to the greatest key.
func lastKey(r core.KeyRange) uint64 { return r.To - 1 }

// nonEmpty reports whether a range contains at least one key.
func nonEmpty(r core.KeyRange) bool { return r.To == 0 || r.From < r.To }

func compareRanges(a, b core.KeyRange) int { return cmp.Compare(a.From, b.From) }

// firstOverlap returns the first two neighbors that share a key, in ranges sorted
// by From.
func firstOverlap(sorted []core.KeyRange) (a, b core.KeyRange, found bool) {
	for i := 1; i < len(sorted); i++ {
		if lastKey(sorted[i-1]) >= sorted[i].From {
			return sorted[i-1], sorted[i], true
		}
	}
	return a, b, false
}

// tiles reports whether sorted ranges cover exactly the space, without gaps or
// overlaps.
func tiles(sorted []core.KeyRange, space core.KeyRange) bool {
	if len(sorted) == 0 || sorted[0].From != space.From {
		return false
	}
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1].To == 0 || sorted[i-1].To != sorted[i].From {
			return false
		}
	}
	return sorted[len(sorted)-1].To == space.To
}

// keyCount returns the number of keys in a range, as a float since 2^64 does not
// fit in a uint64.
func keyCount(r core.KeyRange) float64 { return float64(lastKey(r)-r.From) + 1 }

func formatRange(r core.KeyRange) string {
	if r.To == 0 {
		return fmt.Sprintf("[%d, end)", r.From)
	}
	return fmt.Sprintf("[%d, %d)", r.From, r.To)
}
