package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// A straggler is reported to its origin once, based on its time on the upstream
// without the queueing time. Completed and cancelled attempts are not reported.
func TestStragglersAreReportedOnce(t *testing.T) {
	slowAfter := func(q *peerpb.SubQuery) { q.SlowAfterUs = (20 * time.Millisecond).Microseconds() }
	r := newRig(t)
	r.warm()
	for sequence := uint64(1); sequence <= 3; sequence++ { // the third waits
		r.submit(sequence, slowAfter)
	}
	r.advance(15 * time.Millisecond)
	r.complete(1, 0) // before its slow report is due
	r.advance(10 * time.Millisecond)
	if !slices.Equal(r.stragglers, []uint64{2}) {
		t.Fatalf("stragglers %v after 25 ms, want only 2", r.stragglers)
	}
	r.advance(5 * time.Millisecond)
	r.message(origin, &peerpb.Message{Body: &peerpb.Message_SubCancel{SubCancel: &peerpb.SubCancel{Attempt: 3}}})
	r.advance(40 * time.Millisecond)
	if !slices.Equal(r.stragglers, []uint64{2}) {
		t.Errorf("stragglers %v at the end, want only 2", r.stragglers)
	}
}
