package scatter

import "encoding/binary"

// RecordSize is the size of one record of a part, in bytes.
const RecordSize = 16

// record is one record as two big-endian integers, which compare faster than its
// bytes and in the same order.
type record struct{ high, low uint64 }

func (r record) less(other record) bool {
	return r.high < other.high || r.high == other.high && r.low < other.low
}

// TopRecords returns at most top of the greatest records of all parts, greatest
// first. Duplicates are kept. Trailing bytes of a part that are shorter than a
// record are ignored.
func TopRecords(parts [][]byte, top int) []byte {
	size := 0
	for _, part := range parts {
		size += len(part) / RecordSize
	}
	kept := make([]record, 0, max(0, min(top, size))) // in descending order
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			r := record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[8:])}
			kept = insert(kept, r, top)
		}
	}
	return appendRecords(kept)
}

func appendRecords(records []record) []byte {
	body := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		body = binary.BigEndian.AppendUint64(body, r.high)
		body = binary.BigEndian.AppendUint64(body, r.low)
	}
	return body
}

// TopKeeper keeps the greatest records of the parts that a relay has returned for
// one call. It reduces each further part to the records that can be in an answer
// together with the earlier parts.
type TopKeeper struct {
	top  int
	kept []record // in descending order
}

// NewTopKeeper returns a TopKeeper that keeps the given number of records.
func NewTopKeeper(top int) *TopKeeper { return &TopKeeper{top: top} }

// Add returns the records of a part that are among the greatest of all parts
// so far, greatest first.
func (k *TopKeeper) Add(part []byte) []byte {
	added := make([]record, 0, min(max(0, k.top), len(part)/RecordSize))
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		r := record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[8:])}
		if len(k.kept) >= k.top && (k.top <= 0 || !k.kept[len(k.kept)-1].less(r)) {
			continue
		}
		k.kept = insert(k.kept, r, k.top)
		added = insert(added, r, k.top)
	}
	return appendRecords(added)
}

// insert adds a record to a list in descending order that is limited to top
// records.
func insert(kept []record, r record, top int) []record {
	if len(kept) >= top {
		if top <= 0 || !kept[len(kept)-1].less(r) {
			return kept
		}
	} else {
		kept = append(kept, record{})
	}
	low, high := 0, len(kept)-1
	for low < high {
		middle := (low + high) / 2
		if kept[middle].less(r) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	copy(kept[low+1:], kept[low:len(kept)-1])
	kept[low] = r
	return kept
}
