package scatter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// replayTick is the resolution of the replay.
const replayTick = 500 * time.Microsecond

// replayLoad is one service with three upstreams whose requests arrive at several
// hosts, each of which sees a part of the load.
type replayLoad struct {
	name             string
	hosts, slots     int
	workMin, workMax time.Duration
	load             float64 // of what the upstreams can serve
	pause, every     time.Duration
	knee             int // running requests beyond which the throughput falls; 0 for none
	slowBy           float64
}

const (
	replayWarm     = 20 * time.Second
	replaySlowFrom = 30 * time.Second
	replaySlowTo   = 38 * time.Second
	replayEnd      = 44 * time.Second
)

type replayJob struct {
	host, at  int
	sent      time.Time
	remaining float64
	attempt   *attempt
	work      time.Duration
	call      *replayCall
}

// replayCall is one request, which has a second job if it is hedged.
type replayCall struct {
	arrived        time.Time
	hedged, closed bool
}

type replayUpstream struct {
	speed          float64
	phase          time.Duration
	running, queue []*replayJob
}

type replayHost struct {
	directory *directory
	usual     latencyEstimate
	lowest    lowestLatency
	queue     []*replayJob
	inFlight  []*replayJob
	asked     int
	hedges    int
}

type replayDone struct {
	at      time.Duration
	latency time.Duration
	to      int
}

// replayRule is a way to place requests; nil fields are today's way.
type replayRule struct {
	name   string
	learn  bool
	oracle int // 1 knows the speeds, 2 also the requests of all hosts
	// window replaces the change of the window after an answer.
	window func(c *capacity, before, ratio float64)
}

func (l replayLoad) slowed(t time.Duration, i int) float64 {
	if l.slowBy > 0 && i == 1 && t >= replaySlowFrom && t < replaySlowTo {
		return l.slowBy
	}
	return 1
}

func (l replayLoad) wellUsed() float64 {
	if l.knee > 0 {
		return float64(l.knee)
	}
	return float64(l.slots)
}

