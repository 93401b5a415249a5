// Package estimate estimates service times and waits from observations.
package estimate

import "time"

const (
	// meanWeight is the weight of one observation in the mean.
	meanWeight = 1.0 / 16
	// medianStep is the relative step of the median.
	medianStep = 1.0 / 32
)

// Service estimates the time of one attempt: the mean
// by exponential smoothing, and the median by stochastic approximation
// (Robbins and Monro 1951), which a few stragglers do not move.
type Service struct {
	Mean, Median time.Duration
}

// Observe takes the time of one attempt that was served.
func (s *Service) Observe(took time.Duration) {
	if s.Mean == 0 {
		s.Mean, s.Median = took, took
		return
	}
	s.Mean += time.Duration(float64(took-s.Mean) * meanWeight)
	step := time.Duration(float64(s.Median)*medianStep) + 1
	switch {
	case took > s.Median:
		s.Median += step
	case took < s.Median:
		s.Median -= step
	}
}

// Wait estimates how long an attempt waits with so many before it, running or
// queued, when limit of them run at once.
func (s *Service) Wait(before, limit int) time.Duration {
	limit = max(limit, 1)
	if before < limit {
		return 0
	}
	return s.Mean * time.Duration(before-limit+1) / time.Duration(limit)
}
