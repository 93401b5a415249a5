package gateway

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/plugin/billiard"
	"github.com/samphirebeam/samphirebeam/plugin/expected"
	"github.com/samphirebeam/samphirebeam/plugin/leastwait"
	"github.com/samphirebeam/samphirebeam/plugin/nohedge"
	"github.com/samphirebeam/samphirebeam/plugin/open"
	"github.com/samphirebeam/samphirebeam/plugin/quantile"
	"github.com/samphirebeam/samphirebeam/plugin/random"
	"github.com/samphirebeam/samphirebeam/plugin/roundrobin"
)

// load is one measurement: queries arrive at several homes, apart from each
// other, and are served by queues of a few slots in the owners' order.
type load struct {
	homes, services int
	// slots are the two upstreams' of each service.
	slots [2]int
	// rate is the part of all slots that is busy on average.
	rate float64
	// exponential draws service times so; otherwise they are all equal.
	exponential bool
	// stragglers is the part of the sub-queries that take twenty times as long.
	stragglers float64
	// blind leaves the load out of the replies.
	blind bool
	// mute leaves SubSlow out.
	mute     bool
	queries  int
	deadline time.Duration
	router   func(*rand.Rand) core.Router
	hedger   func() core.Hedger
	admit    core.Admission
}

var queries = flag.Int("queries", 2000, "queries of each measurement")

const (
	meanService = 10 * time.Millisecond
	hop         = 1500 * time.Microsecond
)

// figures are the outcome of one measurement.
type figures struct {
	p50, p99, p999, mean time.Duration
	// good is the part of the queries that were answered whole and in time.
	good float64
	// extra is the hedges and retries sent for each sub-query needed.
	extra float64
}

func (f figures) String() string {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return fmt.Sprintf("mean %.1f ms, p50 %.1f, p99 %.1f, p99.9 %.1f, whole %.3f, extra %.3f",
		ms(f.mean), ms(f.p50), ms(f.p99), ms(f.p999), f.good, f.extra)
}

// bench runs a load under virtual time.
type bench struct {
	load
	now      time.Time
	agenda   timers
	random   *rand.Rand
	homes    []*Gateway
	ticks    []time.Time
	queues   map[string]*queue
	took     []time.Duration
	whole    int
	topology *core.Topology
}

// queue is one upstream behind its owner.
type queue struct {
	slots   int
	waiting []*job
	running map[*job]bool
}

type job struct {
	home int
	sub  *peerpb.SubQuery
	done bool
	// until is the attempt's deadline: the owner does not start it later.
	until time.Time
}

func measure(l load) figures {
	b := &bench{
		load: l, now: time.UnixMicro(1e12), random: rand.New(rand.NewPCG(1, 2)),
		queues: map[string]*queue{}, topology: tiledTopology(l.services, 7),
	}
	owners := map[core.UpstreamID]core.HostID{}
	for id := range b.topology.Upstreams {
		side := id[len(id)-1]
		owners[id] = core.HostID("o" + string(side))
		b.topology.Upstreams[id].Slots = l.slots[side-'a']
		b.queues[string(id)] = &queue{slots: l.slots[side-'a'], running: map[*job]bool{}}
	}
	for i := range l.homes {
		self := core.HostID(fmt.Sprint("h", i))
		members := &corefake.Membership{Host: self, Hosts: []core.HostID{self, "oa", "ob"}}
		g, err := New(Config{
			Self: self, Incarnation: uint64(i+1) << 40, Members: members,
			Owners: &corefake.Ownership{Host: self, Owners: owners},
			Router: l.router(b.random), Hedger: l.hedger(), Admission: l.admit,
		})
		if err != nil {
			panic(err)
		}
		b.homes = append(b.homes, g)
		b.ticks = append(b.ticks, time.Time{})
		b.step(i, core.TopologyChanged{Topology: b.topology})
	}
	gap := float64(meanService) / (l.rate * float64(l.slots[0]+l.slots[1]))
	b.arrive(1, gap)
	for next := b.agenda.next(); !next.IsZero(); next = b.agenda.next() {
		b.now = next
		b.agenda.run(next, nil)
	}
	return b.figures()
}

func (b *bench) at(wait time.Duration, run func()) {
	b.agenda.add(b.now.Add(wait), func(time.Time, *core.Actions) { run() })
}

