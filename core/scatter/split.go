package scatter

import "github.com/samphirebeam/samphirebeam/core"

// weightedRoundRobin distributes a route's requests over its targets by weight.
// Each request goes to the target that is furthest behind its share, so that every
// run of consecutive requests is distributed in proportion to the weights.
type weightedRoundRobin struct{ credit []float64 }

// next returns the service for the next request.
func (s *weightedRoundRobin) next(targets []Target) core.ServiceID {
	if s.credit == nil {
		s.credit = make([]float64, len(targets))
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	best := 0
	for i, t := range targets {
		s.credit[i] += t.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return targets[best].Service
}

// randomize sets random initial credits, so that hosts do not choose the same
// targets at the same time.
func (s *weightedRoundRobin) randomize(targets []Target, random func() float64) {
	s.credit = make([]float64, len(targets))
	for i, t := range targets {
		s.credit[i] = t.Weight * random()
	}
}
