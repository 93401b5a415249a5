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
	// startBy is the latest start that can meet the deadline at the median
	// service time.
	startBy time.Time
	started time.Time
	// slowAt is when the attempt is reported to its origin as a straggler;
	// zero means never or already reported.
	slowAt time.Time
	// reused is set if the attempt runs on a verified connection.
	reused bool
	// suspect is set if the fingerprint was suspect at the start.
	suspect   bool
	cancelled bool

	queueIndex, expiryIndex int
}

// before orders the queue by priority, order key and query id, with the attempt
// id as tie-breaker. The order is the same at every owner: otherwise two
// queries that need several services could each hold part of the upstreams
// that the other needs.
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

// waitQueue is a heap of waiting attempts; the next to start is on top.
type waitQueue []*attempt

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	a := x.(*attempt)
	a.queueIndex = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return a
}

// expiryQueue is a heap of all waiting attempts of this host; the one with the
// earliest startBy is on top.
type expiryQueue []*attempt

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].startBy.Before(q[j].startBy) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].expiryIndex = i
	q[j].expiryIndex = j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	a := x.(*attempt)
	a.expiryIndex = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return a
}
