package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

var epoch = time.Unix(1_800_000_000, 0)

// store simulates the platform: objects by key, and calls not executed yet.
type store struct {
	era      uint64
	versions map[string]uint64
	values   map[string][]byte
	calls    []pendingCall
}

type pendingCall struct {
	host *simHost
	core.PlatformCall
	// timedOut is set once the host received PlatformUnavailable for the call.
	timedOut bool
}

// execute applies a call and returns its reply.
func (s *store) execute(c core.PlatformCall) core.PlatformReply {
	r := core.PlatformReply{Operation: c.Operation, Version: s.versions[c.Key], Value: s.values[c.Key]}
	switch {
	case c.Op == core.PlatformGet && r.Version == 0:
		r.Kind = core.UnknownName
		r.Version = core.Position{Era: s.era}.Version()
	case c.Op == core.PlatformGet:
	case c.Version != r.Version:
		r.Kind = core.Conflict
	default:
		r.Version++
		if core.PositionOf(r.Version).Era < s.era {
			r.Version = core.Position{Era: s.era, Revision: 1}.Version()
		}
		s.versions[c.Key], s.values[c.Key] = r.Version, c.Value
	}
	return r
}

// run is a request that a host's runner has in flight.
type run struct {
	id   string
	done func(time.Time, *peerpb.QueryReply, *core.Actions)
}

// simHost is one incarnation of a host; a paused one handles no events.
type simHost struct {
	w           *sim
	id          core.HostID
	incarnation uint64
	g           *Guard
	view        *corefake.Membership
	inbox       []core.Event
	runs        []run
	paused      bool
	lastCall    core.CallID
	openCalls   map[core.CallID]string
}

// sim simulates several hosts and one platform.
type sim struct {
	t     failer
	now   time.Time
	hosts []*simHost
	store *store
	// ran counts the runs per request id, except those that ended as NotRun.
	ran       map[string]int
	answers   []answered
	configure func(*Config)
}

type answered struct {
	id    string
	reply *peerpb.QueryReply
}

type failer interface {
	Fatalf(format string, args ...any)
}

func newSim(t failer, count int, configure func(*Config)) *sim {
	w := &sim{
		t: t, now: epoch, configure: configure,
		store: &store{era: core.FirstEra, versions: map[string]uint64{}, values: map[string][]byte{}},
		ran:   map[string]int{},
	}
	for i := range count {
		w.hosts = append(w.hosts, w.newHost(core.HostID(fmt.Sprintf("h%d", i+1)), 1))
	}
	for _, h := range w.hosts {
		for _, other := range w.hosts {
			h.view.Hosts = append(h.view.Hosts, other.id)
		}
	}
	return w
}

func (w *sim) newHost(id core.HostID, incarnation uint64) *simHost {
	h := &simHost{w: w, id: id, incarnation: incarnation, view: &corefake.Membership{Host: id}, openCalls: map[core.CallID]string{}}
	cfg := Config{Self: id, Incarnation: incarnation, Members: h.view, Runner: h, Partitions: 1}
	w.configure(&cfg)
	g, err := New(cfg)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	h.g = g
	return h
}

// Run implements core.Runner. It counts the run, which ends by endRun.
func (h *simHost) Run(_ time.Time, q *peerpb.Query, done func(time.Time, *peerpb.QueryReply, *core.Actions), _ *core.Actions) {
	h.w.ran[q.RequestId]++
	if h.w.ran[q.RequestId] > 1 {
		h.w.t.Fatalf("%s ran twice", q.RequestId)
	}
	h.runs = append(h.runs, run{id: q.RequestId, done: done})
}

// endRun ends the oldest run of a host.
func (w *sim) endRun(h *simHost, ran core.Ran) {
	if len(h.runs) == 0 || h.paused {
		return
	}
	r := h.runs[0]
	h.runs = h.runs[1:]
	kind := core.OK
	switch ran {
	case core.NotRun:
		kind = core.UpstreamShed
		w.ran[r.id] = 0
	case core.RanUnknown:
		kind = core.UpstreamLost
	}
	var out core.Actions
	r.done(w.now, &peerpb.QueryReply{Kind: int32(kind), Ran: int32(ran), Payload: []byte(r.id)}, &out)
	w.perform(h, &out)
}

func (w *sim) step(h *simHost, event core.Event) {
	var out core.Actions
	h.g.Step(w.now, event, &out)
	w.perform(h, &out)
}

