package owner

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/plugin/ramp"
)

const (
	simServiceTime = 10 * time.Millisecond
	simExclusive   = 4 * time.Second
	// simStep is the resolution of the simulated clock.
	simStep = 5 * time.Millisecond
)

// conn is a client's connection to one process of an upstream.
type conn struct {
	process  *process
	answered bool
}

// job is one attempt on a process.
type job struct {
	host *simHost
	a    core.Dispatch
	conn *conn
	end  time.Time
}

// process is one incarnation of an upstream's server process.
type process struct {
	up          *core.Upstream
	instance    string
	started     time.Time
	jobs        []*job
	lastArrival time.Time
}

// capacity returns how many concurrent attempts the process sustains at its age.
func (p *process) capacity(now time.Time) int {
	age := now.Sub(p.started).Seconds() / p.up.Cold.Warm.Seconds()
	return max(1, int(min(age, 1)*float64(p.up.Slots)))
}

// minGap returns the minimum time between two attempts at its age.
func (p *process) minGap(now time.Time) time.Duration {
	age := min(now.Sub(p.started).Seconds()/p.up.Cold.Warm.Seconds(), 1)
	full := float64(p.up.Slots) / simServiceTime.Seconds()
	return time.Duration(float64(time.Second) / (p.up.Cold.Rate + (full-p.up.Cold.Rate)*age))
}

// simHost is a host with its owner, its client's connections, the events it has
// not handled and the actions it has not performed. A paused host does neither.
type simHost struct {
	id     core.HostID
	o      *Owner
	owners *corefake.Ownership
	idle   map[core.UpstreamID][]*conn
	inbox  []core.Event
	outbox []core.Action
	paused bool
}

// sim simulates a small tier: hosts, messages that are delivered in order per
// pair of hosts, and upstreams that restart. It checks the invariants at every
// arrival of an attempt and at every reply.
type sim struct {
	t         *rapid.T
	now       time.Time
	topology  *core.Topology
	hosts     []*simHost
	processes map[core.UpstreamID]*process
	holders   map[core.UpstreamID]*simHost
	overlap   map[core.UpstreamID]bool
	restarts  int
	sequence  uint64
	submitted map[core.AttemptID]*peerpb.SubQuery
	answers   map[core.AttemptID]*peerpb.SubReply
	// arrivals counts how often an attempt arrived at an upstream.
	arrivals map[core.AttemptID]int
	// poison is the fingerprint that crashes each process that runs it.
	poison  []byte
	crashes int
	// onReply is called for each reply.
	onReply func(origin *simHost, id core.AttemptID, r *peerpb.SubReply)
}

func newSim(t *rapid.T) *sim {
	w := &sim{
		t: t, now: epoch, topology: declare(1), processes: map[core.UpstreamID]*process{},
		holders: map[core.UpstreamID]*simHost{}, overlap: map[core.UpstreamID]bool{},
		submitted: map[core.AttemptID]*peerpb.SubQuery{}, answers: map[core.AttemptID]*peerpb.SubReply{},
		arrivals: map[core.AttemptID]int{},
		onReply:  func(*simHost, core.AttemptID, *peerpb.SubReply) {},
	}
	live := []core.HostID{"h1", "h2", "h3"}
	for _, id := range live {
		h := &simHost{id: id, idle: map[core.UpstreamID][]*conn{}, owners: &corefake.Ownership{
			Host: id, Owners: map[core.UpstreamID]core.HostID{}, Exclusive: map[core.UpstreamID]time.Time{},
			Warm: map[core.UpstreamID]bool{}, Drains: map[core.UpstreamID]bool{},
		}}
		h.o, _ = New(Config{
			Self: id, Incarnation: 1, Owners: h.owners,
			Members: &corefake.Membership{Host: id, Hosts: live},
			Limiter: func(u *core.Upstream) core.Limiter {
				return ramp.New(u, ramp.Options{BackOff: 100 * time.Millisecond, Growth: 2})
			},
		})
		w.hosts = append(w.hosts, h)
	}
	for i, up := range []core.UpstreamID{"u1", "u2"} {
		w.start(up, epoch.Add(-time.Hour))
		w.assign(up, w.hosts[i], true)
	}
	for _, h := range w.hosts {
		h.o.topology = w.topology
		h.o.recordWarmInstance("u1", w.processes["u1"].instance)
		h.o.recordWarmInstance("u2", w.processes["u2"].instance)
		w.step(h, core.TopologyChanged{Topology: w.topology})
	}
	return w
}

func (w *sim) start(up core.UpstreamID, at time.Time) {
	w.restarts++
	w.processes[up] = &process{up: w.topology.Upstreams[up], started: at, instance: fmt.Sprintf("%s-%d", up, w.restarts)}
}

