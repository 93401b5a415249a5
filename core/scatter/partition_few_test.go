package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestPartitionIsDetectedWithFewDirectUpstreams guards against a host that loses its links to
// all upstreams and does not notice, since it sends directly to the two of one service only
// and reaches the others through relays.
func TestPartitionIsDetectedWithFewDirectUpstreams(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.ask(orderPath)
	r.run(time.Second)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return ms, scatter.Unreached }
	r.refuses = func(core.UpstreamID) bool { return true }
	for range 100 {
		r.ask(orderPath)
		r.run(10 * ms)
	}
	if !r.engine.Partitioned() {
		t.Error("not partitioned after a second in which no connection could be opened")
	}
}
