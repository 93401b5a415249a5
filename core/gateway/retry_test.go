package gateway

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Whether the failure of the only attempt at a sub-query is followed by a retry,
// and whether the retry is charged to the budget.
func TestRetryByKind(t *testing.T) {
	const none, free, paid = "no retry", "free retry", "paid retry"
	cases := []struct {
		kind     core.Kind
		ran      core.Ran
		next     string
		nextOnce string // for an at-most-once request
	}{
		{core.NoOwner, core.NotRun, free, free},
		{core.TakenOut, core.NotRun, free, free},
		{core.Stopping, core.NotRun, free, free},
		{core.UnknownName, core.NotRun, free, free},
		{core.Overloaded, core.NotRun, free, free},
		{core.DeadlineUnreachable, core.NotRun, free, free},
		{core.SnapshotGone, core.NotRun, free, free},
		{core.UpstreamShed, core.NotRun, paid, paid},
		{core.UpstreamLost, core.NotRun, paid, paid},
		{core.UpstreamFailed, core.HasRun, paid, none},
		{core.UpstreamLost, core.RanUnknown, paid, none},
		{core.HostLost, core.RanUnknown, paid, none},
		{core.Internal, core.RanUnknown, paid, none},
		{core.DeadlineExceeded, core.RanUnknown, none, none},
		{core.Quarantined, core.NotRun, none, none},
		{core.InvalidRequest, core.NotRun, none, none},
		{core.TooLarge, core.NotRun, none, none},
		{core.Kind(999), core.Ran(9), none, none},
	}
	for _, c := range cases {
		for _, once := range []bool{false, true} {
			want := c.next
			if once {
				want = c.nextOnce
			}
			h := newHarness(t, 1, nil)
			h.runDirect(1, &peerpb.Query{Service: "s00", RemainingUs: 1_000_000, Once: once})
			first := h.takeSent()[0]
			h.deliverReply(failureReply(first, c.kind, c.ran))
			retries := h.takeSent()
			if want == none {
				if len(retries) != 0 || len(h.answers[1]) != 1 {
					t.Errorf("%v once=%v: %d retries, %d answers", c.kind, once, len(retries), len(h.answers[1]))
				}
				continue
			}
			if len(retries) != 1 || retries[0].GetUpstream() == first.GetUpstream() || retries[0].GetExtra() != (want == paid) {
				t.Errorf("%v once=%v: retries %v, want one %s on the other upstream", c.kind, once, retries, want)
				continue
			}
			h.deliverSuccess(retries...)
			h.expectAnswer(1, core.OK, core.HasRun)
		}
	}
}

// An at-most-once call whose attempt fails is not retried, and its answer says
// whether it may have run.
func TestAtMostOnceOutcomes(t *testing.T) {
	cases := map[string]struct {
		end  func(*harness, *peerpb.SubQuery)
		kind core.Kind
		ran  core.Ran
	}{
		"failed after it ran": {
			func(h *harness, s *peerpb.SubQuery) {
				h.deliverReply(failureReply(s, core.UpstreamFailed, core.HasRun))
			},
			core.UpstreamFailed, core.HasRun,
		},
		"upstream lost": {
			func(h *harness, s *peerpb.SubQuery) {
				h.deliverReply(failureReply(s, core.UpstreamLost, core.RanUnknown))
			},
			core.OutcomeUnknown, core.RanUnknown,
		},
		"owner lost": {
			func(h *harness, s *peerpb.SubQuery) { h.step(core.PeerLost{Host: h.sentTo[s.GetAttempt()]}) },
			core.OutcomeUnknown, core.RanUnknown,
		},
		"no reply": {
			func(h *harness, _ *peerpb.SubQuery) { h.advance(time.Second) },
			core.OutcomeUnknown, core.RanUnknown,
		},
		"reply for another upstream": {
			func(h *harness, s *peerpb.SubQuery) {
				reply := h.successReply(s)
				reply.Upstream = "s00x"
				h.deliverReply(reply)
			},
			core.OutcomeUnknown, core.RanUnknown,
		},
		"quarantined": {
			func(h *harness, s *peerpb.SubQuery) { h.deliverReply(failureReply(s, core.Quarantined, core.NotRun)) },
			core.Quarantined, core.NotRun,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, hedgeAfter20ms)
			q := &peerpb.Query{Service: "s00", RemainingUs: 1_000_000, Once: true}
			repeatable := copyQuery(q)
			h.runDirect(3, repeatable)
			h.runDirect(1, q)
			h.runDirect(2, q)
			subs := h.takeSent()
			if len(subs) != 3 || subs[0].GetOnce() || !subs[1].GetOnce() {
				t.Fatalf("three requests with the same question sent %v, want three sub-queries", subs)
			}
			h.deliverSuccess(subs[0], subs[2])
			h.reportSlow(subs[1])
			h.advance(100 * time.Millisecond)
			c.end(h, subs[1])
			h.advance(2 * time.Second)
			h.expectAnswer(1, c.kind, c.ran)
			if more := h.takeSent(); len(more) != 0 {
				t.Errorf("run again: %v", more)
			}
		})
	}
}