// restart replaces a process without warning. Its connections break; each host
// detects that when it handles its inbox.
func (w *sim) restart(up core.UpstreamID) {
	old := w.processes[up]
	w.start(up, w.now)
	for _, j := range old.jobs {
		w.end(j, core.UpstreamLost, core.RanUnknown, "")
	}
	for _, h := range w.hosts {
		kept := h.idle[up][:0]
		for _, c := range h.idle[up] {
			if c.process == old {
				h.inbox = append(h.inbox, core.UpstreamConn{Upstream: up})
				continue
			}
			kept = append(kept, c)
		}
		h.idle[up] = kept
	}
}

// assign makes a host the holder of a share in the view of all running hosts.
func (w *sim) assign(up core.UpstreamID, to *simHost, warm bool) {
	w.holders[up] = to
	for _, h := range w.hosts {
		if h.paused {
			continue
		}
		h.owners.Owners[up] = to.id
		h.owners.Drains[up] = false
	}
	to.owners.Warm[up] = warm
	to.owners.Exclusive[up] = w.now.Add(simExclusive)
}

// step passes an event to a host and queues the resulting actions.
func (w *sim) step(h *simHost, event core.Event) {
	var out core.Actions
	h.o.Step(w.now, event, &out)
	h.outbox = append(h.outbox, out.List...)
}

// perform executes the oldest queued action of a host.
func (w *sim) perform(h *simHost) {
	action := h.outbox[0]
	h.outbox = h.outbox[1:]
	switch a := action.(type) {
	case core.SendPeer:
		w.send(h, a)
	case core.Dispatch:
		w.dispatch(h, a)
	case core.CancelDispatch:
		if j := w.find(h, a); j != nil {
			w.end(j, core.Cancelled, core.RanUnknown, "")
		}
	case core.OpenConns:
		for len(h.idle[a.Upstream.ID]) < a.Want {
			h.idle[a.Upstream.ID] = append(h.idle[a.Upstream.ID], &conn{process: w.processes[a.Upstream.ID]})
			h.inbox = append(h.inbox, core.UpstreamConn{Upstream: a.Upstream.ID, Open: true})
		}
	case core.CloseConns:
		h.idle[a.Upstream] = nil
	}
}

func (w *sim) send(h *simHost, a core.SendPeer) {
	to := w.hosts[slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.id == a.To })]
	if body, ok := a.Message.Body.(*peerpb.Message_SubReply); ok {
		id := core.AttemptID{Host: a.To, Incarnation: 1, Sequence: body.SubReply.Attempt}
		w.checkReply(id, body.SubReply)
		w.onReply(to, id, body.SubReply)
		return
	}
	to.inbox = append(to.inbox, core.PeerMessage{From: h.id, Incarnation: 1, Message: a.Message})
}

func (w *sim) checkReply(id core.AttemptID, r *peerpb.SubReply) {
	if w.answers[id] != nil {
		w.t.Fatalf("attempt %v was answered twice", id)
	}
	w.answers[id] = r
	if core.Ran(r.Ran) == core.NotRun && w.arrivals[id] > 0 {
		w.t.Fatalf("attempt %v has run, but its reply %v is marked as not run", id, core.Kind(r.Kind))
	}
}

// dispatch stands for the client: it sends the attempt on an idle connection of
// the requested kind, or opens a new one.
func (w *sim) dispatch(h *simHost, a core.Dispatch) {
	up := a.Upstream.ID
	pool := h.idle[up]
	at := slices.IndexFunc(pool, func(c *conn) bool { return c.answered == a.ReuseOnly })
	j := &job{host: h, a: a}
	switch {
	case at >= 0:
		j.conn = pool[at]
		h.idle[up] = slices.Delete(pool, at, at+1)
	case a.ReuseOnly:
		w.reply(j, core.UpstreamLost, core.NotRun, "")
		return
	default:
		j.conn = &conn{process: w.processes[up]}
	}
	w.arrive(j)
}

// arrive stands for the upstream: it accepts an attempt and checks the
// invariants.
func (w *sim) arrive(j *job) {
	p := j.conn.process
	id, up := j.a.Attempt, j.a.Upstream.ID
	if !j.a.StartBy.IsZero() && w.now.After(j.a.StartBy) {
		w.end(j, core.DeadlineExceeded, core.NotRun, p.instance)
		return
	}
	w.arrivals[id]++
	if w.arrivals[id] > 1 {
		w.t.Fatalf("attempt %v ran twice", id)
	}
	p.jobs = append(p.jobs, j)
	own := 0
	for _, other := range p.jobs {
		if other.host == j.host {
			own++
		}
	}
	if own > p.up.Slots || (!w.overlap[up] && len(p.jobs) > p.up.Slots) {
		w.t.Fatalf("%s runs %d attempts, %d of one host, on %d slots", up, len(p.jobs), own, p.up.Slots)
	}
	if cold := w.now.Sub(p.started) < p.up.Cold.Warm; cold {
		w.checkCold(p)
	}
	p.lastArrival = w.now
	j.end = w.now.Add(simServiceTime)
	if j.a.Deadline.Before(j.end) {
		j.end = j.a.Deadline
	}
}

