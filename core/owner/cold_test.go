package owner

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

const coldGap = 100 * time.Millisecond // 1 / Cold.Rate of the declared upstreams

// saturate keeps the queue filled for the given span. Attempts complete after
// 10 ms with an answer of the given instance. It returns the maximum number of
// concurrent attempts and the gaps between starts.
func (r *rig) saturate(instance string, span time.Duration) (maxRunning int, gaps []time.Duration) {
	const service = 10 * time.Millisecond
	sequence := 10_000 + r.o.stats.Received
	var last time.Time
	seen := len(r.dispatched)
	for end := r.now.Add(span); r.now.Before(end); {
		for r.o.Stats().Queued < 4 {
			sequence++
			r.submit(sequence)
		}
		for ; seen < len(r.dispatched); seen++ {
			if !last.IsZero() {
				gaps = append(gaps, r.now.Sub(last))
			}
			last = r.now
		}
		maxRunning = max(maxRunning, r.o.Stats().Running)
		r.advance(time.Millisecond)
		for _, a := range r.startedBy(r.now.Add(-service)) {
			r.complete(a, 0, func(u *core.UpstreamReply) { u.Instance = instance })
		}
	}
	return maxRunning, gaps
}

// startedBy returns the running attempts that started at or before start.
func (r *rig) startedBy(start time.Time) []uint64 {
	var ended []uint64
	for _, a := range r.o.shares["u1"].running {
		if !a.started.After(start) {
			ended = append(ended, a.id.Sequence)
		}
	}
	return ended
}

func TestColdStarts(t *testing.T) {
	loseBoth := func(r *rig) {
		r.submit(1)
		r.submit(2)
		r.complete(1, time.Millisecond, lostReply)
		r.complete(2, 0, lostReply)
	}
	cases := []struct {
		name  string
		cause func(*rig)
		cold  bool // a cold start follows, not only a short unverified phase
		to    string
	}{
		{"running attempts lost, new process", loseBoth, true, "i2"},
		{"running attempts lost, same process", loseBoth, false, "i1"},
		{"idle connections broke, new process", func(r *rig) { r.closeIdle(2) }, true, "i2"},
		{"idle connections broke, same process", func(r *rig) { r.closeIdle(2) }, false, "i1"},
		{"connections closed before the owner was notified", func(r *rig) {
			r.submit(1)
			r.complete(1, 0, func(u *core.UpstreamReply) {
				u.Kind, u.Ran, u.Echo, u.Instance = core.UpstreamLost, core.NotRun, "", ""
			})
		}, true, "i2"},
		{"another process answers", func(r *rig) {
			r.submit(1)
			r.complete(1, time.Millisecond, func(u *core.UpstreamReply) {
				u.Kind, u.Ran, u.Instance = core.UpstreamShed, core.NotRun, "i2"
			})
		}, true, "i2"},
		{"domain back in service", func(r *rig) {
			r.changeTopology(func(t *core.Topology) { t.Domains["d1"] = core.Out })
			r.changeTopology(func(*core.Topology) {})
		}, true, "i1"},
		{"upstream back in service", func(r *rig) {
			r.changeTopology(func(t *core.Topology) { t.Upstreams["u1"].State = core.Leaving })
			r.changeTopology(func(*core.Topology) {})
		}, true, "i1"},
		{"address changed", func(r *rig) {
			r.changeTopology(func(t *core.Topology) { t.Upstreams["u1"].Address = "10.0.0.9:1" })
		}, true, "i2"},
		{"share taken over", func(r *rig) {
			r.owners.Owners["u1"] = replicaOwner
			r.advance(defaultSyncEvery)
			r.owners.Owners["u1"], r.owners.Warm["u1"] = self, false
		}, true, "i1"},
		{"share handed over warm, instance unknown", func(r *rig) {
			r.owners.Owners["u1"] = replicaOwner
			r.advance(defaultSyncEvery)
			clear(r.o.warmInstances)
			r.owners.Owners["u1"] = self
		}, true, "i1"},
		{"share handed over warm, instance known", func(r *rig) {
			r.owners.Owners["u1"] = replicaOwner
			r.advance(defaultSyncEvery)
			r.owners.Owners["u1"] = self
		}, false, "i1"},
		{"drain ended by a new process", func(r *rig) {
			r.step(core.UpstreamProbe{Upstream: "u1", Draining: true, Instance: "i1"})
			r.step(core.UpstreamProbe{Upstream: "u1", Instance: "i2"})
		}, true, "i2"},
		{"drain ended by probes without draining", func(r *rig) {
			r.step(core.UpstreamProbe{Upstream: "u1", Draining: true, Instance: "i1"})
			r.step(core.UpstreamProbe{Upstream: "u1", Instance: "i1"})
			r.advance(defaultDrainQuiet)
			r.step(core.UpstreamProbe{Upstream: "u1", Instance: "i1"})
		}, true, "i1"},
		{"probe returns a new process, correctly", func(r *rig) { r.step(core.UpstreamProbe{Upstream: "u1", Instance: "i2"}) }, true, "i2"},
		{"probe returns a new process, wrongly", func(r *rig) { r.step(core.UpstreamProbe{Upstream: "u1", Instance: "i2"}) }, false, "i1"},
		{"probe reports unhealthy", func(r *rig) { r.step(core.UpstreamProbe{Upstream: "u1", Instance: "i1"}) }, false, "i1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.warm()
			c.cause(r)
			maxRunning, gaps := r.saturate(c.to, time.Second)
			if c.cold && (maxRunning > 1 || gaps[0] < coldGap || len(gaps) > 60) {
				t.Errorf("cold: %d at once, first gap %v, %d starts in 1 s", maxRunning, gaps[0], len(gaps))
			}
			if !c.cold && (maxRunning != 2 || len(gaps) < 150) {
				t.Errorf("warm: %d at once, %d starts in 1 s, want 2 and 150 or more", maxRunning, len(gaps))
			}
			if maxRunning, _ := r.saturate(c.to, 4*time.Second); maxRunning != 2 {
				t.Errorf("%d at once after the cold start, want 2", maxRunning)
			}
		})
	}
}

