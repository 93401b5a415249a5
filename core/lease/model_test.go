package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
)

// TestMain fixes rapid's seed so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "200"} {
		if !flagGiven(name) {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func flagGiven(name string) bool {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	return given
}

// fault is a failure that apply injects into a sim if on is true and heals
// otherwise.
type fault struct {
	name  string
	apply func(s *sim, a, b core.HostID, on bool)
}

var faults = []fault{
	{"crash", func(s *sim, a, _ core.HostID, on bool) {
		if on {
			s.crash(a)
		} else if s.hosts[a].crashed {
			s.start(a)
		}
	}},
	{"pause", func(s *sim, a, _ core.HostID, on bool) {
		if on || s.hosts[a].paused {
			s.pause(a, on)
		}
	}},
	{"replaced while paused", func(s *sim, a, _ core.HostID, on bool) {
		if on && !s.hosts[a].paused {
			s.replaceWhilePaused(a)
		}
	}},
	{"stop", func(s *sim, a, _ core.HostID, on bool) {
		if on {
			s.step(s.hosts[a], core.StopRequested{})
			s.refreshViews()
		} else if s.hosts[a].lease.holder.stopping {
			s.crash(a)
			s.start(a)
		}
	}},
	{"cut from the platform", func(s *sim, a, _ core.HostID, on bool) { s.cutPlatform(a, on) }},
	{"cut from peers", func(s *sim, a, _ core.HostID, on bool) { s.cutPeers(a, on) }},
	{"cut link", func(s *sim, a, b core.HostID, on bool) {
		s.cut[[2]core.HostID{a, b}] = on
		s.cut[[2]core.HostID{b, a}] = on
	}},
	{"cut one way", func(s *sim, a, b core.HostID, on bool) { s.cut[[2]core.HostID{a, b}] = on }},
	{"platform down", func(s *sim, _, _ core.HostID, on bool) { s.down = on }},
	{"platform slow", func(s *sim, _, _ core.HostID, on bool) {
		s.callDelay = 4 * time.Millisecond
		if on {
			s.callDelay = 900 * time.Millisecond
		}
	}},
	{"replies lost", func(s *sim, _, _ core.HostID, on bool) { s.lostReplies = valueIf(on, 0.5) }},
	{"messages lost", func(s *sim, _, _ core.HostID, on bool) { s.loss = valueIf(on, 0.3) }},
	{"messages repeated", func(s *sim, _, _ core.HostID, on bool) { s.duplicate = valueIf(on, 0.3) }},
	{"messages late", func(s *sim, _, _ core.HostID, on bool) {
		s.delay = 2 * time.Millisecond
		if on {
			s.delay = 1500 * time.Millisecond
		}
	}},
	{"clock slow", func(s *sim, a, _ core.HostID, on bool) { s.setRate(a, 1-valueIf(on, 0.05)) }},
	{"clock fast", func(s *sim, a, _ core.HostID, on bool) { s.setRate(a, 1+valueIf(on, 0.05)) }},
	{"holders drain slowly", func(s *sim, _, _ core.HostID, on bool) {
		s.drainTime = 50 * time.Millisecond
		if on {
			s.drainTime = 3 * time.Second
		}
	}},
	{"wrong view", func(s *sim, a, _ core.HostID, on bool) {
		s.refreshViews()
		if on {
			s.hosts[a].members.Hosts = s.hosts[a].members.Hosts[:1]
		}
	}},
	{"fewer upstreams", func(s *sim, _, _ core.HostID, on bool) { s.configure(map[bool]int{true: 2, false: 3}[on]) }},
}

func valueIf(on bool, v float64) float64 {
	if on {
		return v
	}
	return 0
}

// faultStep is one step of a script: a fault is injected and later healed.
type faultStep struct {
	Fault           int
	A, B            int
	Delay, Duration time.Duration
}

// script is a complete test case; a failing one can be added to
// regressionScripts.
type script struct {
	Seed  uint64
	Hosts int
	Steps []faultStep
}

func (c script) String() string { return fmt.Sprintf("%#v", c) }

func drawScript(t *rapid.T) script {
	c := script{
		Seed:  rapid.Uint64Range(0, 1<<20).Draw(t, "seed"),
		Hosts: rapid.IntRange(2, 6).Draw(t, "hosts"),
	}
	for range rapid.IntRange(1, 8).Draw(t, "moves") {
		c.Steps = append(c.Steps, faultStep{
			Fault:    rapid.IntRange(0, len(faults)-1).Draw(t, "fault"),
			A:        rapid.IntRange(0, c.Hosts-1).Draw(t, "a"),
			B:        rapid.IntRange(0, c.Hosts-1).Draw(t, "b"),
			Delay:    drawMilliseconds(t, "after", 4000),
			Duration: drawMilliseconds(t, "last", 15000),
		})
	}
	return c
}

func drawMilliseconds(t *rapid.T, name string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
}

// run runs a script, heals all faults and returns an error for the guarantee that
// was violated.
func (c script) run() error {
	s := newSim(c.Seed, c.Hosts, 3)
	w := monitorHolders(s)
	s.run(3 * time.Second)
	var last time.Duration
	var at time.Duration
	for _, m := range c.Steps {
		f := faults[m.Fault]
		a, b := s.names[m.A], s.names[m.B]
		at += m.Delay
		s.after(at, func() { f.apply(s, a, b, true) })
		s.after(at+m.Duration, func() { f.apply(s, a, b, false) })
		last = max(last, at+m.Duration)
	}
	s.run(last + 5*time.Second)
	s.refreshViews()
	// A new process waits until the lease of the old one has expired, and only a
	// few shares move at a time.
	s.run(20 * time.Second)
	if w.violation != "" {
		return fmt.Errorf("two exclusive holders: %s", w.violation)
	}
	if w.maxOverlap > maxWarmOverlap {
		return fmt.Errorf("two warm holders for %s", w.maxOverlap)
	}
	if err := s.checkSettled(); err != nil {
		return fmt.Errorf("after healing: %w", err)
	}
	return nil
}

// maxWarmOverlap is the longest time that two hosts may both hold an upstream
// warm; see extendWarmHold.
const maxWarmOverlap = unavailableReportTTL + time.Second

// Under any overlapping faults, no two hosts ever have the exclusive right to the
// same upstream at the same time, and once all faults are healed every upstream
// has one holder.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawScript(t)
		if err := c.run(); err != nil {
			t.Fatalf("%v\n%s", err, c)
		}
	})
}

