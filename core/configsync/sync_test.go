package configsync

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/resource"
)

// propagationLimit is the longest time until a change must be in force on all
// hosts.
const propagationLimit = 4 * time.Second

func TestInForceEverywhere(t *testing.T) {
	docs := documents(t, 10, 3)
	tests := []struct {
		hosts        int
		loss         float64
		platformGone bool
	}{
		{hosts: 1},
		{hosts: 2, platformGone: true, loss: 0.05},
		{hosts: 8},
		{hosts: 8, platformGone: true},
		{hosts: 8, platformGone: true, loss: 0.2},
		{hosts: 200, platformGone: true},
		{hosts: 200, platformGone: true, loss: 0.2},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(t, tt.hosts, seed)
				f.loss = tt.loss
				f.run(5*time.Second, never)
				for i, doc := range docs {
					f.accept(f.random.IntN(tt.hosts), doc)
					f.platformDown = tt.platformGone
					took := f.run(propagationLimit, f.inForceEverywhere(uint64(i)+1))
					if lag := f.lagging(uint64(i) + 1); lag > 0 {
						t.Errorf("seed %d: %d of %d hosts lack generation %d after %v", seed, lag, tt.hosts, i+1, took)
					}
					f.setPlatform(false)
				}
			}
		})
	}
}

// TestWatchersSpreadChangeOfCrashedHost guards against the loss of a change whose
// accepting host crashes right after storing it: only the watches deliver it.
func TestWatchersSpreadChangeOfCrashedHost(t *testing.T) {
	docs := documents(t, 10, 2)
	f := newFleet(t, 8, 1)
	f.run(5*time.Second, never)
	f.accept(0, docs[0])
	f.run(propagationLimit, f.inForceEverywhere(1))
	f.stop(0)
	f.versions = append(f.versions, docs[1])
	for i := range f.nodes {
		f.notify(i)
	}
	if f.run(propagationLimit, f.inForceEverywhere(2)); f.lagging(2) > 0 {
		t.Errorf("%d hosts lack generation 2", f.lagging(2))
	}
}

func TestStartInAnOutage(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.run(5*time.Second, never)
	for _, doc := range documents(t, 10, 3) {
		f.accept(3, doc)
		f.run(propagationLimit, never)
	}
	f.setPlatform(true)
	for i := range 7 {
		f.stop(i)
		f.start(i)
	}
	if f.run(propagationLimit, f.inForceEverywhere(3)); f.lagging(3) > 0 {
		t.Errorf("%d hosts that started during a platform outage lack the configuration", f.lagging(3))
	}
}

// TestReturnInAnOutage suspends a host during several changes and resumes it
// during a platform outage: it must catch up from its peers.
func TestReturnInAnOutage(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.run(5*time.Second, never)
	docs := documents(t, 10, 4)
	f.accept(3, docs[0])
	f.run(propagationLimit, never)
	f.stop(5)
	for _, doc := range docs[1:] {
		f.accept(3, doc)
		f.run(propagationLimit, never)
	}
	f.setPlatform(true)
	f.resume(5)
	if f.run(propagationLimit, f.inForceEverywhere(4)); f.lagging(4) > 0 {
		t.Error("a host that resumed during a platform outage lacks the newest generation")
	}
}

func TestStartWithoutPeers(t *testing.T) {
	docs := documents(t, 10, 3)
	f := newFleet(t, 1, 1)
	f.versions = docs
	// The host does not watch yet within this time, so it must have read.
	if f.run(DefaultMaxReadDelay+maxLatency, f.inForceEverywhere(3)); f.lagging(3) > 0 {
		t.Error("a host without peers did not read the platform")
	}
	topology, fresh := f.nodes[0].sync.TakeTopology()
	if !fresh || topology.Generation != 3 {
		t.Errorf("got %+v, %v", topology, fresh)
	}
	if _, fresh := f.nodes[0].sync.TakeTopology(); fresh {
		t.Error("the same topology was returned twice")
	}
}

