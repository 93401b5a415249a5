package once

import (
	"container/heap"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// origin identifies one send of a request: the ingress host and its call number.
type origin struct {
	host core.HostID
	call uint64
}

// entry is an accepted request. It is recorded before the request is dispatched;
// resends wait on it while the request runs and get its outcome afterwards.
type entry struct {
	requestID   string
	fingerprint core.Fingerprint
	// issued is the issue time in Unix milliseconds; for an id without one, the
	// time of acceptance.
	issued int64
	// partition is nil for a request id without an issue time.
	partition *partition
	waiters   []origin
	outcome   *peerpb.QueryReply
}

// dedupTable holds the requests that this host accepted: those still running
// and, up to the limit, those with an outcome.
type dedupTable struct {
	entries  map[string]*entry
	finished evictionQueue
	running  int
	limit    int
}

func newDedupTable(limit int) dedupTable {
	return dedupTable{entries: map[string]*entry{}, limit: limit}
}

// full reports whether no entry can be evicted to make room.
func (m *dedupTable) full() bool { return m.running >= m.limit }

func (m *dedupTable) add(e *entry) {
	for len(m.entries) >= m.limit && len(m.finished) > 0 {
		m.evict(heap.Pop(&m.finished).(*entry))
	}
	m.entries[e.requestID] = e
	m.running++
}

// evict removes an outcome. It also moves the start of the partition's interval
// past the key, so that a later resend is answered as unknown and not run again.
func (m *dedupTable) evict(e *entry) {
	delete(m.entries, e.requestID)
	if e.partition != nil {
		e.partition.from = max(e.partition.from, e.issued+1)
	}
}

func (m *dedupTable) finish(e *entry, outcome *peerpb.QueryReply) {
	m.running--
	e.outcome = outcome
	heap.Push(&m.finished, e)
}

// remove deletes the entry of a request that has not run and will not run.
func (m *dedupTable) remove(e *entry) {
	m.running--
	delete(m.entries, e.requestID)
}

// evictionQueue is a container/heap of entries with an outcome, ordered by
// ascending issue time.
type evictionQueue []*entry

func (q evictionQueue) Len() int           { return len(q) }
func (q evictionQueue) Less(i, j int) bool { return q[i].issued < q[j].issued }
func (q evictionQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *evictionQueue) Push(x any) { *q = append(*q, x.(*entry)) }

// Pop implements heap.Interface.
func (q *evictionQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
