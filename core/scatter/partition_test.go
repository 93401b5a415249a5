package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// cutKind is how the connections of a host to all upstreams fail.
type cutKind int

const (
	noCut   cutKind = iota
	hangs           // nothing arrives, and no connection opens
	resets          // open connections are reset, new ones hang
	refuses         // open connections are reset, new ones refused
	spares          // open connections work, new ones are refused
)

var cutNames = [...]string{"none", "hangs", "resets", "refuses", "spares open connections"}

const (
	simDialTimeout = 500 * ms
	// closeShare is the share of answers after which an upstream closes the
	// connection.
	closeShare = 0.05
)

// firstTries counts callers' first tries, and those that were served.
type firstTries struct{ asked, served int }

// partition cuts hosts off from all upstreams, and lets them reach these again
// after a while; 0 is never.
func (s *tier) partition(kind cutKind, d time.Duration, hosts ...int) {
	for _, i := range hosts {
		s.cuts[s.hosts[i].ID] = kind
		s.cutAt[s.hosts[i].ID] = s.now
		if d > 0 {
			s.later.Add(s.now.Add(d), func() { delete(s.cuts, s.hosts[i].ID) })
		}
	}
}

// cutSend returns how a send of a host that is cut off ends.
func (s *tier) cutSend(kind cutKind, sender core.HostID, send scatter.Send) (time.Duration, scatter.Outcome) {
	link := simLink{sender, send.Target.ID}
	open := s.open[link]
	delete(s.open, link)
	left := send.Deadline.Sub(s.now)
	switch {
	case kind == hangs && open:
		return left, scatter.Lost
	case kind == hangs || kind == resets:
		return min(left, simDialTimeout), scatter.Unreached
	default:
		return simNetwork, scatter.Unreached
	}
}

// interrupted returns what becomes of an attempt in flight when its host is cut off.
func (s *tier) interrupted(kind cutKind, send scatter.Send) (time.Duration, scatter.Outcome) {
	if kind == hangs {
		return max(0, send.Deadline.Sub(s.now)), scatter.Lost
	}
	return 0, scatter.Lost
}

// countFirstTries counts first tries by whether their host was cut off, from the
// contact time after the cut on.
func (s *tier) countFirstTries() {
	s.cutTries, s.otherTries = firstTries{}, firstTries{}
	s.counting = true
}

const (
	// Callers of hosts that are cut off must be served two thirds as often as the
	// others, from partitionContact after the cut on, or at most tolerableFailures
	// plus one in fifty of all first tries may fail there.
	partitionContact  = 4 * time.Second
	minRelativeServed = 2.0 / 3
	tolerableFailures = 10
)

// wantPartitionMet checks that callers of hosts that are cut off were served about
// as often as the others.
func (s *tier) wantPartitionMet(t *testing.T) {
	t.Helper()
	cut, others := s.cutTries, s.otherTries
	share := func(f firstTries) float64 { return float64(f.served) / float64(max(1, f.asked)) }
	t.Logf("first tries served: %d of %d at hosts that are cut off, %d of %d at the others", cut.served, cut.asked, others.served, others.asked)
	if cut.asked == 0 {
		t.Error("no host that is cut off was asked: the test checks nothing")
	}
	failed := float64(cut.asked - cut.served)
	if share(cut) < minRelativeServed*share(others) && failed > tolerableFailures+float64(cut.asked+others.asked)/50 {
		t.Errorf("%d of %d first tries served at hosts that are cut off, %d of %d at the others", cut.served, cut.asked, others.served, others.asked)
	}
}

// TestCallersOfPartitionedHostsAreServed: callers of hosts that reach the other
// hosts but no upstream are served like those of the others (incident RECOVER).
func TestCallersOfPartitionedHostsAreServed(t *testing.T) {
	for _, kind := range []cutKind{hangs, resets, refuses, spares} {
		for _, tt := range []struct {
			hosts int
			cut   []int
		}{
			{8, []int{0}},
			{8, []int{0, 1, 3, 4, 6}},     // most
			{8, []int{0, 3, 6}},           // a failure domain
			{60, indicesBelow(60, 0.6)},   // most
			{195, indicesBelow(195, 0.6)}, // most
		} {
			t.Run(fmt.Sprintf("%s/%d of %d", cutNames[kind], len(tt.cut), tt.hosts), func(t *testing.T) {
				t.Parallel()
				s := newTier(tt.hosts, 10, simSweep, simQuick)
				s.enableRelay()
				s.offer(60, 2*time.Second, simMix...)
				s.partition(kind, 0, tt.cut...)
				s.offer(60, partitionContact-2*time.Second, simMix...)
				s.countFirstTries()
				s.offer(60, 8*time.Second, simMix...)
				s.wantPartitionMet(t)
			})
		}
	}
}

// indicesBelow returns about the given share of n indices, spread evenly.
func indicesBelow(n int, share float64) (list []int) {
	for i := range n {
		if int(float64(i+1)*share) > int(float64(i)*share) {
			list = append(list, i)
		}
	}
	return list
}

// TestPartitionedRelayDiscreditsNoUpstream: parts that a relay cannot send are sent
// directly, and their upstreams are not taken for failed ones.
func TestPartitionedRelayDiscreditsNoUpstream(t *testing.T) {
	for _, kind := range []cutKind{hangs, resets, refuses, spares} {
		s := newTier(8, 10, simSweep, simQuick)
		s.enableRelay()
		s.offer(60, 2*time.Second, simMix...)
		s.partition(kind, 0, 0, 3, 6)
		suspected := 0
		s.noted = func(by core.HostID, n scatter.Note) {
			if n.Decision == scatter.DecisionUpstreamSuspected && s.cuts[by] == noCut {
				suspected++
			}
		}
		s.offer(60, 4*time.Second, simMix...)
		if suspected > 0 {
			t.Errorf("%s: hosts that reach all upstreams suspected some %d times", cutNames[kind], suspected)
		}
	}
}
