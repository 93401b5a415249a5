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
	servers       []*tierServer
	kind          crashKind
	work          time.Duration // of the request that crashes upstreams
	leaves        time.Duration // after which a caller leaves, if set
	calm          bool          // callers that ask this time do not leave
	arrived       []time.Time   // requests that crash upstreams
	crashed       []time.Time
	// If crashAt is set, the request is sound, and each upstream crashes at that time.
	crashAt  map[core.UpstreamID]time.Time
	answered map[scatter.AnswerKind]int
}

// tierServer is a place where one start of an upstream follows on another.
type tierServer struct {
	scatter.Upstream
	boots     int
	downUntil time.Time
	// expired are entries of earlier starts that are still listed.
	stale []scatter.Upstream
}

// crashKind is how upstreams crash and come back.
type crashKind int

const (
	portCloses crashKind = iota // connections are refused while it is down
	backAtOnce                  // it accepts connections again at once
	newID                       // as before, as another upstream at the same address
	goesSilent                  // it neither answers nor refuses for two seconds
	expires                     // its port stays closed, it is back at another address
)

var crashKinds = map[string]crashKind{"port closes": portCloses, "back at once": backAtOnce, "new ID": newID, "silent": goesSilent, "expires": expires}

func newQuarantineTier(seed uint64) *quarantineTier { return newQuarantineTierOf(seed, 6) }

func newQuarantineTierOf(seed uint64, servers int) *quarantineTier {
	s := &quarantineTier{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), hosts: make([]*scatter.Engine, 8), stored: map[core.HostID][]scatter.Suspect{},
		maxStoreDelay: time.Second, answered: map[scatter.AnswerKind]int{},
	}
	for n := range servers {
		s.servers = append(s.servers, &tierServer{boots: 1, Upstream: scatter.Upstream{
			ID: core.UpstreamID(fmt.Sprint("u-", n)), Service: "files", Domain: "d1", Address: fmt.Sprintf("10.0.0.%d:1", n), Slots: 6, Started: 1,
		}})
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
	for _, server := range s.servers {
		all = append(append(all, server.Upstream), server.stale...)
	}
	slices.SortFunc(all, func(a, b scatter.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// serverOf returns the server at an address, which may be another one than the upstream
// that had it.
func (s *quarantineTier) serverOf(u scatter.Upstream) *tierServer {
	for _, server := range s.servers {
		if server.Address == u.Address {
			return server
		}
	}
	return nil
}

// announce passes the list of the upstreams to all hosts.
func (s *quarantineTier) announce() {
	for _, e := range s.hosts {
		s.step(e, scatter.UpstreamsListed{Upstreams: s.upstreams()})
	}
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
	for _, c := range out.Cancels {
		s.later.Add(s.now.Add(ms), func() { s.step(e, scatter.AttemptEnded{Attempt: c.Attempt, Outcome: scatter.Lost}) })
	}
	for _, a := range out.Answers {
		s.answered[a.Kind]++
	}
	for _, check := range out.Checks {
		u := check.Target
		result, after := scatter.UpstreamListens, ms
		switch server := s.serverOf(u); {
		case server != nil && !s.now.Before(server.downUntil):
		case server != nil && s.kind == goesSilent:
			result, after = scatter.CheckFailed, 300*ms
		default:
			result = scatter.UpstreamRefuses
		}
		s.later.Add(s.now.Add(after), func() { s.step(e, scatter.UpstreamChecked{Upstream: u.Start(), Result: result, Round: check.Round}) })
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
	server := s.serverOf(send.Target)
	switch {
	case server != nil && s.now.Before(server.downUntil) && s.kind == goesSilent:
		return 500 * ms, scatter.Unreached
	case server == nil || s.now.Before(server.downUntil):
		return ms, scatter.Unreached
	case send.Target.ID != server.ID:
		return ms, scatter.WrongInstance
	case s.crashAt == nil:
		start := server.boots
		s.arrived = append(s.arrived, s.now)
		s.later.Add(s.now.Add(s.work), func() {
			if server.boots == start && !s.now.Before(server.downUntil) {
				s.crash(server, time.Second)
			}
		})
		if s.kind == goesSilent {
			return s.work + 2*time.Second, scatter.Lost
		}
		return s.work + ms, scatter.Lost
	}
	crashAt := s.crashAt[send.Target.ID]
	if crashAt.After(s.now) && !s.now.Add(work).Before(crashAt) {
		return crashAt.Sub(s.now), scatter.Lost
	}
	return work, scatter.Succeeded
}

// ask sends the request to a random host, and returns which.
func (s *quarantineTier) ask(call core.CallID) (n int) {
	n = s.random.IntN(len(s.hosts))
	if s.leaves > 0 && !s.calm {
		e := s.hosts[n]
		s.later.Add(s.now.Add(s.leaves), func() { s.step(e, scatter.CallerGone{Call: call}) })
	}
	s.step(s.hosts[n], scatter.RequestArrived{Call: call, RequestID: fmt.Sprint(call), Host: "h.example", Path: fetchPath, At: s.now, Budget: time.Second, Fingerprint: crashingRequest})
	return n
}

// crash crashes an upstream, which is back after a while as its kind of crash says.
func (s *quarantineTier) crash(server *tierServer, downFor time.Duration) {
	s.crashed = append(s.crashed, s.now)
	const expiry = 3600 * ms // of an entry
	switch s.kind {
	case backAtOnce, newID:
		downFor = 0
	case goesSilent:
		downFor = 2 * time.Second
	case expires:
		downFor = 4500 * ms
	case portCloses:
	}
	old := server.Upstream
	server.downUntil = s.now.Add(downFor)
	s.later.Add(server.downUntil, func() {
		server.boots++
		if s.kind == newID || s.kind == expires {
			server.ID = core.UpstreamID(fmt.Sprintf("u-%d-%d", slices.Index(s.servers, server), server.boots))
		}
		if s.kind == expires {
			server.Address = fmt.Sprintf("10.0.%d.%d:1", server.boots, slices.Index(s.servers, server))
		}
	})
	s.later.Add(server.downUntil.Add(200*ms), func() {
		server.Started++
		if s.kind == newID {
			server.stale = append(server.stale, old)
		}
		s.announce()
	})
	if s.kind == newID {
		s.later.Add(s.now.Add(expiry), func() {
			server.stale = slices.DeleteFunc(server.stale, func(u scatter.Upstream) bool { return u.ID == old.ID })
			s.announce()
		})
	}
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
		for _, u := range s.servers {
			at := s.now.Add(5*time.Second + time.Duration(s.random.Int64N(int64(50*ms))))
			s.crashAt[u.ID] = at
			s.later.Add(at, func() { s.crash(u, 4500*ms) })
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
		if len(s.crashed) != len(s.servers) {
			t.Fatalf("seed %d: %d upstreams crashed", seed, len(s.crashed))
		}
		checkServed("after the upstreams are back")
		if seed%2 == 0 { // they crash once more
			for _, u := range s.servers {
				at := s.now.Add(2*time.Second + time.Duration(s.random.Int64N(int64(50*ms))))
				s.crashAt[u.ID] = at
				s.later.Add(at, func() { s.crash(u, 4500*ms) })
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
