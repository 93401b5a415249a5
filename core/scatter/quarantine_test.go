package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

var crashingRequest = core.FingerprintOf([]byte("deadly"))

// crashUpstreams makes an upstream crash while it runs a send for which ends
// returns true.
func (r *rig) crashUpstreams(ends func(scatter.Send) bool) (down map[core.UpstreamID]bool) {
	down = map[core.UpstreamID]bool{}
	r.refuses = func(id core.UpstreamID) bool { return down[id] }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		switch {
		case down[s.Target.ID]:
			return ms, scatter.Unreached
		case ends(s):
			r.later.Add(r.now.Add(2*ms), func() { down[s.Target.ID] = true })
			return 2 * ms, scatter.Lost
		}
		return 5 * ms, scatter.Succeeded
	}
	return down
}

// suspectOf returns the findings of a host in whose sight crashes followed on each
// other.
func suspectOf(crashed ...core.UpstreamID) []scatter.Suspect {
	s := scatter.Suspect{Fingerprint: crashingRequest}
	for i, id := range crashed {
		s.Ended = append(s.Ended, scatter.Crash{UpstreamStart: scatter.UpstreamStart{ID: id}, Order: i + 1})
	}
	return []scatter.Suspect{s}
}

// olderSuspectOf returns the findings of a host of an older build, which does not state
// the order of crashes.
func olderSuspectOf(crashed ...core.UpstreamID) []scatter.Suspect {
	suspects := suspectOf(crashed...)
	for i := range suspects[0].Ended {
		suspects[0].Ended[i].Order = 0
	}
	return suspects
}

// suspectWith returns the finding of one crash.
func suspectWith(id core.UpstreamID, order int) []scatter.Suspect {
	return []scatter.Suspect{{Fingerprint: crashingRequest, Ended: []scatter.Crash{{UpstreamStart: scatter.UpstreamStart{ID: id}, Order: order}}}}
}

// TestQuarantineCombinesFindingsOfHosts: two crashes found by one or two hosts are
// enough for a quarantine on another host, and the refusal contains the time until
// its end.
func TestQuarantineCombinesFindingsOfHosts(t *testing.T) {
	for name, seen := range map[string]map[core.HostID][]scatter.Suspect{
		"one host found both":       {"host-2": suspectOf("files-a", "files-b")},
		"two hosts found one each":  {"host-2": suspectWith("files-a", 1), "host-3": suspectWith("files-b", 2)},
		"found by an earlier start": {"host-1": suspectOf("files-a", "files-b")},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 1)
			r.step(scatter.SuspectsSeen{ByHost: seen})
			got := r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, Budget: time.Second}), scatter.Refused)
			if got.RetryAfter != 5*time.Minute || len(r.sends) > 0 {
				t.Errorf("retry after %v, %d sends", got.RetryAfter, len(r.sends))
			}
			r.run(time.Minute)
			r.step(scatter.SuspectsSeen{ByHost: seen}) // an unchanged list does not extend the quarantine
			got = r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, Budget: time.Second}), scatter.Refused)
			if got.RetryAfter != 4*time.Minute {
				t.Errorf("retry after %v", got.RetryAfter)
			}
			r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, FromHost: true, Repeat: true}), scatter.Declined)
		})
	}
	for name, seen := range map[string]map[core.HostID][]scatter.Suspect{
		"one crash found by two hosts":           {"host-2": suspectOf("files-a"), "host-3": suspectOf("files-a")},
		"crashes at the same time":               {"host-2": suspectWith("files-a", 1), "host-3": suspectWith("files-b", 1)},
		"crashes at the same time, older builds": {"host-2": olderSuspectOf("files-a"), "host-3": olderSuspectOf("files-b")},
		"crashes of one host, older build":       {"host-2": olderSuspectOf("files-a", "files-b")},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 1)
			r.step(scatter.SuspectsSeen{ByHost: seen})
			call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
			r.run(50 * ms)
			r.want(call, scatter.PassedOn)
		})
	}
}

// TestQuarantineBesideOlderBuilds: where older builds report any number of crashes, one
// more that is found here is enough.
func TestQuarantineBesideOlderBuilds(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": olderSuspectOf("old-a", "old-b")}})
	r.run(time.Second)
	r.crashUpstreams(func(scatter.Send) bool { return true })
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(100 * ms)
	r.want(call, scatter.UpstreamsFailed)
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest}), scatter.Refused)
	if len(r.sends) != 1 {
		t.Errorf("%d sends", len(r.sends))
	}
}