func (b *bench) arrive(call core.CallID, gap float64) {
	if int(call) > b.queries {
		return
	}
	home := b.random.IntN(len(b.homes))
	q := &peerpb.Query{Scope: "all", Question: fmt.Append(nil, call), RemainingUs: b.deadline.Microseconds()}
	started := b.now
	var out core.Actions
	b.homes[home].Run(b.now, q, func(now time.Time, r *peerpb.QueryReply, _ *core.Actions) {
		if int(call) <= b.queries/5 {
			return
		}
		b.took = append(b.took, now.Sub(started))
		short := func(s *peerpb.ShardAccount) bool { return s.GetKind() != 0 }
		if core.Kind(r.GetKind()) == core.OK && !slices.ContainsFunc(r.GetShards(), short) {
			b.whole++
		}
	}, &out)
	b.act(home, &out)
	b.at(time.Duration(b.random.ExpFloat64()*gap), func() { b.arrive(call+1, gap) })
}

func (b *bench) step(home int, event core.Event) {
	var out core.Actions
	b.homes[home].Step(b.now, event, &out)
	b.act(home, &out)
}

// act carries out what a home wants, and has its next timer in the agenda.
func (b *bench) act(home int, out *core.Actions) {
	for _, action := range out.List {
		switch body := action.(core.SendPeer).Message.GetBody().(type) {
		case *peerpb.Message_SubQuery:
			b.at(hop, func() {
				b.enqueue(&job{home: home, sub: body.SubQuery, until: b.now.Add(microseconds(body.SubQuery.GetRemainingUs()))})
			})
		case *peerpb.Message_SubCancel:
			b.at(hop, func() { b.cancel(home, body.SubCancel.GetAttempt()) })
		}
	}
	next := b.homes[home].Next()
	if next.IsZero() || next.Equal(b.ticks[home]) {
		return
	}
	b.ticks[home] = next
	b.at(max(0, next.Sub(b.now)), func() {
		if b.ticks[home].Equal(b.now) {
			b.ticks[home] = time.Time{}
			b.step(home, core.Tick{})
		}
	})
}

func (b *bench) enqueue(j *job) {
	q := b.queues[j.sub.GetUpstream()]
	at, _ := slices.BinarySearchFunc(q.waiting, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.sub.GetOrderKey(), b.sub.GetOrderKey()), cmp.Compare(a.sub.GetQueryId(), b.sub.GetQueryId()))
	})
	q.waiting = slices.Insert(q.waiting, at, j)
	b.serve(q)
}

func (b *bench) serve(q *queue) {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		if b.now.After(j.until) {
			b.reply(j, bad(j.sub, core.DeadlineExceeded, core.NotRun), q)
			continue
		}
		q.running[j] = true
		took := meanService
		if b.exponential {
			took = time.Duration(b.random.ExpFloat64() * float64(meanService))
		}
		if b.random.Float64() < b.stragglers {
			took *= 20
		}
		b.at(took, func() { b.end(q, j, took) })
		if slow := microseconds(j.sub.GetSlowAfterUs()); slow > 0 && slow < took {
			b.at(slow, func() { b.slow(j) })
		}
	}
}

func (b *bench) slow(j *job) {
	if j.done || b.mute {
		return
	}
	slow := &peerpb.SubSlow{Attempt: j.sub.GetAttempt()}
	b.send(j, &peerpb.Message{Body: &peerpb.Message_SubSlow{SubSlow: slow}})
}

// send brings a message of a job's owner to its home.
func (b *bench) send(j *job, m *peerpb.Message) {
	from := core.HostID("o" + j.sub.GetUpstream()[len(j.sub.GetUpstream())-1:])
	b.at(hop, func() { b.step(j.home, core.PeerMessage{From: from, Message: m}) })
}

func (b *bench) end(q *queue, j *job, took time.Duration) {
	if j.done {
		return
	}
	j.done = true
	delete(q.running, j)
	b.serve(q)
	reply := (&rig{topology: b.topology}).good(j.sub)
	reply.ServiceUs = took.Microseconds()
	b.reply(j, reply, q)
}

func (b *bench) reply(j *job, reply *peerpb.SubReply, q *queue) {
	if !b.blind {
		wait := meanService * time.Duration(len(q.waiting)+len(q.running)-q.slots+1) / time.Duration(q.slots)
		reply.Load = &peerpb.Load{
			Upstream: j.sub.GetUpstream(), Queued: uint32(len(q.waiting)), Running: uint32(len(q.running)),
			Limit: uint32(q.slots), WaitUs: max(0, wait.Microseconds()),
		}
	}
	b.send(j, &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: reply}})
}

