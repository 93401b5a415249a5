package gateway

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// setRanges sets a service's ranges at a version, given as pairs of from and to.
func setRanges(t *core.Topology, id core.ServiceID, version uint64, bounds ...uint64) {
	var ranges []core.KeyRange
	for i := 0; i < len(bounds); i += 2 {
		ranges = append(ranges, core.KeyRange{From: bounds[i], To: bounds[i+1]})
	}
	t.Services[id].Ranges[version] = ranges
}

func TestPinnedVersion(t *testing.T) {
	cases := map[string]struct {
		change func(*core.Topology)
		want   uint64 // 0 is a refusal
	}{
		"newest that tiles":               {func(*core.Topology) {}, 8},
		"gap":                             {func(t *core.Topology) { setRanges(t, "s01", 8, 101, 200) }, 7},
		"overlap":                         {func(t *core.Topology) { setRanges(t, "s01", 8, 99, 200) }, 7},
		"too short":                       {func(t *core.Topology) { setRanges(t, "s01", 8, 100, 199) }, 7},
		"undeclared by one service":       {func(t *core.Topology) { delete(t.Services["s01"].Ranges, 8) }, 7},
		"same range twice in one service": {func(t *core.Topology) { setRanges(t, "s01", 8, 100, 200, 100, 200) }, 7},
		"empty range":                     {func(t *core.Topology) { setRanges(t, "s01", 8, 100, 200, 150, 150) }, 7},
		"repartitioned": {func(t *core.Topology) {
			setRanges(t, "s00", 8, 0, 50, 150, 200)
			setRanges(t, "s01", 8, 50, 150)
		}, 8},
		"one service holds all": {func(t *core.Topology) {
			setRanges(t, "s00", 8)
			setRanges(t, "s01", 8, 0, 0)
		}, 8},
		"beyond the space": {func(t *core.Topology) { setRanges(t, "s01", 8, 100, 0) }, 8},
		"service unknown":  {func(t *core.Topology) { delete(t.Services, "s01") }, 0},
		"no version":       {func(t *core.Topology) { clear(t.Services["s01"].Ranges) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil)
			h.topology = tiledTopology(2, 7, 8)
			c.change(h.topology)
			h.step(core.TopologyChanged{Topology: h.topology})
			h.ask(1, h.query("h0", "plate"))
			subs := h.takeSent()
			if c.want == 0 {
				h.expectAnswer(1, core.SnapshotGone, core.NotRun)
				return
			}
			for _, sub := range subs {
				if sub.GetIndexVersion() != c.want {
					t.Errorf("pinned %d, want %d", sub.GetIndexVersion(), c.want)
				}
			}
			h.deliverSuccess(subs...)
			reply := h.expectAnswer(1, core.OK, core.HasRun)
			if covered := reply.GetCovered(); len(covered) != 1 || covered[0].GetTo() != 200 {
				t.Errorf("covered %v", covered)
			}
		})
	}
}

// Keys that a service holds outside the scope's space are left out of the answer
// and its coverage.
func TestAnswerIsClippedToScopeSpace(t *testing.T) {
	h := newHarness(t, 2, nil)
	setRanges(h.topology, "s01", 7, 100, 0)
	h.step(core.TopologyChanged{Topology: h.topology})
	h.ask(1, h.query("h0", "plate"))
	subs := h.takeSent()
	h.deliverSuccess(subs[0])
	wide := h.successReply(subs[1])
	wide.Items = append(wide.Items, &peerpb.Item{Key: 200, Score: 1e6})
	h.deliverReply(wide)
	if reply := h.expectAnswer(1, core.OK, core.HasRun); len(reply.GetItems()) != 2 || reply.GetItems()[0].GetKey() != 100 {
		t.Errorf("items %v", reply.GetItems())
	}
}

