package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// answerPeriod is the time after which a new set of answered requests is begun, and
	// maxAnswers the number after which it is. The set before it is kept.
	answerPeriod = 15 * time.Second
	maxAnswers   = 8192
)

// recentAnswers holds the fingerprints of the requests that upstreams have answered during
// the last one or two periods.
type recentAnswers struct {
	current, previous map[core.Fingerprint]struct{}
	begunAt           time.Time
}

func (r *recentAnswers) add(now time.Time, fingerprint core.Fingerprint) {
	if r.current == nil || now.Sub(r.begunAt) >= answerPeriod || len(r.current) >= maxAnswers {
		r.previous, r.current, r.begunAt = r.current, map[core.Fingerprint]struct{}{}, now
	}
	r.current[fingerprint] = struct{}{}
}

// contains reports whether such a request was answered during the last two periods.
func (r *recentAnswers) contains(now time.Time, fingerprint core.Fingerprint) bool {
	age := now.Sub(r.begunAt)
	_, found := r.current[fingerprint]
	if !found && age < answerPeriod {
		_, found = r.previous[fingerprint]
	}
	return found && age < 2*answerPeriod
}
