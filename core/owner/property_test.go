package owner

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// TestMain fixes the seed of rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestInvariantsUnderFaults sends sub-queries while upstreams restart, domains
// leave and return, hosts pause, and shares move with and without a handover.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSim(t)
		up := rapid.SampledFrom([]core.UpstreamID{"u1", "u2"})
		host := rapid.SampledFrom(w.hosts)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.resumeAll()
				from, target := host.Draw(t, "from"), up.Draw(t, "up")
				runOnce := rapid.IntRange(0, 4).Draw(t, "once") == 0
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					w.submit(from, target, func(q *peerpb.SubQuery) { q.Once = runOnce })
				}
			},
			"work": func(t *rapid.T) {
				w.work(host.Draw(t, "host"), rapid.IntRange(1, 30).Draw(t, "rounds"))
			},
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "steps") {
					w.run(simStep)
				}
			},
			"restart": func(t *rapid.T) { w.restart(up.Draw(t, "up")) },
			"cancel": func(t *rapid.T) {
				from := host.Draw(t, "from")
				m := &peerpb.SubCancel{Attempt: w.sequence}
				for _, h := range w.hosts {
					h.inbox = append(h.inbox, core.PeerMessage{
						From: from.id, Incarnation: 1,
						Message: &peerpb.Message{Body: &peerpb.Message_SubCancel{SubCancel: m}},
					})
				}
			},
			"peer lost": func(t *rapid.T) {
				h := host.Draw(t, "host")
				h.inbox = append(h.inbox, core.PeerLost{Host: host.Draw(t, "lost").id})
			},
			"probe": func(t *rapid.T) {
				h, id := host.Draw(t, "host"), up.Draw(t, "up")
				instance := rapid.SampledFrom([]string{"", w.processes[id].instance, "u1-1", "lie"}).Draw(t, "instance")
				h.inbox = append(h.inbox, core.UpstreamProbe{Upstream: id, Instance: instance, Draining: rapid.Bool().Draw(t, "draining")})
			},
			"domain": func(t *rapid.T) {
				next := declare(w.topology.Generation + 1)
				next.Domains["d1"] = rapid.SampledFrom([]core.DomainState{core.In, core.Leaving, core.Out}).Draw(t, "state")
				w.topology = next
				for _, h := range w.hosts {
					h.inbox = append(h.inbox, core.TopologyChanged{Topology: next})
				}
			},
			"renew": func(*rapid.T) { w.renew() },
			"planned move": func(t *rapid.T) {
				id := up.Draw(t, "up")
				w.move(id, host.Draw(t, "to"))
			},
			"pause": func(t *rapid.T) { host.Draw(t, "host").paused = true },
			"wake":  func(*rapid.T) { w.resumeAll() },
			"wake and pass": func(t *rapid.T) {
				w.resumeAll()
				for range rapid.IntRange(1, 40).Draw(t, "steps") {
					w.run(simStep)
				}
			},
			"take over": func(t *rapid.T) { w.takeOver(up.Draw(t, "up"), host.Draw(t, "to")) },
			"tell":      func(*rapid.T) { w.syncOwnership() },
			"":          func(t *rapid.T) { w.checkOwners(t) },
		})
		w.syncOwnership()
		w.finish()
	})
}

// run processes the pending events of all running hosts, renews the exclusive
// periods and advances the clock.
func (w *sim) run(d time.Duration) {
	for _, h := range w.hosts {
		w.work(h, 100)
	}
	w.renew()
	w.advance(d)
}

func (w *sim) renew() {
	for up, holder := range w.holders {
		if !holder.paused {
			holder.owners.Exclusive[up] = w.now.Add(simExclusive)
		}
	}
}

// move is a planned handover; it completes when the holder has released the
// share.
func (w *sim) move(up core.UpstreamID, to *simHost) {
	from := w.holders[up]
	if from.paused || to.paused || from == to {
		return
	}
	from.owners.Drains[up] = true
	from.owners.Released = nil
	for range 400 {
		w.run(simStep)
		if len(from.owners.Released) > 0 {
			from.owners.Exclusive[up] = time.Time{}
			w.assign(up, to, from.owners.ReleasedWarm[up])
			return
		}
	}
	w.t.Fatalf("%s was not released in 2 s", up)
}

func (w *sim) resumeAll() {
	for _, h := range w.hosts {
		h.paused = false
	}
}

// takeOver pauses the holder of a share and assigns the share to another host
// once the holder's exclusive period has ended.
func (w *sim) takeOver(up core.UpstreamID, to *simHost) {
	from := w.holders[up]
	if to.paused || from == to {
		return
	}
	from.paused = true
	for !w.now.After(from.owners.Exclusive[up]) {
		w.run(100 * time.Millisecond)
	}
	w.overlap[up] = true
	w.assign(up, to, false)
}

// syncOwnership updates every host's view of who holds the shares.
func (w *sim) syncOwnership() {
	for up, holder := range w.holders {
		for _, h := range w.hosts {
			h.owners.Owners[up] = holder.id
			if h != holder {
				h.owners.Exclusive[up] = time.Time{}
			}
		}
	}
}

// checkOwners checks that no owner exceeds its own limit of attempts in flight.
func (w *sim) checkOwners(t *rapid.T) {
	for _, h := range w.hosts {
		for _, s := range h.o.ordered {
			if len(s.running) > s.maxInFlight() {
				t.Fatalf("%s runs %d attempts on %s", h.id, len(s.running), s.up.ID)
			}
		}
	}
}