func (r *rig) closeIdle(count int) {
	for range count {
		r.step(core.UpstreamConn{Upstream: "u1"})
	}
}

// TestCancelLeavesTheOtherConnectionsVerified guards against counting the close
// of a cancelled attempt's own connection against the idle verified ones.
func TestCancelLeavesTheOtherConnectionsVerified(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1)
	r.cancel(1)
	r.complete(1, time.Millisecond, func(u *core.UpstreamReply) {
		u.Kind, u.Ran, u.Echo, u.Instance = core.Cancelled, core.RanUnknown, "", ""
	})
	r.step(core.UpstreamConn{Upstream: "u1"})
	r.submit(2)
	r.submit(3)
	r.advance(defaultCancelSettle)
	if len(r.dispatched) != 3 || !r.dispatched[1].ReuseOnly {
		t.Errorf("%d dispatches, want 3, the second on a verified connection", len(r.dispatched))
	}
}

func TestOneTrialAtATimeUntilTheProcessIsVerified(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.closeIdle(2)
	r.step(core.UpstreamConn{Upstream: "u1", Open: true})
	r.step(core.UpstreamConn{Upstream: "u1", Open: true})
	r.submit(1)
	r.submit(2)
	r.advance(500 * time.Millisecond)
	if len(r.dispatched) != 1 || r.dispatched[0].ReuseOnly {
		t.Errorf("%d attempts on unverified connections, want 1", len(r.dispatched))
	}
}

func TestRepliesOverrideAStuckDrainingProbe(t *testing.T) {
	r := newRig(t)
	r.warm()
	probe := core.UpstreamProbe{Upstream: "u1", Draining: true, Instance: "i1"}
	for range 11 {
		r.step(probe)
		r.advance(time.Second)
	}
	r.submit(1)
	r.complete(1, time.Millisecond)
	r.step(probe)
	r.advance(coldGap)
	r.submit(2)
	r.complete(2, time.Millisecond)
	r.wantReply(2, core.OK, core.HasRun)
}

func TestAnswerStartedBeforeALossDoesNotVerify(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1)
	r.submit(2)
	r.complete(2, time.Millisecond, lostReply)
	r.complete(1, time.Millisecond)
	if c := r.o.shares["u1"].conns; !c.verifiedAt.IsZero() {
		t.Error("an answer that a crashed process may have sent renewed verifiedAt")
	}
}

