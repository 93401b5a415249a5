package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

var crashingRequest = core.FingerprintOf([]byte("deadly"))

// crashUpstreams lets upstreams that a test names end under what they run.
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

func suspectOf(ended ...core.UpstreamID) []scatter.Suspect {
	s := scatter.Suspect{Fingerprint: crashingRequest}
	for _, id := range ended {
		s.Ended = append(s.Ended, scatter.UpstreamStart{ID: id})
	}
	return []scatter.Suspect{s}
}

// TestQuarantineCombinesFindingsOfHosts: what two hosts saw once each is enough, also on a
// third one, and the refusal says when the quarantine ends.
func TestQuarantineCombinesFindingsOfHosts(t *testing.T) {
	for name, seen := range map[string]map[core.HostID][]scatter.Suspect{
		"one saw both":  {"host-2": suspectOf("files-a", "files-b")},
		"one saw each":  {"host-2": suspectOf("files-a"), "host-3": suspectOf("files-b")},
		"before it end": {"host-1": suspectOf("files-a", "files-b")},
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
			r.step(scatter.SuspectsSeen{ByHost: seen}) // the same again is nothing new
			got = r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, Budget: time.Second}), scatter.Refused)
			if got.RetryAfter != 4*time.Minute {
				t.Errorf("retry after %v", got.RetryAfter)
			}
			r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, FromHost: true, Repeat: true}), scatter.Declined)
		})
	}
	t.Run("one alone", func(t *testing.T) {
		r := newRig(t)
		r.configure(1, 1)
		r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectOf("files-a"), "host-3": suspectOf("files-a")}})
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
		r.run(50 * ms)
		r.want(call, scatter.PassedOn)
	})
}

// TestQuarantineAppliesToRunningCalls: what waits, is repeated or hedged when the
// quarantine begins is not sent any more.
func TestQuarantineAppliesToRunningCalls(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 400 * ms, scatter.Lost }
	var calls []core.CallID
	for range 3 { // two run, the last one waits
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

// TestFindingsArePublishedOnce: a suspicion after a moment, a quarantine at once,
// and what is answered after all is withdrawn.
func TestFindingsArePublishedOnce(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	ends := true
	down := r.crashUpstreams(func(scatter.Send) bool { return ends })
	call := r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest}) // runs once
	r.run(100 * ms)
	r.want(call, scatter.UpstreamsFailed)
	if len(r.told) != 0 {
		t.Fatalf("told %v at once", r.told)
	}
	r.run(200 * ms)
	if len(r.told) != 1 || len(r.told[0]) != 1 || len(r.told[0][0].Ended) != 1 {
		t.Fatalf("told %v", r.told)
	}
	// Its own word comes back, also late.
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.told[0]}})
	clear(down)
	ends = false
	r.run(3 * time.Second)
	call = r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest})
	r.run(300 * ms)
	r.want(call, scatter.PassedOn)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.told[0]}})
	if len(r.told) != 2 || len(r.told[1]) != 0 {
		t.Fatalf("told %v", r.told)
	}
	ends = true
	call = r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(10 * ms)
	r.want(call, scatter.UpstreamsFailed)
	if len(r.told) != 3 || len(r.told[2][0].Ended) != 2 {
		t.Errorf("told %v", r.told)
	}
	r.run(3 * time.Hour)
	if last := r.told[len(r.told)-1]; len(last) != 0 {
		t.Errorf("%v is held against it for good", last)
	}
}

// TestEarlyFindingsArePublishedLater: a host that does not know its own record yet
// keeps what it finds until then.
func TestEarlyFindingsArePublishedLater(t *testing.T) {
	earlier := scatter.Suspect{Fingerprint: core.FingerprintOf([]byte("earlier")), Ended: []scatter.UpstreamStart{{ID: "old-a"}}}
	for _, record := range [][]scatter.Suspect{nil, {earlier}} {
		r := newRig(t)
		r.configure(1, 1)
		r.crashUpstreams(func(scatter.Send) bool { return true })
		r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
		r.run(time.Second)
		if len(r.told) > 0 {
			t.Fatalf("told %v", r.told)
		}
		r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": record}})
		r.run(time.Second)
		if len(r.told) != 1 || len(r.told[0]) != 1+len(record) {
			t.Fatalf("told %v", r.told)
		}
		// The host's next start finds its record as it left it.
		next := newRig(t)
		next.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": r.told[0]}})
		next.run(time.Second)
		if len(next.told) > 0 {
			t.Errorf("told again: %v", next.told)
		}
	}
}

