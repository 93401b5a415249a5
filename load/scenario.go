package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Scenario is one experiment: a fleet, its load and its faults.
type Scenario struct {
	Name string `yaml:"name"`
	Seed uint64 `yaml:"seed"`
	// Warmup is load before the measurement starts.
	Warmup   time.Duration `yaml:"warmup"`
	Duration time.Duration `yaml:"duration"`
	// Hosts is the number of hosts, spread over Domains.
	Hosts   int      `yaml:"hosts"`
	Domains []string `yaml:"domains"`
	// OneWayDelay is injected between hosts.
	OneWayDelay time.Duration  `yaml:"one_way_delay"`
	Services    []ServiceGroup `yaml:"services"`
	Workloads   []Workload     `yaml:"workloads"`
	Faults      []Fault        `yaml:"faults"`
	// Policies are the policy sets to run one after the other: "chosen" or
	// "naive".
	Policies []string `yaml:"policies"`
}

// ServiceGroup declares equal services.
type ServiceGroup struct {
	// Prefix and a number from 1 make the service names.
	Prefix      string        `yaml:"prefix"`
	Count       int           `yaml:"count"`
	Servers     int           `yaml:"servers"`
	Slots       int           `yaml:"slots"`
	Connections int           `yaml:"connections"`
	Connect     time.Duration `yaml:"connect"`
	// ServiceTime is the mean; Spread is the fraction of it that is random.
	ServiceTime time.Duration `yaml:"service_time"`
	Spread      float64       `yaml:"spread"`
	// One request in StragglerOneIn takes StragglerTimes as long.
	StragglerOneIn int     `yaml:"straggler_one_in"`
	StragglerTimes float64 `yaml:"straggler_times"`
	// ColdRate is requests a second right after a start; WarmTime how long the
	// start lasts.
	ColdRate float64       `yaml:"cold_rate"`
	WarmTime time.Duration `yaml:"warm_time"`
	// Scope is the scope whose key space the services divide; empty for
	// services that take plain calls.
	Scope string  `yaml:"scope"`
	Reach float64 `yaml:"reach"`
	// atMostOnce says that a workload's calls to the group must run at most once.
	atMostOnce bool
}

// Workload is one stream of requests.
type Workload struct {
	Name string `yaml:"name"`
	// Scope or ServicePrefix names the target.
	Scope         string        `yaml:"scope"`
	ServicePrefix string        `yaml:"service_prefix"`
	RatePerSecond float64       `yaml:"rate_per_second"`
	Deadline      time.Duration `yaml:"deadline"`
	// Distinct is how many different questions there are; 0 is no two alike.
	Distinct int  `yaml:"distinct"`
	Once     bool `yaml:"once"`
	// Limit is the most results of a search; 0 is the service's own default.
	Limit    int `yaml:"limit"`
	Priority int `yaml:"priority"`
}

// Fault is one timed change of the fleet.
type Fault struct {
	// At is the time since the measurement started.
	At time.Duration `yaml:"at"`
	// Do is one of domain-out, domain-in, upstream-restart, platform-down,
	// platform-up, host-kill, host-freeze, host-thaw.
	Do   string `yaml:"do"`
	Name string `yaml:"name"`
}

var faultKinds = map[string]bool{
	"domain-out": true, "domain-in": true, "upstream-restart": true,
	"platform-down": true, "platform-up": true,
	"host-kill": true, "host-freeze": true, "host-thaw": true,
}

// ReadScenario reads and checks a scenario file; unknown keys are refused with
// their line.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	scenario := &Scenario{}
	if err := decoder.Decode(scenario); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := scenario.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return scenario, nil
}

// validate returns every fault of the scenario at once.
func (s *Scenario) validate() error {
	var problems []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	check(s.Name != "", "name: missing")
	check(s.Duration > 0, "duration: must be positive")
	check(s.Hosts > 0, "hosts: must be positive")
	check(len(s.Domains) > 0, "domains: at least one")
	check(len(s.Workloads) > 0, "workloads: at least one")
	check(len(s.Policies) > 0, "policies: at least one of chosen, naive")
	for i, g := range s.Services {
		check(g.Count > 0 && g.Servers > 0 && g.Slots > 0, "services[%d]: count, servers and slots must be positive", i)
		check(g.ServiceTime > 0, "services[%d].service_time: must be positive", i)
	}
	for i, w := range s.Workloads {
		check(w.RatePerSecond > 0, "workloads[%d].rate_per_second: must be positive", i)
		check((w.Scope == "") != (w.ServicePrefix == ""), "workloads[%d]: one of scope and service_prefix", i)
		check(w.Deadline > 0, "workloads[%d].deadline: must be positive", i)
	}
	for i, f := range s.Faults {
		check(faultKinds[f.Do], "faults[%d].do: unknown %q", i, f.Do)
	}
	for i, p := range s.Policies {
		check(p == "chosen" || p == "naive", "policies[%d]: unknown %q", i, p)
	}
	return errors.Join(problems...)
}
