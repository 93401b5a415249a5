package lease

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// table is the newest state of the shares that this host has received, together
// with indexes.
type table struct {
	version  uint64
	document []byte
	shares   *peerpb.LeaseShares
	byID     map[core.UpstreamID]*peerpb.Share
	hosts    map[uint64]core.HostID // by term
	// pushed maps each host to the last table sent to it.
	pushed map[core.HostID]sentTable
}

// sentTable records which table version was sent to a host, and when.
type sentTable struct {
	version uint64
	at      time.Time
}

// set replaces the table.
func (t *table) set(version uint64, document []byte, shares *peerpb.LeaseShares) {
	t.version = version
	t.document = document
	t.shares = shares
	t.byID = make(map[core.UpstreamID]*peerpb.Share, len(shares.GetShares()))
	for _, s := range shares.GetShares() {
		t.byID[core.UpstreamID(s.GetUpstream())] = s
	}
	t.hosts = make(map[uint64]core.HostID, len(shares.GetMembers()))
	for _, m := range shares.GetMembers() {
		t.hosts[m.GetTerm()] = core.HostID(m.GetHost())
	}
}

// adoptTable replaces the table if version is newer. It reports whether it did.
func (l *Lease) adoptTable(version uint64, document []byte, out *core.Actions) bool {
	if version <= l.table.version {
		return false
	}
	shares := &peerpb.LeaseShares{}
	if err := proto.Unmarshal(document, shares); err != nil {
		l.stats.Malformed++
		return false
	}
	l.noteEra(version)
	l.table.set(version, document, shares)
	if w := &l.writer; !w.shares.inFlight() {
		w.shares.version = version
		w.shares.versionKnown = true
	}
	l.stats.Tables++
	l.applyTableToHolder(out)
	return true
}

// pushTable sends the table to a host, unless the same version was sent within
// pushRepeatDelay.
func (l *Lease) pushTable(to core.HostID, out *core.Actions) {
	if to == l.config.Self || l.table.version == 0 {
		return
	}
	last := l.table.pushed[to]
	if last.version == l.table.version && l.now.Sub(last.at) < pushRepeatDelay {
		return
	}
	l.table.pushed[to] = sentTable{version: l.table.version, at: l.now}
	l.stats.Pushes++
	out.Send(to, &peerpb.Message{Body: &peerpb.Message_LeaseTable{LeaseTable: &peerpb.LeaseTable{
		Version:  l.table.version,
		Document: l.table.document,
	}}})
}

// pushTableToAll sends the table to every live host.
func (l *Lease) pushTableToAll(out *core.Actions) {
	for _, h := range l.config.Members.Live() {
		l.pushTable(h, out)
	}
}