// The gateway accepts at-most-once requests only through Run and ignores those
// from callers and other hosts, which are handled by another role.
func TestOnceRequestsAreIgnored(t *testing.T) {
	h := newHarness(t, 1, nil)
	q := &peerpb.Query{Call: 5, Service: "s00", RemainingUs: 1_000_000, Once: true}
	h.ask(1, q)
	h.deliverMessage("h1", &peerpb.Message{Body: &peerpb.Message_Query{Query: q}})
	if len(h.takeSent()) != 0 || len(h.answers) != 0 || len(h.otherMessages) != 0 {
		t.Error("an at-most-once request was handled")
	}
}

// A sub-query whose upstream was lost is retried on another upstream at most
// once, and not while it may still be running on another one. Otherwise a
// question that crashes upstreams would bring down every replica of a service.
func TestUpstreamLost(t *testing.T) {
	lose := func(h *harness, s *peerpb.SubQuery) {
		h.deliverReply(failureReply(s, core.UpstreamLost, core.RanUnknown))
	}

	t.Run("second loss is final", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		addReplica(h)
		h.ask(1, h.query("h0", "poison"))
		lose(h, h.takeSent()[0])
		lose(h, h.takeSent()[0])
		h.advance(100 * time.Millisecond)
		h.expectAnswer(1, core.UpstreamLost, core.RanUnknown)
		if len(h.takeSent()) != 0 {
			t.Error("a third attempt was sent")
		}
	})
	t.Run("loss while the hedge runs", func(t *testing.T) {
		h := newHarness(t, 1, hedgeAfter20ms)
		h.ask(1, h.query("h0", "poison"))
		subs := h.takeSent()
		h.reportSlow(subs[0])
		subs = append(subs, h.takeSent()...)
		lose(h, subs[0])
		if more := h.takeSent(); len(subs) != 2 || len(more) != 0 {
			t.Fatalf("attempts %v, then %v", subs, more)
		}
		lose(h, subs[1])
		h.expectAnswer(1, core.UpstreamLost, core.RanUnknown)
	})
	t.Run("the retry is not hedged", func(t *testing.T) {
		h := newHarness(t, 1, hedgeAfter20ms)
		addReplica(h)
		h.ask(1, h.query("h0", "poison"))
		lose(h, h.takeSent()[0])
		retries := h.takeSent()
		h.reportSlow(retries...)
		h.advance(100 * time.Millisecond)
		if hedges := h.takeSent(); len(retries) != 1 || len(hedges) != 0 {
			t.Errorf("retries %v, hedges %v", retries, hedges)
		}
	})
	t.Run("not while it may run on another upstream", func(t *testing.T) {
		h := newHarness(t, 1, hedgeAfter20ms)
		h.ask(1, h.query("h0", "poison"))
		addReplica(h)
		subs := h.takeSent()
		h.reportSlow(subs[0])
		subs = append(subs, h.takeSent()...)
		h.step(core.PeerLost{Host: h.sentTo[subs[0].GetAttempt()]})
		h.reportSlow(subs[1])
		lose(h, subs[1])
		h.expectAnswer(1, core.UpstreamLost, core.RanUnknown)
		if len(h.takeSent()) != 0 {
			t.Error("retried while the first attempt may still run")
		}
	})
	t.Run("quarantine ends the whole query", func(t *testing.T) {
		h := newHarness(t, 3, nil)
		h.ask(1, h.query("h0", "poison"))
		subs := h.takeSent()
		h.deliverReply(failureReply(subs[1], core.Quarantined, core.NotRun))
		reply := h.expectAnswer(1, core.Quarantined, core.RanUnknown)
		if reply.GetRetryAfterUs() == 0 || !h.cancelled[subs[0].GetAttempt()] || !h.cancelled[subs[2].GetAttempt()] {
			t.Error("other parts are still running, or the answer has no retry delay")
		}
	})
}

