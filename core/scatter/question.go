package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// quarantineAfter upstreams that a question was lost at, it is not sent
	// again for quarantineFor.
	quarantineAfter = 2
	quarantineFor   = 30 * time.Second
	// forgetLossAfter is how long a loss is held against a question.
	forgetLossAfter = 30 * time.Second
	// maxQuestions bounds the questions that are remembered.
	maxQuestions = 4096
)

// questions remembers the questions whose requests were lost with the
// connection to an upstream: one that crashes what runs it comes again.
type questions map[core.Fingerprint]*lostQuestion

type lostQuestion struct {
	upstreams []core.UpstreamID
	last      time.Time
}

// lost notes that a question got no answer from an upstream and the
// connection broke. It returns true when the question becomes quarantined.
func (q questions) lost(now time.Time, question core.Fingerprint, at core.UpstreamID) bool {
	known := q[question]
	if known == nil || now.Sub(known.last) > forgetLossAfter {
		if len(q) >= maxQuestions {
			q.forget(now)
		}
		known = &lostQuestion{}
		q[question] = known
	}
	known.last = now
	for _, id := range known.upstreams {
		if id == at {
			return false
		}
	}
	known.upstreams = append(known.upstreams, at)
	return len(known.upstreams) == quarantineAfter
}

func (q questions) quarantined(now time.Time, question core.Fingerprint) bool {
	known := q[question]
	return known != nil && len(known.upstreams) >= quarantineAfter && now.Sub(known.last) < quarantineFor
}

// forget makes room: it drops what is old, or else everything.
func (q questions) forget(now time.Time) {
	for question, known := range q {
		if now.Sub(known.last) > forgetLossAfter {
			delete(q, question)
		}
	}
	if len(q) >= maxQuestions {
		clear(q)
	}
}