func TestSnapshotGone(t *testing.T) {
	gone := func(h *harness, s *peerpb.SubQuery) { h.deliverReply(failureReply(s, core.SnapshotGone, core.NotRun)) }
	start := func(t *testing.T, remaining int64) (*harness, []*peerpb.SubQuery) {
		h := newHarness(t, 3, nil)
		h.topology = tiledTopology(3, 6, 7)
		h.step(core.TopologyChanged{Topology: h.topology})
		q := h.query("h0", "plate")
		q.RemainingUs = remaining
		h.ask(1, q)
		return h, h.takeSent()
	}

	t.Run("restarts on another version", func(t *testing.T) {
		h, old := start(t, 1_000_000)
		h.deliverSuccess(old[0])
		gone(h, old[1])
		subs := h.takeSent()
		if len(subs) != 3 || subs[0].GetIndexVersion() != 6 || !h.cancelled[old[2].GetAttempt()] {
			t.Fatalf("restarted with %v", subs)
		}
		h.deliverSuccess(old[2])
		h.deliverSuccess(subs...)
		reply := h.expectAnswer(1, core.OK, core.HasRun)
		if reply.GetIndexVersion() != 6 || len(reply.GetItems()) != 3 || h.g.Stats().LateReplies != 1 {
			t.Errorf("answer %v, stats %+v", reply, h.g.Stats())
		}
	})
	t.Run("version is avoided for GoneTTL", func(t *testing.T) {
		h, old := start(t, 1_000_000)
		gone(h, old[1])
		h.deliverSuccess(h.takeSent()...)
		for _, c := range []struct {
			wait time.Duration
			want uint64
		}{{29 * time.Second, 6}, {2 * time.Second, 7}} {
			h.advance(c.wait)
			h.ask(2, h.query("h0", c.wait.String()))
			subs := h.takeSent()
			if subs[0].GetIndexVersion() != c.want {
				t.Errorf("pinned %d, want %d", subs[0].GetIndexVersion(), c.want)
			}
			h.deliverSuccess(subs...)
		}
	})
	t.Run("partial on the old version when time is short", func(t *testing.T) {
		h, old := start(t, 30_000)
		for i := range h.topology.Services {
			h.g.loads.observeServiceTime(h.now, i, 20*time.Millisecond)
		}
		h.deliverSuccess(old[0], old[2])
		gone(h, old[1])
		gone(h, h.takeSent()[0])
		reply := h.expectAnswer(1, core.OK, core.HasRun)
		account := reply.GetShards()[1]
		if reply.GetIndexVersion() != 7 || reply.GetDetail() == "" ||
			core.Kind(account.GetKind()) != core.SnapshotGone || len(reply.GetCovered()) != 2 {
			t.Errorf("answer %v", reply)
		}
	})
	t.Run("retried on the other upstream when it is the only version", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		h.ask(1, h.query("h0", "plate"))
		gone(h, h.takeSent()[0])
		h.deliverSuccess(h.takeSent()...)
		h.expectAnswer(1, core.OK, core.HasRun)
	})
	t.Run("number of restarts is bounded", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		h.topology = tiledTopology(1, 1, 2, 3, 4, 5, 6, 7)
		h.step(core.TopologyChanged{Topology: h.topology})
		h.ask(1, h.query("h0", "plate"))
		for subs := h.takeSent(); len(subs) > 0; subs = h.takeSent() {
			gone(h, subs[0])
		}
		h.expectAnswer(1, core.SnapshotGone, core.NotRun)
		if h.g.Stats().Restarts != 2 {
			t.Errorf("%d restarts", h.g.Stats().Restarts)
		}
	})
}

// A reply that does not match its attempt is never merged; the sub-query is
// retried.
func TestMismatchedReplies(t *testing.T) {
	cases := map[string]func(*peerpb.SubReply){
		"another version":      func(r *peerpb.SubReply) { r.IndexVersion = 6 },
		"another upstream":     func(r *peerpb.SubReply) { r.Upstream = "s01a" },
		"range not held":       func(r *peerpb.SubReply) { r.Covered[0].To++ },
		"range of another":     func(r *peerpb.SubReply) { r.Covered[0] = &peerpb.KeyRange{From: 100, To: 200} },
		"ranges overlap":       func(r *peerpb.SubReply) { r.Covered = append(r.Covered, &peerpb.KeyRange{From: 5, To: 6}) },
		"empty range":          func(r *peerpb.SubReply) { r.Covered[0].To = r.Covered[0].From },
		"key not covered":      func(r *peerpb.SubReply) { r.Items[0].Key = 100 },
		"key twice":            func(r *peerpb.SubReply) { r.Items = append(r.Items, r.Items[0]) },
		"key outside its part": func(r *peerpb.SubReply) { r.Covered[0].From = 1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil)
			h.ask(1, h.query("h0", "plate"))
			subs := h.takeSent()
			wrong := h.successReply(subs[0])
			change(wrong)
			h.deliverReply(wrong)
			retry := h.takeSent()
			if h.g.Stats().Mismatched != 1 || len(retry) != 1 || !retry[0].GetExtra() {
				t.Fatalf("stats %+v, retries %v", h.g.Stats(), retry)
			}
			h.deliverSuccess(retry[0], subs[1])
			if reply := h.expectAnswer(1, core.OK, core.HasRun); len(reply.GetItems()) != 2 {
				t.Errorf("items %v", reply.GetItems())
			}
		})
	}
}

