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
	testFewDirectUpstreams(t, ms)
}

// TestPartitionIsDetectedWithFewStalledUpstreams: the same where connections hang.
func TestPartitionIsDetectedWithFewStalledUpstreams(t *testing.T) {
	testFewDirectUpstreams(t, 500*ms)
}

// testFewDirectUpstreams checks that a host finds itself partitioned whose attempts fail after
// a time.
func testFewDirectUpstreams(t *testing.T, failsAfter time.Duration) {
	r := newRig(t)
	r.configure(1, 4)
	r.ask(orderPath)
	r.run(time.Second)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return failsAfter, scatter.Unreached }
	r.refuses = func(core.UpstreamID) bool { return true }
	for range 100 {
		r.ask(orderPath)
		r.run(10 * ms)
	}
	if !r.engine.Partitioned() {
		t.Error("not partitioned after a second in which no connection could be opened")
	}
}

// TestOneCrashedUpstreamIsNoPartition: the only upstream that a host sends to crashes; the
// others accept connections, and are checked once a second at most.
func TestOneCrashedUpstreamIsNoPartition(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.drain("orders-b")
	r.ask(orderPath)
	r.run(time.Second)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return ms, scatter.Unreached }
	r.refuses = func(id core.UpstreamID) bool { return id == "orders-a" }
	for range 500 {
		r.ask(orderPath)
		r.run(10 * ms)
		if r.engine.Partitioned() {
			t.Fatal("partitioned, though the other upstreams accept connections")
		}
	}
	if r.connectivityChecks > 30 {
		t.Errorf("%d connections were opened in 5 s", r.connectivityChecks)
	}
}
