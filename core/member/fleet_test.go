package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
)

// fleet runs Members in virtual time over a simulated network that can lose
// messages and whose links can be cut.
type fleet struct {
	t       testing.TB
	now     time.Time
	members map[core.HostID]*Member
	names   []core.HostID
	frozen  map[core.HostID]bool
	cut     map[[2]core.HostID]bool
	loss    float64
	random  *rand.Rand
	queue   []inFlightMessage
	bytes   int
}

type inFlightMessage struct {
	at   time.Time
	to   core.HostID
	from core.HostID
	send core.SendPeer
}

const (
	tick  = 10 * time.Millisecond
	delay = 10 * time.Millisecond
)

func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0),
		members: map[core.HostID]*Member{},
		frozen:  map[core.HostID]bool{},
		cut:     map[[2]core.HostID]bool{},
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	for i := range n {
		f.start(hostInfo(i))
	}
	return f
}

func hostInfo(i int) core.HostInfo {
	return core.HostInfo{
		Host:    core.HostID(fmt.Sprintf("host-%04d", i)),
		Address: fmt.Sprintf("10.0.%d.%d:7400", i/256, i%256),
		Domain:  core.DomainID(fmt.Sprintf("kigali-%d", i%4)),
	}
}

func (f *fleet) start(h core.HostInfo) *Member {
	m, err := New(Config{
		Self: h, Incarnation: uint64(f.now.UnixMicro()),
		Seeds:  []core.HostInfo{hostInfo(0), hostInfo(1)},
		Random: rand.New(rand.NewPCG(uint64(len(f.names)), 3)),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if f.members[h.Host] == nil {
		f.names = append(f.names, h.Host)
	}
	f.members[h.Host] = m
	return m
}

func (f *fleet) step(h core.HostID, event core.Event) {
	m := f.members[h]
	if m == nil || f.frozen[h] {
		return
	}
	var out core.Actions
	m.Step(f.now, event, &out)
	for _, a := range out.List {
		if s, ok := a.(core.SendPeer); ok {
			f.send(h, s)
		}
	}
}

func (f *fleet) send(from core.HostID, s core.SendPeer) {
	f.bytes += proto.Size(s.Message)
	if f.cut[[2]core.HostID{from, s.To}] || f.random.Float64() < f.loss {
		return
	}
	f.queue = append(f.queue, inFlightMessage{at: f.now.Add(delay), to: s.To, from: from, send: s})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		due := f.queue
		f.queue = nil
		for _, fl := range due {
			if f.now.Before(fl.at) {
				f.queue = append(f.queue, fl)
				continue
			}
			f.step(fl.to, core.PeerMessage{From: fl.from, Message: fl.send.Message})
		}
		for _, h := range f.names {
			if m := f.members[h]; m != nil && !f.now.Before(m.Next()) {
				f.step(h, core.Tick{})
			}
		}
	}
}

func (f *fleet) cutBoth(a, b core.HostID, on bool) {
	f.cut[[2]core.HostID{a, b}] = on
	f.cut[[2]core.HostID{b, a}] = on
}

// suspicions counts the suspicions that all running hosts raised.
func (f *fleet) suspicions() int {
	n := 0
	for _, m := range f.members {
		if m != nil {
			n += int(m.stats.Suspicions)
		}
	}
	return n
}

// liveCount returns how many of the other running hosts consider h live.
func (f *fleet) liveCount(h core.HostID) (live, others int) {
	for name, m := range f.members {
		if name == h || m == nil || f.frozen[name] {
			continue
		}
		others++
		if m.IsLive(h) {
			live++
		}
	}
	return live, others
}

func (f *fleet) wantLive(h core.HostID, want bool) {
	f.t.Helper()
	live, others := f.liveCount(h)
	if want && live != others || !want && live != 0 {
		f.t.Errorf("%s is live at %d of %d hosts, want all: %v", h, live, others, want)
	}
}
