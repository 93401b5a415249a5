package lease

import (
	"maps"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// copies keeps the states of the platform's objects, one each 200 ms.
func (s *sim) copies(states *[]map[string]simObject) {
	*states = append(*states, maps.Clone(s.objects))
	s.after(200*time.Millisecond, func() { s.copies(states) })
}

// restore sets the objects back to an earlier state. Their versions rise, as those of
// the platform client do with each era.
func (s *sim) restore(state map[string]simObject) {
	s.era = max(s.era, core.FirstEra) + 1
	s.objects = map[string]simObject{}
	for key, o := range state {
		at := core.Position{Era: s.era, Revision: core.PositionOf(o.version).Revision}
		s.objects[key] = simObject{version: at.Version(), value: o.value}
	}
	for key := range s.objects {
		s.notify(key)
	}
}

// TestRestoredTableGivesAShareToTwoHosts: the platform is restored from a copy that is
// older than joins, moves and fences. No two hosts may have the exclusive right to the
// same upstream, and afterwards all hosts hold shares again.
func TestRestoredTableGivesAShareToTwoHosts(t *testing.T) {
	for seed := range uint64(80) {
		s := newSim(seed, 6, 6)
		var states []map[string]simObject
		s.copies(&states)
		s.run(time.Duration(s.random.Int64N(int64(10 * time.Second))))
		two := ""
		s.check = func() {
			for id := range s.topology.Upstreams {
				if holders := s.exclusive(id); len(holders) > 1 && two == "" {
					two = string(id)
				}
			}
		}
		s.run(time.Second)
		for i := range 3 { // shares move to new hosts, and from hosts that end
			s.start(hostName(6 + i))
			if s.random.IntN(2) == 0 {
				s.crash(hostName(s.random.IntN(6)))
			}
			s.run(time.Duration(s.random.Int64N(int64(4 * time.Second))))
		}
		s.down = true
		s.run(time.Duration(s.random.Int64N(int64(2 * time.Second))))
		s.restore(states[s.random.IntN(len(states))])
		s.down = false
		s.run(30 * time.Second)
		if two != "" {
			t.Errorf("seed %d: two hosts had the exclusive right to %s", seed, two)
		}
		if err := s.checkSettled(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for _, name := range s.names {
			if h := s.hosts[name]; !h.crashed && h.lease.Status().ExclusiveUntil.Before(s.localTime(h)) {
				t.Errorf("seed %d: %s has no lease", seed, name)
			}
		}
	}
}
