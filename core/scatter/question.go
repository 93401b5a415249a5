package scatter

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// quarantineAfter upstreams that a question brought down, it is not sent
	// again for quarantineFor.
	quarantineAfter = 2
	quarantineFor   = 30 * time.Second
	// crashWindow is how long after a lost answer an upstream that cannot be
	// reached counts as brought down by what was lost there.
	crashWindow = 1500 * time.Millisecond
	// maxQuestions bounds the questions that are remembered.
	maxQuestions = 4096
	// maxLosses bounds the losses that are held against one upstream.
	maxLosses = 64
)

// questions finds the questions that crash what runs them and come again. A
// lost answer alone says little: the upstream has to be unreachable afterwards,
// and a question that was answered anywhere is cleared.
type questions struct {
	suspects map[core.Fingerprint]*suspectQuestion
	losses   map[core.UpstreamID][]loss
}

type suspectQuestion struct {
	broughtDown []core.UpstreamID
	last        time.Time
}

// loss is an answer that did not come.
type loss struct {
	question core.Fingerprint
	at       time.Time
}

func newQuestions() questions {
	return questions{suspects: map[core.Fingerprint]*suspectQuestion{}, losses: map[core.UpstreamID][]loss{}}
}

// lost notes that a question has no answer from an upstream.
func (q *questions) lost(now time.Time, question core.Fingerprint, at core.UpstreamID) {
	recent := slices.DeleteFunc(q.losses[at], func(l loss) bool { return now.Sub(l.at) > crashWindow })
	if len(recent) < maxLosses {
		recent = append(recent, loss{question, now})
	}
	q.losses[at] = recent
}

// accusation is a question that may have brought one more upstream down.
type accusation struct {
	question core.Fingerprint
	// upstreams counts those that it may have brought down.
	upstreams int
	lostFor   time.Duration // since its answer was lost there
}

// unreached notes that an upstream cannot be reached: what was lost there just
// before may have brought it down.
func (q *questions) unreached(now time.Time, at core.UpstreamID) (accused []accusation) {
	for _, l := range q.losses[at] {
		if now.Sub(l.at) <= crashWindow && q.accuse(now, l.question, at) {
			accused = append(accused, accusation{l.question, len(q.suspects[l.question].broughtDown), now.Sub(l.at)})
		}
	}
	delete(q.losses, at)
	return accused
}

// accuse returns false when the upstream was counted before.
func (q *questions) accuse(now time.Time, question core.Fingerprint, at core.UpstreamID) bool {
	s := q.suspects[question]
	if s == nil || now.Sub(s.last) > quarantineFor {
		if len(q.suspects) >= maxQuestions {
			q.forget(now)
		}
		s = &suspectQuestion{}
		q.suspects[question] = s
	}
	s.last = now
	if slices.Contains(s.broughtDown, at) {
		return false
	}
	s.broughtDown = append(s.broughtDown, at)
	return true
}

// answered clears a question: an upstream ran it and lives.
func (q *questions) answered(question core.Fingerprint) { delete(q.suspects, question) }

func (q *questions) quarantined(now time.Time, question core.Fingerprint) bool {
	s := q.suspects[question]
	return s != nil && len(s.broughtDown) >= quarantineAfter && now.Sub(s.last) < quarantineFor
}

// forget makes room: it drops what is old, or else everything.
func (q *questions) forget(now time.Time) {
	for question, s := range q.suspects {
		if now.Sub(s.last) > quarantineFor {
			delete(q.suspects, question)
		}
	}
	if len(q.suspects) >= maxQuestions {
		clear(q.suspects)
	}
}