func (w *sim) perform(h *simHost, out *core.Actions) {
	for _, action := range out.List {
		switch a := action.(type) {
		case core.PlatformCall:
			w.store.calls = append(w.store.calls, pendingCall{host: h, PlatformCall: a})
		case core.SendPeer:
			if to := w.host(a.To); to != nil {
				w.checkNotRun(to, a.Message)
				to.inbox = append(to.inbox, core.PeerMessage{From: h.id, Incarnation: h.incarnation, Message: a.Message})
			}
		case core.AnswerCaller:
			w.answered(h, a)
		}
	}
}

func (w *sim) host(id core.HostID) *simHost {
	at := slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.id == id })
	if at < 0 {
		return nil
	}
	return w.hosts[at]
}

func (w *sim) answered(h *simHost, a core.AnswerCaller) {
	id, asked := h.openCalls[a.Call]
	if !asked {
		w.t.Fatalf("call %d of %s was answered twice", a.Call, h.id)
	}
	delete(h.openCalls, a.Call)
	if core.Kind(a.Reply.Kind) == core.OK && string(a.Reply.Payload) != canonical(id) {
		w.t.Fatalf("%s got the outcome of %s", id, a.Reply.Payload)
	}
	w.answers = append(w.answers, answered{id: id, reply: a.Reply})
}

// checkNotRun checks that a request answered as not run has not run when the
// answer is sent. A resend concurrent with the answer may still run.
func (w *sim) checkNotRun(to *simHost, m *peerpb.Message) {
	r := m.GetQueryReply()
	if r == nil || to.g.calls[r.Call] == nil || core.Kind(r.Kind) == core.InvalidRequest {
		return // InvalidRequest refers to another request under a reused id.
	}
	id := to.g.calls[r.Call].query.RequestId
	if core.Ran(r.Ran) == core.NotRun && w.ran[id] > 0 {
		w.t.Fatalf("%s was answered %v, not run, and has run", id, core.Kind(r.Kind))
	}
}

// sendRequest sends a caller's request to a host.
func (w *sim) sendRequest(h *simHost, id string, left time.Duration, question string) {
	h.lastCall++
	h.openCalls[h.lastCall] = id
	w.step(h, core.CallerRequest{Call: h.lastCall, Query: &peerpb.Query{
		RequestId: id, Service: "s", Once: true, RemainingUs: left.Microseconds(), Question: []byte(question),
	}})
}

// key returns a UUIDv7 with the given issue time.
func key(at time.Time, number uint64) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 7 {
		id[15-i] = byte(number >> (8 * i))
	}
	return id.String()
}

// platform executes one pending call, or injects a fault: "down" drops the call,
// "reply lost" executes it but reports a failure, "late" reports a failure now and
// leaves the call to be executed later.
func (w *sim) platform(at int, fault string) {
	if len(w.store.calls) == 0 {
		return
	}
	at %= len(w.store.calls)
	c := w.store.calls[at]
	lost := core.PlatformReply{Operation: c.Operation, Kind: core.PlatformUnavailable}
	if fault == "late" && !c.timedOut {
		w.store.calls[at].timedOut = true
		c.host.inbox = append(c.host.inbox, lost)
		return
	}
	w.store.calls = slices.Delete(w.store.calls, at, at+1)
	r := lost
	if fault != "down" {
		r = w.store.execute(c.PlatformCall)
	}
	if fault == "reply lost" {
		r = lost
	}
	if !c.timedOut {
		c.host.inbox = append(c.host.inbox, r)
	}
}

// deliverNext delivers the oldest event of a host's inbox.
func (w *sim) deliverNext(h *simHost) {
	if h.paused || len(h.inbox) == 0 {
		return
	}
	event := h.inbox[0]
	h.inbox = h.inbox[1:]
	w.step(h, event)
}

// runFor advances the time without faults.
func (w *sim) runFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for range 20 {
			for len(w.store.calls) > 0 {
				w.platform(0, "")
			}
			for _, h := range w.hosts {
				if h.paused {
					continue
				}
				w.step(h, core.Tick{})
				for len(h.inbox) > 0 {
					w.deliverNext(h)
				}
			}
		}
	}
}

// crash replaces a host with a new incarnation that has no state.
func (w *sim) crash(h *simHost) *simHost {
	at := slices.Index(w.hosts, h)
	next := w.newHost(h.id, h.incarnation+1_000_000)
	next.view.Hosts = h.view.Hosts
	w.hosts[at] = next
	w.store.calls = slices.DeleteFunc(w.store.calls, func(c pendingCall) bool { return c.host == h && c.Operation%2 == 0 })
	for _, other := range w.hosts {
		other.inbox = append(other.inbox, core.PeerLost{Host: h.id})
	}
	return next
}
