package scatter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// A good version that isn't completed in time, is reverted since upstreams differ and pause, or
// is completed while requests run at the old version, which stops at once then.
func TestRolloutCompletesGoodVersion(t *testing.T) {
	for seed, rate := range []float64{20, 300, 30, 100, 400, 30, 100, 400} {
		r := newRolloutTier(t, 5, rate)
		r.random, r.uneven = rand.New(rand.NewPCG(uint64(seed), 5)), seed > 1
		r.lag = map[int]time.Duration{seed % 5: 4500 * ms}
		r.run(time.Second)
		r.addUpstreams("v2", 4)
		r.give(nil)
		r.run(rolloutTime)
		r.checkEnd(scatter.RolloutCompleted)
		if last := r.oldSends[len(r.oldSends)-1]; r.oldRunningAtEnd > 0 || last.After(r.ended) {
			t.Errorf("rate %g: %d requests ran at the old version at its end, the last send was %v after it", rate, r.oldRunningAtEnd, last.Sub(r.ended))
		}
	}
}

// Bad versions that aren't found, are found too late, or get more than their share before.
func TestRolloutRevertsBadVersion(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	part := func(share float64) bool { return random.Float64() < share }
	for name, bad := range map[string]func(string, time.Duration, int) (bool, bool){
		"failures":     func(string, time.Duration, int) (bool, bool) { return part(0.3), false },
		"slow answers": func(string, time.Duration, int) (bool, bool) { return false, part(0.4) },
		"late failures": func(_ string, since time.Duration, _ int) (bool, bool) {
			return since > 16*time.Second && part(0.5), false
		},
		"failures of a route":  func(route string, _ time.Duration, _ int) (bool, bool) { return route == "/b" && part(0.4), false },
		"slow on a route":      func(route string, _ time.Duration, _ int) (bool, bool) { return false, route == "/a" && part(0.5) },
		"failures under load":  func(_ string, _ time.Duration, running int) (bool, bool) { return running >= 4 && part(0.8), false },
		"slowness that begins": func(_ string, since time.Duration, _ int) (bool, bool) { return false, since > 12*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			rate := 400.0
			if name == "failures" {
				rate = 30 // few answers on each route
			}
			r := newRolloutTier(t, 5, rate)
			r.bad = bad
			r.run(time.Second)
			r.addUpstreams("v2", 4)
			r.give(nil)
			r.run(rolloutTime + 5*time.Second)
			r.checkEnd(scatter.RolloutReverted)
			r.checkExposure()
			if r.lost > 3 {
				t.Errorf("%d requests got no good answer", r.lost)
			}
			if slices.Contains(r.phases, scatter.RolloutSwitched) {
				t.Errorf("phases %v", r.phases)
			}
			if last := r.newSends[len(r.newSends)-1]; !r.fiftieth.IsZero() && last.Sub(r.fiftieth) > rolloutLimits.Rollback {
				t.Errorf("a request went to the bad version %v after its 50th bad answer", last.Sub(r.fiftieth))
			}
		})
	}
}

// Hosts that are killed, start and are cut off, each with a slack of its own, send more than
// the tier may.
func TestRolloutShareHoldsWhileHostsDie(t *testing.T) {
	for _, rate := range []float64{10, 300} {
		r := newRolloutTier(t, 12, rate)
		r.run(time.Second)
		r.addUpstreams("v2", 4)
		r.give(nil)
		for step := 0; r.now.Before(r.ordered.Add(18 * time.Second)); step++ {
			r.run(200 * ms)
			r.engines[step%12] = nil
			r.start((step + 6) % 12)
			r.cut = map[int]bool{step % 5: step%3 == 0}
			r.checkExposure()
		}
		if r.exposed == 0 && rate > 100 {
			t.Error("nothing was sent to the new version", r.phases)
		}
	}
}