// After a crash of any single host, at any phase of the renewal interval, its
// shares are taken over within five seconds.
func TestModelTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 10).Draw(t, "hosts"), 8)
		s.run(4*time.Second + drawMilliseconds(t, "phase", 1100))
		w := monitorHolders(s)
		s.crash(s.names[rapid.IntRange(0, len(s.names)-1).Draw(t, "victim")])
		s.run(5 * time.Second)
		if w.violation != "" || !allHeldOnce(s) {
			t.Fatalf("not taken over: %s", w.violation)
		}
	})
}

// regressionScripts are scripts that once violated a guarantee, each with the
// violation.
var regressionScripts = []struct {
	violation string
	script
}{
	{
		"a new process accepted the reply to its paused predecessor",
		script{Seed: 6, Hosts: 3, Steps: []faultStep{
			{6, 1, 2, 2 * ms, 405 * ms},
			{0, 1, 1, 6 * ms, 6549 * ms},
			{1, 0, 0, 21 * ms, 2 * ms},
			{17, 1, 2, 3 * ms, 3970 * ms},
			{13, 2, 1, 4 * ms, 51 * ms},
			{14, 2, 1, 1 * ms, 7426 * ms},
			{10, 0, 2, 925 * ms, 153 * ms},
			{2, 0, 0, 27 * ms, 49 * ms},
		}},
	},
}

const ms = time.Millisecond

func TestRegressionScripts(t *testing.T) {
	for _, regression := range regressionScripts {
		if err := regression.run(); err != nil {
			t.Errorf("%s: %v", regression.violation, err)
		}
	}
}
