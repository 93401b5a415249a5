package scatter_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// newRelayRig returns a rig with two other hosts in the domain d2, where four of
// the eight shards have their only usable upstream.
func newRelayRig(t *testing.T) *rig {
	r := newRig(t)
	r.options.Relay = true
	r.engine = scatter.New(r.options)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{
		{ID: "host-1", Domain: "d1", Cores: 1}, {ID: "host-2", Domain: "d2", Cores: 1}, {ID: "host-3", Domain: "d2", Cores: 1},
	}})
	r.configure(1, 8)
	r.drain("shard00-a", "shard01-a", "shard02-a", "shard03-a")
	r.warmUp(gatherPath, 5*ms)
	r.serve = nil
	r.sends = nil
	return r
}

// drain marks upstreams as draining.
func (r *rig) drain(ids ...core.UpstreamID) {
	for _, id := range ids {
		service, _, _ := strings.Cut(string(id), "-")
		r.step(scatter.UpstreamSeen{Upstream: scatter.Upstream{
			ID: id, Service: core.ServiceID(service), Domain: "d1", Address: "host-of-" + string(id) + ":1", Slots: 2, Draining: true,
		}})
	}
}

// sendsByRelay counts the sends by relay; direct ones are counted under "".
func sendsByRelay(sends []scatter.Send) map[core.HostID]int {
	counts := map[core.HostID]int{}
	for _, s := range sends {
		counts[s.Via.ID]++
	}
	return counts
}

func TestPartsForAnotherDomainShareOneRelay(t *testing.T) {
	r := newRelayRig(t)
	r.ask(gatherPath)
	counts := sendsByRelay(r.sends)
	if counts[""] != 4 || counts["host-2"]+counts["host-3"] != 4 || len(counts) != 2 {
		t.Fatalf("sends by relay: %v, want four parts through one host", counts)
	}
	for _, s := range r.sends {
		if s.Via.ID == "" {
			continue
		}
		if s.Target.Domain != "d2" || s.Top != 10 {
			t.Errorf("relayed to %s in %s, top %d", s.Target.ID, s.Target.Domain, s.Top)
		}
	}
	if out := r.engine.Stats().Relayed; out == 0 {
		t.Error("relayed parts are not counted")
	}
}

// TestSinglePartIsSentDirectly checks that no relay is used for a single part, since
// a request to a relay costs as much as a direct send.
func TestSinglePartIsSentDirectly(t *testing.T) {
	r := newRelayRig(t)
	r.configure(2, 1)
	r.drain("shard00-a")
	r.ask(gatherPath)
	if counts := sendsByRelay(r.sends); counts[""] != 1 || len(counts) != 1 {
		t.Errorf("sends by relay: %v, want one direct send", counts)
	}
}

// TestUnrelayedPartsAreSentDirectly checks that parts that a stopping relay has not
// sent are sent to their upstreams directly, without use of the extra budget.
func TestUnrelayedPartsAreSentDirectly(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return ms, scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "declined"}
	}
	call := r.ask(gatherPath)
	r.run(50 * ms)
	arrivedAt := r.now.Add(-50 * ms)
	if a := r.want(call, scatter.Gathered); a.Missing != 0 || r.answered[call].Sub(arrivedAt) > 7*ms {
		t.Errorf("%d parts are missing after %v", a.Missing, r.answered[call].Sub(arrivedAt))
	}
	if got := r.engine.Stats().ExtraDenied; got != 0 {
		t.Errorf("%d parts were denied the budget of extra sends", got)
	}
	first := r.sends[:8]
	r.sends = nil
	r.ask(gatherPath)
	second := sendsByRelay(r.sends)
	for host := range sendsByRelay(first) {
		if host != "" && second[host] > 0 {
			t.Errorf("%s is used as a relay again at once", host)
		}
	}
}

// TestRelayFaultDoesNotSuspectUpstreams checks that a relay that crashes with parts
// in flight is backed off, and that its fault does not count against the upstreams
// of these parts.
func TestRelayFaultDoesNotSuspectUpstreams(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return ms, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true, Cause: "the stream broke"}
	}
	for range 4 {
		r.ask(gatherPath)
	}
	r.run(20 * ms)
	backedOff := 0
	for _, n := range r.notes {
		switch n.Decision {
		case scatter.DecisionUpstreamSuspected:
			t.Errorf("upstream %s is suspected", n.Upstream)
		case scatter.DecisionHostBackoff:
			backedOff++
		}
	}
	if backedOff == 0 {
		t.Error("no relay is backed off")
	}
	r.relayed = nil
	r.run(3 * time.Second)
	r.sends = nil
	r.ask(gatherPath)
	if counts := sendsByRelay(r.sends); counts[""] != 4 {
		t.Errorf("sends by relay after the backoff: %v, want four direct ones", counts)
	}
}

