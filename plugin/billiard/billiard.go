// Package billiard provides a router that selects replicas in a billiard
// sequence: each replica gets its share of the sub-queries, spread as evenly as
// possible. For equal replicas this is round robin.
//
// Sources: J. Anselmi and B. Gaujal, "The price of forgetting in parallel and
// non-observable queues", Performance Evaluation 68(12), 2011, and their
// research report inria-00457603, section 5.2, which uses the SG algorithm of
// A. Hordijk and D. van der Laan, "Periodic routing to parallel queues and
// billiard sequences", Mathematical Methods of Operations Research 59(2), 2004.
package billiard

import "github.com/samphirebeam/samphirebeam/core"

// Billiard is a core.Router.
type Billiard struct{ services map[core.ServiceID]*sequence }

// sequence is the state of one service. The SG algorithm sends each job to the
// queue with the least quotient (x + k) / d, where d is the queue's share, k the
// number of jobs it has received and x its initial position.
type sequence struct {
	// now is the quotient of the last selected replica.
	now float64
	// next holds the quotient of each replica's next job.
	next map[core.UpstreamID]float64
}

const (
	// tieTolerance is the difference up to which two quotients count as equal.
	tieTolerance = 1e-9
	maxQuotient  = 1000
)

// New returns a Billiard without history.
func New() *Billiard {
	return &Billiard{services: map[core.ServiceID]*sequence{}}
}

// Pick returns the index of the next replica in the service's sequence. The
// shares are proportional to the replicas' limits. A replica that was absent for
// some time does not catch up on the sub-queries it missed.
func (b *Billiard) Pick(service core.ServiceID, replicas []core.Replica) int {
	s := b.services[service]
	if s == nil {
		s = &sequence{next: map[core.UpstreamID]float64{}}
		b.services[service] = s
	}
	return s.pick(replicas)
}

func (s *sequence) pick(replicas []core.Replica) int {
	largest := 0.0
	for _, r := range replicas {
		largest = max(largest, weight(r))
	}
	best := 0
	var bestAt float64
	for i, r := range replicas {
		at, known := s.next[r.Upstream]
		if !known {
			at = s.now + initialPosition(r, largest)
			s.next[r.Upstream] = at
		}
		at = max(at, s.now)
		if i == 0 || at < bestAt-tieTolerance {
			best, bestAt = i, at
		}
	}
	s.now = bestAt
	s.next[replicas[best].Upstream] = bestAt + 1/weight(replicas[best])
	s.rebase()
	return best
}

// rebase keeps the quotients small enough for a float64 to distinguish ties from
// rounding errors.
func (s *sequence) rebase() {
	if s.now < maxQuotient {
		return
	}
	for upstream := range s.next {
		s.next[upstream] -= s.now
	}
	s.now = 0
}

// initialPosition returns the initial quotient x / d, with x from the paper: 1
// for the fastest replicas, 0 for the others.
func initialPosition(r core.Replica, largest float64) float64 {
	if weight(r) < largest {
		return 0
	}
	return 1 / weight(r)
}

// weight returns a replica's unnormalized share: its limit, or 1 as long as that
// is unknown.
func weight(r core.Replica) float64 { return float64(max(r.Limit, 1)) }
