package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// lateArrivals returns how many requests that crash upstreams reached one later than four
// seconds after the third crash.
func (s *quarantineTier) lateArrivals() (late int) {
	if len(s.crashed) < 3 {
		return 0
	}
	for _, at := range s.arrived {
		if at.After(s.crashed[2].Add(4 * time.Second)) {
			late++
		}
	}
	return late
}

// TestTierFindsCrashesWithoutOtherWork guards against a request that crashes upstreams
// without end since no other request happens to meet the crash: its caller leaves or stays,
// and the upstream comes back in different ways.
func TestTierFindsCrashesWithoutOtherWork(t *testing.T) {
	for name, kind := range crashKinds {
		for _, leaves := range []time.Duration{0, 60 * ms} {
			for _, every := range []time.Duration{700 * ms, 2500 * ms} {
				t.Run(name+", leaves after "+leaves.String()+", every "+every.String(), func(t *testing.T) {
					worst, most := 0, 0
					for seed := range uint64(10) {
						s := newQuarantineTierOf(seed, 16)
						s.kind, s.leaves, s.work = kind, leaves, 100*ms
						for call := core.CallID(1); s.now.Before(epoch.Add(time.Minute)); call++ {
							s.ask(call)
							s.run(every)
						}
						if late := s.lateArrivals(); late > 3 {
							t.Errorf("seed %d: %d crashes, %d requests reached upstreams after the quarantine was due", seed, len(s.crashed), late)
						}
						worst, most = max(worst, s.lateArrivals()), max(most, len(s.crashed))
					}
					t.Logf("at most %d crashes, %d requests after the quarantine was due", most, worst)
				})
			}
		}
	}
}

// TestPlannedStopsAreNoEvidence: callers of a sound question leave, and upstreams stop as
// planned and are replaced.
func TestPlannedStopsAreNoEvidence(t *testing.T) {
	for name, stop := range map[string]func(r *rig, u scatter.Upstream){
		"drains": func(r *rig, u scatter.Upstream) {
			u.Draining = true
			r.step(scatter.UpstreamSeen{Upstream: u})
		},
		"its entry is removed while it serves": func(r *rig, u scatter.Upstream) {
			r.step(scatter.UpstreamRemoved{ID: u.ID})
		},
		"its failure domain is taken out": func(r *rig, _ scatter.Upstream) {
			r.step(scatter.DomainsOut{Domains: map[core.DomainID]bool{"d1": true, "d2": true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 1)
			r.step(scatter.SuspectsSeen{})
			ended := map[core.UpstreamID]bool{}
			r.refuses = func(id core.UpstreamID) bool { return ended[id] }
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return s.Deadline.Sub(r.now), scatter.Lost }
			for started := range int64(4) {
				clear(ended)
				for _, u := range pair("files") {
					u.Started = started
					r.step(scatter.UpstreamSeen{Upstream: u})
				}
				r.step(scatter.DomainsOut{})
				r.run(3 * time.Second)
				for range 2 {
					call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, Budget: time.Second})
					r.run(10 * ms)
					r.step(scatter.CallerGone{Call: call})
				}
				for _, u := range pair("files") {
					u.Started = started
					stop(r, u)
				}
				r.run(3 * time.Second)
				ended["files-a"], ended["files-b"] = true, true
				r.run(time.Second)
			}
			for _, stored := range r.storedSuspects {
				if len(stored) > 0 {
					t.Errorf("suspected: %v", stored)
				}
			}
		})
	}
}

