// Package estimate estimates service times and waits from observations.
package estimate

import "time"

const (
	// meanWeight is the weight of one observation in the mean.
	meanWeight = 1.0 / 16
	// medianStep is the relative step of the median per observation.
	medianStep = 1.0 / 32
)

// Service estimates the duration of one attempt: the mean by an EWMA, and the median
// by stochastic approximation (Robbins and Monro 1951), which a few stragglers
// hardly move.
type Service struct {
	Mean, Median time.Duration
}

// Observe records the duration of one attempt that was served.
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

// Wait estimates the wait of an attempt behind ahead others, running or queued, if
// limit attempts run concurrently.
func (s *Service) Wait(ahead, limit int) time.Duration {
	limit = max(limit, 1)
	if ahead < limit {
		return 0
	}
	return s.Mean * time.Duration(ahead-limit+1) / time.Duration(limit)
}
