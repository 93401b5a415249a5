package gateway

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// span is a range of index keys with both ends included, so that the end of
// the key space needs no special case.
type span struct{ first, last uint64 }

// spanOf converts the half-open range [from, to), where to = 0 means the end of
// the key space. It reports false for an empty range.
func spanOf(from, to uint64) (span, bool) {
	s := span{first: from, last: to - 1}
	return s, s.first <= s.last
}

func spansOf(ranges []*peerpb.KeyRange) ([]span, bool) {
	spans := make([]span, 0, len(ranges))
	for _, r := range ranges {
		s, ok := spanOf(r.GetFrom(), r.GetTo())
		if !ok {
			return nil, false
		}
		spans = append(spans, s)
	}
	return normalize(spans)
}

// normalize sorts spans in place and joins adjacent ones. It reports false if
// spans overlap.
func normalize(spans []span) ([]span, bool) {
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.first, b.first) })
	joined := spans[:0]
	for _, s := range spans {
		if len(joined) == 0 {
			joined = append(joined, s)
			continue
		}
		previous := &joined[len(joined)-1]
		switch {
		case s.first <= previous.last:
			return nil, false
		case s.first == previous.last+1:
			previous.last = s.last
		default:
			joined = append(joined, s)
		}
	}
	return joined, true
}

// within reports whether each inner span lies in an outer one; both must be
// normalized.
func within(inner, outer []span) bool {
	i := 0
	for _, s := range inner {
		for i < len(outer) && outer[i].last < s.first {
			i++
		}
		if i == len(outer) || s.first < outer[i].first || s.last > outer[i].last {
			return false
		}
	}
	return true
}

// containsKey reports whether a key lies in one of the normalized spans.
func containsKey(spans []span, key uint64) bool {
	i, _ := slices.BinarySearchFunc(spans, key, func(s span, key uint64) int {
		return cmp.Compare(s.last, key)
	})
	return i < len(spans) && spans[i].first <= key
}

// clip returns the parts of the spans that lie in bounds.
func clip(spans []span, bounds span) []span {
	var clipped []span
	for _, s := range spans {
		s.first = max(s.first, bounds.first)
		s.last = min(s.last, bounds.last)
		if s.first <= s.last {
			clipped = append(clipped, s)
		}
	}
	return clipped
}

// coveredFraction returns the fraction of the space that normalized spans cover,
// from 0 to 1.
func coveredFraction(spans []span, space span) float64 {
	return countKeys(spans) / countKeys([]span{space})
}

// countKeys returns the number of keys in the spans. It sums in 128 bits, since
// the whole key space has 2^64 keys and a sum of rounded floats could fall short
// of a declared reach that is met exactly.
func countKeys(spans []span) float64 {
	var high, low uint64
	for _, s := range spans {
		var carry uint64
		low, carry = bits.Add64(low, s.last-s.first, 1)
		high += carry
	}
	return float64(high)*(1<<64) + float64(low)
}

func wireRanges(spans []span) []*peerpb.KeyRange {
	if len(spans) == 0 {
		return nil
	}
	wire := make([]*peerpb.KeyRange, len(spans))
	for i, s := range spans {
		wire[i] = &peerpb.KeyRange{From: s.first, To: s.last + 1}
	}
	return wire
}
