package edge

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReservationsWaitBesideEachOther guards against reservations that wait for memory one
// after the other: in a crowd, the head of an ordinary request stands behind all of them, and
// so do the connections that were closed to make room.
func TestReservationsWaitBesideEachOther(t *testing.T) {
	t.Parallel()
	const reservations = 50
	var used atomic.Int64
	used.Store(1 << 30)
	room := roomMaker{
		used: used.Load, wait: time.Hour, closing: map[*clientConn]closing{},
		// Each connection is held up.
		evict: func(bytes int64) map[*clientConn]int64 { return map[*clientConn]int64{{}: bytes} },
	}
	var waiting sync.WaitGroup
	for i := range reservations {
		waiting.Go(func() { room.make(int64(1000 * (i + 1))) })
	}
	eventually(t, func() error {
		if n := room.waiting.Load(); n != reservations {
			return fmt.Errorf("%d of %d reservations wait", n, reservations)
		}
		return nil
	})
	used.Store(0) // the connections have released their memory
	waiting.Wait()
}

// TestOneShortageClosesNoMoreThanItNeeds guards against connections that are closed twice over
// because many reservations find the same shortage, and against a wait for connections that do
// not release their memory.
func TestOneShortageClosesNoMoreThanItNeeds(t *testing.T) {
	t.Parallel()
	closed := int64(0)
	room := roomMaker{
		used: func() int64 { return 5000 }, wait: 20 * time.Millisecond, closing: map[*clientConn]closing{},
		evict: func(bytes int64) map[*clientConn]int64 {
			closed += bytes
			return map[*clientConn]int64{{}: bytes}
		},
	}
	for range 10 {
		if !room.decide(4000) {
			t.Fatal("no room")
		}
	}
	if closed != 1000 {
		t.Errorf("connections with %d bytes were closed for 1000", closed)
	}
	if !room.decide(3500) || closed != 1500 {
		t.Errorf("connections with %d bytes were closed for 1500", closed)
	}
	time.Sleep(room.wait)
	if !room.decide(3500) || closed != 3000 {
		t.Errorf("connections with %d bytes were closed, want others in place of those that are held up", closed)
	}
	room.evict = func(int64) map[*clientConn]int64 { return nil }
	time.Sleep(room.wait)
	if room.decide(3500) {
		t.Error("room without a connection that may be closed")
	}
}
