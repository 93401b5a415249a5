// Package clients decides which connections of clients a host closes when they
// would exceed its memory or its descriptors.
package clients

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Phase is what a connection waits for.
type Phase int32

// The phases of a connection.
const (
	// Head waits for the rest of a request's head; on a new connection, for all of it.
	Head Phase = iota
	// Body waits for the rest of a request's body.
	Body
	// Running waits for the answer to a request, which may have been sent to an
	// upstream. Such a connection is never closed.
	Running
	// Answer waits for the client to read its answer.
	Answer
	// Idle waits for the next request after one was answered.
	Idle
)

// Client is the state of one connection.
type Client struct {
	Phase   Phase
	Address netip.Addr
	// Progress is when bytes were last received or accepted by the client.
	Progress time.Time
	// Bytes is the memory that the connection holds.
	Bytes int64
	// Served reports whether a request on the connection was answered.
	Served bool
}

// Eviction selects the connections to close. It answers crowds of clients that
// open connections, heads and bodies and stop: without it, the first clients to
// come would hold all that the host has, and ordinary callers would be refused.
//
// Connections without progress for StallTime come before others. Among these,
// the order is: heads and bodies on connections that never had an answer; those
// on connections that had one; answers that are not read; idle connections.
type Eviction struct {
	// StallTime is how long a connection may be without progress before it is
	// preferred to one that makes progress.
	StallTime time.Duration
}

// ForConnections returns the indexes of up to n connections to close so that
// others can be opened: those without progress for longest. An address that
// holds more than half of all connections loses its own first.
func (e Eviction) ForConnections(now time.Time, all []Client, n int) []int {
	perAddress := map[netip.Addr]int{}
	for _, c := range all {
		perAddress[c.Address]++
	}
	crowded := func(c Client) int { return boolRank(2*perAddress[c.Address] > len(all)) }
	order := e.order(now, all, func(a, b Client) int {
		return cmp.Or(cmp.Compare(crowded(a), crowded(b)), a.Progress.Compare(b.Progress))
	})
	return order[:min(n, len(order))]
}

// ForMemory returns the indexes of connections to close so that bytes are released,
// those that hold the most first. It returns fewer if not enough can be released.
func (e Eviction) ForMemory(now time.Time, all []Client, bytes int64) []int {
	order := e.order(now, all, func(a, b Client) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), a.Progress.Compare(b.Progress))
	})
	for i, at := range order {
		if bytes -= all[at].Bytes; bytes <= 0 {
			return order[:i+1]
		}
	}
	return order
}

// order returns the indexes of the connections that may be closed, by stall, class
// and then compare.
func (e Eviction) order(now time.Time, all []Client, compare func(a, b Client) int) []int {
	order := make([]int, 0, len(all))
	for i, c := range all {
		stalled := e.stalled(now, c)
		if c.Phase != Running && (c.Phase != Answer || stalled) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := all[i], all[j]
		return cmp.Or(
			cmp.Compare(boolRank(e.stalled(now, a)), boolRank(e.stalled(now, b))),
			cmp.Compare(class(a), class(b)), compare(a, b), cmp.Compare(i, j))
	})
	return order
}

func (e Eviction) stalled(now time.Time, c Client) bool { return now.Sub(c.Progress) >= e.StallTime }

// boolRank orders true before false.
func boolRank(b bool) int {
	if b {
		return 0
	}
	return 1
}

func class(c Client) int {
	switch {
	case c.Phase == Idle:
		return 3
	case c.Phase == Answer:
		return 2
	case c.Served:
		return 1
	default:
		return 0
	}
}
