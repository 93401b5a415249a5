package once

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// storeCopy is a copy of the platform's objects.
type storeCopy struct {
	versions map[string]uint64
	values   map[string][]byte
}

func (s *store) copy() storeCopy { return storeCopy{maps.Clone(s.versions), maps.Clone(s.values)} }

// restore goes back to a copy. Versions rise as those of the platform client do.
func (s *store) restore(old storeCopy) {
	s.era++
	for key := range s.versions {
		if old.versions[key] == 0 {
			delete(s.versions, key)
			delete(s.values, key)
			continue
		}
		revision := core.PositionOf(old.versions[key]).Revision
		s.versions[key], s.values[key] = core.Position{Era: s.era, Revision: revision}.Version(), old.values[key]
	}
}

// TestRequestRunsTwiceAfterARestore: the platform forgets the last extension or
// takeover of an interval of issue times, and the host that made it ends. Keys accepted
// before must not be accepted again (sim.Run checks that).
func TestRequestRunsTwiceAfterARestore(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 5))
		w := newSim(t, 3, func(*Config) {})
		var copies []storeCopy
		var sent []string
		served := 0
		for i := range 240 {
			w.runFor(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
			if i%4 == 0 {
				copies = append(copies, w.store.copy())
			}
			skew := time.Duration(random.Int64N(int64(3*time.Second))) - time.Second
			id := key(w.now.Add(skew), uint64(i))
			if random.IntN(4) == 0 {
				id = fmt.Sprint("untimed-", i)
			}
			if len(sent) > 0 && random.IntN(3) == 0 {
				id = sent[random.IntN(len(sent))]
			}
			sent = append(sent, id)
			w.sendRequest(w.hosts[random.IntN(3)], id, time.Second, "q")
			w.runFor(100 * time.Millisecond)
			for _, h := range w.hosts {
				for len(h.runs) > 0 {
					w.endRun(h, core.HasRun)
				}
			}
			if random.IntN(25) == 0 {
				w.crash(w.hosts[random.IntN(3)])
			}
			if random.IntN(40) == 0 {
				w.store.restore(copies[max(0, len(copies)-1-random.IntN(12))])
				if random.IntN(2) == 0 {
					w.crash(w.hosts[random.IntN(3)])
				}
			}
		}
		w.runFor(time.Minute) // each crash of a holder moves the next interval ahead
		for i := range 20 {
			w.sendRequest(w.hosts[i%3], key(w.now, uint64(1000+i)), time.Second, "q")
			w.runFor(200 * time.Millisecond)
			for _, h := range w.hosts {
				for len(h.runs) > 0 {
					w.endRun(h, core.HasRun)
				}
			}
		}
		w.runFor(time.Second)
		for _, a := range w.answers[max(0, len(w.answers)-20):] {
			if core.Kind(a.reply.Kind) == core.OK {
				served++
			}
		}
		if served < 15 {
			t.Errorf("seed %d: %d of the last 20 requests were served", seed, served)
		}
	}
}

// TestUntimedRequestRunsTwiceAfterARestore: the claim on a request id without an issue
// time is lost, and the host that made it ends. Such requests run again after the time
// within which a lost id may be sent again.
func TestUntimedRequestRunsTwiceAfterARestore(t *testing.T) {
	w := newSim(t, 3, func(*Config) {})
	w.runFor(5 * time.Second)
	copied := w.store.copy()
	send := func(id string) {
		w.sendRequest(w.hosts[1], id, time.Second, "q")
		w.runFor(500 * time.Millisecond)
		for _, h := range w.hosts {
			w.endRun(h, core.HasRun)
		}
		w.runFor(100 * time.Millisecond)
	}
	send("no-uuid")
	w.store.restore(copied)
	for _, h := range slices.Clone(w.hosts) {
		w.crash(h)
	}
	w.runFor(time.Minute)
	send("no-uuid")
	w.wantAnswer(core.OutcomeUnknown)
	w.runFor(defaultResendWindow)
	send("after the window")
	w.wantAnswer(core.OK)
}

func (w *sim) wantAnswer(kind core.Kind) {
	if got := core.Kind(w.answers[len(w.answers)-1].reply.Kind); got != kind {
		w.t.Fatalf("answered %v, want %v", got, kind)
	}
}
