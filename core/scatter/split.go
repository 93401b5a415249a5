package scatter

import "github.com/samphirebeam/samphirebeam/core"

// weightedRoundRobin deals a route's requests to its targets by weight. Each request
// goes to the target that lags furthest behind its share, so that any stretch
// of requests is dealt in proportion.
type weightedRoundRobin struct{ credit []float64 }

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

// randomize sets the credits at random, so that hosts do not deal in step.
func (s *weightedRoundRobin) randomize(targets []Target, random func() float64) {
	s.credit = make([]float64, len(targets))
	for i, t := range targets {
		s.credit[i] = t.Weight * random()
	}
}
