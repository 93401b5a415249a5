package owner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

func suspectMessage(name string, up core.UpstreamID, losses uint32) *peerpb.Message {
	fingerprint := core.FingerprintOf([]byte(name))
	return &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: &peerpb.Suspect{
		Fingerprint: fingerprint[:], Upstream: string(up), Losses: losses,
		QuarantineUs: defaultSuspectFor.Microseconds(),
	}}}
}

func TestLossIsBroadcastBeforeItsReply(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1, poison)
	r.complete(1, time.Millisecond, lostReply)
	var notified []core.HostID
	for _, action := range r.out.List {
		send, ok := action.(core.SendPeer)
		if !ok {
			continue
		}
		switch send.Message.Body.(type) {
		case *peerpb.Message_Suspect:
			notified = append(notified, send.To)
		case *peerpb.Message_SubReply:
			if !slices.Equal(notified, []core.HostID{origin, replicaOwner}) {
				t.Errorf("loss sent to %v before the reply, want %s and %s", notified, origin, replicaOwner)
			}
		}
	}
	r.wantReply(1, core.UpstreamLost, core.RanUnknown)
}

func TestLossIsRelayedToTheReplicaOwner(t *testing.T) {
	r := newRig(t)
	r.owners.Owners["u2"], r.owners.Owners["u1"] = replicaOwner, origin
	loss := suspectMessage("kill", "u1", 1)
	r.message(origin, loss)
	r.message(origin, loss)
	if len(r.suspects[replicaOwner]) != 1 || len(r.suspects[origin]) != 0 {
		t.Errorf("relayed %d times to the replica's owner and %d times back, want 1 and 0", len(r.suspects[replicaOwner]), len(r.suspects[origin]))
	}
}

func TestSuspects(t *testing.T) {
	cases := []struct {
		name     string
		messages []*peerpb.Message
		want     core.Kind
	}{
		{"lost at the replica, this upstream is designated", []*peerpb.Message{suspectMessage("kill", "u2", 1)}, core.OK},
		{"lost here, the replica is designated", []*peerpb.Message{suspectMessage("kill", "u1", 1)}, core.UpstreamShed},
		{"lost at both", []*peerpb.Message{suspectMessage("kill", "u1", 1), suspectMessage("kill", "u2", 1)}, core.Quarantined},
		{"lost twice at one", []*peerpb.Message{suspectMessage("kill", "u2", 2)}, core.Quarantined},
		{"one loss reported twice", []*peerpb.Message{suspectMessage("kill", "u2", 1), suspectMessage("kill", "u2", 1)}, core.OK},
		{"another fingerprint", []*peerpb.Message{suspectMessage("other", "u1", 2)}, core.OK},
		{"one loss retracted", []*peerpb.Message{suspectMessage("kill", "u1", 1), suspectMessage("kill", "u1", 0)}, core.OK},
		{"cleared by a success", []*peerpb.Message{suspectMessage("kill", "u1", 1), suspectMessage("kill", "", 0)}, core.OK},
		{"a success does not lift a quarantine", []*peerpb.Message{suspectMessage("kill", "u1", 2), suspectMessage("kill", "", 0)}, core.Quarantined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, waiting := range []bool{false, true} {
				if waiting && len(c.messages) > 1 {
					continue // the first message refuses the waiting attempt
				}
				r := newRig(t)
				r.warm()
				if waiting {
					r.submit(101)
					r.submit(102)
					r.submit(1, poison)
				}
				for _, m := range c.messages {
					r.message(replicaOwner, m)
				}
				if waiting {
					r.complete(101, time.Millisecond)
					r.complete(102, time.Millisecond)
				} else {
					r.submit(1, poison)
				}
				if c.want != core.OK {
					r.wantReply(1, c.want, core.NotRun)
					continue
				}
				r.complete(1, time.Millisecond)
				r.wantReply(1, core.OK, core.HasRun)
			}
		})
	}
}

func TestQuarantineCancelsRunningAttemptsAndExpires(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1, poison)
	r.message(replicaOwner, suspectMessage("kill", "u2", 2))
	if len(r.cancelled) != 1 {
		t.Error("the running attempt was not cancelled")
	}
	r.complete(1, time.Millisecond, lostReply)
	r.advance(defaultSuspectFor)
	r.submit(2, poison)
	r.complete(2, time.Millisecond)
	r.wantReply(2, core.OK, core.HasRun)
}

