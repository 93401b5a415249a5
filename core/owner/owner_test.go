package owner

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

func TestRefusalsAreImmediateAndNotRun(t *testing.T) {
	fill := func(r *rig) {
		for i := range uint64(2 + 3) {
			r.submit(100 + i)
		}
	}
	cases := []struct {
		name  string
		setup func(*rig)
		query func(*peerpb.SubQuery)
		want  core.Kind
	}{
		{"unknown upstream", nil, func(q *peerpb.SubQuery) { q.Upstream = "u9" }, core.NoOwner},
		{"share of another host", nil, func(q *peerpb.SubQuery) { q.Upstream = "u2" }, core.NoOwner},
		{"share about to move", func(r *rig) { r.owners.Drains["u1"] = true }, nil, core.NoOwner},
		{"domain out", func(r *rig) { r.changeTopology(func(t *core.Topology) { t.Domains["d1"] = core.Out }) }, nil, core.TakenOut},
		{"domain leaving", func(r *rig) { r.changeTopology(func(t *core.Topology) { t.Domains["d1"] = core.Leaving }) }, nil, core.TakenOut},
		{"upstream out", func(r *rig) { r.changeTopology(func(t *core.Topology) { t.Upstreams["u1"].State = core.Out }) }, nil, core.TakenOut},
		{"stopping", func(r *rig) { r.step(core.StopRequested{}) }, nil, core.Stopping},
		{
			"queue full of preceding attempts", fill,
			func(q *peerpb.SubQuery) { q.OrderKey = 200 }, core.Overloaded,
		},
		{"no time left", nil, func(q *peerpb.SubQuery) { q.RemainingUs = 9_000 }, core.DeadlineUnreachable},
		{
			"wait too long", func(r *rig) { r.submit(100); r.submit(101); r.submit(102) },
			func(q *peerpb.SubQuery) { q.RemainingUs, q.OrderKey = 19_000, 200 }, core.DeadlineUnreachable,
		},
		{
			"wait too long for a cold upstream", func(r *rig) {
				r.o.shares["u1"].limiter.Restarted(r.now)
				r.submit(100)
				r.submit(101)
				r.submit(102)
			},
			func(q *peerpb.SubQuery) { q.RemainingUs, q.OrderKey = 290_000, 200 }, core.DeadlineUnreachable,
		},
		{"once without exclusive use", func(r *rig) { delete(r.owners.Exclusive, "u1") }, once, core.PlatformUnavailable},
		{
			"drains", func(r *rig) { r.step(core.UpstreamProbe{Upstream: "u1", Draining: true}) }, nil, core.UpstreamShed,
		},
		{
			"cold without exclusive use", func(r *rig) {
				r.o.shares["u1"].limiter.Restarted(r.now)
				delete(r.owners.Exclusive, "u1")
			}, nil, core.PlatformUnavailable,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, func(cfg *Config) { cfg.QueueLimit = 3 })
			r.warm()
			if c.setup != nil {
				c.setup(r)
			}
			before := len(r.dispatched)
			if c.query == nil {
				c.query = func(*peerpb.SubQuery) {}
			}
			r.submit(1, c.query)
			reply := r.wantReply(1, c.want, core.NotRun)
			if core.AnswerTo(c.want).HasRetryAfter && reply.RetryAfterUs <= 0 {
				t.Error("the refusal carries no retry-after")
			}
			if len(r.dispatched) != before {
				t.Error("the refused attempt was dispatched")
			}
		})
	}
}

func TestFullQueueKeepsWhatComesFirst(t *testing.T) {
	r := newRig(t, func(cfg *Config) { cfg.QueueLimit = 1 })
	r.warm()
	r.submit(10)
	r.submit(11)
	r.submit(12)
	r.submit(1)
	r.wantReply(12, core.Overloaded, core.NotRun)
	r.complete(10, time.Millisecond)
	if last := r.dispatched[len(r.dispatched)-1]; last.Attempt != attemptOf(1) {
		t.Errorf("dispatched %v, want attempt 1", last.Attempt)
	}
}

func (r *rig) changeTopology(change func(*core.Topology)) {
	next := declare(r.o.topology.Generation + 1)
	change(next)
	r.step(core.TopologyChanged{Topology: next})
}

// queueOne fills both slots with attempts 1 and 2 and leaves attempt 3 queued.
func queueOne(t *testing.T) *rig {
	r := newRig(t)
	r.warm()
	r.submit(1)
	r.submit(2)
	r.submit(3)
	if len(r.dispatched) != 2 {
		t.Fatalf("%d attempts run on 2 slots", len(r.dispatched))
	}
	return r
}

func TestQueuedWorkIsAnsweredWhenItMayNotStartAnyMore(t *testing.T) {
	cases := []struct {
		name   string
		change func(*rig)
		want   core.Kind
	}{
		{"taken out", func(r *rig) { r.changeTopology(func(t *core.Topology) { t.Domains["d1"] = core.Out }) }, core.TakenOut},
		{"share lost", func(r *rig) { r.owners.Owners["u1"] = replicaOwner; r.advance(defaultSyncEvery) }, core.NoOwner},
		{"share about to move", func(r *rig) { r.owners.Drains["u1"] = true; r.advance(defaultSyncEvery) }, core.NoOwner},
		{"stop", func(r *rig) { r.step(core.StopRequested{}) }, core.Stopping},
		{"drain in a reply", func(r *rig) {
			r.complete(1, time.Millisecond, func(u *core.UpstreamReply) { u.Draining = true })
		}, core.UpstreamShed},
		{"drain in a probe", func(r *rig) { r.step(core.UpstreamProbe{Upstream: "u1", Draining: true}) }, core.UpstreamShed},
		{"origin lost", func(r *rig) { r.step(core.PeerLost{Host: origin}) }, core.Cancelled},
		{"cancel", func(r *rig) { r.cancel(3) }, core.Cancelled},
		{"deadline", func(r *rig) { r.advance(time.Second) }, core.DeadlineUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := queueOne(t)
			c.change(r)
			r.wantReply(3, c.want, core.NotRun)
			for sequence := uint64(1); sequence <= 2; sequence++ {
				if r.o.attempts[attemptOf(sequence)] != nil {
					r.complete(sequence, time.Millisecond)
				}
				r.wantReply(sequence, core.OK, core.HasRun)
			}
			if len(r.dispatched) != 2 {
				t.Errorf("%d dispatches, want 2", len(r.dispatched))
			}
		})
	}
}

