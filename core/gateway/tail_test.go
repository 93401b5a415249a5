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

// workload describes one measurement: queries arrive at several independent
// homes and are served by queues with a few slots each, in the owners' order.
type workload struct {
	homes, services int
	// slots are the slots of the two upstreams of each service.
	slots [2]int
	// utilization is the average fraction of busy slots.
	utilization float64
	// exponential draws service times from an exponential distribution;
	// otherwise they are constant.
	exponential bool
	// stragglerRate is the fraction of sub-queries that take twenty times as long.
	stragglerRate float64
	// noLoadReports leaves the load out of the replies.
	noLoadReports bool
	// noSlowSignals suppresses SubSlow messages.
	noSlowSignals bool
	queries       int
	deadline      time.Duration
	router        func(*rand.Rand) core.Router
	hedger        func() core.Hedger
	admit         core.Admission
}

var queries = flag.Int("queries", 2000, "queries of each measurement")

const (
	meanServiceTime = 10 * time.Millisecond
	hopDelay        = 1500 * time.Microsecond
)

// measurement holds the results of one workload.
type measurement struct {
	p50, p99, p999, mean time.Duration
	// complete is the fraction of queries answered with all shards in time.
	complete float64
	// extra is the number of hedges and retries per other sub-query.
	extra float64
}

func (f measurement) String() string {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return fmt.Sprintf("mean %.1f ms, p50 %.1f, p99 %.1f, p99.9 %.1f, complete %.3f, extra %.3f",
		ms(f.mean), ms(f.p50), ms(f.p99), ms(f.p999), f.complete, f.extra)
}

// queueSimulation runs a workload under virtual time.
type queueSimulation struct {
	workload
	now       time.Time
	events    timers
	random    *rand.Rand
	homes     []*Gateway
	nextTicks []time.Time
	queues    map[string]*queue
	latencies []time.Duration
	complete  int
	topology  *core.Topology
}

// queue simulates one upstream and its owner.
type queue struct {
	slots   int
	waiting []*job
	running map[*job]bool
}

type job struct {
	home int
	sub  *peerpb.SubQuery
	done bool
	// deadline is the attempt's deadline; the owner does not start it later.
	deadline time.Time
}

func measure(l workload) measurement {
	s := &queueSimulation{
		workload: l, now: time.UnixMicro(1e12), random: rand.New(rand.NewPCG(1, 2)),
		queues: map[string]*queue{}, topology: tiledTopology(l.services, 7),
	}
	owners := map[core.UpstreamID]core.HostID{}
	for id := range s.topology.Upstreams {
		side := id[len(id)-1]
		owners[id] = core.HostID("o" + string(side))
		s.topology.Upstreams[id].Slots = l.slots[side-'a']
		s.queues[string(id)] = &queue{slots: l.slots[side-'a'], running: map[*job]bool{}}
	}
	for i := range l.homes {
		self := core.HostID(fmt.Sprint("h", i))
		members := &corefake.Membership{Host: self, Hosts: []core.HostID{self, "oa", "ob"}}
		g, err := New(Config{
			Self: self, Incarnation: uint64(i+1) << 40, Members: members,
			Owners: &corefake.Ownership{Host: self, Owners: owners},
			Router: l.router(s.random), Hedger: l.hedger(), Admission: l.admit,
		})
		if err != nil {
			panic(err)
		}
		s.homes = append(s.homes, g)
		s.nextTicks = append(s.nextTicks, time.Time{})
		s.step(i, core.TopologyChanged{Topology: s.topology})
	}
	gap := float64(meanServiceTime) / (l.utilization * float64(l.slots[0]+l.slots[1]))
	s.scheduleArrival(1, gap)
	for next := s.events.next(); !next.IsZero(); next = s.events.next() {
		s.now = next
		s.events.run(next, nil)
	}
	return s.summarize()
}

func (s *queueSimulation) after(wait time.Duration, run func()) {
	s.events.add(s.now.Add(wait), func(time.Time, *core.Actions) { run() })
}

