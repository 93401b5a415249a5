package member

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

func TestEightHostsAreLiveWithinASecond(t *testing.T) {
	f := newFleet(t, 8)
	f.run(time.Second)
	for _, h := range f.names {
		f.wantLive(h, true)
	}
}

// Each row injects a fault that affects host-0003 of eight, checks whether the
// other hosts consider it live after duration, and checks that all hosts are live
// again after the fault is healed.
func TestHostFailures(t *testing.T) {
	const h core.HostID = "host-0003"
	rows := []struct {
		name     string
		inject   func(*fleet)
		duration time.Duration
		wantLive bool
		heal     func(*fleet)
	}{
		{"crash", func(f *fleet) { f.members[h] = nil }, 2500 * time.Millisecond, false, func(f *fleet) { f.start(hostInfo(3)) }},
		{"freeze", func(f *fleet) { f.frozen[h] = true }, 2500 * time.Millisecond, false, func(f *fleet) { f.frozen[h] = false }},
		{"short freeze", func(f *fleet) { f.frozen[h] = true }, 1700 * time.Millisecond, true, func(f *fleet) { f.frozen[h] = false }},
		{"planned stop", func(f *fleet) { f.step(h, core.StopRequested{}) }, 100 * time.Millisecond, false, func(f *fleet) { f.start(hostInfo(3)) }},
		{"a third of messages lost", func(f *fleet) { f.loss = 0.33 }, 20 * time.Second, true, func(f *fleet) { f.loss = 0 }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 8)
			f.run(2 * time.Second)
			row.inject(f)
			f.run(row.duration)
			live, others := f.liveCount(h)
			t.Logf("live at %d of %d", live, others)
			if row.wantLive && live < others || !row.wantLive && live > 0 {
				t.Errorf("live at %d of %d", live, others)
			}
			row.heal(f)
			f.run(1500 * time.Millisecond)
			for _, name := range f.names {
				f.wantLive(name, true)
			}
		})
	}
}

// A host that is unreachable for only one other host is removed from the live
// list of that host only, and is not suspected repeatedly.
func TestBrokenLink(t *testing.T) {
	const a, b core.HostID = "host-0003", "host-0005"
	f := newFleet(t, 8)
	f.run(2 * time.Second)
	f.cutBoth(a, b, true)
	f.run(20 * time.Second)
	if live, others := f.liveCount(a); live != others-1 || f.members[b].IsLive(a) {
		t.Errorf("%s is live at %d of %d", a, live, others)
	}
	if n := f.suspicions(); n > 4 {
		t.Errorf("%d suspicions", n)
	}
	f.cutBoth(a, b, false)
	f.run(time.Second)
	f.wantLive(a, true)
}

// A host that was frozen for a long time declares no host dead, and is stale until
// it receives a heartbeat.
func TestFrozenHostDeclaresNobodyDead(t *testing.T) {
	const h core.HostID = "host-0003"
	f := newFleet(t, 8)
	f.run(2 * time.Second)
	f.frozen[h] = true
	f.run(30 * time.Second)
	f.frozen[h] = false
	f.step(h, core.Tick{})
	if m := f.members[h]; !m.Stale() || m.Stats().Deaths > 0 {
		t.Errorf("stale %v, deaths %d", m.Stale(), m.Stats().Deaths)
	}
	f.run(time.Second)
	if m := f.members[h]; m.Stale() || len(m.Live()) != 8 || m.Stats().Deaths > 0 || m.Stats().Refutations == 0 {
		t.Errorf("live %v, %+v", m.Live(), m.Stats())
	}
}

// A broken stream makes the host suspect at once, so that a crash is detected
// sooner. A live host refutes the suspicion.
func TestBrokenStream(t *testing.T) {
	f := newFleet(t, 8)
	f.run(2 * time.Second)
	f.step("host-0001", core.PeerLost{Host: "host-0003"})
	f.run(3 * time.Second)
	f.wantLive("host-0003", true)
	f.members["host-0003"] = nil
	f.step("host-0001", core.PeerLost{Host: "host-0003"})
	f.run(1300 * time.Millisecond)
	f.wantLive("host-0003", false)
}

