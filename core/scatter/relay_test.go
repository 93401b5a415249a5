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

// newRelayRig returns a rig whose host has two others in the domain d2, and
// four of eight shards only there.
func newRelayRig(t *testing.T) *rig {
	r := newRig(t)
	r.options.Relay = true
	r.engine = scatter.New(r.options)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{
		{ID: "host-1", Domain: "d1", Cores: 1}, {ID: "host-2", Domain: "d2", Cores: 1}, {ID: "host-3", Domain: "d2", Cores: 1},
	}})
	r.configure(1, 8)
	r.drain("shard00-a", "shard01-a", "shard02-a", "shard03-a")
	r.warm(gatherPath, 5*ms)
	r.serve = nil
	r.sends = nil
	return r
}

// drain lets upstreams take no new work.
func (r *rig) drain(ids ...core.UpstreamID) {
	for _, id := range ids {
		service, _, _ := strings.Cut(string(id), "-")
		r.step(scatter.UpstreamSeen{Upstream: scatter.Upstream{
			ID: id, Service: core.ServiceID(service), Domain: "d1", Address: "10.0.0.1:1", Slots: 2, Draining: true,
		}})
	}
}

// relaysOf returns through which hosts the sends went, "" for direct ones.
func relaysOf(sends []scatter.Send) map[core.HostID]int {
	counts := map[core.HostID]int{}
	for _, s := range sends {
		counts[s.Via.ID]++
	}
	return counts
}

func TestPartsOfAnotherDomainTravelTogether(t *testing.T) {
	r := newRelayRig(t)
	r.ask(gatherPath)
	counts := relaysOf(r.sends)
	if counts[""] != 4 || counts["host-2"]+counts["host-3"] != 4 || len(counts) != 2 {
		t.Fatalf("went through %v, want four parts through one host", counts)
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

// TestOnePartAloneGoesDirectly: a call to a relay costs as much as a part.
func TestOnePartAloneGoesDirectly(t *testing.T) {
	r := newRelayRig(t)
	r.configure(2, 1)
	r.drain("shard00-a")
	r.ask(gatherPath)
	if counts := relaysOf(r.sends); counts[""] != 1 || len(counts) != 1 {
		t.Errorf("went through %v, want one part directly", counts)
	}
}

// TestPartsNotRelayedGoDirectly replays a relay that stops: nothing was sent,
// so each part goes to its upstream directly and costs no extra send.
func TestPartsNotRelayedGoDirectly(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return ms, scatter.AttemptEnded{Outcome: scatter.NotRelayed, RelayFault: true, Cause: "declined"}
	}
	call := r.ask(gatherPath)
	r.run(50 * ms)
	asked := r.now.Add(-50 * ms)
	if a := r.want(call, scatter.Gathered); a.Missing != 0 || r.answered[call].Sub(asked) > 7*ms {
		t.Errorf("%d parts are missing after %v", a.Missing, r.answered[call].Sub(asked))
	}
	if got := r.engine.Stats().ExtraDenied; got != 0 {
		t.Errorf("%d parts were denied the budget of extra sends", got)
	}
	first := r.sends[:8]
	r.sends = nil
	r.ask(gatherPath)
	second := relaysOf(r.sends)
	for host := range relaysOf(first) {
		if host != "" && second[host] > 0 {
			t.Errorf("%s is asked again at once", host)
		}
	}
}

// TestBrokenRelayBlamesNoUpstream replays a relay that dies with parts under
// way: they may have run, and their upstreams are as good as before.
func TestBrokenRelayBlamesNoUpstream(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return ms, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true, Cause: "the stream broke"}
	}
	for range 4 {
		r.ask(gatherPath)
	}
	r.run(20 * ms)
	rested := 0
	for _, n := range r.notes {
		switch n.Decision {
		case scatter.DecisionUpstreamSuspected:
			t.Errorf("upstream %s is suspected", n.Upstream)
		case scatter.DecisionHostBackoff:
			rested++
		}
	}
	if rested == 0 {
		t.Error("no relay rests")
	}
	r.relayed = nil
	r.run(3 * time.Second)
	r.sends = nil
	r.ask(gatherPath)
	if counts := relaysOf(r.sends); counts[""] != 4 {
		t.Errorf("went through %v: a relay that is back is not used", counts)
	}
}

// TestSilentRelayRests replays a relay that is frozen: the next calls go
// through another host, and then directly.
func TestSilentRelayRests(t *testing.T) {
	r := newRelayRig(t)
	r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
		return time.Second, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true, Cause: "silent"}
	}
	used := map[core.HostID]bool{}
	for range 3 {
		r.sends = nil
		r.ask(gatherPath)
		for host := range relaysOf(r.sends) {
			used[host] = true
		}
		r.run(50 * ms)
	}
	if len(used) != 3 {
		t.Errorf("parts went through %v, want both hosts and then direct sends", used)
	}
	call := r.ask(gatherPath)
	r.run(20 * ms)
	if a := r.want(call, scatter.Gathered); a.Missing != 0 {
		t.Errorf("%d parts are missing while the relays rest", a.Missing)
	}
}

// TestRelayTimesAreTheUpstreams: the way to a relay and back does not make its
// upstreams slow, and hedges go by what upstreams take.
func TestRelayTimesAreTheUpstreams(t *testing.T) {
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
		t.Error("a part that takes twice what upstreams take is not hedged")
	}
}

// TestPrunedPartsMergeAsWholeOnes puts the parts of a gather through relays that
// leave out what cannot be in the answer, in any order, with parts that are lost
// on the way and parts that a hedge brought as well: the answer is that of the
// whole parts whose signatures it bears.
func TestPrunedPartsMergeAsWholeOnes(t *testing.T) {
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
			// A part of a relay replaces its twin: see Engine.replied.
			whole[shard] = body("part")
			used[shard] = keepers[rapid.IntRange(0, 1).Draw(t, "relay")].Enter(whole[shard])
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

// TestPartOfARelayReplacesItsTwin: a hedge was answered first, then the relay
// returned the part that it compared others with.
func TestPartOfARelayReplacesItsTwin(t *testing.T) {
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
		t.Errorf("the answer is made of %v", answer.Parts)
	}
}

// TestSilentHostsRelayNothing: parts go through the other host of a failure
// domain while one is said to be silent.
func TestSilentHostsRelayNothing(t *testing.T) {
	for silent, want := range map[core.HostID]core.HostID{"host-2": "host-3", "host-3": "host-2"} {
		r := newRelayRig(t)
		r.run(time.Second)
		r.step(scatter.HostsSilent{By: "reader", Hosts: []core.HostID{silent}})
		r.ask(gatherPath)
		if counts := relaysOf(r.sends); counts[silent] != 0 || counts[want] == 0 {
			t.Errorf("%s is silent: went through %v", silent, counts)
		}
	}
}