// A reply from a host to which the attempt was not sent, or with an unknown
// attempt number, is only counted.
func TestCrossedReplies(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.ask(1, h.query("h0", "plate"))
	subs := h.takeSent()
	h.deliverReplyFrom("h1", h.successReply(subs[0]))
	unknown := h.successReply(subs[0])
	unknown.Attempt = 1
	h.deliverReply(unknown)
	if s := h.g.Stats(); s.Mismatched != 1 || s.LateReplies != 1 || len(h.g.attempts) != 2 {
		t.Errorf("stats %+v, %d attempts", s, len(h.g.attempts))
	}
	h.deliverSuccess(subs...)
	h.expectAnswer(1, core.OK, core.HasRun)
}

func TestReach(t *testing.T) {
	cases := map[string]struct {
		services, failing int
		reach             float64
		refuse            bool
		kind              core.Kind
		met               bool
	}{
		"exactly met":             {20, 1, 0.95, true, core.OK, true},
		"just missed, refused":    {20, 2, 0.95, true, core.ReachNotMet, false},
		"just missed, partial":    {20, 2, 0.95, false, core.OK, false},
		"nothing covered":         {2, 2, 0, false, core.InvalidRequest, false},
		"whole":                   {3, 0, 1, true, core.OK, true},
		"nothing covered, refuse": {2, 2, 0.5, true, core.InvalidRequest, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.services, nil)
			h.topology.Scopes["all"].Reach = c.reach
			h.topology.Scopes["all"].RefuseBelow = c.refuse
			h.ask(1, h.query("h0", "plate"))
			subs := h.takeSent()
			h.deliverSuccess(subs[c.failing:]...)
			for _, sub := range subs[:c.failing] {
				h.deliverReply(failureReply(sub, core.InvalidRequest, core.HasRun))
			}
			reply := h.expectAnswer(1, c.kind, core.HasRun)
			if reply.GetReachMet() != c.met {
				t.Errorf("reach %v, want %v", reply.GetReachMet(), c.met)
			}
			items := c.services - c.failing
			if c.kind == core.ReachNotMet {
				items = 0
			}
			if len(reply.GetItems()) != items || (len(reply.GetCovered()) > 0) != (c.failing < c.services) {
				t.Errorf("%d items, coverage %v", len(reply.GetItems()), reply.GetCovered())
			}
		})
	}
}

// Once the declared reach is unattainable, a query that refuses answers below it
// is answered at once and its remaining attempts are cancelled.
func TestUnattainableReachEndsQuery(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.topology.Scopes["all"].Reach = 1
	h.topology.Scopes["all"].RefuseBelow = true
	h.ask(1, h.query("h0", "plate"))
	subs := h.takeSent()
	h.deliverSuccess(subs[0])
	h.deliverReply(failureReply(subs[1], core.TooLarge, core.NotRun))
	reply := h.expectAnswer(1, core.ReachNotMet, core.HasRun)
	if !h.cancelled[subs[2].GetAttempt()] || len(reply.GetCovered()) != 1 || core.Kind(reply.GetShards()[2].GetKind()) != core.Cancelled {
		t.Errorf("answer %v", reply)
	}
}

// At the deadline the caller receives the partial results so far.
func TestPartialAnswerAtTheDeadline(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.ask(1, h.query("h0", "plate"))
	subs := h.takeSent()
	partial := h.successReply(subs[0])
	partial.Covered[0].To = 60
	h.deliverReply(partial)
	h.deliverSuccess(subs[1])
	h.advance(time.Second - 1)
	if len(h.answers) != 0 {
		t.Fatal("answered early")
	}
	h.advance(1)
	reply := h.expectAnswer(1, core.OK, core.HasRun)
	if len(reply.GetCovered()) != 2 || reply.GetCovered()[0].GetTo() != 60 || !reply.GetReachMet() {
		t.Errorf("covered %v, reach %v", reply.GetCovered(), reply.GetReachMet())
	}
	if core.Kind(reply.GetShards()[2].GetKind()) != core.DeadlineExceeded || !h.cancelled[subs[2].GetAttempt()] {
		t.Errorf("shards %v", reply.GetShards())
	}
}
