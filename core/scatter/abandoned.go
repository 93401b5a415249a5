package scatter

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// maxAbandoned bounds the fingerprints, and the attempts of each, that are kept after
// their callers left.
const maxAbandoned = 64

// abandonedAttempt is an attempt that was cancelled because its caller left. The upstream
// may run the request all the same, and crash.
type abandonedAttempt struct {
	loss
	upstream UpstreamStart
	deadline time.Time // until when the upstream may run it
}

// recordAbandoned records the running attempts of a call whose caller has left. They
// count like lost answers if their upstream is found to have crashed. An answer to the
// same request clears them.
func (e *Engine) recordAbandoned(now time.Time, c *call) {
	if c.hasUpstreamAnswer() {
		return
	}
	for _, p := range c.parts {
		for _, a := range p.attempts {
			if _, running := e.attempts[a.id]; running {
				e.quarantine.abandon(now, abandonedAttempt{
					loss:     loss{c.request.Fingerprint, len(c.parts), a.sentAt, now},
					upstream: a.to.Start(), deadline: c.deadline,
				})
			}
		}
	}
}

func (q *quarantine) abandon(now time.Time, a abandonedAttempt) {
	attempts := slices.DeleteFunc(q.abandoned[a.fingerprint], func(b abandonedAttempt) bool { return !now.Before(b.deadline) })
	if len(attempts) == 0 && len(q.abandoned) >= maxAbandoned {
		q.expireAbandoned(now)
	}
	if len(attempts) < maxAbandoned && (len(attempts) > 0 || len(q.abandoned) < maxAbandoned) {
		q.abandoned[a.fingerprint] = append(attempts, a)
	}
}

// expireAbandoned removes the attempts whose deadlines have passed.
func (q *quarantine) expireAbandoned(now time.Time) {
	for fingerprint := range q.abandoned {
		q.removeAbandoned(fingerprint, func(a abandonedAttempt) bool { return !now.Before(a.deadline) })
	}
}

func (q *quarantine) removeAbandoned(fingerprint core.Fingerprint, remove func(abandonedAttempt) bool) {
	if left := slices.DeleteFunc(q.abandoned[fingerprint], remove); len(left) > 0 {
		q.abandoned[fingerprint] = left
	} else {
		delete(q.abandoned, fingerprint)
	}
}

// isAbandonedAt reports whether an upstream may run a request whose caller has left.
func (q *quarantine) isAbandonedAt(now time.Time, at UpstreamStart) bool {
	for _, attempts := range q.abandoned {
		if slices.ContainsFunc(attempts, func(a abandonedAttempt) bool { return a.upstream == at && now.Before(a.deadline) }) {
			return true
		}
	}
	return false
}

// takeAbandoned removes and returns the attempts at an upstream that has crashed.
func (q *quarantine) takeAbandoned(now time.Time, at UpstreamStart) (losses []loss) {
	q.expireAbandoned(now)
	for fingerprint, attempts := range q.abandoned {
		for _, a := range attempts {
			if a.upstream == at {
				a.at = now // the upstream has crashed at some time until now
				losses = append(losses, a.loss)
			}
		}
		q.removeAbandoned(fingerprint, func(a abandonedAttempt) bool { return a.upstream == at })
	}
	slices.SortFunc(losses, func(a, b loss) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), bytes.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return losses
}
