package gateway

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// TestMain fixes rapid's seed, so that each run gives the same verdict; the
// command line may set another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// naiveSearch is the differential model: one process that holds the whole
// index at one version and looks at each key of the ranges.
func naiveSearch(version uint64, ranges []*peerpb.KeyRange, limit uint32) []string {
	var items []*peerpb.Item
	for key := range uint64(400) {
		covers := func(r *peerpb.KeyRange) bool { return r.GetFrom() <= key && key < r.GetTo() }
		if key%5 == 0 && slices.ContainsFunc(ranges, covers) {
			items = append(items, indexItem(version, key))
		}
	}
	slices.SortFunc(items, compareItems)
	var found []string
	for _, item := range items {
		if limit == 0 || len(found) < int(limit) {
			found = append(found, string(item.GetValue()))
		}
	}
	return found
}

// indexed is the item of a key, different at each version; scores repeat.
func indexItem(version, key uint64) *peerpb.Item {
	return &peerpb.Item{
		Key:   key,
		Score: float64((key*7 + version) % 11),
		Value: fmt.Appendf(nil, "%d at %d", key, version),
	}
}

// search plays an upstream that holds a version and covers what it is given.
func searchReply(sub *peerpb.SubQuery, version uint64, covered []*peerpb.KeyRange) *peerpb.SubReply {
	reply := &peerpb.SubReply{
		Attempt: sub.GetAttempt(), Upstream: sub.GetUpstream(), IndexVersion: version,
		Ran: int32(core.HasRun), ServiceUs: 3000, Covered: covered,
	}
	for _, r := range covered {
		for key := r.GetFrom(); key < r.GetTo(); key++ {
			if key%5 == 0 {
				reply.Items = append(reply.Items, indexItem(version, key))
			}
		}
	}
	return reply
}

// world is a rig whose owners misbehave as rapid draws it.
type simulation struct {
	*harness
	open      []*peerpb.SubQuery
	delivered []core.PeerMessage
	calls     []*trackedCall
	// sent holds all sub-queries, refused those known to have been turned down.
	sent    []*peerpb.SubQuery
	refused map[uint64]bool
}

// asked is a call as its caller knows it.
type trackedCall struct {
	id       core.CallID
	query    *peerpb.Query
	home     core.HostID
	deadline time.Time
	// sequence is the gateway's when the call came.
	sequenceBefore uint64
	gone           bool
	checked        bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		harness: newHarness(t, 4, func(c *Config) {
			c.Hedger = fixedHedger{delay: rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond}).Draw(t, "hedge")}
		}),
		refused: map[uint64]bool{},
	}
	s.topology = tiledTopology(4, 6, 7)
	s.topology.Scopes["all"].Reach = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "reach")
	s.topology.Scopes["all"].RefuseBelow = rapid.Bool().Draw(t, "refuse below")
	s.step(core.TopologyChanged{Topology: s.topology})
	return s
}

func (s *simulation) drawRequest(t *rapid.T) {
	c := &trackedCall{id: core.CallID(len(s.calls) + 1), sequenceBefore: s.g.sequence}
	c.home = rapid.SampledFrom([]core.HostID{"h0", "h0", "h0", "h1"}).Draw(t, "home")
	limit := rapid.SampledFrom([]uint32{0, 3}).Draw(t, "limit")
	c.query = s.query(c.home, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "question"), limit)
	c.query.RemainingUs = rapid.SampledFrom([]int64{1, 20_000, 300_000}).Draw(t, "remaining")
	c.deadline = s.now.Add(microseconds(c.query.GetRemainingUs()))
	s.calls = append(s.calls, c)
	s.ask(c.id, c.query)
}

// pull moves what was sent to the open sub-queries.
func (s *simulation) collectSent() {
	subs := s.takeSent()
	s.open = append(s.open, subs...)
	s.sent = append(s.sent, subs...)
}

