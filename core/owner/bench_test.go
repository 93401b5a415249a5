package owner

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/plugin/ramp"
)

// BenchmarkSubQuery measures the processing of one sub-query at an owner of 32
// warm shares, from its arrival through queue, dispatch and the upstream's reply
// to the reply to the origin, plus one timer event.
func BenchmarkSubQuery(b *testing.B) {
	const shares = 32
	topology := declare(1)
	owners := &corefake.Ownership{
		Host: self, Owners: map[core.UpstreamID]core.HostID{}, Exclusive: map[core.UpstreamID]time.Time{},
		Warm: map[core.UpstreamID]bool{},
	}
	ups := make([]core.UpstreamID, shares)
	for i := range ups {
		id := core.UpstreamID("archive-search-" + string(rune('a'+i)))
		ups[i] = id
		topology.Upstreams[id] = &core.Upstream{ID: id, Service: "s1", Domain: "d1", Slots: 2, Connections: 25}
		owners.Owners[id], owners.Warm[id], owners.Exclusive[id] = self, true, epoch.Add(1000*time.Hour)
	}
	o, err := New(Config{
		Self: self, Incarnation: 1, Owners: owners,
		Members: &corefake.Membership{Host: self, Hosts: []core.HostID{self, origin, replicaOwner}},
		Limiter: func(u *core.Upstream) core.Limiter { return ramp.New(u, ramp.Options{Growth: 2}) },
	})
	if err != nil {
		b.Fatal(err)
	}
	var out core.Actions
	now := epoch
	o.Step(now, core.TopologyChanged{Topology: topology}, &out)
	fingerprint := core.FingerprintOf([]byte("question"))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		q := &peerpb.SubQuery{
			Attempt: uint64(i), QueryId: "0190a8f2-7c3e-7000-8000-000000000001", Service: "s1",
			Upstream: string(ups[i%shares]), RemainingUs: 300_000, OrderKey: int64(i), Fingerprint: fingerprint[:],
		}
		o.Step(now, core.PeerMessage{
			From: origin, Incarnation: 1,
			Message: &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: q}},
		}, &out)
		id := attemptOf(uint64(i))
		o.Step(now.Add(10*time.Microsecond), core.UpstreamReply{
			Upstream: ups[i%shares], Attempt: id, Ran: core.HasRun, Echo: id.String(), Instance: "i1",
		}, &out)
		o.Step(now, core.Tick{}, &out)
		_ = o.Next()
		out.Reset()
	}
	if answered := o.Stats().Answered; answered == 0 || o.Stats().Refused > 0 {
		b.Fatalf("%+v", o.Stats())
	}
}
