package owner

import (
	"cmp"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// attempt is one sub-query from its arrival to its reply.
type attempt struct {
	id          core.AttemptID
	query       *peerpb.SubQuery
	fingerprint core.Fingerprint
	share       *share

	arrived  time.Time
	deadline time.Time
	// startBy is when the deadline can no longer be met.
	startBy time.Time
	started time.Time
	// slowAt is when its home is told that it straggles; zero is never, or told.
	slowAt time.Time
	// reused says that it runs on a connection that had answered before.
	reused    bool
	suspect   bool
	cancelled bool

	queueIndex, expiryIndex int
}

// before orders the queue: priority, then order key, then query id, the same
// at every owner, so that queries that need many services do not each hold
// part of what the other needs. The attempt id breaks ties.
func (a *attempt) before(b *attempt) bool {
	order := cmp.Or(
		cmp.Compare(b.query.Priority, a.query.Priority),
		cmp.Compare(a.query.OrderKey, b.query.OrderKey),
		cmp.Compare(a.query.QueryId, b.query.QueryId),
		cmp.Compare(a.id.Host, b.id.Host),
		cmp.Compare(a.id.Sequence, b.id.Sequence),
	)
	return order < 0
}

// waitQueue is a container/heap of waiting attempts, the next one first.
type waitQueue []*attempt

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

// Push is called by container/heap.
func (q *waitQueue) Push(x any) {
	a := x.(*attempt)
	a.queueIndex = len(*q)
	*q = append(*q, a)
}

// Pop is called by container/heap.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return a
}

// expiryQueue is a container/heap of all waiting attempts of the host, the
// one that must start earliest first.
type expiryQueue []*attempt

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].startBy.Before(q[j].startBy) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].expiryIndex = i
	q[j].expiryIndex = j
}

// Push is called by container/heap.
func (q *expiryQueue) Push(x any) {
	a := x.(*attempt)
	a.expiryIndex = len(*q)
	*q = append(*q, a)
}

// Pop is called by container/heap.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return a
}