// addReplica adds a third upstream to the first service.
func addReplica(h *harness) {
	service := h.topology.Services["s00"]
	service.Upstreams = append(service.Upstreams, "s00c")
	h.topology.Upstreams["s00c"] = &core.Upstream{ID: "s00c", Service: "s00", Domain: "da"}
	h.owners.Owners["s00c"] = "h1"
}

func hedgeAfter20ms(c *Config) { c.Hedger = fixedHedger{delay: 20 * time.Millisecond} }

func TestHedge(t *testing.T) {
	var longest time.Duration
	h := newHarness(t, 2, func(c *Config) { c.Hedger = fixedHedger{20 * time.Millisecond, &longest} })
	h.ask(1, h.query("h0", "slow"))
	subs := h.takeSent()
	h.reportSlow(subs[0])
	hedges := h.takeSent()
	if len(hedges) != 1 || subs[0].GetSlowAfterUs() != 20_000 {
		t.Fatalf("hedges %v of %v", hedges, subs[0])
	}
	hedge := hedges[0]
	if !hedge.GetExtra() || hedge.GetUpstream() == subs[0].GetUpstream() ||
		h.sentTo[hedge.GetAttempt()] == h.sentTo[subs[0].GetAttempt()] {
		t.Errorf("hedge %v of %v", hedge, subs[0])
	}
	h.advance(30 * time.Millisecond)
	h.deliverSuccess(hedge)
	if longest != 50*time.Millisecond {
		t.Errorf("observed %v, want 50 ms: the straggler ran for that long", longest)
	}
	if !h.cancelled[subs[0].GetAttempt()] || len(h.answers) != 0 {
		t.Error("the straggler was not cancelled when its hedge succeeded, or the query was answered early")
	}
	h.reportSlow(subs[0])
	h.deliverSuccess(subs[0], hedge, subs[1])
	h.expectAnswer(1, core.OK, core.HasRun)
	if s := h.g.Stats(); s.LateReplies != 2 || s.HedgeWins != 1 || s.Extra != 1 || s.Hedges != 1 {
		t.Errorf("stats %+v", s)
	}
}

// Without a SubSlow message the hedge is sent later, and only once the other
// upstream is expected to have a free slot.
func TestHedgeWithoutSlowSignal(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond} {
		h := newHarness(t, 1, hedgeAfter20ms)
		h.ask(1, h.query("h0", "slow"))
		if wait > 0 {
			h.deliverMessage("ob", loadReport(&peerpb.Load{Upstream: "s00b", Limit: 2, Queued: 20, WaitUs: wait.Microseconds()}))
		}
		h.takeSent()
		due := max(66*time.Millisecond, wait)
		h.advance(due - 1)
		early := h.takeSent()
		h.advance(40 * time.Millisecond)
		if late := h.takeSent(); len(early) != 0 || len(late) != 1 {
			t.Errorf("wait %v: hedges %v before %v, %v after", wait, early, due, late)
		}
	}
}