// newSyncWith returns a Sync with a document in force.
func newSyncWith(t *testing.T, doc []byte) *Sync {
	t.Helper()
	members := &corefake.Membership{Host: "a", Hosts: []core.HostID{"a", "b"}}
	s, err := New(Config{Self: "a", Members: members, Random: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		t.Fatal(err)
	}
	var out core.Actions
	s.Step(time.Unix(1, 0), core.PlatformChanged{Key: core.ConfigKey, Value: doc}, &out)
	return s
}

func pushEvent(p *peerpb.ConfigPush) core.Event {
	return core.PeerMessage{From: "b", Message: &peerpb.Message{Body: &peerpb.Message_ConfigPush{ConfigPush: p}}}
}

func wholePush(generation uint64, document []byte) *peerpb.ConfigPush {
	return &peerpb.ConfigPush{Generation: generation, Document: document, Checksum: resource.Checksum(document)}
}

func deltaPush(t *testing.T, doc []byte, since uint64) *peerpb.ConfigPush {
	t.Helper()
	d, err := resource.DecodeDocument(doc)
	if err != nil {
		t.Fatal(err)
	}
	diff, _ := resource.DiffSince(d, since)
	encoded, _ := diff.Encode()
	p := wholePush(d.Generation, encoded)
	p.Since = since
	return p
}

// reordered returns the document with its fields sorted by name, so that the
// generation is not the first field.
func reordered(t *testing.T, doc []byte) []byte {
	t.Helper()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(doc, &fields); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(fields) // sorted by name
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestGenerationOnlyIncreases applies stale, newer and invalid input to a host at
// generation 3.
func TestGenerationOnlyIncreases(t *testing.T) {
	docs := documents(t, 10, 5)
	reply := func(value []byte) core.Event {
		return core.PlatformReply{Operation: core.OperationsConfig | 1, Kind: core.OK, Value: value}
	}
	corrupt := bytes.Replace(docs[3], []byte(`"leaving"`), []byte(`"sleeping"`), 1)
	corrupt = bytes.Replace(corrupt, []byte(`"out"`), []byte(`"gone"`), 1)
	damaged := wholePush(4, docs[3])
	damaged.Checksum++
	wrongDelta := deltaPush(t, docs[3], 3)
	wrongDelta.Document = bytes.Replace(wrongDelta.Document, []byte(`"operator":"ops"`), []byte(`"operator":"oops"`), 1)
	wrongDelta.Checksum = resource.Checksum(wrongDelta.Document)
	badDelta := wholePush(4, []byte("{"))
	badDelta.Since = 3
	tests := []struct {
		name    string
		event   core.Event
		want    uint64
		invalid bool
		asks    bool
	}{
		{"stale watch", core.PlatformChanged{Key: core.ConfigKey, Value: docs[1]}, 3, false, false},
		{"stale watch in another order", core.PlatformChanged{Key: core.ConfigKey, Value: reordered(t, docs[1])}, 3, false, false},
		{"newer watch in another order", core.PlatformChanged{Key: core.ConfigKey, Value: reordered(t, docs[3])}, 4, false, false},
		{"stale read", reply(docs[0]), 3, false, false},
		{"older push", pushEvent(wholePush(2, docs[1])), 3, false, false},
		{"older push with a newer generation in its header", pushEvent(wholePush(9, docs[1])), 3, false, false},
		{"older delta", pushEvent(deltaPush(t, docs[2], 1)), 3, false, false},
		{"another object", core.PlatformChanged{Key: "lease/x", Value: docs[3]}, 3, false, false},
		{"another role's reply", core.PlatformReply{Operation: core.OperationsLease | 1, Value: docs[3]}, 3, false, false},
		{"failed read", core.PlatformReply{Operation: core.OperationsConfig | 1, Kind: core.PlatformUnavailable, Value: docs[3]}, 3, false, false},
		{"newer watch", core.PlatformChanged{Key: core.ConfigKey, Value: docs[3]}, 4, false, false},
		{"newer push", pushEvent(wholePush(5, docs[4])), 5, false, false},
		{"next delta", pushEvent(deltaPush(t, docs[3], 3)), 4, false, false},
		{"longer delta", pushEvent(deltaPush(t, docs[4], 1)), 5, false, false},
		{"delta with a gap", pushEvent(deltaPush(t, docs[4], 4)), 3, false, true},
		{"truncated document", core.PlatformChanged{Key: core.ConfigKey, Value: docs[3][:100]}, 3, true, false},
		{"invalid document", core.PlatformChanged{Key: core.ConfigKey, Value: corrupt}, 3, true, false},
		{"push with a wrong checksum", pushEvent(damaged), 3, true, false},
		{"delta with a changed operator", pushEvent(wrongDelta), 3, true, false},
		{"malformed delta", pushEvent(badDelta), 3, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSyncWith(t, docs[2])
			for range 2 {
				var out core.Actions
				s.Step(time.Unix(1, 0), tt.event, &out)
				if s.Generation() != tt.want {
					t.Fatalf("got generation %d, want %d", s.Generation(), tt.want)
				}
				if invalid, asks := inspect(out); invalid != tt.invalid || asks != tt.asks {
					t.Errorf("got invalid %v and asks %v: %+v", invalid, asks, out.List)
				}
				tt.invalid = false // a repeated rejection is not recorded
			}
		})
	}
}

func inspect(out core.Actions) (invalid, asks bool) {
	for _, action := range out.List {
		switch a := action.(type) {
		case core.Record:
			invalid = invalid || a.Topic == TopicInvalid
		case core.SendPeer:
			asks = asks || a.Message.GetConfigDigest() != nil
		}
	}
	return invalid, asks
}

// TestSlowPeerIsAnsweredOnce sends digests of a peer without a configuration every
// 100 ms. The whole document must not be pushed for each of them, but at most once
// per DigestEvery.
func TestSlowPeerIsAnsweredOnce(t *testing.T) {
	s := newSyncWith(t, documents(t, 10, 1)[0])
	ask := core.PeerMessage{From: "b", Message: &peerpb.Message{Body: &peerpb.Message_ConfigDigest{ConfigDigest: &peerpb.ConfigDigest{}}}}
	pushes := 0
	for i := range 20 {
		var out core.Actions
		s.Step(time.Unix(1, int64(i)*int64(100*time.Millisecond)), ask, &out)
		for _, action := range out.List {
			if send, ok := action.(core.SendPeer); ok && send.Message.GetConfigPush() != nil {
				pushes++
			}
		}
	}
	if pushes < 2 || pushes > 3 {
		t.Errorf("pushed the document %d times in 2 s", pushes)
	}
}

func TestWatchers(t *testing.T) {
	tests := []struct{ hosts, domains, want int }{
		{1, 1, 1}, {2, 2, 2}, {8, 4, 2}, {16, 4, 2}, {17, 4, 4}, {40, 1, 2}, {4600, 14, 14},
	}
	for _, tt := range tests {
		members := &corefake.Membership{Domains: map[core.HostID]core.DomainID{}}
		for i := range tt.hosts {
			host := core.HostID(fmt.Sprint("h", i))
			members.Hosts = append(members.Hosts, host)
			members.Domains[host] = core.DomainID(fmt.Sprint("d", i%tt.domains))
		}
		chosen := watchers(members)
		domains := map[core.DomainID]bool{}
		for _, host := range chosen {
			domains[members.DomainOf(host)] = true
		}
		if len(chosen) != tt.want || len(domains) != min(tt.want, tt.domains) {
			t.Errorf("%+v: got %v in %d domains", tt, chosen, len(domains))
		}
	}
}

// TestGenerationNeverDecreasesUnderFaults combines, in any order, changes,
// restarts, suspended hosts, platform outages, stale watches, and message loss,
// duplication, delay and reordering. The fleet checks at each step that the
// generation of a host does not decrease. After all faults end, every host must
// have the newest generation in force.
func TestGenerationNeverDecreasesUnderFaults(t *testing.T) {
	docs := documents(t, 5, 12)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 6).Draw(t, "hosts")
		f := newFleet(t, hosts, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			injectFault(t, f, docs, rapid.IntRange(0, hosts-1).Draw(t, "host"))
			f.run(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms"))*time.Millisecond, never)
		}
		f.loss, f.duplication, f.delayed, f.staleWatch = 0, 0, 0, false
		for i, n := range f.nodes {
			if !n.up {
				f.resume(i)
			}
		}
		f.setPlatform(false)
		newest := uint64(len(f.versions))
		if f.run(2*propagationLimit, f.inForceEverywhere(newest)); f.lagging(newest) > 0 {
			t.Fatalf("%d hosts lack generation %d", f.lagging(newest), newest)
		}
	})
}