// play runs a load and returns the answers and the hosts.
func (l replayLoad) play(rule replayRule, seed uint64) ([]replayDone, [3]int) {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1_000_000, 0)
	ups := []*replayUpstream{{speed: 0.8}, {speed: 1}, {speed: 1.3}}
	perSecond := 0.0
	mean := (l.workMin + l.workMax).Seconds() / 2
	for _, u := range ups {
		u.phase = time.Duration(random.Int64N(int64(max(1, l.every))))
		perSecond += l.load * l.wellUsed() / u.speed / mean
	}
	hosts := make([]*replayHost, l.hosts)
	for i := range hosts {
		d := newDirectory(core.HostID(fmt.Sprint("host-", i)), "d", l.hosts)
		d.learnsCapacity = rule.learn
		for n := range ups {
			d.put(start, Upstream{ID: core.UpstreamID(fmt.Sprint("u", n)), Service: "s", Domain: "d", Slots: l.slots})
		}
		hosts[i] = &replayHost{directory: d, usual: latencyEstimate{estimate: l.workMax}}
	}
	shares := connectionShares{connections: 96, hosts: l.hosts}
	var done []replayDone
	var beliefs [3]int // hosts that know the slow-down after 2 s, its end after 2 s, and after 4 s
	next := 0.0
	for t := time.Duration(0); t < replayEnd; t += replayTick {
		now := start.Add(t)
		for ; next <= t.Seconds(); next += random.ExpFloat64() / perSecond {
			h := random.IntN(l.hosts)
			work := l.workMin + time.Duration(random.Float64()*float64(l.workMax-l.workMin))
			hosts[h].asked++
			hosts[h].queue = append(hosts[h].queue, &replayJob{host: h, work: work, call: &replayCall{arrived: now}})
		}
		for i, u := range ups {
			for len(u.running) < l.slots && len(u.queue) > 0 {
				u.running, u.queue = append(u.running, u.queue[0]), u.queue[1:]
			}
			rate := replayTick.Seconds() / u.speed / l.slowed(t, i)
			if n := len(u.running); l.knee > 0 && n > l.knee {
				rate *= math.Pow(float64(l.knee)/float64(n), 1.3)
			}
			if l.pause > 0 && (t+u.phase)%l.every < l.pause {
				rate = 0
			}
			u.running = slices.DeleteFunc(u.running, func(j *replayJob) bool {
				if j.remaining -= rate; j.remaining > 0 {
					return false
				}
				hosts[j.host].ended(now, j, rule, shares)
				if !j.call.closed {
					done = append(done, replayDone{t, now.Sub(j.call.arrived), j.at})
				}
				j.call.closed = true
				return true
			})
		}
		for _, h := range hosts {
			if rule.oracle == 0 {
				u := h.directory.byService["s"][1]
				factor := u.slownessAt(now)
				if u.capacity != nil {
					factor = u.capacity.recentRatio(now)
				}
				switch t - replaySlowFrom {
				case 2 * time.Second:
					if factor >= slowRatio {
						beliefs[0]++
					}
				case 10 * time.Second:
					if factor <= 1.5 {
						beliefs[1]++
					}
				case 12 * time.Second:
					if factor <= 1.5 {
						beliefs[2]++
					}
				}
			}
			for len(h.queue) > 0 {
				j := h.queue[0]
				at := h.place(now, t, l, ups, rule, shares, nil)
				if at < 0 || len(ups[at].queue) >= 12 {
					break // a full upstream sheds; the host tries again
				}
				h.queue = h.queue[1:]
				h.send(now, j, at, ups)
			}
			if t%(10*ms) == 0 && len(h.queue) == 0 {
				for _, j := range slices.Clone(h.inFlight) {
					if j.call.hedged || j.call.closed || now.Sub(j.sent) <= j.attempt.hedgeAfter(h.usual.estimate) || h.hedges > h.asked/10 {
						continue
					}
					first := h.directory.byService["s"][j.at]
					at := h.place(now, t, l, ups, rule, shares, first)
					if at < 0 || len(ups[at].queue) >= 12 || h.directory.byService["s"][at].stalled(now) || h.directory.withholdsHedge(now, h.directory.byService["s"][at]) {
						continue
					}
					h.hedges++
					j.call.hedged = true
					h.send(now, &replayJob{host: j.host, work: j.work, call: j.call}, at, ups)
				}
			}
		}
	}
	return done, beliefs
}

func (h *replayHost) send(now time.Time, j *replayJob, at int, ups []*replayUpstream) {
	u := h.directory.byService["s"][at]
	j.at, j.sent, j.remaining = at, now, j.work.Seconds()
	j.attempt = &attempt{overdueAt: now.Add(max(minStall, stallFactor*h.usual.estimate)), trial: u.capacity.wasSlow()}
	u.running = append(u.running, j.attempt)
	h.inFlight = append(h.inFlight, j)
	h.directory.recordSend(now, u, Service{ID: "s"})
	ups[at].queue = append(ups[at].queue, j)
}

func (h *replayHost) place(now time.Time, t time.Duration, l replayLoad, ups []*replayUpstream, rule replayRule, shares connectionShares, tried *upstream) int {
	best, least := -1, math.Inf(1)
	if rule.oracle == 0 {
		always := func(core.DomainID) bool { return true }
		u, _ := h.directory.pick(now, pickConstraints{service: Service{ID: "s"}, allowed: func(*upstream) bool { return true }, reachable: always, connections: shares, tried: others(tried), mayTry: tried == nil, avoidStalled: tried == nil && l.workMax < 20*time.Millisecond})
		return slices.Index(h.directory.byService["s"], u)
	}
	for i, u := range h.directory.byService["s"] {
		n := len(u.running)
		if n >= shares.maxInFlight(u, "d") || u == tried || l.knee > 0 && n*l.hosts >= l.knee {
			continue
		}
		if rule.oracle == 2 {
			n = len(ups[i].running) + len(ups[i].queue)
		}
		if cost := ups[i].speed * l.slowed(t, i) * (1 + float64(n)/l.wellUsed()) * (1 + u.tieBreak); cost < least {
			best, least = i, cost
		}
	}
	return best
}

func others(tried *upstream) []*upstream {
	if tried == nil {
		return nil
	}
	return []*upstream{tried}
}