// TestQuarantineAppliesToRunningCalls: no waiting, retried or hedged part is sent
// once the quarantine has begun.
func TestQuarantineAppliesToRunningCalls(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 400 * ms, scatter.Lost }
	var calls []core.CallID
	for range 3 { // two are running and the last one waits
		calls = append(calls, r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest, Budget: time.Second}))
	}
	r.run(ms)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectOf("files-a", "files-b")}})
	r.run(time.Second)
	r.want(calls[0], scatter.UpstreamsFailed)
	r.want(calls[1], scatter.UpstreamsFailed)
	r.want(calls[2], scatter.Refused)
	if len(r.sends) != 2 {
		t.Errorf("%d sends", len(r.sends))
	}
}

// TestFindingsArePublishedOnce: a suspicion is published after publishDelay, a
// quarantine at once, and a suspicion is withdrawn when the request is answered.
func TestFindingsArePublishedOnce(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	ends := true
	down := r.crashUpstreams(func(scatter.Send) bool { return ends })
	call := r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest}) // not repeatable
	r.run(100 * ms)
	r.want(call, scatter.UpstreamsFailed)
	if len(r.storedSuspects) != 0 {
		t.Fatalf("published %v at once", r.storedSuspects)
	}
	r.run(200 * ms)
	if len(r.storedSuspects) != 1 || len(r.storedSuspects[0]) != 1 || len(r.storedSuspects[0][0].Ended) != 1 {
		t.Fatalf("published %v", r.storedSuspects)
	}
	// The host reads its own record, here and later when it is outdated.
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.storedSuspects[0]}})
	clear(down)
	ends = false
	r.run(3 * time.Second)
	call = r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest})
	r.run(300 * ms)
	r.want(call, scatter.PassedOn)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.storedSuspects[0]}})
	if len(r.storedSuspects) != 2 || len(r.storedSuspects[1]) != 0 {
		t.Fatalf("published %v", r.storedSuspects)
	}
	ends = true
	r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest})
	r.run(210 * ms)
	call = r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest})
	r.run(10 * ms)
	r.want(call, scatter.UpstreamsFailed)
	if last := r.storedSuspects[len(r.storedSuspects)-1]; len(last) != 1 || len(last[0].Ended) != 2 {
		t.Errorf("published %v", r.storedSuspects)
	}
	r.run(3 * time.Hour)
	if last := r.storedSuspects[len(r.storedSuspects)-1]; len(last) != 0 {
		t.Errorf("findings that do not expire: %v", last)
	}
}

// TestEarlyFindingsArePublishedLater: findings are not published before the host has
// read its own record.
func TestEarlyFindingsArePublishedLater(t *testing.T) {
	earlier := scatter.Suspect{Fingerprint: core.FingerprintOf([]byte("earlier")), Ended: []scatter.Crash{{UpstreamStart: scatter.UpstreamStart{ID: "old-a"}}}}
	for _, record := range [][]scatter.Suspect{nil, {earlier}} {
		r := newRig(t)
		r.configure(1, 1)
		r.crashUpstreams(func(scatter.Send) bool { return true })
		r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
		r.run(time.Second)
		if len(r.storedSuspects) > 0 {
			t.Fatalf("published %v", r.storedSuspects)
		}
		r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": record}})
		r.run(time.Second)
		if len(r.storedSuspects) != 1 || len(r.storedSuspects[0]) != 1+len(record) {
			t.Fatalf("published %v", r.storedSuspects)
		}
		// After a restart, the host reads this record and has nothing to publish.
		next := newRig(t)
		next.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.storedSuspects[0]}})
		next.run(time.Second)
		if len(next.storedSuspects) > 0 {
			t.Errorf("published again: %v", next.storedSuspects)
		}
	}
}