func (b *bench) cancel(home int, attempt uint64) {
	same := func(j *job) bool { return j.home == home && j.sub.GetAttempt() == attempt }
	for _, q := range b.queues {
		q.waiting = slices.DeleteFunc(q.waiting, same)
		for j := range q.running {
			if same(j) {
				j.done = true
				delete(q.running, j)
				b.serve(q)
			}
		}
	}
}

func (b *bench) figures() figures {
	slices.Sort(b.took)
	at := func(part float64) time.Duration { return b.took[int(part*float64(len(b.took)-1))] }
	f := figures{p50: at(0.5), p99: at(0.99), p999: at(0.999), good: float64(b.whole) / float64(len(b.took))}
	for _, took := range b.took {
		f.mean += took / time.Duration(len(b.took))
	}
	var attempts, extra uint64
	for _, g := range b.homes {
		attempts += g.Stats().Attempts
		extra += g.Stats().Extra
	}
	f.extra = float64(extra) / float64(attempts-extra)
	return f
}

var routers = map[string]func(*rand.Rand) core.Router{
	"random":     func(r *rand.Rand) core.Router { return random.New(r) },
	"roundrobin": func(*rand.Rand) core.Router { return roundrobin.New() },
	"billiard":   func(*rand.Rand) core.Router { return billiard.New() },
	"leastwait":  func(*rand.Rand) core.Router { return leastwait.New() },
}

func never() core.Hedger { return nohedge.NoHedge{} }

func p95() core.Hedger {
	return quantile.New(quantile.Options{Quantile: 0.95, Window: 1000, MinObservations: 50, Floor: time.Millisecond})
}

// Routers with the queues unseen and seen, for equal and unequal replicas.
func TestRouters(t *testing.T) {
	for _, homes := range []int{1, 8} {
		for _, slots := range [][2]int{{2, 2}, {2, 6}} {
			for _, blind := range []bool{true, false} {
				got := map[string]figures{}
				for _, name := range []string{"random", "roundrobin", "billiard", "leastwait"} {
					got[name] = measure(load{
						homes: homes, services: 1, slots: slots, rate: 0.85, exponential: true, blind: blind,
						queries: 4 * *queries, deadline: 10 * time.Second, router: routers[name], hedger: never, admit: open.Open{},
					})
					t.Logf("homes %d, slots %v, blind %-5v, %-10s %v", homes, slots, blind, name, got[name])
				}
				if !blind && got["leastwait"].mean >= min(got["random"].mean, got["roundrobin"].mean, got["billiard"].mean) {
					t.Error("leastwait sees the queues and is not the best")
				}
			}
		}
	}
}

// One sub-query in a hundred takes twenty times as long.
func TestStragglers(t *testing.T) {
	for _, exponential := range []bool{false, true} {
		run := load{
			homes: 8, services: 20, slots: [2]int{2, 2}, rate: 0.6, exponential: exponential,
			queries: *queries, deadline: 2 * time.Second, router: routers["leastwait"], hedger: p95, admit: open.Open{},
		}
		clean := measure(run)
		run.stragglers = 0.01
		ours := measure(run)
		run.mute = true
		mute := measure(run)
		run.hedger = never
		unhedged := measure(run)
		run.router = routers["random"]
		naive := measure(run)
		t.Logf("exponential %v:\n none     %v\n ours     %v\n mute     %v\n unhedged %v\n naive    %v",
			exponential, clean, ours, mute, unhedged, naive)
		if ours.p99 > 2*clean.p99 || naive.p99 < 3*ours.p99 || ours.extra > 0.05 {
			t.Error("the tail or the extra load is too large")
		}
	}
}

// Past capacity, admission keeps the goodput up.
func TestOverload(t *testing.T) {
	for name, admit := range map[string]core.Admission{"open": open.Open{}, "expected": &expected.Expected{Factor: 2.5}} {
		goodput := map[float64]float64{}
		for _, rate := range []float64{0.8, 0.9, 1, 2} {
			f := measure(load{
				homes: 8, services: 20, slots: [2]int{2, 2}, rate: rate, exponential: true, stragglers: 0.01,
				queries: *queries, deadline: 340 * time.Millisecond, router: routers["leastwait"], hedger: p95, admit: admit,
			})
			goodput[rate] = f.good * rate
			t.Logf("%s at %.1f of capacity: goodput %.3f; %v", name, rate, goodput[rate], f)
		}
		if name == "expected" && goodput[2] < 0.85*goodput[1] {
			t.Error("the goodput falls past capacity")
		}
	}
}
