package gateway

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// result is the contribution of one shard, validated and clipped to the scope's
// space.
type result struct {
	covered []span
	// items is sorted by compareItems.
	items   []*peerpb.Item
	payload []byte
}

// checkResult validates the reply to a part: it must be of the pinned index
// version, cover only ranges that the service holds at it, and contain only
// keys inside the covered ranges, none twice. Since the shards' ranges do not
// overlap, the merged answer then contains no key twice either.
func (g *Gateway) checkResult(p *part, r *peerpb.SubReply) (result, bool) {
	plan := p.flight.plan
	if plan.scope == nil {
		return result{payload: r.GetPayload()}, true
	}
	if r.GetIndexVersion() != plan.version {
		return result{}, false
	}
	covered, ok := spansOf(r.GetCovered())
	if !ok || !within(covered, p.shard.held) {
		return result{}, false
	}
	if !g.keysValid(r.GetItems(), covered) {
		return result{}, false
	}
	inSpace := clip(covered, plan.space)
	return result{covered: inSpace, items: sortedItems(r.GetItems(), inSpace)}, true
}

func (g *Gateway) keysValid(items []*peerpb.Item, covered []span) bool {
	keys := g.keys[:0]
	for _, item := range items {
		if !containsKey(covered, item.GetKey()) {
			return false
		}
		keys = append(keys, item.GetKey())
	}
	g.keys = keys
	slices.Sort(keys)
	for i := 1; i < len(keys); i++ {
		if keys[i] == keys[i-1] {
			return false
		}
	}
	return true
}

// sortedItems returns the items inside the spans in the order of compareItems.
// It does not modify the message.
func sortedItems(items []*peerpb.Item, inside []span) []*peerpb.Item {
	outside := func(item *peerpb.Item) bool { return !containsKey(inside, item.GetKey()) }
	if slices.ContainsFunc(items, outside) {
		items = slices.DeleteFunc(slices.Clone(items), outside)
	}
	if slices.IsSortedFunc(items, compareItems) {
		return items
	}
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, compareItems)
	return sorted
}

// compareItems orders by score, highest first, then by key. NaN scores come
// last.
func compareItems(a, b *peerpb.Item) int {
	if byScore := cmp.Compare(b.GetScore(), a.GetScore()); byScore != 0 {
		return byScore
	}
	return cmp.Compare(a.GetKey(), b.GetKey())
}

// mergeItems merges sorted lists and truncates the result to limit items; 0 is
// no limit. It modifies lists.
func mergeItems(lists [][]*peerpb.Item, limit int) []*peerpb.Item {
	total := 0
	for _, list := range lists {
		total += len(list)
	}
	if limit > 0 {
		total = min(total, limit)
	}
	heads := itemHeap(slices.DeleteFunc(lists, func(l []*peerpb.Item) bool { return len(l) == 0 }))
	heap.Init(&heads)
	merged := make([]*peerpb.Item, 0, total)
	for len(merged) < total {
		merged = append(merged, heads[0][0])
		heads[0] = heads[0][1:]
		if len(heads[0]) == 0 {
			heap.Pop(&heads)
			continue
		}
		heap.Fix(&heads, 0)
	}
	return merged
}

// itemHeap orders lists by their first item.
type itemHeap [][]*peerpb.Item

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return compareItems(h[i][0], h[j][0]) < 0 }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { *h = append(*h, x.([]*peerpb.Item)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	list := (*h)[last]
	*h = (*h)[:last]
	return list
}