func TestVersionsAndAddresses(t *testing.T) {
	f := newFleet(t, 8)
	f.members["host-0002"].SetVersions(7, 9)
	f.run(time.Second)
	m := f.members["host-0005"]
	if m.Generations()["host-0002"] != 7 || m.Status()[2].LeaseVersion != 9 {
		t.Errorf("generations %v", m.Generations())
	}
	if m.Address("host-0002") != hostInfo(2).Address || m.DomainOf("host-0002") != hostInfo(2).Domain {
		t.Error("address or domain lost")
	}
}

// A record of a former process does not change the state of the present one.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	f := newFleet(t, 3)
	f.run(time.Second)
	m, p := f.members["host-0000"], f.members["host-0000"].peers["host-0002"]
	m.applyRecord(&peerpb.MemberState{Host: "host-0002", Incarnation: p.incarnation - 1, State: int32(Dead)}, "host-0001")
	if p.state != Alive {
		t.Errorf("the host is %s", p.state)
	}
}

// In a fleet larger than FullMeshLimit, a crash and a restart are known to all
// hosts within seconds, and only a few hosts read the host list.
func TestLargeFleet(t *testing.T) {
	const size = 120
	f := newFleet(t, size)
	f.run(10 * time.Second)
	f.wantLive("host-0077", true)
	f.members["host-0077"] = nil
	f.run(5 * time.Second)
	f.wantLive("host-0077", false)
	f.run(30 * time.Second) // until all changes have been sent often enough
	f.start(hostInfo(77))
	f.run(time.Second)
	if n := len(f.members["host-0077"].Live()); n != size {
		t.Errorf("the new process knows %d hosts after a second", n)
	}
	f.run(2 * time.Second)
	f.wantLive("host-0077", true)
	f.run(30 * time.Second)
	lists := 0
	for _, m := range f.members {
		lists += int(m.Stats().Lists)
	}
	// One read at each start, then HostListReaders reads every ten seconds for
	// about eighty seconds.
	if lists > size+1+8*defaultHostListReaders {
		t.Errorf("%d reads of the host list", lists)
	}
}

// benchMember returns one host in a fleet of n without pending changes.
func benchMember(b *testing.B, n int) (*Member, time.Time) {
	f := newFleet(b, 1)
	m := f.members["host-0000"]
	now := f.now
	for i := 1; i < n; i++ {
		h := hostInfo(i)
		record := &peerpb.MemberState{
			Host: string(h.Host), Incarnation: 1764817200000000, State: int32(Alive),
			Address: h.Address, Domain: string(h.Domain), ConfigGeneration: 9500,
		}
		m.applyRecord(record, h.Host)
		m.peers[h.Host].remainingSends = 0
	}
	return m, now
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{8, 128, 1024, 4600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, now := benchMember(b, n)
			sent, bytes := 0, 0
			for b.Loop() {
				now = now.Add(m.config.Interval)
				var out core.Actions
				m.Step(now, core.Tick{}, &out)
				for _, a := range out.List {
					s, ok := a.(core.SendPeer)
					if !ok {
						continue
					}
					sent++
					bytes += proto.Size(s.Message)
					reply := &peerpb.Heartbeat{Ack: true, Members: []*peerpb.MemberState{m.peers[s.To].record()}}
					message := &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: reply}}
					m.Step(now, core.PeerMessage{From: s.To, Message: message}, &core.Actions{})
				}
			}
			rounds := float64(b.N)
			b.ReportMetric(float64(sent)/rounds, "heartbeats/round")
			b.ReportMetric(float64(bytes)/float64(sent), "bytes/heartbeat")
		})
	}
}