// TestEachEvidenceOfACrashCounts: two crashes count, whichever way the request was sent and
// ended here, and whichever way the crash becomes known; the upstream gets no other request.
func TestEachEvidenceOfACrashCounts(t *testing.T) {
	type way struct {
		path             string
		fromHost, relays bool
		leaves           bool
		lost             bool // the answer is lost while the upstream still listens
		repeat           bool // hedged or retried at a second upstream
	}
	for name, w := range map[string]way{
		"caller leaves":             {path: fetchPath, leaves: true},
		"caller leaves a handover":  {path: fetchPath, leaves: true, fromHost: true},
		"caller leaves a gather":    {path: gatherPath, leaves: true},
		"caller leaves an order":    {path: orderPath, leaves: true},
		"answer is lost":            {path: orderPath, lost: true},
		"answer is lost, retry":     {path: fetchPath, lost: true, repeat: true},
		"deadline passes":           {path: orderPath},
		"deadline passes, hedge":    {path: fetchPath, repeat: true},
		"relay fails":               {path: gatherPath, relays: true},
		"caller leaves, relay runs": {path: gatherPath, relays: true, leaves: true},
	} {
		for kind, show := range map[string]func(r *rig, ended map[core.UpstreamID]bool, u scatter.Upstream){
			"port closes": func(r *rig, ended map[core.UpstreamID]bool, u scatter.Upstream) { ended[u.ID] = true },
			"newer start": func(r *rig, _ map[core.UpstreamID]bool, u scatter.Upstream) {
				u.Started++
				r.step(scatter.UpstreamSeen{Upstream: u})
			},
			"another one at its address": func(r *rig, ended map[core.UpstreamID]bool, u scatter.Upstream) {
				ended[u.ID] = true
				u.ID += "-next"
				u.Started++
				r.step(scatter.UpstreamSeen{Upstream: u})
			},
			"entry expires": func(r *rig, ended map[core.UpstreamID]bool, u scatter.Upstream) {
				r.run(2 * time.Second)
				ended[u.ID] = true
				r.step(scatter.UpstreamRemoved{ID: u.ID})
			},
			"found by another host": func(r *rig, ended map[core.UpstreamID]bool, u scatter.Upstream) {
				ended[u.ID] = true
				other := scatter.Suspect{Fingerprint: core.FingerprintOf([]byte("other")), Ended: []scatter.Crash{{UpstreamStart: u.Start(), Order: 1}}}
				r.step(scatter.SuspectsSeen{ByHost: map[core.HostID][]scatter.Suspect{"host-2": {other}}})
			},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				r := newRig(t)
				if w.relays {
					r = newRelayRig(t)
				} else {
					r.configure(1, 1)
				}
				r.step(scatter.SuspectsSeen{})
				r.probed = func(id core.HostID) { r.later.Add(r.now.Add(ms), func() { r.step(scatter.HostAlive{ID: id}) }) }
				ended := map[core.UpstreamID]bool{}
				r.refuses = func(id core.UpstreamID) bool { return ended[id] }
				r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
					if ended[s.Target.ID] {
						return ms, scatter.Unreached
					}
					if w.lost {
						return 20 * ms, scatter.Lost
					}
					return s.Deadline.Sub(r.now), scatter.Lost
				}
				r.relayed = func(s scatter.Send) (time.Duration, scatter.AttemptEnded) {
					if w.leaves {
						return s.Deadline.Sub(r.now), scatter.AttemptEnded{Outcome: scatter.Lost}
					}
					return 20 * ms, scatter.AttemptEnded{Outcome: scatter.Lost, RelayFault: true}
				}
				for range 2 {
					before := len(r.sends)
					call := r.arrive(scatter.RequestArrived{Path: w.path, FromHost: w.fromHost, Fingerprint: crashingRequest, Budget: time.Second})
					r.run(50 * ms)
					if w.leaves {
						r.step(scatter.CallerGone{Call: call})
					} else {
						r.run(800 * ms)
					}
					sends := r.sends[before:]
					if len(sends) == 0 {
						t.Fatal("nothing was sent")
					}
					var at scatter.Send
					for _, s := range sends {
						if !ended[s.Target.ID] && at.Via.ID == "" {
							at = s
						}
					}
					r.run(100 * ms)
					show(r, ended, at.Target)
					r.run(3 * time.Second)
				}
				r.want(r.arrive(scatter.RequestArrived{Path: w.path, Fingerprint: crashingRequest}), scatter.Refused)
			})
		}
	}
}

