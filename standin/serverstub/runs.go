package serverstub

import (
	"net/http"
	"slices"
	"time"
)

// Run is one run of a request.
type Run struct {
	At     time.Time
	Header http.Header
}

// AllRuns returns the runs of all requests, by request ID.
func (s *Server) AllRuns() map[string][]Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]Run, len(s.received))
	for id, runs := range s.received {
		all[id] = slices.Clone(runs)
	}
	return all
}
