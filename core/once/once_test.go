package once

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// TestMain fixes the seed, so that every run tests the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestAtMostOnceUnderFaults sends and resends requests through any host while
// hosts pause, crash and disagree on which hosts are live, and while the platform
// is unavailable, applies writes late, or loses replies.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSim(t, 3, func(c *Config) { c.MaxOutcomes = 6 })
		var ids []string
		host := func(t *rapid.T) *simHost { return w.hosts[rapid.IntRange(0, 2).Draw(t, "host")] }
		send := func(t *rapid.T, id string) {
			if h := host(t); !h.paused {
				left := time.Duration(rapid.IntRange(1, 4000).Draw(t, "left")) * time.Millisecond
				w.sendRequest(h, id, left, "q")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				skew := time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "skew")) * time.Millisecond
				id := key(w.now.Add(skew), uint64(len(ids)))
				if rapid.IntRange(0, 4).Draw(t, "ordinary") == 0 {
					id = "order-" + id[24:]
				}
				ids = append(ids, id)
				send(t, id)
			},
			"resend": func(t *rapid.T) {
				if len(ids) > 0 {
					send(t, rapid.SampledFrom(ids).Draw(t, "id"))
				}
			},
			"take": func(t *rapid.T) {
				h := host(t)
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					w.deliverNext(h)
				}
			},
			"end": func(t *rapid.T) {
				w.endRun(host(t), rapid.SampledFrom([]core.Ran{core.HasRun, core.RanUnknown, core.NotRun}).Draw(t, "ran"))
			},
			"platform": func(t *rapid.T) {
				fault := rapid.SampledFrom([]string{"", "", "", "down", "reply lost", "late"}).Draw(t, "fate")
				w.platform(rapid.IntRange(0, 3).Draw(t, "at"), fault)
			},
			"quiet": func(t *rapid.T) {
				w.runFor(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "ms")) * time.Millisecond)
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(t *rapid.T) {
				if h := host(t); !h.paused {
					w.step(h, core.Tick{})
				}
			},
			"pause": func(t *rapid.T) { host(t).paused = true },
			"wake": func(*rapid.T) {
				for _, h := range w.hosts {
					h.paused = false
				}
			},
			"view": func(t *rapid.T) {
				live := rapid.SliceOfNDistinct(rapid.SampledFrom([]core.HostID{"h1", "h2", "h3"}), 1, 3, rapid.ID).Draw(t, "live")
				host(t).view.Hosts = live
			},
			"move": func(t *rapid.T) {
				live := []core.HostID{host(t).id}
				for _, h := range w.hosts {
					h.view.Hosts = live
				}
				w.runFor(2 * time.Second)
			},
			"resend last": func(t *rapid.T) {
				if len(ids) > 0 {
					send(t, ids[len(ids)-1])
				}
			},
			"crash": func(t *rapid.T) { w.crash(host(t)) },
			"cut": func(t *rapid.T) {
				h := host(t)
				h.inbox = append(h.inbox, core.PeerLost{Host: host(t).id})
			},
		})
		for _, h := range w.hosts {
			h.paused = false
			h.view.Hosts = []core.HostID{"h1", "h2", "h3"}
		}
		w.runFor(5 * time.Second)
		for _, h := range w.hosts {
			for len(h.runs) > 0 {
				w.endRun(h, core.HasRun)
			}
		}
		w.runFor(time.Second)
		for _, h := range w.hosts {
			if len(h.openCalls) > 0 {
				t.Fatalf("%d calls of %s were never answered", len(h.openCalls), h.id)
			}
		}
	})
}

// newSimWithHolder returns a simulation of two hosts in which one holds the only
// partition, the holder and the other host.
func newSimWithHolder(t *testing.T) (*sim, *simHost, *simHost) {
	w := newSim(t, 2, func(*Config) {})
	w.runFor(time.Second)
	for i, h := range w.hosts {
		if h.g.partitions[0].held {
			return w, h, w.hosts[1-i]
		}
	}
	t.Fatal("no host holds the partition")
	return nil, nil, nil
}

// checkLastAnswer checks the kind and the Ran state of the last answer.
func (w *sim) checkLastAnswer(t *testing.T, kind core.Kind, ran core.Ran) {
	t.Helper()
	if len(w.answers) == 0 {
		t.Fatal("no answer")
	}
	last := w.answers[len(w.answers)-1].reply
	if core.Kind(last.Kind) != kind || core.Ran(last.Ran) != ran {
		t.Errorf("answered %v, %v (%s); want %v, %v", core.Kind(last.Kind), core.Ran(last.Ran), last.Detail, kind, ran)
	}
}

