package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// simUpstreams simulates upstreams that have slots and an unbounded queue each.
type simUpstreams struct {
	rig  *rig
	work time.Duration
	free map[core.UpstreamID][]time.Time // when each slot is free
}

func (q *simUpstreams) serve(s scatter.Send) (time.Duration, scatter.Outcome) {
	slots := q.free[s.Target.ID]
	if slots == nil {
		slots = make([]time.Time, s.Target.Slots)
		q.free[s.Target.ID] = slots
	}
	first := 0
	for i, at := range slots {
		if at.Before(slots[first]) {
			first = i
		}
	}
	start := slots[first]
	if start.Before(q.rig.now) {
		start = q.rig.now
	}
	slots[first] = start.Add(q.work)
	if done := slots[first]; done.After(s.Deadline) {
		slots[first] = start // dropped in the queue
		return s.Deadline.Sub(q.rig.now), scatter.NotExecuted
	}
	return slots[first].Sub(q.rig.now), scatter.Succeeded
}

// TestWaveAboveCapacity offers three times the upstreams' capacity for three
// seconds. At least half of the capacity must still meet the target, refusals must
// be immediate, and load within the capacity must be served before and after it.
func TestWaveAboveCapacity(t *testing.T) {
	const work = 10 * ms
	r := newRig(t)
	r.configure(1, 6)
	q := &simUpstreams{rig: r, work: work, free: map[core.UpstreamID][]time.Time{}}
	r.serve = q.serve
	capacity := 4.0 / work.Seconds() // two upstreams with two slots per shard
	arrive := func(factor float64, d time.Duration) (calls []core.CallID, at map[core.CallID]time.Time) {
		at = map[core.CallID]time.Time{}
		gap := time.Duration(float64(time.Second) / (factor * capacity))
		for passed := time.Duration(0); passed < d; passed += gap {
			call := r.ask(gatherPath)
			calls, at[call] = append(calls, call), r.now
			r.run(gap)
		}
		return calls, at
	}
	inTarget := func(calls []core.CallID, at map[core.CallID]time.Time) (count int) {
		for _, call := range calls {
			if r.answers[call].Kind == scatter.Gathered && r.answered[call].Sub(at[call]) <= 100*ms {
				count++
			}
		}
		return count
	}
	before, beforeAt := arrive(0.5, time.Second)
	wave, waveAt := arrive(3, 3*time.Second)
	r.run(time.Second)
	after, afterAt := arrive(0.5, time.Second)
	r.run(time.Second)
	if got := inTarget(before, beforeAt); got != len(before) {
		t.Errorf("%d of %d met the target before the wave", got, len(before))
	}
	if got := inTarget(wave, waveAt); float64(got) < 0.5*capacity*3 {
		t.Errorf("%d met the target in the wave, with a capacity of %g", got, capacity*3)
	}
	if got := inTarget(after, afterAt); float64(got) < 0.95*float64(len(after)) {
		t.Errorf("%d of %d met the target after the wave", got, len(after))
	}
	for _, call := range wave {
		a := r.answers[call]
		if a.Kind == scatter.Refused && (r.answered[call] != waveAt[call] || a.RetryAfter <= 0) {
			t.Errorf("call %d was refused after %v, retry after %v", call, r.answered[call].Sub(waveAt[call]), a.RetryAfter)
		}
	}
}

// TestBurstWaitsAtTheHost sends a burst of gathers to one of eight hosts. The
// upstreams must get no more than this host's share, and the rest must wait at the
// host, where the more urgent gathers are served first.
func TestBurstWaitsAtTheHost(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	var hosts []scatter.Host
	for n := range 8 {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("host-", n+1)), Domain: "d1", Cores: 1})
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	r.warmUp(gatherPath, 10*ms)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 10 * ms, scatter.Succeeded }
	r.sends = nil
	var quick, urgent []core.CallID
	for range 5 {
		quick = append(quick, r.ask(quickPath))
	}
	for range 5 {
		urgent = append(urgent, r.ask(gatherPath))
	}
	counts := map[core.UpstreamID]int{}
	for _, s := range r.sends {
		if counts[s.Target.ID]++; counts[s.Target.ID] > 1 {
			t.Errorf("%d requests of this host in flight at %s, want one", counts[s.Target.ID], s.Target.ID)
		}
	}
	r.run(500 * ms)
	last := func(calls []core.CallID) (at time.Time) {
		for _, call := range calls {
			if r.answered[call].After(at) {
				at = r.answered[call]
			}
		}
		return at
	}
	if last(urgent).After(last(quick)) {
		t.Error("the most urgent gathers were answered last")
	}
}
