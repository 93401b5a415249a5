package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// The home is told of a straggler once, by the time on the upstream and not in
// the queue, and of no attempt that has ended or was cancelled.
func TestStragglersAreReportedOnce(t *testing.T) {
	slowAfter := func(q *peerpb.SubQuery) { q.SlowAfterUs = (20 * time.Millisecond).Microseconds() }
	r := newRig(t)
	r.warm()
	for sequence := uint64(1); sequence <= 3; sequence++ { // the third waits
		r.submit(sequence, slowAfter)
	}
	r.advance(15 * time.Millisecond)
	r.complete(1, 0) // in time
	r.advance(10 * time.Millisecond)
	if !slices.Equal(r.stragglers, []uint64{2}) {
		t.Fatalf("told of %v after 25 ms, want 2 alone", r.stragglers)
	}
	r.advance(5 * time.Millisecond)
	r.message(origin, &peerpb.Message{Body: &peerpb.Message_SubCancel{SubCancel: &peerpb.SubCancel{Attempt: 3}}})
	r.advance(40 * time.Millisecond)
	if !slices.Equal(r.stragglers, []uint64{2}) {
		t.Errorf("told of %v in the end, want 2 alone", r.stragglers)
	}
}
