package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

// ranking orders the hosts of a cell by preference as writer; the first host is
// the writer and the second its backup.
type ranking struct {
	rankedLive []core.HostID
	hosts      []core.HostID
	// ownRank is this host's index in hosts.
	ownRank int
}

// update recomputes the ranking if the live hosts changed. This host is always
// included, because it may have to write its own renewals.
func (r *ranking) update(cell string, members core.Membership) {
	live := members.Live()
	if r.hosts != nil && slices.Equal(live, r.rankedLive) {
		return
	}
	r.rankedLive = live
	r.hosts = slices.Clone(live)
	if !slices.Contains(live, members.Self()) {
		r.hosts = append(r.hosts, members.Self())
	}
	slices.SortFunc(r.hosts, func(a, b core.HostID) int {
		byScore := cmp.Compare(rendezvousScore(string(b), cell), rendezvousScore(string(a), cell))
		return cmp.Or(byScore, cmp.Compare(a, b))
	})
	r.separateBackup(members)
	r.ownRank = slices.Index(r.hosts, members.Self())
}

// separateBackup moves the first host of another failure domain to second place,
// so that the loss of one domain does not remove both the writer and its backup.
func (r *ranking) separateBackup(members core.Membership) {
	if len(r.hosts) < 3 {
		return
	}
	domain := members.DomainOf(r.hosts[0])
	for i, h := range r.hosts[1:] {
		if members.DomainOf(h) == domain {
			continue
		}
		copy(r.hosts[2:i+2], r.hosts[1:i+1])
		r.hosts[1] = h
		return
	}
}

// rendezvousScore returns the rendezvous hashing weight of a host for a name.
func rendezvousScore(host, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