// TestBystanderRequestsAreNotQuarantined: a crash of many upstreams takes
// along what ran there.
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
	// Both upstreams of the service run it as they end together.
	first := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	second := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	for _, id := range []core.UpstreamID{"files-a", "files-b"} {
		r.later.Add(crash.Add(-ms), func() { down[id] = true })
	}
	r.run(500 * ms)
	r.want(first, scatter.UpstreamsFailed)
	r.want(second, scatter.UpstreamsFailed)
	if r.checks != 2 {
		t.Fatalf("%d checks: nothing is tested", r.checks)
	}
	clear(down)
	r.run(3 * time.Second)
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest})
	r.run(400 * ms)
	r.want(call, scatter.PassedOn)
	if last := r.told[len(r.told)-1]; len(last) != 0 {
		t.Errorf("it is still suspected: %v", last)
	}
}

// TestCrashingGatherIsNotRetried: its parts end their upstreams all at
// once, and the twins of these are spared.
func TestCrashingGatherIsNotRetried(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.step(scatter.SuspectsSeen{})
	r.crashUpstreams(func(scatter.Send) bool { return true })
	call := r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest})
	r.run(300 * ms)
	r.want(call, scatter.UpstreamsFailed)
	r.want(r.arrive(scatter.RequestArrived{Path: gatherPath, Fingerprint: crashingRequest}), scatter.Refused)
	if len(r.sends) != 8 || len(r.told) == 0 {
		t.Errorf("%d sends, told %v", len(r.sends), r.told)
	}
}

// TestFewCrashesDoNotQuarantineAGather: several calls that ask the same ran there as
// it ended, and one ran on another that ended too.
func TestFewCrashesDoNotQuarantineAGather(t *testing.T) {
	r := newRig(t)
	r.configure(1, 8)
	r.warm(gatherPath, 5*ms)
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
			t.Errorf("quarantined after %d", n.UpstreamsLost)
		}
	}
	if r.checks != 2 {
		t.Fatalf("%d checks: nothing is tested", r.checks)
	}
}

// TestResetConnectionsAreNotSuspicious: all parts are lost at once and their
// upstreams live.
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
	if got := r.want(call, scatter.Gathered); got.Missing > 0 || len(r.told) > 0 {
		t.Errorf("%d missing, told %v", got.Missing, r.told)
	}
}

// TestAnsweredGatherIsNotSuspicious: a gather of which a part is in runs on
// upstreams that live.
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
	if r.checks > 0 || len(r.told) > 0 {
		t.Errorf("%d checks, told %v", r.checks, r.told)
	}
}

// TestOneCrashRenewsAnExpiredQuarantine: the quarantine ends, and one more
// upstream that ends puts it in force again, for longer.
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

// TestSuccessorKeepsTheQuarantine: an engine that met an unexpected error is
// replaced, and the question may have been the cause.
func TestSuccessorKeepsTheQuarantine(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	r.crashUpstreams(func(scatter.Send) bool { return true })
	r.arrive(scatter.RequestArrived{Path: orderPath, Fingerprint: crashingRequest})
	r.run(50 * ms) // its timer to tell others is lost
	r.engine = r.engine.Successor()
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": suspectOf("old-a")}})
	r.run(time.Second)
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest}), scatter.Refused)
	if len(r.told) != 1 || len(r.told[0]) != 1 {
		t.Errorf("told %v", r.told)
	}
}

// TestSuspicionsAreBounded: also when other hosts tell without end.
func TestSuspicionsAreBounded(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	var many []scatter.Suspect
	for i := range 10_000 {
		many = append(many, scatter.Suspect{
			Fingerprint: core.FingerprintOf([]byte(fmt.Sprint(i))), Ended: []scatter.UpstreamStart{{ID: "files-a"}, {ID: "files-b"}},
		})
	}
	r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-1": many}})
	r.run(time.Second)
	if len(r.told) != 1 || len(r.told[0]) != 64 {
		t.Errorf("told %d times", len(r.told))
	}
	refused := 0
	for _, s := range many {
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: s.Fingerprint})
		if r.answers[call].Kind == scatter.Refused {
			refused++
		}
	}
	if refused != 4096 {
		t.Errorf("%d are remembered", refused)
	}
}