func TestSuspectRunsAlone(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.message(replicaOwner, suspectMessage("kill", "u2", 1))
	r.submit(2)
	r.submit(1, poison)
	r.submit(3)
	if len(r.dispatched) != 1 {
		t.Fatal("the suspect did not wait for the upstream to be idle")
	}
	r.complete(2, time.Millisecond)
	if last := r.dispatched[len(r.dispatched)-1]; len(r.dispatched) != 2 || last.Attempt != attemptOf(1) {
		t.Fatalf("%d dispatches, the last %v; want the suspect as the second", len(r.dispatched), last.Attempt)
	}
	r.complete(1, time.Millisecond)
	r.wantReply(1, core.OK, core.HasRun)
	if len(r.dispatched) != 3 {
		t.Error("the next attempt did not start after the suspect")
	}
	if r.o.suspects.contains(r.now, core.FingerprintOf([]byte("kill"))) {
		t.Error("a success did not clear the suspect")
	}
}

func TestLossWithoutRestartIsRetracted(t *testing.T) {
	r := newRig(t)
	r.warm()
	r.submit(1, poison)
	r.complete(1, time.Millisecond, lostReply)
	r.advance(coldGap)
	r.submit(2)
	r.complete(2, time.Millisecond)
	last := r.suspects[replicaOwner][len(r.suspects[replicaOwner])-1]
	if last.Losses != 0 || len(r.o.suspects.byFingerprint) != 0 {
		t.Error("the same process answered, but the loss still counts")
	}
}

func TestNewIncarnationReceivesSuspects(t *testing.T) {
	r := newRig(t)
	r.message(replicaOwner, suspectMessage("kill", "u1", 1))
	r.message(replicaOwner, suspectMessage("kill", "u2", 1))
	before := len(r.suspects[origin])
	for _, incarnation := range []uint64{1, 1, 2} {
		r.step(core.PeerMessage{From: origin, Incarnation: incarnation, Message: &peerpb.Message{}})
	}
	if sent := len(r.suspects[origin]) - before; sent != 4 {
		t.Errorf("%d messages, want 2 losses to each of 2 incarnations", sent)
	}
}

func TestSuspectTableIsBounded(t *testing.T) {
	table := newSuspectTable(2, time.Minute)
	fingerprints := []core.Fingerprint{{1}, {2}, {3}}
	for i, fingerprint := range fingerprints {
		table.add(epoch.Add(time.Duration(i)), fingerprint)
	}
	if len(table.byFingerprint) != 2 || table.byFingerprint[fingerprints[0]] != nil {
		t.Errorf("%d entries, the oldest kept: %v", len(table.byFingerprint), table.byFingerprint[fingerprints[0]] != nil)
	}
}

// TestPoisonQueryCrashesAtMostTwoProcesses sends a request that crashes every
// process which runs it, repeatedly and through all hosts, with retries and
// hedges on the other replica and with harmless requests in between. It guards
// against a request that crashes one replica after another.
func TestPoisonQueryCrashesAtMostTwoProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSim(t)
		crashing, harmless := core.FingerprintOf([]byte("kill")), core.FingerprintOf([]byte("innocent"))
		w.poison = crashing[:]
		ups := []core.UpstreamID{"u1", "u2"}
		retried := map[core.AttemptID]bool{}
		w.onReply = func(from *simHost, id core.AttemptID, r *peerpb.SubReply) {
			q := w.submitted[id]
			if kind := core.Kind(r.Kind); retried[id] || (kind != core.UpstreamLost && kind != core.UpstreamShed) {
				return
			}
			other := ups[1-slices.Index(ups, core.UpstreamID(q.Upstream))]
			again := w.submit(from, other, func(next *peerpb.SubQuery) { next.Fingerprint = q.Fingerprint })
			retried[again] = true
		}
		for range 40 {
			from := rapid.SampledFrom(w.hosts).Draw(t, "from")
			first := rapid.IntRange(0, 1).Draw(t, "up")
			fingerprint := rapid.SampledFrom([]core.Fingerprint{crashing, harmless}).Draw(t, "print")
			hedged := rapid.Bool().Draw(t, "hedged")
			w.submit(from, ups[first], func(q *peerpb.SubQuery) { q.Fingerprint = fingerprint[:] })
			if hedged {
				w.submit(from, ups[1-first], func(q *peerpb.SubQuery) { q.Fingerprint = fingerprint[:] })
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				w.run(simStep)
			}
		}
		w.finish()
		if w.crashes > 2 {
			t.Fatalf("one fingerprint crashed %d processes", w.crashes)
		}
	})
}