func (h *replayHost) ended(now time.Time, j *replayJob, rule replayRule, shares connectionShares) {
	u := h.directory.byService["s"][j.at]
	u.running = slices.DeleteFunc(u.running, func(a *attempt) bool { return a == j.attempt })
	h.inFlight = slices.DeleteFunc(h.inFlight, func(o *replayJob) bool { return o == j })
	latency := now.Sub(j.sent) + time.Millisecond
	limit := shares.maxInFlight(u, "d")
	u.observe(now, float64(latency)/float64(h.usual.estimate), false)
	h.usual.observe(latency)
	u.grow(limit)
	if u.capacity == nil {
		return
	}
	h.lowest.observe(now, latency)
	before := u.capacity.window
	u.capacity.observe(now, capacitySample{sentAt: j.sent, latency: latency, unit: h.lowest.estimate, limit: limit})
	if rule.window != nil {
		rule.window(u.capacity, before, float64(latency)/float64(h.lowest.estimate)/u.capacity.service[0].value)
		u.capacity.window = min(max(u.capacity.window, 1), float64(limit))
	}
}

// p99 returns the 99th percentile of the latencies after the start.
func p99(done []replayDone) time.Duration {
	var latencies []time.Duration
	for _, d := range done {
		if d.at >= replayWarm {
			latencies = append(latencies, d.latency)
		}
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

var replayRules = []replayRule{
	{name: "oracle", oracle: 1},
	{name: "oracle, all requests", oracle: 2},
	{name: "off"},
	{name: "learned", learn: true},
	{name: "no window", learn: true, window: func(c *capacity, _, _ float64) { c.window = 1e9 }},
	{name: "AIMD", learn: true, window: func(c *capacity, before, ratio float64) {
		c.window = before + 0.1/before
		if ratio > congestedRatio {
			c.window = 0.8 * before
		}
	}},
	{name: "Vegas", learn: true, window: func(c *capacity, before, ratio float64) {
		queued := before * (1 - 1/ratio)
		switch {
		case queued > 0.6:
			c.window = before - 0.1
		case queued < 0.3:
			c.window = before + 0.1
		default:
			c.window = before
		}
	}},
}

var replayLoads = []replayLoad{
	{name: "2 slots, 6 ms", hosts: 12, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.6},
	{name: "2 slots, 6 ms, high", hosts: 12, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.85},
	{name: "pauses of 250 ms", hosts: 12, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.5, pause: 250 * ms, every: 6 * time.Second},
	{name: "pauses of 120 ms", hosts: 12, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.5, pause: 120 * ms, every: 3 * time.Second},
	{name: "knee, 6 slots", hosts: 12, slots: 6, workMin: 4 * ms, workMax: 8 * ms, load: 0.7, knee: 3},
	{name: "knee, 2 slots", hosts: 12, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.7, knee: 1},
	{name: "slow-down", hosts: 12, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.5, slowBy: 12},
	{name: "60 to 220 ms", hosts: 12, slots: 6, workMin: 60 * ms, workMax: 220 * ms, load: 0.6},
	{name: "60 to 220 ms, slow-down", hosts: 12, slots: 6, workMin: 60 * ms, workMax: 220 * ms, load: 0.5, slowBy: 12},
	{name: "60 to 220 ms, knee", hosts: 4, slots: 6, workMin: 60 * ms, workMax: 220 * ms, load: 0.7, knee: 3},
	{name: "2 hosts, pauses", hosts: 2, slots: 2, workMin: 4 * ms, workMax: 8 * ms, load: 0.5, pause: 250 * ms, every: 6 * time.Second},
}

const ms = time.Millisecond

// BenchmarkCapacityRules reports the p99 of each rule under each load, in milliseconds,
// for the table in docs/design/012-upstream-capacity.md.
func BenchmarkCapacityRules(b *testing.B) {
	for _, l := range replayLoads {
		for _, r := range replayRules {
			b.Run(l.name+"/"+r.name, func(b *testing.B) {
				total := time.Duration(0)
				for seed := range 3 {
					done, _ := l.play(r, uint64(seed))
					total += p99(done)
				}
				b.ReportMetric(total.Seconds()*1e3/3, "p99-ms")
			})
		}
	}
}
