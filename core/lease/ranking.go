package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

// ranking orders the hosts of a cell by preference as its writer.
type ranking struct {
	rankedLive []core.HostID
	hosts      []core.HostID
	// own is this host's place in hosts.
	ownRank int
}

// update ranks anew if the live hosts changed. This host is always among the
// ranked: it may have to write for itself.
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

// separateBackup puts the first host of another failure domain second, so that
// the loss of a domain does not take the writer and its backup together.
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

// score is the rendezvous weight of a host for a name.
func rendezvousScore(host, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