// TestTierFindsCrashesOfStoppedHosts guards against a request that crashes upstreams without
// end because each host that sends it stops before the crash.
func TestTierFindsCrashesOfStoppedHosts(t *testing.T) {
	for name, kind := range crashKinds {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newQuarantineTierOf(seed, 16)
				s.kind, s.leaves, s.work = kind, 60*ms, 1500*ms
				for call := core.CallID(1); s.now.Before(epoch.Add(time.Minute)); call++ {
					n := s.ask(call)
					s.run(100 * ms)
					s.step(s.hosts[n], scatter.Stopping{Until: s.now.Add(time.Second)})
					s.run(time.Second)
					s.start(n)
					s.run(1400 * ms)
				}
				if late := s.lateArrivals(); late > 3 {
					t.Errorf("seed %d: %d crashes, %d requests reached upstreams after the quarantine was due", seed, len(s.crashed), late)
				}
			}
		})
	}
}

// TestCrashIsFoundAmongManyCallersThatLeave guards against a request that crashes its
// upstreams unseen, since the host keeps no more open attempts.
func TestCrashIsFoundAmongManyCallersThatLeave(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	ended := map[core.UpstreamID]bool{}
	r.refuses = func(id core.UpstreamID) bool { return ended[id] }
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if ended[s.Target.ID] {
			return ms, scatter.Unreached
		}
		return s.Deadline.Sub(r.now), scatter.Lost
	}
	leave := func(a scatter.RequestArrived) {
		a.Path, a.Budget = fetchPath, time.Second
		call := r.arrive(a)
		r.run(2 * ms)
		r.step(scatter.CallerGone{Call: call})
		if sent := r.sends[len(r.sends)-1]; sent.Call == call {
			r.step(scatter.AttemptEnded{Attempt: sent.Attempt, Outcome: scatter.Lost})
		}
		r.run(ms)
	}
	for range 2 { // upstreams
		for range 300 {
			leave(scatter.RequestArrived{})
		}
		before := len(r.sends)
		leave(scatter.RequestArrived{Fingerprint: crashingRequest})
		last := r.sends[len(r.sends)-1].Target.ID
		if len(r.sends) == before || ended[last] {
			t.Fatal("nothing was sent")
		}
		ended[last] = true
		r.run(3 * time.Second)
	}
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest}), scatter.Refused)
}

// TestAnotherInstanceIsNoSignOfLife guards against a crash that is not found since another
// upstream answers at the address of the one that has crashed.
func TestAnotherInstanceIsNoSignOfLife(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.drain("files-b")
	r.step(scatter.SuspectsSeen{})
	taken := map[core.UpstreamID]bool{}
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if taken[s.Target.ID] {
			return ms, scatter.WrongInstance
		}
		return s.Deadline.Sub(r.now), scatter.Lost
	}
	for range 2 {
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, Budget: time.Second})
		r.run(20 * ms)
		r.step(scatter.CallerGone{Call: call})
		crashed := r.sends[len(r.sends)-1].Target
		clear(taken)
		taken[crashed.ID] = true
		r.run(time.Second) // after the deadline
		for range 4 {
			r.ask(fetchPath)
			r.run(10 * ms)
		}
		clear(taken)
		crashed.Started++
		r.step(scatter.UpstreamSeen{Upstream: crashed})
		r.run(3 * time.Second)
	}
	r.want(r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest}), scatter.Refused)
}

// TestDomainThatIsBackIsNoEvidence: upstreams stop while their failure domain is out, and
// their next starts register only after it is back.
func TestDomainThatIsBackIsNoEvidence(t *testing.T) {
	r := newRig(t)
	r.configure(1, 1)
	r.step(scatter.SuspectsSeen{})
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return s.Deadline.Sub(r.now), scatter.Lost }
	call := r.arrive(scatter.RequestArrived{Path: fetchPath, Fingerprint: crashingRequest, Budget: time.Second})
	r.run(10 * ms)
	r.step(scatter.CallerGone{Call: call})
	r.step(scatter.DomainsOut{Domains: map[core.DomainID]bool{"d1": true, "d2": true}})
	r.run(4 * time.Second)
	r.step(scatter.DomainsOut{})
	for _, u := range pair("files") {
		u.Started++
		r.step(scatter.UpstreamSeen{Upstream: u})
	}
	r.run(time.Second)
	for _, stored := range r.storedSuspects {
		if len(stored) > 0 {
			t.Errorf("suspected: %v", stored)
		}
	}
}