func TestFaults(t *testing.T) {
	const left = time.Second
	platformDown := func(w *sim) {
		for range 100 {
			w.platform(0, "down")
		}
	}
	cases := []struct {
		name string
		do   func(w *sim, home, other *simHost)
		kind core.Kind
		ran  core.Ran
		runs int
	}{
		{"request runs and is answered", func(w *sim, home, other *simHost) {
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.runFor(0)
		}, core.OK, core.HasRun, 1},
		{"resent while it runs, through the other host", func(w *sim, home, other *simHost) {
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
			w.sendRequest(home, key(epoch.Add(time.Second), 1), left, "q")
		}, core.OK, core.HasRun, 1},
		{"resent when done", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
			w.endRun(home, core.HasRun)
			w.sendRequest(other, key(epoch.Add(time.Second), 1), left, "q")
		}, core.OK, core.HasRun, 1},
		{"resent with the UUID in another format", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now, 0xabc), left, "q")
			w.runFor(50 * time.Millisecond)
			w.endRun(home, core.HasRun)
			w.sendRequest(other, "urn:uuid:"+key(epoch.Add(time.Second), 0xabc), left, "q")
		}, core.OK, core.HasRun, 1},
		{"id reused for another question", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
			w.endRun(home, core.HasRun)
			w.sendRequest(home, key(epoch.Add(time.Second), 1), left, "other")
			w.runFor(50 * time.Millisecond)
		}, core.InvalidRequest, core.NotRun, 1},
		{"resent after it was not run", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
			w.endRun(home, core.NotRun)
			w.sendRequest(home, key(epoch.Add(time.Second), 1), left, "q")
		}, core.OK, core.HasRun, 1},
		{"resent after an unknown outcome", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
			w.endRun(home, core.RanUnknown)
			w.sendRequest(home, key(epoch.Add(time.Second), 1), left, "q")
		}, core.OutcomeUnknown, core.RanUnknown, 1},
		{"no outcome by the deadline", func(w *sim, home, other *simHost) {
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.runFor(2 * time.Second)
		}, core.OutcomeUnknown, core.RanUnknown, 1},
		{"home lost", func(w *sim, home, other *simHost) {
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.deliverNext(home)
			w.crash(home)
			w.runFor(50 * time.Millisecond)
		}, core.OutcomeUnknown, core.RanUnknown, 1},
		{"resent after the home was lost", func(w *sim, home, other *simHost) {
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.deliverNext(home)
			w.crash(home)
			w.runFor(20 * time.Second)
			w.sendRequest(other, key(epoch.Add(time.Second), 1), left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.OutcomeUnknown, core.RanUnknown, 1},
		{"resent after its outcome was evicted", func(w *sim, home, other *simHost) {
			home.g.dedup.limit = 2
			first := w.now
			for i := range 3 {
				w.sendRequest(home, key(first.Add(time.Duration(i)*time.Millisecond), uint64(i)), left, "q")
				w.runFor(50 * time.Millisecond)
				w.endRun(home, core.HasRun)
			}
			w.sendRequest(home, key(first, 0), left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.OutcomeUnknown, core.RanUnknown, 3},
		{"issued before the interval", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(epoch.Add(-time.Hour), 1), left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.OutcomeUnknown, core.RanUnknown, 0},
		{"issued after the interval", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now.Add(time.Minute), 1), left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.KeyOutOfWindow, core.NotRun, 0},
		{"platform down, key in the interval", func(w *sim, home, other *simHost) {
			w.now = w.now.Add(8 * time.Second)
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.deliverNext(home)
		}, core.OK, core.HasRun, 1},
		{"platform down, key after the interval, takeover not yet possible", func(w *sim, home, other *simHost) {
			w.now = w.now.Add(10 * time.Second)
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.deliverNext(home)
			w.deliverNext(home)
		}, core.KeyOutOfWindow, core.NotRun, 0},
		{"platform down until a takeover is possible", func(w *sim, home, other *simHost) {
			w.now = w.now.Add(time.Minute)
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.deliverNext(home)
			w.deliverNext(home)
		}, core.PlatformUnavailable, core.RanUnknown, 0},
		{"planned move", func(w *sim, home, other *simHost) {
			home.view.Hosts, other.view.Hosts = []core.HostID{other.id}, []core.HostID{other.id}
			w.sendRequest(home, key(w.now, 1), 3*time.Second, "q")
			w.runFor(2 * time.Second)
			w.endRun(other, core.HasRun)
		}, core.OK, core.HasRun, 1},
		{"resent after a planned move", func(w *sim, home, other *simHost) {
			w.sendRequest(home, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
			w.endRun(home, core.HasRun)
			home.view.Hosts, other.view.Hosts = []core.HostID{other.id}, []core.HostID{other.id}
			w.runFor(2 * time.Second)
			w.sendRequest(other, key(epoch.Add(time.Second), 1), left, "q")
		}, core.OutcomeUnknown, core.RanUnknown, 1},
		{"resumed holder answers not run before the takeover", func(w *sim, home, other *simHost) {
			home.paused = true
			other.view.Hosts = []core.HostID{other.id}
			w.runFor(9600 * time.Millisecond)
			id := key(w.now, 1)
			w.sendRequest(other, id, 5*time.Second, "q")
			w.runFor(50 * time.Millisecond)
			home.paused = false
			w.sendRequest(home, id, left, "q")
			for range 4 {
				w.deliverNext(home)
			}
			w.checkLastAnswer(t, core.KeyOutOfWindow, core.NotRun)
			home.view.Hosts = other.view.Hosts
			w.runFor(3 * time.Second)
		}, core.OK, core.HasRun, 1},
		{"reply to a call of the previous incarnation", func(w *sim, home, other *simHost) {
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.deliverNext(home)
			next := w.crash(other)
			w.sendRequest(next, key(w.now, 2), left, "q")
			w.endRun(home, core.HasRun)
			w.runFor(50 * time.Millisecond)
		}, core.OK, core.HasRun, 2},
		{"planned stop", func(w *sim, home, other *simHost) {
			home.view.Hosts, other.view.Hosts = []core.HostID{other.id}, []core.HostID{other.id}
			w.step(home, core.StopRequested{})
			w.runFor(2 * time.Second)
			if !home.g.Idle() {
				t.Error("not idle after the stop")
			}
			w.sendRequest(other, key(w.now, 1), left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.OK, core.HasRun, 1},
		{"id without an issue time", func(w *sim, home, other *simHost) {
			w.sendRequest(home, "order-1", left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.OK, core.HasRun, 1},
		{"id without an issue time, reply to the claim lost", func(w *sim, home, other *simHost) {
			w.sendRequest(home, "order-1", left, "q")
			w.deliverNext(home)
			w.platform(0, "reply lost")
			w.runFor(50 * time.Millisecond)
		}, core.OK, core.HasRun, 1},
		{"id without an issue time, claimed before a crash", func(w *sim, home, other *simHost) {
			w.sendRequest(home, "order-1", left, "q")
			w.runFor(50 * time.Millisecond)
			next := w.crash(home)
			w.sendRequest(next, "order-1", left, "q")
			w.runFor(50 * time.Millisecond)
		}, core.OutcomeUnknown, core.RanUnknown, 1},
		{"id without an issue time, platform down", func(w *sim, home, other *simHost) {
			w.sendRequest(home, "order-1", left, "q")
			w.deliverNext(home)
			for range 3 {
				platformDown(w)
				w.deliverNext(home)
			}
			w.deliverNext(home)
		}, core.PlatformUnavailable, core.RanUnknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, home, other := newSimWithHolder(t)
			c.do(w, home, other)
			for _, h := range w.hosts {
				if len(h.inbox) > 0 || len(w.answers) == 0 {
					w.deliverNext(h)
					w.runFor(50 * time.Millisecond)
				}
				w.endRun(h, core.HasRun)
			}
			w.runFor(50 * time.Millisecond)
			w.checkLastAnswer(t, c.kind, c.ran)
			total := 0
			for _, count := range w.ran {
				total += count
			}
			if total != c.runs {
				t.Errorf("ran %d times, want %d", total, c.runs)
			}
		})
	}
}

func TestPlannedStopEndsWhilePlatformUnavailable(t *testing.T) {
	w, home, _ := newSimWithHolder(t)
	w.step(home, core.StopRequested{})
	if home.g.Idle() {
		t.Error("idle before the interval was released")
	}
	w.now = w.now.Add(home.g.cfg.CallTimeout)
	w.step(home, core.Tick{})
	if !home.g.Idle() {
		t.Error("the stop still waits for an unavailable platform after CallTimeout")
	}
}

// TestPlatformCallsDoNotGrowWithRequests compares the platform calls of 8 hosts
// with 16 partitions in one minute, without requests and with 2000.
func TestPlatformCallsDoNotGrowWithRequests(t *testing.T) {
	var calls [2]uint64
	for i, requests := range []int{0, 2000} {
		w := newSim(t, 8, func(c *Config) { c.Partitions = 16 })
		for number := range 60 {
			for extra := range requests / 60 {
				w.sendRequest(w.hosts[extra%8], key(w.now, uint64(number*100+extra)), time.Second, "q")
			}
			w.runFor(time.Second)
			for _, h := range w.hosts {
				for len(h.runs) > 0 {
					w.endRun(h, core.HasRun)
				}
			}
		}
		for _, h := range w.hosts {
			calls[i] += h.g.stats.Writes + h.g.stats.Reads
		}
	}
	t.Logf("%d calls a minute without requests, %d with 2000", calls[0], calls[1])
	if calls[0] != calls[1] || calls[0] > 60*10 {
		t.Errorf("%d calls without requests, %d with; want as many and at most 10 a second", calls[0], calls[1])
	}
}

// BenchmarkRequest measures one request at its home, from accept to answer.
func BenchmarkRequest(b *testing.B) {
	w := newSim(b, 1, func(*Config) {})
	w.runFor(time.Second)
	h := w.hosts[0]
	h.g.partitions[0].to = w.now.Add(24 * time.Hour).UnixMilli()
	var out core.Actions
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.now = w.now.Add(100 * time.Microsecond)
		q := &peerpb.Query{Call: uint64(i), RequestId: key(w.now, uint64(i)), Service: "s", Once: true, RemainingUs: 1_000_000}
		h.g.Step(w.now, core.PeerMessage{From: "h2", Incarnation: 1, Message: &peerpb.Message{Body: &peerpb.Message_Query{Query: q}}}, &out)
		r := h.runs[0]
		h.runs = h.runs[:0]
		r.done(w.now, &peerpb.QueryReply{Ran: int32(core.HasRun)}, &out)
		out.Reset()
	}
}