// TestBystanderRequestsAreNotQuarantined: when many upstreams crash together, the
// requests that ran there are not quarantined.
func TestBystanderRequestsAreNotQuarantined(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.step(scatter.SuspectsSeen{})
	crash := r.now.Add(10 * time.Second)
	down := map[core.UpstreamID]bool{}
	r.refuses = func(id core.UpstreamID) bool { return down[id] }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if !down[s.Target.ID] && r.now.Before(crash) && !r.now.Add(20*ms).Before(crash) {
			return crash.Sub(r.now), scatter.Lost
		}
		if down[s.Target.ID] {
			return ms, scatter.Unreached
		}
		return 20 * ms, scatter.Succeeded
	}
	r.run(10*time.Second - 10*ms)
	// Both upstreams of the service run the request when they crash together.
	first := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	second := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	for _, id := range []core.UpstreamID{"files-a", "files-b"} {
		r.later.Add(crash.Add(-ms), func() { down[id] = true })
	}
	r.run(500 * ms)
	r.want(first, scatter.UpstreamsFailed)
	r.want(second, scatter.UpstreamsFailed)
	if r.checks != 2 {
		t.Fatalf("%d checks, want 2: the test covers nothing", r.checks)
	}
	clear(down)
	r.run(3 * time.Second)
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(400 * ms)
	r.want(call, scatter.PassedOn)
	if last := r.storedSuspects[len(r.storedSuspects)-1]; len(last) != 0 {
		t.Errorf("still suspected: %v", last)
	}
}

// TestCrashingGatherIsNotRetried: the parts of a gather crash one upstream of each
// shard together, and no part is sent to the other upstreams of these shards. The next
// such gather may take down one more upstream, and is quarantined then.
func TestCrashingGatherIsNotRetried(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.step(scatter.SuspectsSeen{})
	r.crashUpstreams(func(scatter.Send) bool { return true })
	for _, want := range []int{8, 9} {
		call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
		r.run(300 * ms)
		r.want(call, scatter.UpstreamsFailed)
		if len(r.sends) != want || len(r.storedSuspects) == 0 {
			t.Errorf("%d sends, want %d; published %v", len(r.sends), want, r.storedSuspects)
		}
	}
	r.want(r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest}), scatter.Refused)
}

// TestCrashingGatherOfFewPartsIsNotRetried guards against a gather of two parts whose crashes
// never reach the number at which retries end.
func TestCrashingGatherOfFewPartsIsNotRetried(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	r.step(scatter.SuspectsSeen{})
	r.crashUpstreams(func(scatter.Send) bool { return true })
	call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
	r.run(300 * ms)
	r.want(call, scatter.UpstreamsFailed)
	if len(r.sends) != 2 {
		t.Errorf("%d sends, want one to each service", len(r.sends))
	}
}

// TestSoundGatherIsServedAfterAMassCrash guards against a sound gather that stays
// refused after most of its upstreams crashed together. Until one of them answers, a
// single part is sent first.
func TestSoundGatherIsServedAfterAMassCrash(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.step(scatter.SuspectsSeen{})
	crashing := true
	down := r.crashUpstreams(func(scatter.Send) bool { return crashing })
	for range 3 {
		r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
	}
	r.run(300 * ms)
	crashing = false
	clear(down)
	r.run(3 * time.Second)
	before := len(r.sends)
	call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
	if sent := len(r.sends) - before; sent != 1 {
		t.Errorf("%d parts were sent before one was answered", sent)
	}
	r.run(100 * ms)
	if got := r.want(call, scatter.Gathered); got.Missing > 0 {
		t.Errorf("%d parts are missing", got.Missing)
	}
	r.run(time.Second)
	if last := r.storedSuspects[len(r.storedSuspects)-1]; len(last) != 0 {
		t.Errorf("still suspected: %v", last)
	}
}

// TestProbeMovesToTheNextPart: a probe whose service has no upstream left does not end
// the gather.
func TestProbeMovesToTheNextPart(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectWith("old-a", 1)}})
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.Service == "shard00" {
			return ms, scatter.Unreached
		}
		return 5 * ms, scatter.Succeeded
	}
	call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest, Budget: time.Second})
	r.run(time.Second)
	if got := r.want(call, scatter.Gathered); got.Missing != 1 {
		t.Errorf("%d parts are missing", got.Missing)
	}
}

// TestFewCrashesDoNotQuarantineAGather: several calls with the same fingerprint run
// on two upstreams that crash, which is too small a share of a gather's upstreams for
// a quarantine.
func TestFewCrashesDoNotQuarantineAGather(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.warmUp(gatherPath, 5*ms)
	r.step(scatter.SuspectsSeen{})
	r.refuses = func(id core.UpstreamID) bool { return id == "shard00-a" || id == "shard01-a" }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if r.refuses(s.Target.ID) {
			return 2 * ms, scatter.Lost
		}
		return 30 * ms, scatter.Succeeded
	}
	for range 4 {
		r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
	}
	r.run(10 * ms)
	for _, n := range r.notes {
		if n.Decision == scatter.DecisionFingerprintQuarantined {
			t.Errorf("quarantined after %d crashes", n.UpstreamsLost)
		}
	}
	if r.checks != 2 {
		t.Fatalf("%d checks, want 2: the test covers nothing", r.checks)
	}
}