func injectFault(t *rapid.T, f *fleet, docs [][]byte, i int) {
	n := f.nodes[i]
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0:
		if n.up && !f.platformDown && len(f.versions) < len(docs) {
			f.accept(i, docs[len(f.versions)])
		}
	case 1:
		f.stop(i)
	case 2:
		f.stop(i)
		f.start(i)
	case 3:
		f.setPlatform(!f.platformDown)
	case 4:
		f.staleWatch = !f.staleWatch
		f.notify(i)
	case 5:
		f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		f.duplication = rapid.Float64Range(0, 0.5).Draw(t, "double")
	case 6:
		f.delayed = rapid.Float64Range(0, 0.9).Draw(t, "slow")
	case 7:
		if !n.up {
			f.resume(i)
		}
	}
}

func TestConfigIsChecked(t *testing.T) {
	members := &corefake.Membership{Host: "a"}
	random := rand.New(rand.NewPCG(1, 1))
	for name, config := range map[string]Config{
		"no self":    {Members: members, Random: random},
		"no members": {Self: "a", Random: random},
		"no random":  {Self: "a", Members: members},
		"negative":   {Self: "a", Members: members, Random: random, Fanout: -1},
	} {
		if _, err := New(config); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestAcceptedConfigurationIsLostInARestore: after the platform was restored from an
// older copy, the hosts store what they have in force again, so that changes can be
// built on it.
func TestAcceptedConfigurationIsLostInARestore(t *testing.T) {
	docs := documents(t, 3, 4)
	for name, tt := range map[string]struct {
		copied []byte
		down   time.Duration
	}{"at once": {copied: docs[0]}, "after a failed write": {docs[0], 3 * time.Second}, "no document": {}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 12, 1)
			f.run(5*time.Second, never)
			for g, value := range docs[:3] {
				f.accept(0, value)
				f.run(5*time.Second, f.inForceEverywhere(uint64(g+1)))
			}
			f.versions = append(f.versions, tt.copied)
			for i := range f.nodes {
				f.notify(i)
			}
			f.platformDown = tt.down > 0
			f.run(tt.down, never)
			f.platformDown = false
			f.run(3*time.Second, never)
			if stored := f.versions[len(f.versions)-1]; !bytes.Equal(stored, docs[2]) {
				generation, _ := resource.PeekGeneration(stored)
				t.Errorf("the platform holds generation %d, want 3", generation)
			}
			if lagging := f.lagging(3); lagging > 0 {
				t.Errorf("%d hosts went back", lagging)
			}
			writes := len(f.versions)
			f.run(time.Minute, never)
			if len(f.versions) != writes {
				t.Errorf("%d further writes", len(f.versions)-writes)
			}
			f.accept(5, docs[3])
			if took := f.run(4*time.Second, f.inForceEverywhere(4)); f.lagging(4) > 0 {
				t.Errorf("the next generation is not in force after %v", took)
			}
		})
	}
}
