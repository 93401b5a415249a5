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

// TestMain fixes rapid's seed to make runs reproducible. Flags on the command
// line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// naiveSearch is the reference model: a single process that holds the whole
// index at one version and checks each key against the ranges.
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

// indexItem returns the item of a key, which differs between versions. Several
// keys have the same score.
func indexItem(version, key uint64) *peerpb.Item {
	return &peerpb.Item{
		Key:   key,
		Score: float64((key*7 + version) % 11),
		Value: fmt.Appendf(nil, "%d at %d", key, version),
	}
}

// searchReply returns the reply of an upstream that holds the given version and
// covers the given ranges.
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

// simulation is a harness whose owners fail in ways drawn by rapid.
type simulation struct {
	*harness
	open      []*peerpb.SubQuery
	delivered []core.PeerMessage
	calls     []*trackedCall
	// sent holds all sub-queries; refused marks those whose reply had Ran set to
	// NotRun.
	sent    []*peerpb.SubQuery
	refused map[uint64]bool
}

// trackedCall is a request from the point of view of its caller.
type trackedCall struct {
	id       core.CallID
	query    *peerpb.Query
	home     core.HostID
	deadline time.Time
	// sequenceBefore is the gateway's sequence number before the request.
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

// collectSent adds newly sent sub-queries to sent and open.
func (s *simulation) collectSent() {
	subs := s.takeSent()
	s.open = append(s.open, subs...)
	s.sent = append(s.sent, subs...)
}

// drawReply replies to a drawn open sub-query with a drawn outcome. Some replies
// are lost.
func (s *simulation) drawReply(t *rapid.T) {
	s.collectSent()
	if len(s.open) == 0 {
		t.Skip("no open sub-query")
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

// drawSearchReply returns a successful reply that covers the whole shard, a part
// of it, another version or another shard.
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
				t.Skip("no message was delivered")
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
				t.Skip("no call was made")
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

// checkAnswers checks the invariants: no call has more than one answer or is
// unanswered after its deadline, and the content of each answer is correct.
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
		t.Fatalf("call %d is answered as not run but may have run: %v", c.id, reply)
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

// mayHaveRun reports whether a sub-query of the call was sent and not refused.
func (s *simulation) mayHaveRun(c *trackedCall, reply *peerpb.QueryReply) bool {
	return slices.ContainsFunc(s.sent, func(sub *peerpb.SubQuery) bool {
		return sub.GetAttempt() > c.sequenceBefore && !s.refused[sub.GetAttempt()] &&
			sub.GetIndexVersion() == reply.GetIndexVersion() &&
			sub.GetLimit() == c.query.GetLimit() && string(sub.GetQuestion()) == string(c.query.GetQuestion())
	})
}

// With replies reordered, duplicated, misdirected, wrong or lost, each call gets
// exactly one answer by its deadline, and the items of the answer are those that
// a naive search over its covered ranges finds at its index version.
func TestAnswersMatchNaiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.drawnActions())
		s.advance(time.Second)
		s.checkAnswers(t)
		if !s.g.Idle() || len(s.g.attempts) != 0 || len(s.g.waiters) != 0 || len(s.g.flights) != 0 {
			t.Fatal("calls, attempts, waiters or flights are left after the last deadline")
		}
	})
}

// normalize accepts exactly the spans that do not overlap and preserves their
// keys. containsKey, within, clip and countKeys agree with sets of single keys.
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
			t.Fatalf("normalize of %v: ok is %v", spans, ok)
		}
		if !ok {
			return
		}
		clipped := 0
		for key := range uint64(40) {
			if containsKey(normal, key) != (set[key] == 1) {
				t.Fatalf("%v: containsKey is wrong for key %d", normal, key)
			}
			if set[key] == 1 && key >= 10 && key <= 20 {
				clipped++
			}
		}
		if countKeys(normal) != float64(len(set)) || countKeys(clip(normal, span{10, 20})) != float64(clipped) {
			t.Fatalf("wrong number of keys in %v", normal)
		}
		inside := true
		for key := range innerSet {
			inside = inside && set[key] == 1
		}
		if inner, ok := normalize(inner); ok && within(inner, normal) != inside {
			t.Fatalf("%v within %v: want %v", inner, normal, inside)
		}
	})
}

func TestFullKeySpace(t *testing.T) {
	whole, _ := spanOf(0, 0)
	half, _ := spanOf(1<<63, 0)
	if coveredFraction([]span{whole}, whole) != 1 || coveredFraction([]span{half}, whole) != 0.5 || wireRanges([]span{half})[0].GetTo() != 0 {
		t.Error("wrong result for a range that ends at the end of the key space")
	}
	if _, ok := spanOf(5, 5); ok {
		t.Error("accepted an empty range")
	}
}