func (s *queueSimulation) scheduleArrival(call core.CallID, gap float64) {
	if int(call) > s.queries {
		return
	}
	home := s.random.IntN(len(s.homes))
	q := &peerpb.Query{Scope: "all", Question: fmt.Append(nil, call), RemainingUs: s.deadline.Microseconds()}
	started := s.now
	var out core.Actions
	s.homes[home].Run(s.now, q, func(now time.Time, r *peerpb.QueryReply, _ *core.Actions) {
		if int(call) <= s.queries/5 {
			return
		}
		s.latencies = append(s.latencies, now.Sub(started))
		short := func(s *peerpb.ShardAccount) bool { return s.GetKind() != 0 }
		if core.Kind(r.GetKind()) == core.OK && !slices.ContainsFunc(r.GetShards(), short) {
			s.complete++
		}
	}, &out)
	s.carryOut(home, &out)
	s.after(time.Duration(s.random.ExpFloat64()*gap), func() { s.scheduleArrival(call+1, gap) })
}

func (s *queueSimulation) step(home int, event core.Event) {
	var out core.Actions
	s.homes[home].Step(s.now, event, &out)
	s.carryOut(home, &out)
}

// carryOut executes the actions of a home and schedules its next timer.
func (s *queueSimulation) carryOut(home int, out *core.Actions) {
	for _, action := range out.List {
		switch body := action.(core.SendPeer).Message.GetBody().(type) {
		case *peerpb.Message_SubQuery:
			s.after(hopDelay, func() {
				s.enqueue(&job{home: home, sub: body.SubQuery, deadline: s.now.Add(microseconds(body.SubQuery.GetRemainingUs()))})
			})
		case *peerpb.Message_SubCancel:
			s.after(hopDelay, func() { s.cancel(home, body.SubCancel.GetAttempt()) })
		}
	}
	next := s.homes[home].Next()
	if next.IsZero() || next.Equal(s.nextTicks[home]) {
		return
	}
	s.nextTicks[home] = next
	s.after(max(0, next.Sub(s.now)), func() {
		if s.nextTicks[home].Equal(s.now) {
			s.nextTicks[home] = time.Time{}
			s.step(home, core.Tick{})
		}
	})
}

func (s *queueSimulation) enqueue(j *job) {
	q := s.queues[j.sub.GetUpstream()]
	at, _ := slices.BinarySearchFunc(q.waiting, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.sub.GetOrderKey(), b.sub.GetOrderKey()), cmp.Compare(a.sub.GetQueryId(), b.sub.GetQueryId()))
	})
	q.waiting = slices.Insert(q.waiting, at, j)
	s.serve(q)
}

func (s *queueSimulation) serve(q *queue) {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		if s.now.After(j.deadline) {
			s.reply(j, failureReply(j.sub, core.DeadlineExceeded, core.NotRun), q)
			continue
		}
		q.running[j] = true
		took := meanServiceTime
		if s.exponential {
			took = time.Duration(s.random.ExpFloat64() * float64(meanServiceTime))
		}
		if s.random.Float64() < s.stragglerRate {
			took *= 20
		}
		s.after(took, func() { s.end(q, j, took) })
		if slow := microseconds(j.sub.GetSlowAfterUs()); slow > 0 && slow < took {
			s.after(slow, func() { s.reportSlow(j) })
		}
	}
}

func (s *queueSimulation) reportSlow(j *job) {
	if j.done || s.noSlowSignals {
		return
	}
	slow := &peerpb.SubSlow{Attempt: j.sub.GetAttempt()}
	s.send(j, &peerpb.Message{Body: &peerpb.Message_SubSlow{SubSlow: slow}})
}

// send delivers a message from a job's owner to its home after one hop.
func (s *queueSimulation) send(j *job, m *peerpb.Message) {
	from := core.HostID("o" + j.sub.GetUpstream()[len(j.sub.GetUpstream())-1:])
	s.after(hopDelay, func() { s.step(j.home, core.PeerMessage{From: from, Message: m}) })
}

func (s *queueSimulation) end(q *queue, j *job, took time.Duration) {
	if j.done {
		return
	}
	j.done = true
	delete(q.running, j)
	s.serve(q)
	reply := (&harness{topology: s.topology}).successReply(j.sub)
	reply.ServiceUs = took.Microseconds()
	s.reply(j, reply, q)
}

func (s *queueSimulation) reply(j *job, reply *peerpb.SubReply, q *queue) {
	if !s.noLoadReports {
		wait := meanServiceTime * time.Duration(len(q.waiting)+len(q.running)-q.slots+1) / time.Duration(q.slots)
		reply.Load = &peerpb.Load{
			Upstream: j.sub.GetUpstream(), Queued: uint32(len(q.waiting)), Running: uint32(len(q.running)),
			Limit: uint32(q.slots), WaitUs: max(0, wait.Microseconds()),
		}
	}
	s.send(j, &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: reply}})
}

