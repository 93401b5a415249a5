package scatter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// heavy returns loads at 7.5 times the usual 40 requests per second, at a limit of 100,
// through one failure domain each.
func heavy(count int) (loads []*quotaLoad) {
	for i := range count {
		loads = append(loads, load(i, 100, 50, 300, "d1"))
	}
	return loads
}

// TestQuotaOfHeavyTeams guards against a team that gets less than its quota, or more, when
// its load rises to a multiple and comes through one failure domain.
func TestQuotaOfHeavyTeams(t *testing.T) {
	for _, count := range []int{1, 3} {
		s := newQuotaTier(t, heavy(count)...)
		from := s.now
		s.run(10 * time.Second)
		s.check(from, 0.97)
	}
}

// TestQuotaOfManySmallTeams guards against small quotas that are divided among hosts, and
// against traffic between hosts that grows with the number of teams.
func TestQuotaOfManySmallTeams(t *testing.T) {
	var loads []*quotaLoad
	for i := range 78 {
		loads = append(loads, load(i, 3, 6, 2, ""))
	}
	s := newQuotaTier(t, loads...)
	from, before := s.now, s.bytes
	s.run(10 * time.Second)
	least := s.check(from, 0.97)
	perHost := float64(s.bytes-before) / 10 / 124
	t.Logf("least %.3f, %.0f B/s per host", least, perHost)
	if perHost > 1000 {
		t.Errorf("%.0f B/s of traffic per host", perHost)
	}
}

// TestQuotaAroundFailures guards against quotas that are granted twice, or not at all,
// while the host that decides on a team fails or cannot be reached.
func TestQuotaAroundFailures(t *testing.T) {
	owner := func(s *quotaTier) *quotaHost { return s.owner() }
	for _, tt := range []struct {
		name       string
		fail, mend func(s *quotaTier)
		want       float64
	}{
		{"killed", func(s *quotaTier) { owner(s).engine = nil }, func(s *quotaTier) { s.start(owner(s)) }, 0.9},
		{"frozen", func(s *quotaTier) { owner(s).frozen = true }, func(s *quotaTier) { s.resume(owner(s)) }, 0.9},
		{"cut off", func(s *quotaTier) { owner(s).side = 1 }, func(s *quotaTier) { owner(s).side = 0 }, 0.9},
		{"domain cut off", func(s *quotaTier) { s.cut(owner(s).Domain, 1) }, func(s *quotaTier) { s.cut(owner(s).Domain, 0) }, 0.9},
		{"half killed", func(s *quotaTier) { s.killHalf() }, func(s *quotaTier) { s.startAll() }, 0.9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, perSecond := range []float64{70, 300} {
				s := newQuotaTier(t, load(0, 100, 50, perSecond, ""))
				from := s.now
				s.run(time.Second)
				tt.fail(s)
				s.run(4 * time.Second)
				s.check(from, tt.want)
				s.run(3 * time.Second)
				mended := s.now
				tt.mend(s)
				s.run(5 * time.Second)
				s.check(mended, tt.want)
				s.run(2 * time.Second)
				healed := s.now
				s.run(5 * time.Second)
				s.check(healed, 0.97)
			}
		})
	}
}

func (s *quotaTier) cut(domain any, side int) {
	for _, h := range s.gatherers {
		if h.Domain == domain {
			h.side = side
		}
	}
}

func (s *quotaTier) killHalf() {
	for i, h := range s.gatherers {
		if i%2 == 0 {
			h.engine = nil
		}
	}
}

func (s *quotaTier) startAll() {
	for _, h := range s.gatherers {
		if h.engine == nil {
			s.start(h)
		}
	}
}

