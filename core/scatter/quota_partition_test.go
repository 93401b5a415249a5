package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestQuotaWithOutdatedListOfGatherers guards against gatherers that are cut off from the
// others and keep an older list of them: each side grants the shares by its own list, and
// the two lists add up to more than the whole quota.
func TestQuotaWithOutdatedListOfGatherers(t *testing.T) {
	s := newQuotaTier(t, load(0, 100, 50, 600, ""))
	from := s.now
	cut := s.owner().Domain
	s.cut(cut, 1)
	others := hostsOutside(s, cut)
	for _, h := range s.gatherers {
		if h.Domain != cut {
			s.step(h, scatter.HostsSeen{Hosts: append([]scatter.Host{}, others...)})
		}
	}
	s.run(20 * time.Second)
	s.check(from, 0)
}

// hostsOutside returns the gatherers that are not in a failure domain.
func hostsOutside(s *quotaTier, domain core.DomainID) (hosts []scatter.Host) {
	for _, h := range s.gatherers {
		if h.Domain != domain {
			hosts = append(hosts, h.Host)
		}
	}
	return hosts
}

// TestQuotaAcrossARefusingCut guards against a cut across failure domains whose sides refuse
// each other's connections: each side takes the hosts of the other one for hosts that are
// down, and grants their shares.
func TestQuotaAcrossARefusingCut(t *testing.T) {
	s := newQuotaTier(t, load(0, 100, 50, 600, ""))
	from := s.now
	for i, h := range s.gatherers {
		h.side, h.rejects = i%2, true
	}
	s.run(20 * time.Second)
	s.check(from, 0)
}