func TestLateAnswerOfThePreviousProcessIsIgnored(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1)
	r.step(core.UpstreamConn{Upstream: "u1"})
	r.submit(2)
	r.complete(2, time.Millisecond, func(u *core.UpstreamReply) { u.Instance = "i2" })
	r.complete(1, time.Millisecond)
	if !r.o.shares["u1"].limiter.Cold(r.now) || r.o.stats.Restarts != 1 {
		t.Error("an answer of the previous process was counted for the new one")
	}
}

func TestExclusiveWorkEndsWithExclusivity(t *testing.T) {
	for name, cold := range map[string]bool{"once": false, "cold": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.warm()
			change := once
			if cold {
				r.owners.Warm["u1"] = false
				r.owners.Owners["u1"] = replicaOwner
				r.advance(defaultSyncEvery)
				r.owners.Owners["u1"] = self
				r.advance(defaultSyncEvery + coldGap)
				change = func(*peerpb.SubQuery) {}
			}
			until := r.now.Add(300 * time.Millisecond)
			r.owners.Exclusive["u1"] = until
			r.submit(1, change)
			r.advance(coldGap)
			if len(r.dispatched) != 1 {
				t.Fatal("not dispatched")
			}
			if d := r.dispatched[0]; d.StartBy != until || d.Deadline != until {
				t.Errorf("start by %v, deadline %v; want both %v", d.StartBy, d.Deadline, until)
			}
			r.owners.Owners["u1"] = replicaOwner
			r.advance(defaultSyncEvery)
			if len(r.cancelled) != 1 {
				t.Error("the attempt was not cancelled when the share was lost")
			}
		})
	}
}

func TestWarmWorkContinuesWithoutThePlatform(t *testing.T) {
	r := newRig(t)
	r.warm()
	delete(r.owners.Exclusive, "u1")
	if maxRunning, _ := r.saturate("i1", time.Second); maxRunning != 2 {
		t.Errorf("%d at once, want 2", maxRunning)
	}
}

func TestNoTrialAfterAPauseWithoutExclusivity(t *testing.T) {
	r := newRig(t)
	r.warm()
	delete(r.owners.Exclusive, "u1")
	r.submit(1)
	r.advance(2 * time.Second)
	r.complete(1, 0, func(u *core.UpstreamReply) {
		u.Kind, u.Ran, u.Echo, u.Instance = core.UpstreamLost, core.NotRun, "", ""
	})
	before := len(r.dispatched)
	r.submit(2)
	r.wantReply(2, core.PlatformUnavailable, core.NotRun)
	if len(r.dispatched) != before {
		t.Error("a trial was dispatched without exclusive use")
	}
}

func TestTrialNeedsARecentAnswerOrExclusivity(t *testing.T) {
	r := newRig(t)
	r.warm()
	delete(r.owners.Exclusive, "u1")
	r.submit(1)
	r.closeIdle(1)
	r.submit(2)
	r.advance(100 * time.Millisecond)
	if len(r.dispatched) != 1 {
		t.Errorf("%d dispatches, want 1", len(r.dispatched))
	}
}

func TestConnectionsCloseWhenTheUpstreamLeaves(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1)
	r.changeTopology(func(t *core.Topology) { t.Domains["d1"] = core.Leaving })
	r.advance(defaultSyncEvery)
	if r.closed != 0 {
		t.Fatal("connections were closed while an attempt runs")
	}
	r.complete(1, time.Millisecond)
	r.advance(time.Second)
	if r.closed != 1 {
		t.Errorf("closed %d times, want once", r.closed)
	}
}

func TestHandoverWaitsForRunningWork(t *testing.T) {
	r := queueOne(t)
	r.owners.Drains["u1"] = true
	r.advance(defaultSyncEvery)
	r.wantReply(3, core.NoOwner, core.NotRun)
	r.complete(1, time.Millisecond)
	r.advance(defaultSyncEvery)
	if len(r.owners.Released) != 0 {
		t.Fatal("released with work in flight")
	}
	r.complete(2, time.Millisecond)
	r.advance(defaultDiscoverEvery / 2)
	if len(r.owners.Released) != 1 || !r.owners.ReleasedWarm["u1"] {
		t.Errorf("released %v, warm %v; want once and warm", r.owners.Released, r.owners.ReleasedWarm)
	}
	r.advance(defaultDiscoverEvery)
	if len(r.owners.Released) != 2 {
		t.Error("the share is still held and draining, but was not released again")
	}
}
