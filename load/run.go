package load

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

const (
	readyTimeout = 30 * time.Second
	restartTime  = 300 * time.Millisecond
	// settleTime is the wait between the hosts' readiness and the load, so that
	// the declaration reaches every host.
	settleTime = 4 * time.Second
)

func duration(f float64) time.Duration { return time.Duration(f) }

// naiveSettings configure the naive baseline: each host acts alone, without
// shares and with the simplest policies.
const naiveSettings = `policy:
  unshared: true
  extra_load: 1.0
  router: {name: random}
  hedger: {name: nohedge}
  admission: {name: open}
  limiter: {name: slots}
`

// policyRun is the measurement of one policy set of a scenario.
type policyRun struct {
	scenario   *Scenario
	fleet      *fleet.Fleet
	recorder   *Recorder
	start      time.Time // of the measurement
	startStats []upstreamstub.Stats
	startUsage usage // at the start of the measurement
	// outSince holds when each failure domain that is out was accepted as out.
	// lastWork holds the milliseconds from then to the last start of new work in
	// the domain. Until injectFaults has returned, only its goroutine uses these
	// maps.
	outSince map[string]time.Time
	lastWork map[string]float64
}

// Run measures the policy sets of the scenario one after the other, each on a
// new fleet. Bin is the folder of the programs samphirebeamd and standin.
func Run(ctx context.Context, s *Scenario, bin string) (*Result, error) {
	result := &Result{Scenario: s.Name, Seed: s.Seed}
	for _, policy := range s.Policies {
		summary, err := runPolicy(ctx, s, bin, policy)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", policy, err)
		}
		result.Summaries = append(result.Summaries, summary)
	}
	return result, nil
}