func (w *sim) checkCold(p *process) {
	if len(p.jobs) > p.capacity(w.now) {
		w.t.Fatalf("%s, started %v ago, runs %d attempts and sustains %d", p.instance, w.now.Sub(p.started), len(p.jobs), p.capacity(w.now))
	}
	gap := w.now.Sub(p.lastArrival)
	if gap < p.minGap(w.now)-simStep {
		w.t.Fatalf("%s, started %v ago, received an attempt after %v, minimum gap %v", p.instance, w.now.Sub(p.started), gap, p.minGap(w.now))
	}
}

func (w *sim) find(h *simHost, a core.CancelDispatch) *job {
	for _, j := range w.processes[a.Upstream].jobs {
		if j.host == h && j.a.Attempt == a.Attempt {
			return j
		}
	}
	return nil
}

// end removes a job from its process and sends the result to its host.
func (w *sim) end(j *job, kind core.Kind, ran core.Ran, instance string) {
	p := j.conn.process
	p.jobs = slices.DeleteFunc(slices.Clone(p.jobs), func(other *job) bool { return other == j })
	if instance != "" {
		j.conn.answered = true
		j.host.idle[p.up.ID] = append(j.host.idle[p.up.ID], j.conn)
	}
	w.reply(j, kind, ran, instance)
	if instance == "" {
		j.host.inbox = append(j.host.inbox, core.UpstreamConn{Upstream: p.up.ID})
	}
}

func (w *sim) reply(j *job, kind core.Kind, ran core.Ran, instance string) {
	r := core.UpstreamReply{Upstream: j.a.Upstream.ID, Attempt: j.a.Attempt, Kind: kind, Ran: ran, Instance: instance}
	if instance != "" {
		r.Echo = j.a.Attempt.String()
	}
	j.host.inbox = append(j.host.inbox, r)
}

// advance moves the clock forward and completes the jobs that are due.
func (w *sim) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, up := range []core.UpstreamID{"u1", "u2"} {
		p := w.processes[up]
		for _, j := range slices.Clone(p.jobs) {
			switch {
			case j.end.After(w.now):
			case len(w.poison) > 0 && string(j.a.Query.Fingerprint) == string(w.poison):
				w.crashes++
				w.restart(up)
			case !w.now.Before(j.a.Deadline):
				w.end(j, core.DeadlineExceeded, core.RanUnknown, "")
			default:
				w.end(j, core.OK, core.HasRun, p.instance)
			}
			if p != w.processes[up] {
				break
			}
		}
	}
}

// submit sends a sub-query from a host to the owner of the upstream in that
// host's view.
func (w *sim) submit(from *simHost, up core.UpstreamID, change func(*peerpb.SubQuery)) core.AttemptID {
	w.sequence++
	q := &peerpb.SubQuery{
		Attempt: w.sequence, Upstream: string(up), Service: "s1", QueryId: "q",
		RemainingUs: 500_000, OrderKey: int64(w.sequence),
	}
	change(q)
	id := core.AttemptID{Host: from.id, Incarnation: 1, Sequence: w.sequence}
	w.submitted[id] = q
	owner, _ := from.owners.OwnerOf(up)
	from.outbox = append(from.outbox, core.SendPeer{To: owner, Message: &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: q}}})
	return id
}

// work handles events and performs actions of a host, in an order drawn by the
// test, and runs its timers.
func (w *sim) work(h *simHost, rounds int) {
	for range rounds {
		switch {
		case h.paused:
			return
		case len(h.inbox) > 0 && (len(h.outbox) == 0 || rapid.Bool().Draw(w.t, "take in")):
			event := h.inbox[0]
			h.inbox = h.inbox[1:]
			w.step(h, event)
		case len(h.outbox) > 0:
			w.perform(h)
		default:
			w.step(h, core.Tick{})
			if len(h.outbox) == 0 {
				return
			}
		}
	}
}

// finish resumes all hosts, runs until all work is done and checks that every
// attempt was answered.
func (w *sim) finish() {
	for range 400 {
		for _, h := range w.hosts {
			h.paused = false
			w.work(h, 1000)
		}
		w.advance(simStep)
	}
	for id := range w.submitted {
		if w.answers[id] == nil {
			w.t.Fatalf("attempt %v was never answered", id)
		}
	}
}
