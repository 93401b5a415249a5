package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// holderMonitor checks after every event that no two hosts have the exclusive
// right to an upstream, and measures the longest time that an upstream has two
// warm holders or none.
type holderMonitor struct {
	s            *sim
	violation    string
	overlapSince map[core.UpstreamID]time.Time
	maxOverlap   time.Duration
	lastHeld     map[core.UpstreamID]time.Time
	maxGap       time.Duration
}

func monitorHolders(s *sim) *holderMonitor {
	w := &holderMonitor{s: s, overlapSince: map[core.UpstreamID]time.Time{}, lastHeld: map[core.UpstreamID]time.Time{}}
	s.check = w.checkExclusive
	w.sample()
	return w
}

// sampleInterval is the resolution of the measured gaps and overlaps.
const sampleInterval = 50 * time.Millisecond

func (w *holderMonitor) sample() {
	w.measureWarm()
	w.s.after(sampleInterval, w.sample)
}

func (w *holderMonitor) checkExclusive() {
	for id := range w.s.topology.Upstreams {
		if holders := w.s.exclusive(id); len(holders) > 1 && w.violation == "" {
			w.violation = fmt.Sprintf("at %s: %s has the exclusive holders %v", w.s.now.Sub(time.Unix(5000, 0)), id, holders)
		}
	}
}

func (w *holderMonitor) measureWarm() {
	for id := range w.s.topology.Upstreams {
		holders := w.s.warm(id)
		w.measureOverlap(id, len(holders))
		w.measureGap(id, len(holders))
	}
}

func (w *holderMonitor) measureOverlap(id core.UpstreamID, holders int) {
	if holders < 2 {
		delete(w.overlapSince, id)
		return
	}
	if w.overlapSince[id].IsZero() {
		w.overlapSince[id] = w.s.now
	}
	w.maxOverlap = max(w.maxOverlap, w.s.now.Sub(w.overlapSince[id]))
}

func (w *holderMonitor) measureGap(id core.UpstreamID, holders int) {
	if last := w.lastHeld[id]; !last.IsZero() {
		w.maxGap = max(w.maxGap, w.s.now.Sub(last))
	}
	if holders > 0 {
		w.lastHeld[id] = w.s.now
	}
}

const victim core.HostID = "host-3"

// countHeld counts the upstreams to which a host may dispatch warm work, and
// those to which it has the exclusive right.
func countHeld(s *sim, name core.HostID) (warm, exclusive int) {
	h := s.hosts[name]
	for id := range s.topology.Upstreams {
		if h.lease.Holds(s.localTime(h), id) {
			warm++
		}
		if h.lease.ExclusiveUntil(id).After(s.localTime(h)) {
			exclusive++
		}
	}
	return warm, exclusive
}