// When the hedge straggles as well, the first attempt is cancelled and resent,
// only once and only within the budget.
func TestStragglingHedgeReplacesFirstAttempt(t *testing.T) {
	h := newHarness(t, 1, hedgeAfter20ms)
	h.ask(1, h.query("h0", "slow"))
	first := h.takeSent()[0]
	h.reportSlow(first)
	hedge := h.takeSent()[0]
	h.g.budget.tokens = 5.9
	h.reportSlow(hedge)
	if early := h.takeSent(); len(early) != 0 {
		t.Errorf("resent although the budget was used up: %v", early)
	}
	h.g.budget.tokens = 20
	h.reportSlow(hedge)
	resent := h.takeSent()
	if len(resent) != 1 || resent[0].GetUpstream() != first.GetUpstream() || !h.cancelled[first.GetAttempt()] {
		t.Fatalf("resent attempts %v, want one on the first upstream", resent)
	}
	h.reportSlow(resent[0], hedge)
	if more := h.takeSent(); len(more) != 0 || h.cancelled[hedge.GetAttempt()] {
		t.Errorf("resent again: %v", more)
	}
	h.deliverSuccess(resent...)
	if reply := h.expectAnswer(1, core.OK, core.HasRun); reply.GetExtra() != 2 || reply.GetAttempts() != 3 {
		t.Errorf("attempts %d, extra %d", reply.GetAttempts(), reply.GetExtra())
	}
}

func TestHedgeIsWithheld(t *testing.T) {
	cases := map[string]func(*harness){
		"other upstream is cold": func(h *harness) {
			h.deliverMessage("oa", loadReport(&peerpb.Load{Upstream: "s00b", Limit: 2, Cold: true}))
		},
		"other upstream is taken out":        func(h *harness) { h.topology.Domains["db"] = core.Out },
		"other upstream has the same owner":  func(h *harness) { h.owners.Owners["s00b"] = "oa" },
		"budget is used up":                  func(h *harness) { h.g.budget.tokens = 5.9 },
		"other upstream's owner is not live": func(h *harness) { h.members.Hosts = []core.HostID{"h0", "oa"} },
		"straggler reported by another host": func(h *harness) {
			h.deliverMessage("ob", loadReport(&peerpb.Load{Upstream: "s00b", Limit: 2, WaitUs: 900_000}))
			h.sentTo[h.g.sequence] = "ob"
		},
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, hedgeAfter20ms)
			h.ask(1, h.query("h0", "slow"))
			subs := h.takeSent()
			arrange(h)
			h.reportSlow(subs...)
			h.advance(200 * time.Millisecond)
			if hedges := h.takeSent(); subs[0].GetUpstream() != "s00a" || len(hedges) != 0 {
				t.Errorf("hedges %v of %v", hedges, subs)
			}
		})
	}
}

func loadReport(loads ...*peerpb.Load) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_LoadReport{LoadReport: &peerpb.LoadReport{Loads: loads}}}
}

// Hedges and retries stay within the budget however many sub-queries fail or
// straggle. Denied retries are sent once tokens are available.
func TestExtraLoadStaysWithinBudget(t *testing.T) {
	h := newHarness(t, 4, func(c *Config) { c.Hedger = fixedHedger{delay: 5 * time.Millisecond} })
	for call := range core.CallID(500) {
		h.ask(call, h.query("h0", string(rune('a'+call%26))+time.Duration(call).String()))
		for _, sub := range h.takeSent() {
			if sub.GetAttempt()%3 == 0 {
				h.deliverReply(failureReply(sub, core.UpstreamFailed, core.HasRun))
			}
		}
		h.advance(10 * time.Millisecond)
		h.deliverSuccess(h.takeSent()...)
	}
	s := h.g.Stats()
	needed := float64(s.Attempts - s.Extra)
	allowed := h.g.config.ExtraBurst + h.g.config.ExtraFraction*needed
	if float64(s.Extra) > allowed || s.Extra == 0 || s.ExtraDenied == 0 {
		t.Errorf("extra %d, allowed %.0f, denied %d", s.Extra, allowed, s.ExtraDenied)
	}
}

