package lease

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Hosts that start within a second of each other get their shares without any
// handover.
func TestStart(t *testing.T) {
	s := newSim(1, 0, 57)
	for i := range 8 {
		s.start(hostName(i))
		s.run(80 * time.Millisecond)
	}
	s.run(3 * time.Second)
	if err := s.checkSettled(); err != nil {
		t.Fatal(err)
	}
	least, most := 1000, 0
	for _, name := range s.names {
		h := s.hosts[name].lease
		least, most = min(least, h.Status().Held), max(most, h.Status().Held)
		if h.Stats().Releases > 0 {
			t.Errorf("%s handed over %d shares", name, h.Stats().Releases)
		}
	}
	if most-least > balanceThreshold {
		t.Errorf("hosts hold between %d and %d shares", least, most)
	}
}

// A cell of eight hosts makes about one write and one read per second in total.
func TestPlatformCalls(t *testing.T) {
	s := newSim(1, 8, 57)
	s.run(10 * time.Second)
	reads, writes := s.platformCalls()
	s.run(time.Minute)
	readsAfter, writesAfter := s.platformCalls()
	if readsAfter-reads > 66 || writesAfter-writes > 62 {
		t.Errorf("%d reads, %d writes in a minute", readsAfter-reads, writesAfter-writes)
	}
}

// A planned stop hands every share over warm, and no upstream is without a holder
// for longer than the handover takes.
func TestPlannedStop(t *testing.T) {
	s := newSim(1, 8, 57)
	s.run(5 * time.Second)
	w := monitorHolders(s)
	for _, name := range s.names {
		old := s.hosts[name]
		moved := heldIDs(old.lease)
		s.step(old, core.StopRequested{})
		s.refreshViews()
		s.run(5 * time.Second)
		if !old.lease.Idle() {
			t.Fatalf("%s is not idle: %+v", name, old.lease.Status())
		}
		for _, id := range moved {
			if owner, _ := old.lease.OwnerOf(id); !s.hosts[owner].lease.KnownWarm(id) {
				t.Errorf("%s moved from %s to %s cold", id, name, owner)
			}
		}
		s.crash(name)
		s.start(name)
		s.run(3 * time.Second)
	}
	s.run(5 * time.Second)
	if err := s.checkSettled(); err != nil || w.violation != "" || w.maxOverlap > 0 || w.maxGap > 300*time.Millisecond {
		t.Errorf("%v %s overlap %s gap %s", err, w.violation, w.maxOverlap, w.maxGap)
	}
}

// A planned stop during a platform outage ends after StopTimeout although no
// share can be handed over. If the host then crashes, the new holders treat its
// upstreams as cold.
func TestStopInOutage(t *testing.T) {
	s := newSim(1, 8, 57)
	s.run(5 * time.Second)
	s.step(s.hosts["host-1"], core.StopRequested{}) // its shares are handed over warm
	s.run(5 * time.Second)
	s.down = true
	s.step(s.hosts[victim], core.StopRequested{})
	s.run(defaultStopTimeout - time.Second)
	if warm, _ := countHeld(s, victim); s.hosts[victim].lease.Idle() || warm == 0 {
		t.Error("idle or without shares before the stop timeout")
	}
	s.run(2 * time.Second)
	if !s.hosts[victim].lease.Idle() {
		t.Error("not idle after the stop timeout")
	}
	lost := heldIDs(s.hosts[victim].lease)
	s.crash(victim)
	s.down = false
	s.run(10 * time.Second)
	for _, id := range lost {
		owner, _ := s.hosts["host-0"].lease.OwnerOf(id)
		if owner == victim || s.hosts[owner].lease.KnownWarm(id) {
			t.Errorf("%s is still held by the stopped host or known warm at %q", id, owner)
		}
	}
}

// After the writer crashes, the last confirmed renewal of every other host is
// never older than two seconds, half of the lease duration.
func TestWriterLoss(t *testing.T) {
	s := newSim(1, 8, 8)
	s.run(5 * time.Second)
	s.crash(s.writer(0))
	for range 24 {
		s.run(100 * time.Millisecond)
		for _, h := range s.hosts {
			if age := s.localTime(h).Sub(h.lease.holder.confirmedAt); !h.crashed && age > 2*time.Second {
				t.Fatalf("%s was last confirmed %s ago", h.members.Host, age)
			}
		}
	}
}

// The backup is in a different failure domain from the writer.
func TestBackupInOtherDomain(t *testing.T) {
	members := &corefake.Membership{Host: "host-0", Domains: map[core.HostID]core.DomainID{}}
	for i := range 8 {
		members.Hosts = append(members.Hosts, hostName(i))
		members.Domains[hostName(i)] = core.DomainID(rune('a' + i/4))
	}
	for cell := range 20 {
		var r ranking
		r.update(string(hostName(cell)), members)
		if members.Domains[r.hosts[0]] == members.Domains[r.hosts[1]] || r.hosts[r.ownRank] != "host-0" {
			t.Errorf("cell %d: %v", cell, r)
		}
	}
}

// A members document that is older than a term does not fence its holder.
func TestStaleMembersDoNotFence(t *testing.T) {
	l, _ := New(simConfig("host-0"))
	l.writer.document = &peerpb.LeaseMembers{NextTerm: 3}
	for term, fenced := range map[uint64]bool{2: true, 3: false} {
		var out core.Actions
		l.answerFromMembers(&pendingRenewal{host: victim, incarnation: 1, renew: &peerpb.LeaseRenew{Term: term}}, &out)
		reply := out.List[0].(core.SendPeer).Message.GetLeaseRenewed()
		if reply.GetFenced() != fenced {
			t.Errorf("term %d fenced: %v", term, reply.GetFenced())
		}
	}
}

// largeCell returns a cell of the target size: 850 upstreams on 64 hosts.
func largeCell() (*peerpb.LeaseMembers, *core.Topology) {
	members := &peerpb.LeaseMembers{NextTerm: 1000}
	for i := range 64 {
		members.Members = append(members.Members, &peerpb.LeaseMember{
			Term: uint64(900 + i), Host: string(hostName(i)), Incarnation: 1764817200000000,
			Domain: "munster-a", Sequence: 80000, Stopping: false,
		})
	}
	return members, simTopology(425)
}

func BenchmarkMembersWrite(b *testing.B) {
	members, _ := largeCell()
	var size int
	for b.Loop() {
		value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(proto.CloneOf(members))
		_ = proto.Unmarshal(value, &peerpb.LeaseMembers{})
		size = len(value)
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkAdoptTable(b *testing.B) {
	members, topology := largeCell()
	shares := plan(planInput{members: members, topology: topology})
	value, _ := proto.Marshal(shares)
	l, _ := New(simConfig("host-0"))
	version := uint64(0)
	for b.Loop() {
		version++
		l.adoptTable(version, value, &core.Actions{})
	}
	b.ReportMetric(float64(len(value)), "bytes")
}

func BenchmarkPlanAfterFence(b *testing.B) {
	members, topology := largeCell()
	shares := plan(planInput{members: members, topology: topology})
	members.Members = members.GetMembers()[1:]
	for b.Loop() {
		value, _ := proto.Marshal(plan(planInput{shares: shares, members: members, topology: topology}))
		_ = value
	}
}

func BenchmarkUnrelatedEvent(b *testing.B) {
	l, _ := New(simConfig("host-0"))
	now := time.Unix(5000, 0)
	l.Step(now, core.Tick{}, &core.Actions{})
	out := &core.Actions{}
	for b.Loop() {
		l.Step(now, core.UpstreamReply{}, out)
	}
}