// TestSilentRelayIsBackedOff checks that after a relay has frozen the next calls use
// another relay, and direct sends once that one is silent too.
func TestSilentRelayIsBackedOff(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return time.Second, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true, Cause: "silent"}
	}
	used := map[core.HostID]bool{}
	for range 3 {
		r.sends = nil
		r.ask(gatherPath)
		for host := range sendsByRelay(r.sends) {
			used[host] = true
		}
		r.run(50 * ms)
	}
	if len(used) != 3 {
		t.Errorf("relays used: %v, want both hosts and then direct sends", used)
	}
	call := r.ask(gatherPath)
	r.run(20 * ms)
	if a := r.want(call, scatter.Gathered); a.Missing != 0 {
		t.Errorf("%d parts are missing while the relays are backed off", a.Missing)
	}
}

// TestRelayedLatencyExcludesTheRelay checks that the latency of a relayed attempt
// does not include the way to the relay and back, so that hedges start by the
// latency of the upstreams alone.
func TestRelayedLatencyExcludesTheRelay(t *testing.T) {
	r := newRelayRig(t)
	r.drain("shard04-a", "shard05-a", "shard06-a")
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return 9 * ms, scatter.AttemptEnded{Outcome: scatter.Succeeded, Took: 5 * ms}
	}
	for range 100 {
		r.ask(gatherPath)
		r.run(20 * ms)
	}
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 30 * ms, scatter.Succeeded }
	before := r.engine.Stats().Hedges
	r.ask(gatherPath)
	r.run(12 * ms)
	if got := r.engine.Stats().Hedges - before; got == 0 {
		t.Error("a part that takes twice the usual latency is not hedged")
	}
}

// TestPrunedPartsMergeLikeWholeParts checks that parts which relays have pruned
// merge to the same answer as the whole parts, in any order, with some parts lost
// and some also returned by a hedge.
func TestPrunedPartsMergeLikeWholeParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		top := rapid.IntRange(0, 6).Draw(t, "top")
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		record := rapid.SliceOfN(rapid.ByteRange(0, 3), scatter.RecordSize, scatter.RecordSize)
		body := func(name string) []byte {
			return slices.Concat(rapid.SliceOfN(record, 0, 8).Draw(t, name)...)
		}
		keepers := []*scatter.TopKeeper{scatter.NewTopKeeper(top), scatter.NewTopKeeper(top)}
		whole, used := make([][]byte, shards), make([][]byte, shards)
		for _, shard := range rapid.Permutation(indices(shards)).Draw(t, "order") {
			if hedged := rapid.Bool().Draw(t, "hedged first"); hedged {
				whole[shard] = body("twin")
				used[shard] = whole[shard]
			}
			if lost := rapid.Bool().Draw(t, "lost"); lost {
				continue
			}
			// A relayed part replaces the one from a hedge: see Engine.handleReply.
			whole[shard] = body("part")
			used[shard] = keepers[rapid.IntRange(0, 1).Draw(t, "relay")].Add(whole[shard])
		}
		if got, want := scatter.TopRecords(used, top), scatter.TopRecords(whole, top); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestRelayedPartReplacesItsHedge checks that a relayed part is used in the answer
// even if its hedge was answered first, since the relay has pruned other parts by
// the records of the relayed one.
func TestRelayedPartReplacesItsHedge(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		if s.Target.Service == "shard00" {
			return 60 * ms, scatter.AttemptEnded{}
		}
		return 5 * ms, scatter.AttemptEnded{}
	}
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.Service == "shard07" {
			return 85 * ms, scatter.Succeeded // keeps the answer open
		}
		return 5 * ms, scatter.Succeeded
	}
	call := r.ask(gatherPath)
	r.step(scatter.UpstreamSeen{Upstream: pair("shard00")[0]})
	r.run(200 * ms)
	if r.sentTo("shard00-a") == 0 {
		t.Fatal("nothing was hedged")
	}
	if answer := r.want(call, scatter.Gathered); !slices.Contains(answer.Parts, any("shard00-b")) {
		t.Errorf("the answer consists of %v", answer.Parts)
	}
}

// TestSilentHostsRelayNothing checks that parts are relayed by the other host of a
// failure domain while one is reported as silent.
func TestSilentHostsRelayNothing(t *testing.T) {
	for silent, want := range map[core.HostID]core.HostID{"host-2": "host-3", "host-3": "host-2"} {
		r := newRelayRig(t)
		r.run(time.Second)
		r.step(scatter.HostsSilent{By: "reader", Hosts: []core.HostID{silent}})
		r.ask(gatherPath)
		if counts := sendsByRelay(r.sends); counts[silent] != 0 || counts[want] == 0 {
			t.Errorf("%s is silent: sends by relay: %v", silent, counts)
		}
	}
}