// TestResetConnectionsAreNotSuspicious: all parts are lost at once, but their
// upstreams still accept connections.
func TestResetConnectionsAreNotSuspicious(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.step(scatter.SuspectsSeen{})
	first := true
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) {
		if first {
			return 2 * ms, scatter.Lost
		}
		return 5 * ms, scatter.Succeeded
	}
	call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
	first = false
	r.run(50 * ms)
	if got := r.want(call, scatter.Gathered); got.Missing > 0 || len(r.storedSuspects) > 0 {
		t.Errorf("%d missing, published %v", got.Missing, r.storedSuspects)
	}
}

// TestAnsweredGatherIsNotSuspicious: losses of a gather that already has an answered
// part cause no check and no suspicion.
func TestAnsweredGatherIsNotSuspicious(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.step(scatter.SuspectsSeen{})
	r.refuses = func(core.UpstreamID) bool { return true }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.Service == "shard00" {
			return 9 * ms, scatter.Lost
		}
		return 5 * ms, scatter.Succeeded
	}
	for range 4 {
		call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
		r.run(200 * ms)
		r.want(call, scatter.Gathered)
	}
	if r.checks > 0 || len(r.storedSuspects) > 0 {
		t.Errorf("%d checks, published %v", r.checks, r.storedSuspects)
	}
}

// TestOneCrashRenewsAnExpiredQuarantine: after the quarantine has ended, one more
// crash puts it in force again, for longer.
func TestOneCrashRenewsAnExpiredQuarantine(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectOf("old-a", "old-b")}})
	r.run(5*time.Minute + time.Second)
	r.crashUpstreams(func(scatter.Send) bool { return true })
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(50 * ms)
	r.want(call, scatter.UpstreamsFailed)
	if len(r.sends) != 1 {
		t.Errorf("%d sends", len(r.sends))
	}
	got := r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest}), scatter.Refused)
	if got.RetryAfter < 9*time.Minute {
		t.Errorf("retry after %v", got.RetryAfter)
	}
}

// TestSuccessorKeepsTheQuarantine: the engine that replaces a failed one keeps the
// findings, since the request may have caused the failure.
func TestSuccessorKeepsTheQuarantine(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	r.crashUpstreams(func(scatter.Send) bool { return true })
	r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest})
	r.run(50 * ms) // the timer to publish the finding is lost
	r.engine = r.engine.Successor()
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectWith("old-a", 2)}})
	r.run(time.Second)
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest}), scatter.Refused)
	if len(r.storedSuspects) != 1 || len(r.storedSuspects[0]) != 1 {
		t.Errorf("published %v", r.storedSuspects)
	}
}

// TestSuspicionsAreBounded: the numbers of kept and of published findings have a
// bound, however many are listed.
func TestSuspicionsAreBounded(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	var many []scatter.Suspect
	for i := range 10_000 {
		many = append(many, scatter.Suspect{
			Fingerprint: core.FingerprintOf([]byte(fmt.Sprint(i))), Ended: suspectOf("files-a", "files-b")[0].Ended,
		})
	}
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": many}})
	r.run(time.Second)
	if len(r.storedSuspects) != 1 || len(r.storedSuspects[0]) != 64 {
		t.Errorf("published %d times", len(r.storedSuspects))
	}
	refused := 0
	for _, s := range many {
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: s.Fingerprint})
		if r.answers[call].Kind == scatter.Refused {
			refused++
		}
	}
	if refused != 4096 {
		t.Errorf("%d are kept, want 4096", refused)
	}
}

// TestAnsweredRequestIsNotQuarantinedForReportedCrashes: after an answer, the crash that
// another host has found no longer counts, though its report remains.
func TestAnsweredRequestIsNotQuarantinedForReportedCrashes(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	reported := scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectWith("old-a", 1)}}
	r.step(reported)
	crashing := false
	down := r.crashUpstreams(func(scatter.Send) bool { return crashing })
	ask := func(want scatter.AnswerKind) {
		t.Helper()
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
		r.run(300 * ms)
		r.want(call, want)
	}
	ask(scatter.PassedOn)
	r.step(reported)
	r.run(time.Second)
	crashing = true
	ask(scatter.UpstreamsFailed)
	crashing = false
	clear(down)
	r.run(3 * time.Second)
	ask(scatter.PassedOn)
}