func (s *queueSimulation) cancel(home int, attempt uint64) {
	same := func(j *job) bool { return j.home == home && j.sub.GetAttempt() == attempt }
	for _, q := range s.queues {
		q.waiting = slices.DeleteFunc(q.waiting, same)
		for j := range q.running {
			if same(j) {
				j.done = true
				delete(q.running, j)
				s.serve(q)
			}
		}
	}
}

func (s *queueSimulation) summarize() measurement {
	slices.Sort(s.latencies)
	at := func(part float64) time.Duration { return s.latencies[int(part*float64(len(s.latencies)-1))] }
	f := measurement{p50: at(0.5), p99: at(0.99), p999: at(0.999), complete: float64(s.complete) / float64(len(s.latencies))}
	for _, took := range s.latencies {
		f.mean += took / time.Duration(len(s.latencies))
	}
	var attempts, extra uint64
	for _, g := range s.homes {
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

func noHedging() core.Hedger { return nohedge.NoHedge{} }

func hedgeAtP95() core.Hedger {
	return quantile.New(quantile.Options{Quantile: 0.95, Window: 1000, MinObservations: 50, Floor: time.Millisecond})
}

// Compares the routers with and without load reports, for replicas of equal and
// unequal capacity. With load reports, leastwait must have the lowest mean.
func TestRouters(t *testing.T) {
	for _, homes := range []int{1, 8} {
		for _, slots := range [][2]int{{2, 2}, {2, 6}} {
			for _, blind := range []bool{true, false} {
				got := map[string]measurement{}
				for _, name := range []string{"random", "roundrobin", "billiard", "leastwait"} {
					got[name] = measure(workload{
						homes: homes, services: 1, slots: slots, utilization: 0.85, exponential: true, noLoadReports: blind,
						queries: 4 * *queries, deadline: 10 * time.Second, router: routers[name], hedger: noHedging, admit: open.Open{},
					})
					t.Logf("homes %d, slots %v, no load reports %-5v, %-10s %v", homes, slots, blind, name, got[name])
				}
				if !blind && got["leastwait"].mean >= min(got["random"].mean, got["roundrobin"].mean, got["billiard"].mean) {
					t.Error("leastwait has load reports but not the lowest mean latency")
				}
			}
		}
	}
}

// With one sub-query in a hundred taking twenty times as long, leastwait and
// hedging must keep the p99 latency within twice that without stragglers and a
// third of that of the random router without hedging, at no more than 5 % extra
// load.
func TestStragglers(t *testing.T) {
	for _, exponential := range []bool{false, true} {
		run := workload{
			homes: 8, services: 20, slots: [2]int{2, 2}, utilization: 0.6, exponential: exponential,
			queries: *queries, deadline: 2 * time.Second, router: routers["leastwait"], hedger: hedgeAtP95, admit: open.Open{},
		}
		baseline := measure(run)
		run.stragglerRate = 0.01
		hedged := measure(run)
		run.noSlowSignals = true
		withoutSlowSignals := measure(run)
		run.hedger = noHedging
		unhedged := measure(run)
		run.router = routers["random"]
		randomRouter := measure(run)
		t.Logf("exponential %v:\n no stragglers  %v\n hedged         %v\n no SubSlow     %v\n unhedged       %v\n random router  %v",
			exponential, baseline, hedged, withoutSlowSignals, unhedged, randomRouter)
		if hedged.p99 > 2*baseline.p99 || randomRouter.p99 < 3*hedged.p99 || hedged.extra > 0.05 {
			t.Error("the p99 latency or the extra load of hedging is too high")
		}
	}
}

// At twice the capacity, admission by expected latency must keep at least 85 % of
// the goodput at capacity.
func TestOverload(t *testing.T) {
	for name, admit := range map[string]core.Admission{"open": open.Open{}, "expected": &expected.Expected{Factor: 2.5}} {
		goodput := map[float64]float64{}
		for _, rate := range []float64{0.8, 0.9, 1, 2} {
			f := measure(workload{
				homes: 8, services: 20, slots: [2]int{2, 2}, utilization: rate, exponential: true, stragglerRate: 0.01,
				queries: *queries, deadline: 340 * time.Millisecond, router: routers["leastwait"], hedger: hedgeAtP95, admit: admit,
			})
			goodput[rate] = f.complete * rate
			t.Logf("%s at %.1f of capacity: goodput %.3f; %v", name, rate, goodput[rate], f)
		}
		if name == "expected" && goodput[2] < 0.85*goodput[1] {
			t.Error("the goodput drops beyond capacity")
		}
	}
}
