package configsync

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/resource"
)

const (
	minLatency = 500 * time.Microsecond
	maxLatency = 3 * time.Millisecond
	maxDelay   = 5 * time.Second
)

// fleet runs the Syncs of many hosts under virtual time, with one platform object
// and a network that loses, duplicates and reorders messages.
type fleet struct {
	t        reporter
	now      time.Time
	random   *rand.Rand
	nodes    []*node
	members  corefake.Membership
	queue    queue
	sequence int

	// loss, duplication and delayed are fractions of messages; a delayed one takes
	// up to maxDelay.
	loss, duplication float64
	delayed           float64

	platformDown bool
	// versions are all values that the platform has held, oldest first.
	versions [][]byte
	// staleWatch makes watches deliver a random version, which may be outdated.
	staleWatch bool
	records    []core.Record
}

// reporter is the part of testing.TB and rapid.T that the fleet uses.
type reporter interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

type node struct {
	host        core.HostID
	sync        *Sync
	up          bool
	incarnation int
	timerAt     time.Time
	watching    bool
	newest      uint64 // highest generation of this incarnation
	messages    int
	bytes       int
}

func newFleet(t reporter, hosts int, seed uint64) *fleet {
	f := &fleet{t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	f.members.Domains = map[core.HostID]core.DomainID{}
	for i := range hosts {
		host := core.HostID(fmt.Sprintf("h%04d", i))
		f.nodes = append(f.nodes, &node{host: host})
		f.members.Hosts = append(f.members.Hosts, host)
		f.members.Domains[host] = core.DomainID(fmt.Sprintf("d%d", i%4))
	}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	n := f.nodes[i]
	members := f.members
	members.Host = n.host
	sync, err := New(Config{Self: n.host, Members: &members, Random: rand.New(rand.NewPCG(f.random.Uint64(), 1))})
	if err != nil {
		f.t.Fatal(err)
	}
	n.sync, n.up, n.watching, n.newest, n.timerAt = sync, true, false, 0, time.Time{}
	n.incarnation++
	f.step(i, core.Tick{})
}

func (f *fleet) stop(i int) { f.nodes[i].up = false }

// resume continues a stopped host with its state; events that were due meanwhile
// are lost.
func (f *fleet) resume(i int) {
	n := f.nodes[i]
	n.up, n.timerAt = true, time.Time{}
	f.step(i, core.Tick{})
}

// step passes an event to a host and performs the resulting actions.
func (f *fleet) step(i int, event core.Event) {
	n := f.nodes[i]
	var out core.Actions
	n.sync.Step(f.now, event, &out)
	if n.sync.Generation() < n.newest {
		f.t.Fatalf("%s: generation decreased from %d to %d", n.host, n.newest, n.sync.Generation())
	}
	n.newest = n.sync.Generation()
	for _, action := range out.List {
		f.perform(i, action)
	}
	if next := n.sync.Next(); next != n.timerAt {
		n.timerAt = next
		f.deliver(next.Sub(f.now), i, core.Tick{})
	}
}

func (f *fleet) perform(i int, action core.Action) {
	n := f.nodes[i]
	switch a := action.(type) {
	case core.SendPeer:
		n.messages++
		n.bytes += proto.Size(a.Message)
		f.send(i, a)
	case core.PlatformCall:
		f.deliver(f.latency(), i, f.read(a))
	case core.WatchObject:
		if n.watching = a.On; a.On {
			f.notify(i)
		}
	case core.Record:
		f.records = append(f.records, a)
	}
}

func (f *fleet) send(from int, a core.SendPeer) {
	var to int
	if _, err := fmt.Sscanf(string(a.To), "h%d", &to); err != nil {
		f.t.Fatal(err)
	}
	event := core.PeerMessage{From: f.nodes[from].host, Message: a.Message}
	for copies := 1; copies > 0; copies-- {
		if f.random.Float64() >= f.loss {
			f.deliver(f.latency(), to, event)
		}
		if f.random.Float64() < f.duplication {
			copies++
		}
	}
}

func (f *fleet) latency() time.Duration {
	if f.random.Float64() < f.delayed {
		return time.Duration(f.random.Int64N(int64(maxDelay)))
	}
	return minLatency + time.Duration(f.random.Int64N(int64(maxLatency-minLatency)))
}

func (f *fleet) read(call core.PlatformCall) core.PlatformReply {
	reply := core.PlatformReply{Operation: call.Operation, Kind: core.OK, Version: uint64(len(f.versions))}
	switch {
	case f.platformDown:
		reply.Kind = core.PlatformUnavailable
	case call.Op == core.PlatformPut && call.Version != reply.Version:
		reply.Kind = core.Conflict
	case call.Op == core.PlatformPut:
		f.versions = append(f.versions, call.Value)
		reply.Version++
		for j := range f.nodes {
			f.notify(j)
		}
	case len(f.versions) == 0:
		reply.Kind = core.UnknownName
	default:
		reply.Value = f.versions[len(f.versions)-1]
	}
	return reply
}

// notify delivers the platform's state to a host if it is watching.
func (f *fleet) notify(i int) {
	version := len(f.versions)
	if f.platformDown || version == 0 || !f.nodes[i].watching {
		return
	}
	if f.staleWatch {
		version = 1 + f.random.IntN(version)
	}
	f.deliver(f.latency(), i, core.PlatformChanged{Key: core.ConfigKey, Version: uint64(version), Value: f.versions[version-1]})
}

func (f *fleet) setPlatform(down bool) {
	f.platformDown = down
	for i := range f.nodes {
		f.notify(i)
	}
}

// accept stores a value, delivers it to the accepting host at once, as the
// resource API does, and then notifies the watching hosts.
func (f *fleet) accept(i int, value []byte) {
	f.versions = append(f.versions, value)
	f.step(i, core.PlatformChanged{Key: core.ConfigKey, Version: uint64(len(f.versions)), Value: value})
	for j := range f.nodes {
		f.notify(j)
	}
}

// run advances virtual time by d, or until done returns true, and returns the time
// that passed.
func (f *fleet) run(d time.Duration, done func() bool) time.Duration {
	start, end := f.now, f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) && !done() {
		e := heap.Pop(&f.queue).(queued)
		f.now = e.at
		if n := f.nodes[e.node]; n.up && n.incarnation == e.incarnation {
			if e.event == (core.Tick{}) && n.timerAt != e.at {
				continue // the timer was rescheduled
			}
			f.step(e.node, e.event)
		}
	}
	if !done() {
		f.now = end
	}
	return f.now.Sub(start)
}