func TestReplicaUnavailable(t *testing.T) {
	t.Run("taken out", func(t *testing.T) {
		h := newHarness(t, 2, nil)
		h.topology.Domains["da"] = core.Leaving
		h.topology.Upstreams["s01b"].State = core.Out
		h.ask(1, h.query("h0", "plate"))
		subs := h.takeSent()
		if len(subs) != 1 || subs[0].GetUpstream() != "s00b" {
			t.Fatalf("sub-queries %v", subs)
		}
		h.deliverSuccess(subs...)
		reply := h.expectAnswer(1, core.OK, core.HasRun)
		if kind := core.Kind(reply.GetShards()[1].GetKind()); kind != core.TakenOut || !reply.GetReachMet() {
			t.Errorf("account %v, reach %v", kind, reply.GetReachMet())
		}
	})
	t.Run("owner missing for a while", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		owners := h.owners.Owners
		h.owners.Owners = nil
		h.ask(1, h.query("h0", "plate"))
		h.advance(200 * time.Millisecond)
		h.owners.Owners = owners
		h.advance(100 * time.Millisecond)
		h.deliverSuccess(h.takeSent()...)
		h.expectAnswer(1, core.OK, core.HasRun)
	})
	t.Run("owner always missing", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		h.owners.Owners = nil
		h.ask(1, h.query("h0", "plate"))
		h.advance(time.Second)
		if reply := h.expectAnswer(1, core.NoOwner, core.NotRun); reply.GetRetryAfterUs() == 0 {
			t.Error("no retry delay in the answer")
		}
	})
	t.Run("refused by all", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		h.ask(1, h.query("h0", "plate"))
		for range 2 {
			reply := failureReply(h.takeSent()[0], core.DeadlineUnreachable, core.NotRun)
			reply.RetryAfterUs = 90_000
			h.deliverReply(reply)
		}
		if reply := h.expectAnswer(1, core.DeadlineUnreachable, core.NotRun); reply.GetRetryAfterUs() != 90_000 {
			t.Errorf("retry delay %d us, want 90000", reply.GetRetryAfterUs())
		}
	})
	t.Run("refused after an attempt that ran", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		h.ask(1, h.query("h0", "plate"))
		h.deliverReply(failureReply(h.takeSent()[0], core.UpstreamFailed, core.HasRun))
		h.deliverReply(failureReply(h.takeSent()[0], core.Overloaded, core.NotRun))
		h.advance(time.Second)
		h.expectAnswer(1, core.UpstreamFailed, core.HasRun)
	})
	t.Run("owner no longer live", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		h.ask(1, h.query("h0", "plate"))
		first := h.takeSent()[0]
		lost := h.sentTo[first.GetAttempt()]
		h.members.Hosts = excluding(h.members.Hosts, lost)
		h.advance(50 * time.Millisecond)
		retry := h.takeSent()
		if len(retry) != 1 || h.sentTo[retry[0].GetAttempt()] == lost {
			t.Fatalf("retry %v", retry)
		}
		h.deliverSuccess(retry...)
		h.expectAnswer(1, core.OK, core.HasRun)
	})
}

func excluding(hosts []core.HostID, gone core.HostID) []core.HostID {
	var kept []core.HostID
	for _, h := range hosts {
		if h != gone {
			kept = append(kept, h)
		}
	}
	return kept
}
