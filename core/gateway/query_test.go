package gateway

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

func TestQueryIsFannedOutAndMerged(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.ask(1, h.query("h0", "plate"))
	subs := h.takeSent()
	if len(subs) != 3 {
		t.Fatalf("%d sub-queries, want 3", len(subs))
	}
	deadline := h.now.Add(time.Second).UnixMicro()
	for _, sub := range subs {
		if sub.GetIndexVersion() != 7 || sub.GetOrderKey() != deadline || sub.GetRemainingUs() >= 1_000_000 {
			t.Errorf("sub-query %v", sub)
		}
	}
	h.advance(10 * time.Millisecond)
	h.deliverSuccess(subs[2], subs[0], subs[1])
	reply := h.expectAnswer(1, core.OK, core.HasRun)
	if !reply.GetReachMet() || len(reply.GetCovered()) != 1 || reply.GetCovered()[0].GetTo() != 300 {
		t.Errorf("coverage %v, reach %v", reply.GetCovered(), reply.GetReachMet())
	}
	if len(reply.GetItems()) != 3 || reply.GetItems()[0].GetKey() != 200 || reply.GetIndexVersion() != 7 {
		t.Errorf("items %v at %d", reply.GetItems(), reply.GetIndexVersion())
	}
	for id, load := range h.g.loads.upstreams {
		if len(load.sent) != 0 {
			t.Errorf("%s: ended attempts are still counted as sent", id)
		}
	}
	if !h.g.Idle() || len(h.g.attempts) != 0 || len(h.g.byCaller) != 0 {
		t.Error("calls or attempts are left after the answer")
	}
}

func TestInvalidRequestsAreRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		query *peerpb.Query
		kind  core.Kind
	}{
		"unknown scope":    {&peerpb.Query{Scope: "none", RemainingUs: 1}, core.UnknownName},
		"unknown service":  {&peerpb.Query{Service: "none", RemainingUs: 1}, core.UnknownName},
		"neither":          {&peerpb.Query{RemainingUs: 1}, core.InvalidRequest},
		"both":             {&peerpb.Query{Scope: "all", Service: "s00", RemainingUs: 1}, core.InvalidRequest},
		"no time":          {&peerpb.Query{Scope: "all"}, core.InvalidRequest},
		"negative time":    {&peerpb.Query{Scope: "all", RemainingUs: -1}, core.InvalidRequest},
		"endless":          {&peerpb.Query{Scope: "all", RemainingUs: hourUs}, core.InvalidRequest},
		"overflowing time": {&peerpb.Query{Scope: "all", RemainingUs: 1 << 62}, core.InvalidRequest},
		"large question":   {&peerpb.Query{Scope: "all", RemainingUs: 1, Question: make([]byte, 2<<20)}, core.TooLarge},
		"large limit":      {&peerpb.Query{Scope: "all", RemainingUs: 1, Limit: 1 << 20}, core.InvalidRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			h.ask(1, c.query)
			h.expectAnswer(1, c.kind, core.NotRun)
		})
	}
}