// replyOnce ends an open sub-query in a drawn way; some replies are lost.
func (s *simulation) drawReply(t *rapid.T) {
	s.collectSent()
	if len(s.open) == 0 {
		t.Skip("nothing is open")
	}
	at := rapid.IntRange(0, len(s.open)-1).Draw(t, "which")
	sub := s.open[at]
	s.open = slices.Delete(s.open, at, at+1)
	kind := rapid.SampledFrom([]core.Kind{
		core.OK, core.OK, core.OK, core.OK, core.UpstreamLost, core.UpstreamFailed, core.UpstreamShed,
		core.Overloaded, core.SnapshotGone, core.DeadlineExceeded, core.NoOwner, core.Quarantined,
	}).Draw(t, "kind")
	reply := failureReply(sub, kind, core.AnswerTo(kind).Ran)
	if kind == core.OK {
		reply = s.drawSearchReply(t, sub)
	}
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	s.refused[sub.GetAttempt()] = core.Ran(reply.GetRan()) == core.NotRun
	s.deliver(core.PeerMessage{
		From:    s.sentTo[sub.GetAttempt()],
		Message: &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: reply}},
	})
}

// drawSearch serves a sub-query in full, in part, at another version or for
// another shard.
func (s *simulation) drawSearchReply(t *rapid.T, sub *peerpb.SubQuery) *peerpb.SubReply {
	var shard uint64
	if _, err := fmt.Sscanf(sub.GetService(), "s%d", &shard); err != nil {
		t.Fatal(err)
	}
	version := sub.GetIndexVersion()
	covered := []*peerpb.KeyRange{{From: 100 * shard, To: 100*shard + 100}}
	switch rapid.IntRange(0, 7).Draw(t, "service") {
	case 0:
		covered = []*peerpb.KeyRange{{From: 100 * shard, To: 100*shard + 42}}
	case 1:
		version = 13 - version
	case 2:
		covered[0].From = (covered[0].From + 100) % 400
		covered[0].To = covered[0].From + 100
	}
	return searchReply(sub, version, covered)
}

func (s *simulation) deliver(m core.PeerMessage) {
	s.delivered = append(s.delivered, m)
	s.step(m)
}

func (s *simulation) drawnActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask":   s.drawRequest,
		"reply": s.drawReply, "reply 2": s.drawReply, "reply 3": s.drawReply, "reply 4": s.drawReply,
		"duplicate": func(t *rapid.T) {
			if len(s.delivered) == 0 {
				t.Skip("nothing was delivered")
			}
			m := rapid.SampledFrom(s.delivered).Draw(t, "message")
			m.From = rapid.SampledFrom([]core.HostID{m.From, "oa", "h1"}).Draw(t, "from")
			s.step(m)
		},
		"straggle": func(t *rapid.T) {
			s.collectSent()
			if len(s.open) > 0 {
				s.reportSlow(rapid.SampledFrom(s.open).Draw(t, "which"))
			}
		},
		"wait": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
		},
		"lose a host": func(t *rapid.T) {
			host := rapid.SampledFrom([]core.HostID{"oa", "ob", "h1"}).Draw(t, "host")
			s.step(core.PeerLost{Host: host})
		},
		"caller leaves": func(t *rapid.T) {
			if len(s.calls) == 0 {
				t.Skip("nobody asked")
			}
			c := rapid.SampledFrom(s.calls).Draw(t, "call")
			c.gone = true
			s.step(core.CallerGone{Call: c.id})
		},
		"take a domain out or back": func(t *rapid.T) {
			s.topology.Domains["da"] = rapid.SampledFrom([]core.DomainState{core.In, core.Out}).Draw(t, "state")
		},
		"": func(t *rapid.T) { s.checkAnswers(t) },
	}
}

// check holds at all times: no call has two answers, none is overdue, and what
// an answer claims is true.
func (s *simulation) checkAnswers(t *rapid.T) {
	s.collectSent()
	for _, c := range s.calls {
		answers := s.answers[c.id]
		overdue := len(answers) == 0 && !c.gone && !s.now.Before(c.deadline)
		if len(answers) > 1 || overdue {
			t.Fatalf("call %d: %d answers, overdue %v", c.id, len(answers), overdue)
		}
		if len(answers) == 1 && !c.checked {
			c.checked = true
			s.checkReply(t, c, answers[0])
		}
	}
}

