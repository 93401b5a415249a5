package scatter_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// quarantineTier is a tier of hosts that share their findings through a store with
// random delays, and callers that repeat one request that crashes upstreams.
type quarantineTier struct {
	now           time.Time
	random        *rand.Rand
	hosts         []*scatter.Engine
	later         schedule.Timers[func()]
	stored        map[core.HostID][]scatter.Suspect
	maxStoreDelay time.Duration // until a host receives what is stored
	starts        map[core.UpstreamID]int64
	downUntil     map[core.UpstreamID]time.Time
	crashed       []time.Time
	// If crashAt is set, the request is sound, and each upstream crashes at that time.
	crashAt  map[core.UpstreamID]time.Time
	answered map[scatter.AnswerKind]int
}

func newQuarantineTier(seed uint64) *quarantineTier {
	s := &quarantineTier{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), hosts: make([]*scatter.Engine, 8), stored: map[core.HostID][]scatter.Suspect{},
		maxStoreDelay: time.Second, starts: map[core.UpstreamID]int64{}, downUntil: map[core.UpstreamID]time.Time{}, answered: map[scatter.AnswerKind]int{},
	}
	for n := range 6 {
		s.starts[core.UpstreamID(fmt.Sprint("u-", n))] = 1
	}
	for n := range s.hosts {
		s.start(n)
	}
	s.run(2 * time.Second)
	return s
}

func (s *quarantineTier) host(n int) core.HostID { return core.HostID(fmt.Sprint("host-", n)) }

// start starts or restarts a host, which reads the stored findings.
func (s *quarantineTier) start(n int) {
	var hosts []scatter.Host
	for i := range s.hosts {
		hosts = append(hosts, scatter.Host{ID: s.host(i), Domain: "d1", Cores: 1})
	}
	e := scatter.New(scatter.Options{
		Self: s.host(n), Domain: "d1", AssumedHosts: len(s.hosts), Random: s.random.Float64,
		Extra: scatter.ExtraLimits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second},
	})
	s.hosts[n] = e
	s.step(e, scatter.HostsSeen{Hosts: hosts})
	s.step(e, scatter.UpstreamsListed{Upstreams: s.upstreams()})
	route := &scatter.Route{
		Name: "fetch", Host: "h.example", Prefix: fetchPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms,
		MaxUpstreams: 2, Targets: []scatter.Target{{Service: "files", Weight: 1}},
	}
	s.step(e, scatter.ConfigSeen{Config: scatter.NewConfig(1, []*scatter.Route{route}, map[core.ServiceID]scatter.Service{"files": {ID: "files", Connections: 96}}, scatter.CallerLimits{})})
	// A host reads all findings at its start in one event.
	s.step(e, scatter.SuspectsSeen{ByHost: maps.Clone(s.stored)})
}

