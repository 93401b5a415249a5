package scatter_test

import (
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
	owner := func(s *quotaTier) *quotaHost { return s.owner("team-0") }
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

var _ = scatter.QuotaGrant{}