func (r *rig) cancel(sequence uint64) {
	r.message(origin, &peerpb.Message{Body: &peerpb.Message_SubCancel{SubCancel: &peerpb.SubCancel{Attempt: sequence}}})
}

func TestExpiryLeavesTheServiceTime(t *testing.T) {
	r := queueOne(t)
	r.advance(time.Second - 10*time.Millisecond)
	reply := r.wantReply(3, core.DeadlineUnreachable, core.NotRun)
	if reply.QueueUs > 990_000 {
		t.Errorf("answered after %d us, when the deadline could no longer be met", reply.QueueUs)
	}
}

// The upstream keeps executing until it detects the cancel, so the reply alone
// does not free the slot.
func TestCancelFreesTheSlotAfterTheSettlingTime(t *testing.T) {
	r := queueOne(t)
	r.cancel(1)
	r.cancel(1)
	r.advance(defaultSyncEvery)
	if len(r.cancelled) != 1 || len(r.dispatched) != 2 {
		t.Fatalf("cancelled %v, %d dispatches", r.cancelled, len(r.dispatched))
	}
	r.complete(1, time.Millisecond, func(u *core.UpstreamReply) {
		u.Kind, u.Ran, u.Echo, u.Instance = core.Cancelled, core.RanUnknown, "", ""
	})
	r.wantReply(1, core.Cancelled, core.RanUnknown)
	r.advance(defaultCancelSettle - time.Millisecond)
	if len(r.dispatched) != 2 {
		t.Error("the slot was reused before the settling time had passed")
	}
	r.advance(time.Millisecond)
	if len(r.dispatched) != 3 {
		t.Error("the free slot was not used")
	}
}

func TestCancelledAttemptOnColdUpstreamRunsToItsEnd(t *testing.T) {
	r := newRig(t)
	r.o.shares["u1"].limiter.Restarted(r.now)
	r.submit(1)
	r.submit(2)
	const gap = 100 * time.Millisecond // 1 / Cold.Rate
	r.advance(gap)
	r.cancel(1)
	r.advance(gap + defaultCancelSettle)
	if len(r.cancelled) != 0 || len(r.dispatched) != 1 {
		t.Fatalf("cancelled %v, %d dispatches while the first is running", r.cancelled, len(r.dispatched))
	}
	r.complete(1, 0)
	r.advance(200 * time.Millisecond)
	if len(r.dispatched) != 2 {
		t.Error("the second did not start after the end of the first")
	}
}

func TestPeerLostKeepsRunOnceAttempts(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1, once)
	r.submit(2)
	r.step(core.PeerLost{Host: origin})
	if len(r.cancelled) != 1 || r.cancelled[0] != attemptOf(2) {
		t.Errorf("cancelled %v, want only attempt 2", r.cancelled)
	}
}

func TestQueueOrder(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1)
	r.submit(2)
	r.submit(10, func(q *peerpb.SubQuery) { q.OrderKey, q.QueryId = 5, "b" })
	r.submit(11, func(q *peerpb.SubQuery) { q.OrderKey, q.QueryId = 5, "a" })
	r.submit(12, func(q *peerpb.SubQuery) { q.OrderKey = 4 })
	r.submit(13, func(q *peerpb.SubQuery) { q.OrderKey, q.Priority = 9, 1 })
	want := []uint64{13, 12, 11, 10}
	for i, sequence := range want {
		r.complete([]uint64{1, 2, 13, 12}[i], time.Millisecond)
		if got := r.dispatched[len(r.dispatched)-1].Attempt.Sequence; got != sequence {
			t.Errorf("dispatch %d is attempt %d, want %d", i, got, sequence)
		}
	}
}

func TestCrossedAnswersAreNotDelivered(t *testing.T) {
	for name, echo := range map[string]string{"another's": "h2/1/99", "none": ""} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.warm()
			r.submit(1)
			r.complete(1, time.Millisecond, func(u *core.UpstreamReply) { u.Echo, u.Payload = echo, []byte("x") })
			reply := r.wantReply(1, core.UpstreamFailed, core.RanUnknown)
			if len(reply.Payload) > 0 {
				t.Error("an answer to another attempt was delivered")
			}
			r.submit(2)
			if r.dispatched[1].ReuseOnly {
				t.Error("an out-of-step connection still counts as verified")
			}
		})
	}
}

func TestLoadReportsAreSpacedAndOnlyToSenders(t *testing.T) {
	r := queueOne(t)
	r.reports = 0
	for range 40 {
		r.advance(5 * time.Millisecond)
		r.complete(r.dispatched[len(r.dispatched)-2].Attempt.Sequence, time.Millisecond)
		r.submit(uint64(1000 + len(r.dispatched)))
	}
	if r.reports == 0 || r.reports > 3 {
		t.Errorf("%d reports in 240 ms to one sender, want 1 to 3", r.reports)
	}
}