// The slack of each host is that of the tier, or parts of gathers and their hedges do not count.
func TestRolloutShareHoldsInProbe(t *testing.T) {
	for _, rate := range []float64{60, 400} {
		r := newRolloutTier(t, 12, rate)
		if rate > 100 {
			r.paths, r.uneven = []string{"/g"}, true
			u := r.served[0]
			u.ID, u.Service = "t-0", "t"
			r.tell(scatter.UpstreamSeen{Upstream: u})
		}
		r.run(time.Second)
		r.addUpstreams("v2", 4)
		r.give(nil)
		for r.now.Before(r.ordered.Add(20 * time.Second)) {
			r.run(500 * ms)
			r.checkExposure()
		}
		if r.exposed == 0 || r.lost > r.requests/50 {
			t.Errorf("rate %g: %d of %d requests went to the new version, %d got no answer", rate, r.exposed, r.requests, r.lost)
		}
	}
}

// After a store outage that was longer than each host's attempts, none decides for long.
func TestRolloutOutlivesStoreOutage(t *testing.T) {
	r := newRolloutTier(t, 5, 100)
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(func(o *scatter.RolloutOrder) { o.Duration = 120 * time.Second })
	r.run(10 * time.Second)
	r.down = true
	r.run(60 * time.Second)
	r.down = false
	before := len(r.phases)
	r.run(3 * time.Second)
	if len(r.phases) == before {
		t.Errorf("no decision was stored after the outage; phases %v", r.phases)
	}
}

// The death of the host that decides, and a decider that the store refuses, stop the
// roll-out, or begin it anew.
func TestRolloutOutlivesDecider(t *testing.T) {
	for name, fail := range map[string]func(*rolloutTier, int){
		"killed":  func(r *rolloutTier, i int) { r.engines[i] = nil },
		"cut off": func(r *rolloutTier, i int) { r.cut[i] = true },
		"refused": func(r *rolloutTier, i int) { r.refused = i },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRolloutTier(t, 5, 300)
			r.run(time.Second)
			r.addUpstreams("v2", 4)
			r.give(nil)
			r.run(12 * time.Second)
			fail(r, r.decidedBy)
			r.run(rolloutTime - 12*time.Second)
			r.checkEnd(scatter.RolloutCompleted)
			if !slices.IsSorted(r.phases) || len(slices.Compact(slices.Clone(r.phases))) != len(r.phases) {
				t.Errorf("phases %v", r.phases)
			}
		})
	}
}

// While no decision can be stored, hosts go on sending to a version that they see fail.
func TestRolloutStopsWithoutStore(t *testing.T) {
	r := newRolloutTier(t, 3, 400)
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(8 * time.Second)
	r.down = true
	r.bad = func(string, time.Duration, int) (bool, bool) { return true, false }
	r.run(15 * time.Second)
	if last := r.newSends[len(r.newSends)-1]; r.badAnswers == 0 || last.Sub(r.ordered) > 8*time.Second+rolloutLimits.Rollback {
		t.Errorf("%d bad answers, the last request went to the bad version %v after the order", r.badAnswers, last.Sub(r.ordered))
	}
	r.newSends = nil
	for i := range r.engines {
		r.engines[i] = r.engines[i].Successor()
		for _, event := range r.state() {
			r.step(i, event)
		}
	}
	r.run(time.Second)
	if len(r.newSends) > 0 {
		t.Errorf("%d requests went there after an unexpected error", len(r.newSends))
	}
	if r.order.State != scatter.RolloutRunning {
		t.Errorf("state %q without a store", r.order.State)
	}
}

