// Package leastwait provides a router that selects the replica with the least
// expected wait, which owners report with each reply. Among equal waits the
// replica with the fewest queued and running attempts is selected, among equal
// ones of those the next in round robin.
package leastwait

import (
	"cmp"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/plugin/roundrobin"
)

// LeastWait is a core.Router.
type LeastWait struct {
	// ties selects among the best replicas.
	ties *roundrobin.RoundRobin
	// best and indexes hold the best replicas and their indexes. They are
	// fields to avoid an allocation per Pick.
	best    []core.Replica
	indexes []int
}

// New returns a LeastWait.
func New() *LeastWait { return &LeastWait{ties: roundrobin.New()} }

// Pick returns the index of the replica with the least expected wait.
func (l *LeastWait) Pick(service core.ServiceID, replicas []core.Replica) int {
	l.best = l.best[:0]
	l.indexes = l.indexes[:0]
	for i, r := range replicas {
		order := -1
		if len(l.best) > 0 {
			order = compare(r, l.best[0])
		}
		if order > 0 {
			continue
		}
		if order < 0 {
			l.best = l.best[:0]
			l.indexes = l.indexes[:0]
		}
		l.best = append(l.best, r)
		l.indexes = append(l.indexes, i)
	}
	return l.indexes[l.ties.Pick(service, l.best)]
}

func compare(a, b core.Replica) int {
	if byWait := cmp.Compare(a.Wait, b.Wait); byWait != 0 {
		return byWait
	}
	return cmp.Compare(a.Queued+a.Running, b.Queued+b.Running)
}
