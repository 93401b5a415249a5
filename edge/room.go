package edge

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A reservation waits up to roomWait for the memory of closed connections.
	roomWait     = 50 * time.Millisecond
	roomInterval = time.Millisecond
)

// roomMaker closes connections for reservations that find no memory. Decisions are made one
// after the other, so that two do not close connections for the same shortage; the wait for
// the memory of closed connections is not part of a decision. It answers crowds whose
// connections all reserve memory: the ones that were closed, which have to release theirs,
// and the heads of ordinary requests wait beside each other then.
type roomMaker struct {
	used  func() int64
	evict func(bytes int64) map[*clientConn]int64
	wait  time.Duration
	// waiting is the number of reservations that wait for memory.
	waiting atomic.Int32

	mu sync.Mutex
	// closing are the connections that were closed for memory within the last wait and
	// have not released theirs yet.
	closing map[*clientConn]closing
}

type closing struct {
	bytes int64
	at    time.Time
}

// make closes connections that hold the given number of bytes, unless as many are about to be
// released, and waits a short time until the memory is there. It returns false if none may be
// closed.
func (r *roomMaker) make(bytes int64) bool {
	goal := r.used() - bytes
	if !r.decide(goal) {
		return false
	}
	r.waiting.Add(1)
	defer r.waiting.Add(-1)
	for end := time.Now().Add(r.wait); r.used() > goal && time.Now().Before(end); {
		time.Sleep(roomInterval)
	}
	return true
}

// decide closes so many connections that the memory in use falls to the goal; it returns
// false if it will not fall.
func (r *roomMaker) decide(goal int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	missing := r.used() - goal
	for c, expected := range r.closing {
		if c.closed.Load() || now.Sub(expected.at) >= r.wait { // released, or held up
			delete(r.closing, c)
			continue
		}
		missing -= expected.bytes
	}
	if missing > 0 {
		for c, bytes := range r.evict(missing) {
			r.closing[c] = closing{bytes, now}
			missing -= bytes
		}
	}
	return missing <= 0 || len(r.closing) > 0 || r.used() <= goal
}