// TestQuotaOfChangingTier guards against grants that are made twice, or not at all, when
// other hosts become gatherers, and against any effect of a store outage.
func TestQuotaOfChangingTier(t *testing.T) {
	for name, change := range map[string]func(s *quotaTier){
		"hosts added":  func(s *quotaTier) { s.add(30) },
		"store outage": func(s *quotaTier) { s.tell(scatter.StoreReachable{}) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, perSecond := range []float64{70, 300} {
				var loads []*quotaLoad
				for i := range 12 {
					loads = append(loads, load(i, 100, 50, perSecond, ""))
				}
				s := newQuotaTier(t, loads...)
				from := s.now
				change(s)
				s.run(5 * time.Second)
				t.Logf("least %.3f", s.check(from, 0.9))
				settled := s.now
				s.run(10 * time.Second)
				s.check(settled, 0.97)
			}
		})
	}
}

// TestQuotaChanges guards against a lowered limit that some hosts do not keep, with the
// owner behind or not, and against a raised one that does not come into force.
func TestQuotaChanges(t *testing.T) {
	for _, quota := range []scatter.Quota{{Rate: 5, Burst: 1}, {Rate: 250, Burst: 50}} {
		for _, behind := range []bool{false, true} {
			s := newQuotaTier(t, load(0, 100, 50, 300, ""))
			s.teams["team-0"].Quota = quota
			s.configure(2)
			current := s.gatherers
			if behind {
				s.gatherers = slices.DeleteFunc(slices.Clone(current), func(h *quotaHost) bool { return h == s.owner() })
			}
			s.tell(scatter.ConfigSeen{Config: s.config})
			s.gatherers = current
			s.run(6 * time.Second)
			from := s.now
			s.run(8 * time.Second)
			if !behind {
				s.check(from, 0.97)
			} else if most := s.teams["team-0"].highest(from, 5*time.Second); quota.Rate < 100 && most > 11*(5*5+1)+5*300/12+25 { // the owner runs what it receives
				t.Errorf("%d requests ran in a window", most)
			}
		}
	}
}

// TestQuotaBesideOlderBuild guards against requests that are refused while the host that
// decides is of a build that does not know the messages, and runs all that it receives.
func TestQuotaBesideOlderBuild(t *testing.T) {
	s := newQuotaTier(t, load(0, 100, 50, 60, ""))
	owner := s.owner()
	for i, h := range s.gatherers {
		h.older = h == owner || i%3 == 0
	}
	from := s.now
	s.run(8 * time.Second)
	s.check(from, 0.9)
}

// TestQuotaUnderRandomFaults guards against sequences of faults in which a quota is
// exceeded.
func TestQuotaUnderRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		s := newQuotaTier(t, load(0, 100, 50, 400, ""), load(1, 8, 20, 60, ""), load(2, 300, 10, 900, "d1"))
		s.random, s.loss = rand.New(rand.NewPCG(seed, 9)), 0.02
		from := s.now
		for i := range 24 {
			s.teams["team-2"].perSecond = []float64{20, 900}[i/3%2]
			h := s.gatherers[s.random.IntN(len(s.gatherers))]
			switch s.random.IntN(9) {
			case 0:
				h.engine = nil
			case 1:
				h.frozen = h.engine != nil
			case 2:
				h.side = s.random.IntN(4)
			case 3:
				s.cut(h.Domain, s.random.IntN(2))
			case 4:
				s.killHalf()
			case 5:
				h.side, h.rejects = 9+i, true // a cut around one host
			case 6:
				if len(s.all) == 124 {
					s.add(30)
				}
			default:
				for _, h := range s.gatherers {
					h.side, h.rejects = 0, false
					if h.frozen {
						s.resume(h)
					}
				}
				s.startAll()
			}
			s.run(time.Duration(s.random.Int64N(int64(2 * time.Second))))
		}
		for _, l := range s.teams {
			if bound, most := (l.Quota.Rate*5+l.Quota.Burst)*1.1+20, l.highest(from, 5*time.Second); float64(most) > bound {
				t.Errorf("seed %d, %s: %d requests ran in a window, the bound is %.1f", seed, l.ID, most, bound)
			}
		}
	}
}
