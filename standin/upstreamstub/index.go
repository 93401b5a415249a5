package upstreamstub

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeyRange is the half-open range [From, To) of index keys; To = 0 stands for
// the end of the key space.
type KeyRange struct {
	From uint64 `yaml:"from" json:"from"`
	To   uint64 `yaml:"to" json:"to"`
}

// Contains reports whether a key is in the range.
func (r KeyRange) Contains(key uint64) bool {
	return key >= r.From && (r.To == 0 || key < r.To)
}

// String returns "from-to".
func (r KeyRange) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// Item is one result of a search.
type Item struct {
	Key   uint64  `json:"key"`
	Score float64 `json:"score"`
	Value []byte  `json:"value"`
}

// Index is one version of a synthetic index. Its exported fields determine its
// content, so that a test can compute the expected answers.
type Index struct {
	Seed    uint64
	Version uint64
	// Count is the number of items over the whole of Space.
	Count int
	Space KeyRange
	keys  []uint64 // sorted
}

// NewIndex generates the keys of an index version.
func NewIndex(seed, version uint64, count int, space KeyRange) *Index {
	x := &Index{Seed: seed, Version: version, Count: count, Space: space}
	width := space.To - space.From // 0 stands for all 64-bit keys
	for i := range count {
		key := hash(seed, version, uint64(i))
		if width != 0 {
			key %= width
		}
		x.keys = append(x.keys, space.From+key)
	}
	slices.Sort(x.keys)
	x.keys = slices.Compact(x.keys)
	return x
}

// Search returns the items of the ranges with the highest scores for a question,
// best first. limit 0 returns all.
func (x *Index) Search(ranges []KeyRange, question []byte, limit int) []Item {
	questionHash := xxhash.Sum64(question)
	items := []Item{}
	for _, r := range ranges {
		first, _ := slices.BinarySearch(x.keys, r.From)
		for _, key := range x.keys[first:] {
			if !r.Contains(key) {
				break
			}
			items = append(items, Item{Key: key, Score: score(questionHash, key)})
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
	if limit > 0 && len(items) > limit {
		items = items[:limit]
	}
	for i := range items {
		items[i].Value = fmt.Appendf(nil, "item %d of version %d", items[i].Key, x.Version)
	}
	return items
}

// score returns a number in [0, 1).
func score(questionHash, key uint64) float64 {
	return float64(hash(questionHash, key)>>11) / math.Exp2(53)
}

func hash(parts ...uint64) uint64 {
	var b []byte
	for _, part := range parts {
		b = binary.LittleEndian.AppendUint64(b, part)
	}
	return xxhash.Sum64(b)
}
