package clients

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

var (
	begin    = time.Unix(1000, 0)
	eviction = Eviction{StallTime: time.Second}
	crowdIP  = netip.MustParseAddr("10.0.0.1")
	callerIP = netip.MustParseAddr("10.0.0.2")
)

// crowd returns connections that stopped in a phase some seconds before now.
func crowd(n int, phase Phase, bytes int64) []Client {
	clients := make([]Client, n)
	for i := range clients {
		clients[i] = Client{Phase: phase, Address: crowdIP, Progress: begin.Add(-time.Duration(2+i%20) * time.Second), Bytes: bytes}
	}
	return clients
}

// TestCallersOutlastACrowd guards against closing callers that behave while a
// crowd of clients that stopped holds connections or memory.
func TestCallersOutlastACrowd(t *testing.T) {
	for _, phase := range []Phase{Head, Body} {
		callers := []Client{
			{Phase: Head, Address: callerIP, Progress: begin, Bytes: 4 << 10},
			{Phase: Body, Address: callerIP, Progress: begin.Add(-time.Millisecond), Bytes: 512 << 10, Served: true},
			{Phase: Running, Address: callerIP, Progress: begin.Add(-time.Minute), Bytes: 512 << 10},
			{Phase: Answer, Address: callerIP, Progress: begin.Add(-time.Millisecond), Bytes: 1 << 20},
			{Phase: Idle, Address: callerIP, Progress: begin.Add(-48 * time.Second), Served: true},
		}
		all := append(crowd(700, phase, 64<<10), callers...)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		closed := append(eviction.ForConnections(begin, all, 200), eviction.ForMemory(begin, all, 4<<20)...)
		for _, at := range closed {
			if all[at].Address == callerIP {
				t.Errorf("crowd in phase %d: a caller in phase %d is closed", phase, all[at].Phase)
			}
		}
		if len(closed) < 200+64 {
			t.Errorf("crowd in phase %d: %d connections are closed", phase, len(closed))
		}
	}
}

// TestRunningRequestsAreNeverClosed guards against cutting off a request that may
// have been sent to an upstream, and an answer that is being read.
func TestRunningRequestsAreNeverClosed(t *testing.T) {
	all := append(crowd(10, Running, 1<<20), Client{Phase: Answer, Progress: begin, Bytes: 1 << 20})
	if closed := append(eviction.ForConnections(begin, all, 11), eviction.ForMemory(begin, all, 1<<30)...); len(closed) > 0 {
		t.Errorf("closed: %v", closed)
	}
}

// TestCrowdThatKeepsMoving guards against an ordinary caller being refused by a
// crowd without stalls: it is the largest that release memory, and the oldest that
// release connections.
func TestCrowdThatKeepsMoving(t *testing.T) {
	all := crowd(100, Head, 800<<10)
	for i := range all {
		all[i].Progress = begin.Add(-time.Duration(i+1) * time.Millisecond)
	}
	all = append(all, Client{Phase: Head, Address: callerIP, Progress: begin, Bytes: 4 << 10})
	if got := eviction.ForMemory(begin, all, 1<<20); len(got) != 2 || slices.Contains(got, 100) {
		t.Errorf("for 1 MB, closed: %v", got)
	}
	if got := eviction.ForConnections(begin, all, 2); !slices.Equal(got, []int{99, 98}) {
		t.Errorf("for two connections, closed: %v", got)
	}
}

// TestOneAddressWithMostConnections guards against clients of other addresses
// losing connections to the address that has most of them.
func TestOneAddressWithMostConnections(t *testing.T) {
	all := append(crowd(60, Idle, 0), Client{Phase: Idle, Address: callerIP, Progress: begin.Add(-50 * time.Second), Served: true})
	if got := eviction.ForConnections(begin, all, 60); slices.Contains(got, 60) || len(got) != 60 {
		t.Errorf("closed: %v", got)
	}
}