func (s *quarantineTier) upstreams() (all []scatter.Upstream) {
	for id, started := range s.starts {
		all = append(all, scatter.Upstream{ID: id, Service: "files", Domain: "d1", Address: "10.0.0.1:1", Slots: 6, Started: started})
	}
	slices.SortFunc(all, func(a, b scatter.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// deliver passes the stored findings to a host after a random delay.
func (s *quarantineTier) deliver(e *scatter.Engine, n int) {
	s.later.Add(s.now.Add(time.Duration(s.random.Int64N(int64(s.maxStoreDelay)))), func() {
		if s.hosts[n] == e { // not restarted in the meantime
			s.step(e, scatter.SuspectsSeen{ByHost: maps.Clone(s.stored)})
		}
	})
}

func (s *quarantineTier) step(e *scatter.Engine, event scatter.Event) {
	var out scatter.Actions
	e.Step(s.now, event, &out)
	for _, send := range out.Sends {
		after, outcome := s.serve(send)
		s.later.Add(s.now.Add(after), func() { s.step(e, scatter.AttemptEnded{Attempt: send.Attempt, Outcome: outcome}) })
	}
	for _, a := range out.Answers {
		s.answered[a.Kind]++
	}
	for _, check := range out.Checks {
		u := check.Target
		result := scatter.UpstreamListens
		if s.now.Before(s.downUntil[u.ID]) {
			result = scatter.UpstreamRefuses
		}
		s.later.Add(s.now.Add(ms), func() { s.step(e, scatter.UpstreamChecked{Upstream: u.Start(), Result: result, Round: check.Round}) })
	}
	if out.Suspects != nil {
		n := slices.Index(s.hosts, e)
		s.stored[s.host(n)] = out.Suspects.Suspects
		for i, other := range s.hosts {
			s.deliver(other, i)
		}
	}
}

// serve returns how an upstream serves a request, and after what time.
func (s *quarantineTier) serve(send scatter.Send) (time.Duration, scatter.Outcome) {
	const work = 160 * ms // of a sound request
	id := send.Target.ID
	crashAt := s.crashAt[id]
	switch {
	case s.now.Before(s.downUntil[id]) || send.Target.Started != s.starts[id]:
		return ms, scatter.Unreached
	case s.crashAt == nil:
		s.crash(id, time.Second)
		return ms, scatter.Lost
	case crashAt.After(s.now) && !s.now.Add(work).Before(crashAt):
		return crashAt.Sub(s.now), scatter.Lost
	default:
		return work, scatter.Succeeded
	}
}

// ask sends the request to a random host.
func (s *quarantineTier) ask(call core.CallID) {
	n := s.random.IntN(len(s.hosts))
	s.step(s.hosts[n], scatter.RequestArrived{Call: call, RequestID: fmt.Sprint(call), Host: "h.example", Path: fetchPath, At: s.now, Budget: time.Second, Fingerprint: crashingRequest})
}

// crash crashes an upstream, which restarts after a while.
func (s *quarantineTier) crash(id core.UpstreamID, downFor time.Duration) {
	s.crashed = append(s.crashed, s.now)
	s.downUntil[id] = s.now.Add(downFor)
	s.later.Add(s.downUntil[id], func() {
		s.starts[id]++
		for _, e := range s.hosts {
			s.step(e, scatter.UpstreamsListed{Upstreams: s.upstreams()})
		}
	})
}

func (s *quarantineTier) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		next, host := s.later.Next(), -1
		for i, e := range s.hosts {
			if due := e.Next(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
				next, host = due, i
			}
		}
		if next.IsZero() || next.After(end) {
			break
		}
		if next.After(s.now) {
			s.now = next
		}
		if host >= 0 {
			s.step(s.hosts[host], scatter.Tick{})
		} else if fire, ready := s.later.Pop(s.now); ready {
			fire()
		}
	}
	s.now = end
}

// TestTierQuarantinesACrashingRequest: callers repeat a request that crashes
// upstreams, while hosts are restarted. From four seconds after the third crash on,
// at most three more upstreams may crash.
func TestTierQuarantinesACrashingRequest(t *testing.T) {
	for seed := range uint64(40) {
		s := newQuarantineTier(seed)
		var call core.CallID
		for end := s.now.Add(40 * time.Second); s.now.Before(end); s.run(time.Duration(s.random.Int64N(int64(400 * ms)))) {
			call++
			s.ask(call)
			if s.random.IntN(40) == 0 {
				s.start(s.random.IntN(len(s.hosts)))
			}
			if s.random.IntN(200) == 0 {
				for n := range s.hosts {
					s.start(n)
				}
			}
		}
		if len(s.crashed) < 2 {
			t.Fatalf("seed %d: only %d upstreams crashed", seed, len(s.crashed))
		}
		if len(s.crashed) < 3 {
			continue
		}
		known := s.crashed[2].Add(4 * time.Second)
		later := 0
		for _, at := range s.crashed {
			if at.After(known) {
				later++
			}
		}
		if later > 3 {
			t.Errorf("seed %d: %d upstreams crashed, %d of them after the quarantine was due", seed, len(s.crashed), later)
		}
	}
}

// TestSoundQuestionIsServedAfterItsUpstreamsCrashTogether guards against a question
// that many ask and that stays refused after all upstreams of its service crashed
// together: each host counted the crash of another upstream.
func TestSoundQuestionIsServedAfterItsUpstreamsCrashTogether(t *testing.T) {
	for seed := range uint64(40) {
		s := newQuarantineTier(seed)
		s.crashAt = map[core.UpstreamID]time.Time{}
		for _, u := range s.upstreams() {
			at := s.now.Add(5*time.Second + time.Duration(s.random.Int64N(int64(50*ms))))
			s.crashAt[u.ID] = at
			s.later.Add(at, func() { s.crash(u.ID, 4500*ms) })
		}
		call := core.CallID(0)
		askFor := func(d time.Duration) {
			for end := s.now.Add(d); s.now.Before(end); s.run(10 * ms) {
				call++
				s.ask(call)
			}
			s.run(time.Second)
		}
		// At start, hosts refuse some requests until they have learned the latencies.
		checkServed := func(when string) {
			clear(s.answered)
			askFor(time.Second)
			refused := uint64(0)
			for _, e := range s.hosts {
				refused += e.Stats().QuarantineRefused
			}
			if served := s.answered[scatter.PassedOn]; refused > 0 || served < 95 {
				t.Errorf("seed %d: %s, %d of 100 requests are served, %d were quarantined", seed, when, served, refused)
			}
		}
		askFor(12 * time.Second)
		if len(s.crashed) != len(s.starts) {
			t.Fatalf("seed %d: %d upstreams crashed", seed, len(s.crashed))
		}
		checkServed("after the upstreams are back")
		if seed%2 == 0 { // they crash once more
			for _, u := range s.upstreams() {
				at := s.now.Add(2*time.Second + time.Duration(s.random.Int64N(int64(50*ms))))
				s.crashAt[u.ID] = at
				s.later.Add(at, func() { s.crash(u.ID, 4500*ms) })
			}
			askFor(8 * time.Second)
			checkServed("after they crashed twice")
		}
		for n := range s.hosts {
			s.start(n)
		}
		s.run(2 * time.Second)
		checkServed("after a restart of all hosts")
	}
}