func never() bool { return false }

// inForceEverywhere returns a condition for run: all hosts that are up have the
// generation in force.
func (f *fleet) inForceEverywhere(generation uint64) func() bool {
	return func() bool { return f.lagging(generation) == 0 }
}

func (f *fleet) lagging(generation uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.up && n.sync.Generation() < generation {
			count++
		}
	}
	return count
}

// documents returns the encoded documents of generations 1 to generations. Each
// change takes the failure domain out or back in.
func documents(t testing.TB, upstreams, generations int) [][]byte {
	t.Helper()
	edits := []resource.Edit{
		domainEdit(resource.StateIn),
		{Object: resource.Object{Kind: resource.Service, Name: "s", Spec: &resource.ServiceSpec{}}},
	}
	for i := range upstreams {
		edits = append(edits, upstreamEdit(i, resource.StateIn))
	}
	doc := &resource.Document{}
	var all [][]byte
	for g := range generations {
		doc = mustApply(t, doc, edits)
		encoded, err := doc.Encode()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, encoded)
		edits = []resource.Edit{domainEdit([]resource.State{resource.StateOut, resource.StateIn}[g%2])}
	}
	return all
}

func mustApply(t testing.TB, doc *resource.Document, edits []resource.Edit) *resource.Document {
	t.Helper()
	next, err := resource.Apply(doc, resource.Request{Operation: fmt.Sprint("op", doc.Generation), Operator: "ops", Edits: edits})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func domainEdit(state resource.State) resource.Edit {
	return resource.Edit{Object: resource.Object{
		Kind: resource.FailureDomain, Name: "d0", Spec: &resource.FailureDomainSpec{State: state},
	}}
}

func upstreamEdit(i int, state resource.State) resource.Edit {
	return resource.Edit{Object: resource.Object{
		Kind: resource.Upstream,
		Name: fmt.Sprintf("u%d", i),
		Spec: &resource.UpstreamSpec{
			Service: "s", FailureDomain: "d0", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			State: state, Slots: 2, Connections: 25,
			ColdStart: resource.ColdStart{RatePerSecond: 2, WarmTime: resource.Duration(10 * time.Second)},
		},
	}}
}

type queued struct {
	at          time.Time
	sequence    int
	node        int
	incarnation int
	event       core.Event
}

func (f *fleet) deliver(after time.Duration, i int, event core.Event) {
	f.sequence++
	heap.Push(&f.queue, queued{f.now.Add(after), f.sequence, i, f.nodes[i].incarnation, event})
}

type queue []queued

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(queued)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