func (s *simulation) checkReply(t *rapid.T, c *trackedCall, reply *peerpb.QueryReply) {
	if reply.GetCall() != uint64(c.id) {
		t.Fatalf("call %d answered as %d", c.id, reply.GetCall())
	}
	if core.Ran(reply.GetRan()) == core.NotRun && (c.home != "h0" || s.mayHaveRun(c, reply)) {
		t.Fatalf("call %d says not run: %v", c.id, reply)
	}
	if core.Kind(reply.GetKind()) != core.OK {
		return
	}
	var found []string
	for _, item := range reply.GetItems() {
		found = append(found, string(item.GetValue()))
	}
	want := naiveSearch(reply.GetIndexVersion(), reply.GetCovered(), c.query.GetLimit())
	if !slices.Equal(found, want) {
		t.Fatalf("call %d covers %v at %d with %v; the naive search finds %v",
			c.id, reply.GetCovered(), reply.GetIndexVersion(), found, want)
	}
}

// mayHaveRun looks for a sub-query of the call that was not turned down.
func (s *simulation) mayHaveRun(c *trackedCall, reply *peerpb.QueryReply) bool {
	return slices.ContainsFunc(s.sent, func(sub *peerpb.SubQuery) bool {
		return sub.GetAttempt() > c.sequenceBefore && !s.refused[sub.GetAttempt()] &&
			sub.GetIndexVersion() == reply.GetIndexVersion() &&
			sub.GetLimit() == c.query.GetLimit() && string(sub.GetQuestion()) == string(c.query.GetQuestion())
	})
}

// Whatever replies are reordered, duplicated, crossed, wrong or lost, each call
// gets one answer in time, and each answer is what a naive search over the
// covered ranges of its one version finds.
func TestAnswersMatchNaiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.drawnActions())
		s.advance(time.Second)
		s.checkAnswers(t)
		if !s.g.Idle() || len(s.g.attempts) != 0 || len(s.g.waiters) != 0 || len(s.g.flights) != 0 {
			t.Fatal("something is left after the last deadline")
		}
	})
}

// Normalized spans cover the same keys as the spans they come from, or these
// overlap; holds, within, clip and share agree with counting keys.
func TestSpansAgreeWithSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) ([]span, map[uint64]int) {
			set := map[uint64]int{}
			var spans []span
			for range rapid.IntRange(0, 4).Draw(t, label) {
				first := rapid.Uint64Range(0, 30).Draw(t, "first")
				s := span{first, first + rapid.Uint64Range(0, 6).Draw(t, "more")}
				spans = append(spans, s)
				for key := s.first; key <= s.last; key++ {
					set[key]++
				}
			}
			return spans, set
		}
		spans, set := draw("spans")
		inner, innerSet := draw("inner")
		normal, ok := normalize(slices.Clone(spans))
		overlap := slices.ContainsFunc(slices.Collect(maps.Values(set)), func(n int) bool { return n > 1 })
		if ok == overlap {
			t.Fatalf("%v: accepted %v", spans, ok)
		}
		if !ok {
			return
		}
		clipped := 0
		for key := range uint64(40) {
			if containsKey(normal, key) != (set[key] == 1) {
				t.Fatalf("%v: key %d", normal, key)
			}
			if set[key] == 1 && key >= 10 && key <= 20 {
				clipped++
			}
		}
		if countKeys(normal) != float64(len(set)) || countKeys(clip(normal, span{10, 20})) != float64(clipped) {
			t.Fatalf("%v: counted wrong", normal)
		}
		inside := true
		for key := range innerSet {
			inside = inside && set[key] == 1
		}
		if inner, ok := normalize(inner); ok && within(inner, normal) != inside {
			t.Fatalf("%v within %v: not %v", inner, normal, inside)
		}
	})
}

func TestFullKeySpace(t *testing.T) {
	whole, _ := spanOf(0, 0)
	half, _ := spanOf(1<<63, 0)
	if coveredFraction([]span{whole}, whole) != 1 || coveredFraction([]span{half}, whole) != 0.5 || wireRanges([]span{half})[0].GetTo() != 0 {
		t.Error("the end of the key space is counted wrong")
	}
	if _, ok := spanOf(5, 5); ok {
		t.Error("an empty range was taken")
	}
}
