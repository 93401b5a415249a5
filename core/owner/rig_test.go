package owner

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/plugin/ramp"
)

const (
	self         = core.HostID("h1")
	origin       = core.HostID("h2")
	replicaOwner = core.HostID("h3")
)

var epoch = time.Unix(1_800_000_000, 0)

// declare returns a topology with service s1 and its upstreams u1 and u2, of 2
// slots each, in the domains d1 and d2.
func declare(generation uint64) *core.Topology {
	t := &core.Topology{
		Generation: generation,
		Domains:    map[core.DomainID]core.DomainState{"d1": core.In, "d2": core.In},
		Services:   map[core.ServiceID]*core.Service{"s1": {ID: "s1", Upstreams: []core.UpstreamID{"u1", "u2"}}},
		Upstreams:  map[core.UpstreamID]*core.Upstream{},
	}
	for i, id := range []core.UpstreamID{"u1", "u2"} {
		t.Upstreams[id] = &core.Upstream{
			ID: id, Service: "s1", Domain: []core.DomainID{"d1", "d2"}[i], Address: "10.0.0.1:1",
			Slots: 2, Connections: 25,
			Cold: core.ColdStart{Rate: 10, Warm: 2 * time.Second},
		}
	}
	return t
}

// rig drives one Owner that holds u1, warm, with exclusive use of it.
type rig struct {
	t      *testing.T
	o      *Owner
	now    time.Time
	owners *corefake.Ownership
	out    core.Actions
	// The actions of all steps, by kind.
	dispatched []core.Dispatch
	replies    []*peerpb.SubReply
	cancelled  []core.AttemptID
	suspects   map[core.HostID][]*peerpb.Suspect
	reports    int
	stragglers []uint64 // attempts reported as stragglers
	closed     int
}

func newRig(t *testing.T, change ...func(*Config)) *rig {
	r := &rig{
		t: t, now: epoch, suspects: map[core.HostID][]*peerpb.Suspect{},
		owners: &corefake.Ownership{
			Host:      self,
			Owners:    map[core.UpstreamID]core.HostID{"u1": self, "u2": replicaOwner},
			Exclusive: map[core.UpstreamID]time.Time{"u1": epoch.Add(time.Hour)},
			Warm:      map[core.UpstreamID]bool{"u1": true},
			Drains:    map[core.UpstreamID]bool{},
		},
	}
	cfg := Config{
		Self: self, Incarnation: 1, Owners: r.owners,
		Members: &corefake.Membership{Host: self, Hosts: []core.HostID{self, origin, replicaOwner}},
		Limiter: func(u *core.Upstream) core.Limiter {
			return ramp.New(u, ramp.Options{BackOff: 100 * time.Millisecond, Growth: 2})
		},
	}
	for _, apply := range change {
		apply(&cfg)
	}
	o, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r.o = o
	o.topology = declare(1)
	o.recordWarmInstance("u1", "i1")
	r.step(core.TopologyChanged{Topology: declare(1)})
	return r
}

func (r *rig) step(event core.Event) {
	r.out.Reset()
	r.o.Step(r.now, event, &r.out)
	for _, action := range r.out.List {
		r.record(action)
	}
}

func (r *rig) record(action core.Action) {
	switch a := action.(type) {
	case core.Dispatch:
		r.dispatched = append(r.dispatched, a)
	case core.CloseConns:
		r.closed++
	case core.CancelDispatch:
		r.cancelled = append(r.cancelled, a.Attempt)
	case core.SendPeer:
		switch body := a.Message.Body.(type) {
		case *peerpb.Message_SubReply:
			r.replies = append(r.replies, body.SubReply)
		case *peerpb.Message_Suspect:
			r.suspects[a.To] = append(r.suspects[a.To], body.Suspect)
		case *peerpb.Message_SubSlow:
			r.stragglers = append(r.stragglers, body.SubSlow.GetAttempt())
		case *peerpb.Message_LoadReport:
			r.reports++
		}
	}
}

// advance moves the clock forward and runs every timer that becomes due.
func (r *rig) advance(d time.Duration) {
	end := r.now.Add(d)
	for next := r.o.Next(); !next.IsZero() && !next.After(end); next = r.o.Next() {
		if next.After(r.now) {
			r.now = next
		}
		r.step(core.Tick{})
	}
	r.now = end
	r.step(core.Tick{})
}

func attemptOf(sequence uint64) core.AttemptID {
	return core.AttemptID{Host: origin, Incarnation: 1, Sequence: sequence}
}

// submit sends a sub-query for u1 with 1 s left.
func (r *rig) submit(sequence uint64, change ...func(*peerpb.SubQuery)) {
	q := &peerpb.SubQuery{
		Attempt: sequence, Upstream: "u1", Service: "s1", QueryId: "q",
		RemainingUs: time.Second.Microseconds(), OrderKey: int64(sequence),
	}
	for _, apply := range change {
		apply(q)
	}
	r.message(origin, &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: q}})
}

func (r *rig) message(from core.HostID, m *peerpb.Message) {
	r.step(core.PeerMessage{From: from, Incarnation: 1, Message: m})
}

// complete ends a running attempt after the given service time.
func (r *rig) complete(sequence uint64, took time.Duration, change ...func(*core.UpstreamReply)) {
	r.now = r.now.Add(took)
	id := attemptOf(sequence)
	reply := core.UpstreamReply{Upstream: "u1", Attempt: id, Ran: core.HasRun, Echo: id.String(), Instance: "i1"}
	for _, apply := range change {
		apply(&reply)
	}
	r.step(reply)
}

// warm brings the owner to two verified connections to u1.
func (r *rig) warm() {
	for sequence := uint64(901); sequence <= 902; sequence++ {
		r.submit(sequence)
	}
	for sequence := uint64(901); sequence <= 902; sequence++ {
		r.complete(sequence, 10*time.Millisecond)
	}
	r.step(core.UpstreamConn{Upstream: "u1", Open: true})
	r.submit(903)
	r.submit(904)
	r.complete(903, 10*time.Millisecond)
	r.complete(904, 0)
	r.dispatched, r.replies, r.cancelled = nil, nil, nil
}

// wantReply checks that an attempt has exactly one reply, of this kind.
func (r *rig) wantReply(sequence uint64, kind core.Kind, ran core.Ran) *peerpb.SubReply {
	r.t.Helper()
	var found []*peerpb.SubReply
	for _, reply := range r.replies {
		if reply.Attempt == sequence {
			found = append(found, reply)
		}
	}
	if len(found) != 1 {
		r.t.Fatalf("attempt %d has %d replies", sequence, len(found))
	}
	reply := found[0]
	if core.Kind(reply.Kind) != kind || core.Ran(reply.Ran) != ran {
		r.t.Fatalf("attempt %d: got %v, %v; want %v, %v", sequence, core.Kind(reply.Kind), core.Ran(reply.Ran), kind, ran)
	}
	return reply
}

func lostReply(r *core.UpstreamReply) {
	r.Kind, r.Ran, r.Echo, r.Instance = core.UpstreamLost, core.RanUnknown, "", ""
}

func once(q *peerpb.SubQuery) { q.Once = true }

// poison sets the fingerprint that suspectMessage("kill", ...) reports.
func poison(q *peerpb.SubQuery) {
	fingerprint := core.FingerprintOf([]byte("kill"))
	q.Fingerprint = fingerprint[:]
}
