package upstreamstub

import "time"

// Stats holds the counters and the state of one upstream.
type Stats struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Instance string `json:"instance"`
	Cold     bool   `json:"cold"`
	Draining bool   `json:"draining"`

	Requests  uint64 `json:"requests"`
	Ran       uint64 `json:"ran"`
	Shed      uint64 `json:"shed"`
	Refused   uint64 `json:"refused"` // draining, version gone or too late
	Cancelled uint64 `json:"cancelled"`
	// Falls counts the crashes by overload during a cold start.
	Falls uint64 `json:"falls"`
	// LastFall describes the load at the latest of the Falls.
	LastFall string `json:"last_fall,omitempty"`
	Crashes  uint64 `json:"crashes"`

	Running int `json:"running"`
	// Held is the number of requests running or queued, PeakGiven its maximum.
	Held            int `json:"held"`
	PeakRunning     int `json:"peak_running"`
	PeakGiven       int `json:"peak_given"`
	Connections     int `json:"connections"`
	PeakConnections int `json:"peak_connections"`
	// OverConnections counts connections that were reset above the limit.
	OverConnections uint64 `json:"over_connections"`

	// AttemptsTwice counts attempt ids that were received more than once.
	AttemptsTwice int `json:"attempts_twice"`
	// LastStart is when a request last started to run.
	LastStart time.Time `json:"last_start"`
	// QueryRuns counts the runs by query id; only in detailed statistics.
	QueryRuns map[string]int `json:"query_runs,omitempty"`
	// QuestionRuns counts the runs by question; only in detailed statistics.
	QuestionRuns map[string]int `json:"question_runs,omitempty"`
}

// Stats returns the statistics of each upstream in the order of the Config.
func (s *Stub) Stats(detailed bool) []Stats {
	all := make([]Stats, 0, len(s.order))
	for _, u := range s.order {
		all = append(all, u.snapshot(detailed))
	}
	return all
}

func (u *upstream) snapshot(detailed bool) Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := u.stats
	stats.ID, stats.Address = u.spec.ID, u.address
	stats.Instance = u.instance
	stats.Cold = u.budget.warmth(time.Now()) < 1
	stats.Draining = u.draining
	stats.Running = u.running
	stats.Held = u.running + u.waiting
	stats.Connections = len(u.conns)
	for _, times := range u.attempts {
		if times > 1 {
			stats.AttemptsTwice++
		}
	}
	if detailed {
		stats.QueryRuns = copyCounts(u.queryRuns)
		stats.QuestionRuns = copyCounts(u.questionRuns)
	}
	return stats
}

func copyCounts(from map[string]int) map[string]int {
	to := make(map[string]int, len(from))
	for key, n := range from {
		to[key] = n
	}
	return to
}