func runPolicy(ctx context.Context, s *Scenario, bin, policy string) (Summary, error) {
	dir, err := os.MkdirTemp("", "beamload")
	if err != nil {
		return Summary{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := startFleet(s, bin, dir, policy)
	if err != nil {
		return Summary{}, err
	}
	defer f.Kill()
	r := &policyRun{scenario: s, fleet: f, outSince: map[string]time.Time{}, lastWork: map[string]float64{}}
	return r.measure(ctx, policy)
}

func startFleet(s *Scenario, bin, dir, policy string) (*fleet.Fleet, error) {
	absolute, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	settings := ""
	if policy == "naive" {
		settings = naiveSettings
	}
	f, err := fleet.Start(fleet.Config{
		Layout: plan{s}, Seed: s.Seed, Bin: absolute, Dir: dir,
		Settings: settings, OneWayDelay: s.OneWayDelay,
	})
	if err != nil {
		return nil, err
	}
	if err := f.Apply(); err != nil {
		f.Kill()
		return nil, err
	}
	if err := f.AwaitReady(readyTimeout); err != nil {
		f.Kill()
		return nil, err
	}
	time.Sleep(settleTime)
	return f, nil
}

func (r *policyRun) measure(ctx context.Context, policy string) (Summary, error) {
	begin := time.Now()
	r.start = begin.Add(r.scenario.Warmup)
	r.recorder = NewRecorder(r.start)
	engine := &Engine{Scenario: r.scenario, Client: NewClient(), Recorder: r.recorder}
	for _, h := range r.fleet.Hosts {
		engine.BaseURLs = append(engine.BaseURLs, "http://"+h.Caller)
	}
	faults := make(chan error, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	engine.Run(ctx, begin, r.start.Add(r.scenario.Duration))
	if err := <-faults; err != nil {
		return Summary{}, err
	}
	if err := r.checkHosts(); err != nil {
		return Summary{}, err
	}
	return r.summary(policy)
}

// checkHosts returns an error if a host exited without being killed by a fault.
func (r *policyRun) checkHosts() error {
	for _, h := range r.fleet.Hosts {
		if h.Ended() && !r.hasKillFault(h.ID) {
			return fmt.Errorf("%s ended by itself:\n%s", h.ID, h.Output())
		}
	}
	return nil
}

func (r *policyRun) hasKillFault(host string) bool {
	return slices.ContainsFunc(r.scenario.Faults, func(f Fault) bool {
		return f.Do == "host-kill" && f.Name == host
	})
}

// injectFaults records the counters at the start of the measurement and then
// injects each fault at its time.
func (r *policyRun) injectFaults(ctx context.Context) error {
	time.Sleep(time.Until(r.start))
	var err error
	if r.startStats, err = r.fleet.Stats(false); err != nil {
		return err
	}
	r.startUsage = totalUsage(r.fleet.Hosts)
	for _, fault := range r.scenario.Faults {
		time.Sleep(time.Until(r.start.Add(fault.At)))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.inject(fault); err != nil {
			return fmt.Errorf("fault %s %s: %w", fault.Do, fault.Name, err)
		}
	}
	return nil
}

func (r *policyRun) inject(fault Fault) error {
	switch fault.Do {
	case "domain-out":
		return r.setDomainState(fault.Name, "out")
	case "domain-in":
		return r.setDomainState(fault.Name, "in")
	case "upstream-restart":
		return r.fleet.Control(upstreamstub.Control{Upstreams: []string{fault.Name}, Crash: true})
	case "platform-down":
		return r.fleet.Faults(platformstub.Faults{Down: true})
	case "platform-up":
		return r.fleet.Faults(platformstub.Faults{})
	case "host-kill":
		return r.signal(fault.Name, syscall.SIGKILL)
	case "host-freeze":
		return r.signal(fault.Name, syscall.SIGSTOP)
	case "host-thaw":
		return r.signal(fault.Name, syscall.SIGCONT)
	default:
		return fmt.Errorf("unknown fault")
	}
}

func (r *policyRun) setDomainState(name, state string) error {
	if err := r.recordLastWork(name); err != nil {
		return err
	}
	err := r.fleet.ApplyText(fmt.Sprintf("kind: FailureDomain\nname: %s\nspec: {state: %s}\n", name, state))
	if err == nil && state == "out" {
		r.outSince[name] = time.Now()
	}
	return err
}

func (r *policyRun) signal(name string, s syscall.Signal) error {
	for _, h := range r.fleet.Hosts {
		if h.ID == name {
			return h.Signal(s)
		}
	}
	return fmt.Errorf("no host %q", name)
}

// recordLastWork records how long after a failure domain was taken out its
// upstreams last started work. It does nothing for a domain that is not out.
func (r *policyRun) recordLastWork(domain string) error {
	outSince, isOut := r.outSince[domain]
	if !isOut {
		return nil
	}
	stats, err := r.fleet.Stats(false)
	if err != nil {
		return err
	}
	delete(r.outSince, domain)
	ids := plan{r.scenario}.upstreamsInDomain(domain)
	last := outSince
	for _, u := range stats {
		if slices.Contains(ids, u.ID) && u.LastStart.After(last) {
			last = u.LastStart
		}
	}
	r.lastWork[domain] = float64(last.Sub(outSince).Microseconds()) / 1000
	return nil
}

// summary returns the recorder's summary together with the counters of the
// upstreams and the resource usage of the hosts.
func (r *policyRun) summary(policy string) (Summary, error) {
	s := r.recorder.Summary(policy)
	for domain := range r.outSince {
		if err := r.recordLastWork(domain); err != nil {
			return s, err
		}
	}
	s.LastWorkMs = r.lastWork
	endStats, err := r.fleet.Stats(true)
	if err != nil {
		return s, err
	}
	groups := map[string]ServiceGroup{}
	for _, g := range r.scenario.Services {
		groups[g.Prefix] = g
	}
	for _, w := range r.scenario.Workloads {
		g := groups[w.ServicePrefix]
		g.atMostOnce = w.Once
		groups[w.ServicePrefix] = g
	}
	onceRuns := map[string]int{}
	for i := range endStats {
		s.Upstreams.add(r.startStats[i], endStats[i], groups[groupPrefix(endStats[i].ID)], onceRuns)
	}
	endUsage := totalUsage(r.fleet.Hosts)
	s.Cost = computeCost(r.startUsage, endUsage, len(r.fleet.Hosts), s.Upstreams.Requests, time.Since(r.start))
	for _, runs := range onceRuns {
		if runs > 1 {
			s.Upstreams.RunTwice++
		}
	}
	return s, nil
}

// groupPrefix returns the group prefix of an upstream id such as "prefix-01-a".
func groupPrefix(id string) string {
	parts := strings.Split(id, "-")
	return strings.Join(parts[:max(0, len(parts)-2)], "-")
}

// add adds the counters of one upstream. For a group whose calls must run at
// most once, it also adds the runs of each call to onceRuns.
func (u *Upstreams) add(before, after upstreamstub.Stats, group ServiceGroup, onceRuns map[string]int) {
	u.Requests += int(after.Requests - before.Requests)
	u.Shed += int(after.Shed - before.Shed)
	u.Falls += int(after.Falls - before.Falls)
	if after.PeakRunning > group.Slots {
		u.OverSlots++
	}
	if after.OverConnections > before.OverConnections {
		u.OverConnections++
	}
	if !group.atMostOnce {
		return // repeatable calls may run more than once
	}
	for id, runs := range after.QueryRuns {
		onceRuns[id] += runs
	}
}

// upstreamsInDomain returns the sorted ids of the upstreams in a failure domain.
func (p plan) upstreamsInDomain(domain string) []string {
	var ids []string
	for _, g := range p.Services {
		for number := 1; number <= g.Count; number++ {
			for server := range g.Servers {
				if p.Domain(number+server) == domain {
					ids = append(ids, upstreamName(ServiceName(g.Prefix, number), server))
				}
			}
		}
	}
	slices.Sort(ids)
	return ids
}