// Upstreams of another version get requests before their order is known, at a host that has
// just started, after the order was withdrawn, or by an order that makes no sense.
func TestRolloutSendsNothingWithoutOrder(t *testing.T) {
	for name, change := range map[string]func(*rolloutTier){
		"none":           func(*rolloutTier) {},
		"host restarted": func(r *rolloutTier) { r.start(0) },
		"old ones restart": func(r *rolloutTier) {
			r.bounce(5 * time.Second)
		},
		"orders not read": func(r *rolloutTier) {
			for i := range r.engines {
				r.engines[i] = r.newEngine(i)
				for _, event := range r.state()[:3] {
					r.step(i, event)
				}
			}
		},
		"zero duration": func(r *rolloutTier) {
			r.give(func(o *scatter.RolloutOrder) { o.Duration, o.Problem = 0, "no duration" })
		},
		"unknown service": func(r *rolloutTier) {
			r.give(func(o *scatter.RolloutOrder) { o.Name, o.Service = "other", "other" })
		},
		"unknown version": func(r *rolloutTier) { r.give(func(o *scatter.RolloutOrder) { o.Target = "v3" }) },
		"withdrawn": func(r *rolloutTier) {
			r.give(nil)
			r.run(5 * time.Second)
			r.order = nil
			r.tell(r.orders())
			r.run(4 * time.Second)
			r.newSends = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRolloutTier(t, 3, 200)
			r.run(time.Second)
			r.addUpstreams("v2", 4)
			r.run(time.Second)
			change(r)
			r.run(rolloutTime)
			if len(r.newSends) > 0 {
				t.Errorf("%d requests went to the new version", len(r.newSends))
			}
			if r.order != nil && (r.order.State != scatter.RolloutReverted || r.reason == "") {
				t.Errorf("state %q, reason %q", r.order.State, r.reason)
			}
		})
	}
}

// All upstreams of the old version crash during a roll-out, and the new one gets everything.
func TestRolloutShareHoldsWithoutOldVersion(t *testing.T) {
	r := newRolloutTier(t, 3, 300)
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(8 * time.Second)
	r.bounce(6 * time.Second)
	r.checkExposure()
	r.run(20 * time.Second)
	r.checkEnd(scatter.RolloutCompleted)
	// Without an order, another version takes the place of one that is gone for good.
	r.order, r.served = nil, r.served[4:]
	r.addUpstreams("v3", 1)
	r.oldSends = nil
	r.tell(scatter.UpstreamsListed{Upstreams: r.served[len(r.served)-1:]})
	r.run(baseGone + time.Second)
	answered := len(r.newSends)
	r.run(time.Second)
	if len(r.newSends) == answered {
		t.Error("the version that is left gets nothing")
	}
}

// A second order in the place of one that runs moves traffic to a third version.
func TestRolloutRefusesSecondOrder(t *testing.T) {
	r := newRolloutTier(t, 3, 200)
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(6 * time.Second)
	second := *r.order
	second.Target, second.State, second.StatusTarget = "v3", "", ""
	r.addUpstreams("v3", 2)
	r.order = &second
	r.tell(r.orders())
	r.run(3 * time.Second)
	r.newSends = nil
	r.run(rolloutTime)
	if len(r.newSends) > 0 || r.order.State != scatter.RolloutReverted || r.reason == "" {
		t.Errorf("%d requests went to the new versions, state %q, reason %q", len(r.newSends), r.order.State, r.reason)
	}
}

// A record that the store lost by a restore, or that arrives late, undoes a decision.
func TestRolloutNeverReturnsToEarlierPhase(t *testing.T) {
	r := newRolloutTier(t, 3, 300)
	r.bad = func(string, time.Duration, int) (bool, bool) { return true, false }
	r.run(time.Second)
	r.addUpstreams("v2", 4)
	r.give(nil)
	r.run(2 * time.Second)
	early := r.record
	r.run(10 * time.Second)
	r.checkEnd(scatter.RolloutReverted)
	r.newSends = nil
	for i := range r.engines {
		r.start(i) // a host's own verdict is forgotten
	}
	early.Phase, early.Revision = scatter.RolloutFirst, r.record.Revision+1
	r.tell(scatter.RolloutRecordsSeen{Records: []scatter.RolloutRecord{early}})
	r.run(5 * time.Second)
	if len(r.newSends) > 0 {
		t.Errorf("%d requests went to the version after it was reverted", len(r.newSends))
	}
}
