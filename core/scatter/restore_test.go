package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestHostsLostByARestoreKeepTheirShares: hosts that registered after the copy of a
// restored store was made would leave the tier until they register again, and the
// others would divide connections and budgets among fewer hosts.
func TestHostsLostByARestoreKeepTheirShares(t *testing.T) {
	var hosts []scatter.Host
	for i := range 8 {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("host-", i)), Domain: "d1", Cores: 1})
	}
	r := newRig(t)
	want := func(when string, n int) {
		t.Helper()
		if got := len(r.engine.Registered()); got != n {
			t.Errorf("%s: %d hosts, want %d", when, got, n)
		}
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	r.step(scatter.HostsSeen{Hosts: hosts[:1], Restored: true})
	want("after the restore", 8)
	r.run(time.Second)
	r.step(scatter.HostsSeen{Hosts: hosts[:6]})
	want("when some have registered again", 8)
	r.run(10 * time.Second)
	want("when the others have not", 6)
	r.step(scatter.HostsSeen{Hosts: hosts[:5]})
	want("when one is removed later", 5)
}

// TestQuarantineIsLostByARestore: a request is quarantined for what another host found.
// The store loses that, and this host's own findings, in a restore.
func TestQuarantineIsLostByARestore(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	other, mine := core.FingerprintOf([]byte("other")), core.FingerprintOf([]byte("mine"))
	ended := suspectOf("x-1", "x-2", "x-3")[0].Ended
	stored := map[core.HostID][]scatter.Suspect{"host-1": {{Fingerprint: mine, Ended: ended[:1]}}, "host-2": {{Fingerprint: other, Ended: ended}}}
	r.step(scatter.SuspectsSeen{ByHost: stored})
	refused := func(when string) {
		t.Helper()
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, Fingerprint: other})
		if a, answered := r.answers[call]; !answered || a.Kind != scatter.Refused {
			t.Errorf("%s: answered %v, %v", when, answered, a.Kind)
		}
	}
	refused("before the restore")
	r.step(scatter.SuspectsSeen{Restored: true})
	refused("after the restore")
	r.run(time.Second)
	if len(r.storedSuspects) != 1 || len(r.storedSuspects[0]) != 2 {
		t.Fatalf("stored again: %v, want both fingerprints", r.storedSuspects)
	}
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.storedSuspects[0], "host-3": nil}})
	refused("when another host writes its record")
}

// TestRestoredEntriesBringUpstreamsBack: the entries of a copy show upstreams as they
// were: ready that drain, registered that have left, at an earlier start; and those
// that registered later are missing.
func TestRestoredEntriesBringUpstreamsBack(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	files, orders, shard := pair("files"), pair("orders"), pair("shard00")
	copied := append(append(pair("shard01"), files...), orders...)
	draining, restarted := files[0], files[1]
	draining.Draining, restarted.Started = true, 7
	r.step(scatter.UpstreamSeen{Upstream: draining})
	r.step(scatter.UpstreamSeen{Upstream: restarted})
	r.step(scatter.UpstreamRemoved{ID: orders[0].ID})
	r.run(time.Second)
	ask := func(d time.Duration) map[core.UpstreamID]int64 {
		first := len(r.sends)
		for end := r.now.Add(d); r.now.Before(end); r.run(50 * ms) {
			for _, path := range []string{fetchPath, orderPath, gatherPath} {
				r.ask(path)
			}
		}
		sent := map[core.UpstreamID]int64{}
		for _, s := range r.sends[first:] {
			sent[s.Target.ID] = s.Target.Started
		}
		return sent
	}
	check := func(when string, sent map[core.UpstreamID]int64) {
		t.Helper()
		for _, gone := range []core.UpstreamID{files[0].ID, orders[0].ID} {
			if _, found := sent[gone]; found {
				t.Errorf("%s: requests were sent to %s", when, gone)
			}
		}
		if started := sent[restarted.ID]; started != 7 {
			t.Errorf("%s: %s counts as started at %d", when, restarted.ID, started)
		}
		if _, found := sent[shard[0].ID]; !found {
			t.Errorf("%s: %s gets nothing", when, shard[0].ID)
		}
	}
	check("before", ask(time.Second))
	r.step(scatter.UpstreamsListed{Upstreams: copied, Restored: true})
	check("after the restore", ask(time.Second))
	r.step(scatter.UpstreamsListed{Upstreams: copied}) // listed again before anybody has written
	check("after another list", ask(500*ms))
	for _, u := range append(shard, draining, restarted) {
		r.step(scatter.UpstreamSeen{Upstream: u})
	}
	r.step(scatter.UpstreamRemoved{ID: orders[0].ID})
	check("when all have written again", ask(10*time.Second))

	// An entry that nobody corrects was true after all.
	r.step(scatter.UpstreamRemoved{ID: orders[1].ID})
	r.run(time.Second)
	r.step(scatter.UpstreamsListed{Upstreams: append(copied, shard...), Restored: true})
	for _, want := range []bool{false, true} {
		sent := ask(4 * time.Second)
		_, first := sent[orders[0].ID]
		if _, second := sent[orders[1].ID]; (first || second) != want {
			t.Errorf("the upstreams of orders are used: %v, want %v", first || second, want)
		}
	}
}

// TestDomainTakenOutIsUsedAfterARestore: the restored store does not list a failure
// domain that operators took out after the copy, until they write it again.
func TestDomainTakenOutIsUsedAfterARestore(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	sentToD1 := func(d time.Duration) (count int) {
		first := len(r.sends)
		for end := r.now.Add(d); r.now.Before(end); r.run(20 * ms) {
			r.ask(fetchPath)
		}
		for _, s := range r.sends[first:] {
			if s.Target.Domain == "d1" {
				count++
			}
		}
		return count
	}
	out := func(restored bool, domains ...core.DomainID) {
		event := scatter.DomainsOut{Domains: map[core.DomainID]bool{}, Restored: restored}
		for _, d := range domains {
			event.Domains[d] = true
		}
		r.step(event)
	}
	out(false, "d1")
	out(true)
	if n := sentToD1(time.Second); n > 0 {
		t.Errorf("%d requests after the restore", n)
	}
	out(false, "d1")
	if n := sentToD1(10 * time.Second); n > 0 {
		t.Errorf("%d requests when it was taken out again", n)
	}
	out(true)
	sentToD1(6 * time.Second)
	if n := sentToD1(time.Second); n == 0 {
		t.Error("a domain that nobody takes out again stays out")
	}
}