// heldIDs returns the upstreams whose shares a host holds.
func heldIDs(l *Lease) []core.UpstreamID {
	var ids []core.UpstreamID
	for id := range l.table.byID {
		if l.heldShare(id) != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// allHeldOnce reports whether every upstream has exactly one warm holder.
func allHeldOnce(s *sim) bool {
	for id := range s.topology.Upstreams {
		if len(s.warm(id)) != 1 {
			return false
		}
	}
	return true
}

// failureCase injects a failure into a cell of eight hosts, mostly into host-3,
// and states the conditions that hold during it. docs/design/006-shares.md lists
// the same rows.
type failureCase struct {
	name     string
	inject   func(*sim)
	duration time.Duration
	// maxGap limits how long an upstream may have no warm holder during the run.
	maxGap time.Duration
	// At the end of the failure, before it is healed: the victim may still
	// dispatch warm work, it still has exclusive rights, and every upstream has
	// one warm holder.
	keepsWarm, keepsExclusive, allHeldOnce bool
	// lostMemberships is how many memberships the running hosts lose in total.
	lostMemberships int
}

const (
	no, yes      = false, true
	takeoverTime = 5 * time.Second
)

func cutBoth(s *sim) {
	s.cutPeers(victim, true)
	s.cutPlatform(victim, true)
}

// isolate cuts a group of hosts off from the platform and from all other hosts.
func isolate(names ...core.HostID) func(*sim) {
	return func(s *sim) {
		for _, name := range names {
			s.cutPeers(name, true)
			s.cutPlatform(name, true)
		}
		for _, a := range names {
			for _, b := range names {
				delete(s.cut, [2]core.HostID{a, b})
			}
		}
	}
}

var failureCases = []failureCase{
	{"crash", func(s *sim) { s.crash(victim) }, takeoverTime, takeoverTime, no, no, yes, 0},
	{"crash and restart at once", func(s *sim) { s.crash(victim); s.start(victim) }, takeoverTime, takeoverTime, yes, yes, yes, 0},
	{"the writer crashes", func(s *sim) { s.crash(s.writer(0)) }, takeoverTime, takeoverTime, yes, yes, yes, 0},
	{"the writer's domain crashes", func(s *sim) { s.crashAll(s.domainOf(s.writer(0))...) }, takeoverTime, takeoverTime, yes, yes, yes, 0},
	{"the writer and its backup crash", func(s *sim) { s.crashAll(s.writer(0), s.writer(1)) }, 7 * time.Second, 7 * time.Second, yes, yes, yes, 0},
	{"most hosts crash", func(s *sim) { s.crashAll("host-0", "host-1", "host-4", "host-5", "host-6", "host-7") }, 32 * time.Second, 32 * time.Second, yes, yes, yes, 0},
	{"most hosts crash, unnoticed by the rest", func(s *sim) {
		s.staticViews = true
		s.crashAll("host-0", "host-1", "host-4", "host-5", "host-6", "host-7")
	}, 32 * time.Second, 32 * time.Second, yes, yes, yes, 0},
	{"cut from the platform only", func(s *sim) { s.cutPlatform(victim, true) }, time.Minute, 0, yes, yes, yes, 0},
	{"the writer cut from the platform only", func(s *sim) { s.cutPlatform(s.writer(0), true) }, time.Minute, 0, yes, yes, yes, 0},
	{"cut from peers only", func(s *sim) { s.cutPeers(victim, true) }, time.Minute, 0, yes, yes, yes, 0},
	{"cut from both", cutBoth, 6 * time.Second, takeoverTime, no, no, yes, 1},
	{"three hosts cut off together", isolate(victim, "host-1", "host-2"), 6 * time.Second, takeoverTime, no, no, yes, 3},
	{"five hosts cut off together", isolate(victim, "host-0", "host-1", "host-2", "host-4"), 25 * time.Second, 0, yes, no, yes, 0},
	{"paused within the lease", func(s *sim) { s.pause(victim, true) }, 2 * time.Second, 2100 * time.Millisecond, yes, yes, no, 0},
	{"paused past the lease", func(s *sim) { s.pause(victim, true) }, 6 * time.Second, takeoverTime, no, no, yes, 1},
	{"all paused", func(s *sim) { s.pauseAll(true) }, 40 * time.Second, 41 * time.Second, no, no, no, 0},
	{"platform down", func(s *sim) { s.down = true }, 3 * time.Minute, 0, yes, no, yes, 0},
	{"platform down, a host crashes", func(s *sim) { s.down = true; s.after(20*time.Second, func() { s.crash("host-6") }) }, time.Minute, time.Minute, yes, no, no, 0},
	{"platform down, a host is paused", func(s *sim) { s.down = true; s.pauseFor(victim, 20*time.Second, 20*time.Second) }, time.Minute, 21 * time.Second, yes, no, yes, 0},
	{"platform down, cut from peers", func(s *sim) { s.down = true; s.after(20*time.Second, func() { s.cutPeers(victim, true) }) }, 40 * time.Second, 30 * time.Second, no, no, no, 0},
	{"cut from both, then platform down and peers back", func(s *sim) {
		cutBoth(s)
		s.after(8*time.Second, func() { s.down = true })
		s.after(20*time.Second, func() { s.cutPeers(victim, false) })
	}, 40 * time.Second, takeoverTime, no, no, yes, 1},
	{"platform slow", func(s *sim) { s.callDelay = 400 * time.Millisecond }, time.Minute, 0, yes, yes, yes, 0},
	{"a third of the replies lost", func(s *sim) { s.lostReplies = 0.33 }, time.Minute, 0, yes, yes, yes, 0},
	{"clock 5% slow", func(s *sim) { s.setRate(victim, 0.95) }, time.Minute, 0, yes, yes, yes, 0},
	{"clock 5% slow, cut from both", func(s *sim) { s.setRate(victim, 0.95); cutBoth(s) }, 6 * time.Second, takeoverTime, no, no, yes, 1},
}

func TestFailureCases(t *testing.T) {
	for _, row := range failureCases {
		t.Run(row.name, func(t *testing.T) {
			s := newSim(1, 8, 12)
			s.run(5 * time.Second)
			w := monitorHolders(s)
			row.inject(s)
			s.run(row.duration)
			warm, exclusive := countHeld(s, victim)
			if got := s.hosts[victim]; !got.crashed && ((warm > 0) != row.keepsWarm || (exclusive > 0) != row.keepsExclusive) {
				t.Errorf("victim holds %d upstreams, %d of them exclusively", warm, exclusive)
			}
			if allHeldOnce(s) != row.allHeldOnce {
				t.Errorf("every upstream has one warm holder: %v", !row.allHeldOnce)
			}
			s.heal()
			s.run(15 * time.Second)
			if err := s.checkSettled(); err != nil {
				t.Errorf("after healing: %v", err)
			}
			if w.violation != "" || w.maxOverlap > 0 || w.maxGap > max(row.maxGap, 2*sampleInterval) || s.lostMemberships() != row.lostMemberships {
				t.Errorf("%s overlap %s, gap %s, losses %d", w.violation, w.maxOverlap, w.maxGap, s.lostMemberships())
			}
			t.Logf("overlap %s, gap %s", w.maxOverlap, w.maxGap)
		})
	}
}
