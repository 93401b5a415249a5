package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Scenario describes one experiment: a fleet, its load and its faults.
type Scenario struct {
	Name string `yaml:"name"`
	Seed uint64 `yaml:"seed"`
	// Warmup is how long load is sent before the measurement starts.
	Warmup   time.Duration `yaml:"warmup"`
	Duration time.Duration `yaml:"duration"`
	// Hosts is the number of hosts, spread over Domains.
	Hosts   int      `yaml:"hosts"`
	Domains []string `yaml:"domains"`
	// OneWayDelay is added to each message between hosts.
	OneWayDelay time.Duration  `yaml:"one_way_delay"`
	Services    []ServiceGroup `yaml:"services"`
	Workloads   []Workload     `yaml:"workloads"`
	Faults      []Fault        `yaml:"faults"`
	// Policies are the policy sets to run one after the other: "chosen" or
	// "naive".
	Policies []string `yaml:"policies"`
}

// ServiceGroup declares a number of identical services.
type ServiceGroup struct {
	// Prefix starts the name of each service; see ServiceName.
	Prefix      string        `yaml:"prefix"`
	Count       int           `yaml:"count"`
	Servers     int           `yaml:"servers"`
	Slots       int           `yaml:"slots"`
	Connections int           `yaml:"connections"`
	Connect     time.Duration `yaml:"connect"`
	// ServiceTime is the mean service time; Spread is the fraction of it that is
	// exponentially distributed rather than constant.
	ServiceTime time.Duration `yaml:"service_time"`
	Spread      float64       `yaml:"spread"`
	// One request in StragglerOneIn takes StragglerTimes times as long.
	StragglerOneIn int     `yaml:"straggler_one_in"`
	StragglerTimes float64 `yaml:"straggler_times"`
	// ColdRate is the rate, in requests a second, that a server sustains right
	// after a start; WarmTime is how long it takes to reach full capacity.
	ColdRate float64       `yaml:"cold_rate"`
	WarmTime time.Duration `yaml:"warm_time"`
	// Scope is the scope whose key space is partitioned among the services. It
	// is empty for services that accept plain calls.
	Scope string  `yaml:"scope"`
	Reach float64 `yaml:"reach"`
	// atMostOnce is set if the workload that calls the group has Once set.
	atMostOnce bool
}

// Workload is one stream of requests.
type Workload struct {
	Name string `yaml:"name"`
	// Exactly one of Scope and ServicePrefix names the target.
	Scope         string        `yaml:"scope"`
	ServicePrefix string        `yaml:"service_prefix"`
	RatePerSecond float64       `yaml:"rate_per_second"`
	Deadline      time.Duration `yaml:"deadline"`
	// Distinct is the number of different questions; 0 makes each one unique.
	Distinct int  `yaml:"distinct"`
	Once     bool `yaml:"once"`
	// Limit is the maximum number of search results; 0 leaves it to the service.
	Limit    int `yaml:"limit"`
	Priority int `yaml:"priority"`
}

// Fault is a change made to the fleet at a set time.
type Fault struct {
	// At is the time after the start of the measurement.
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

// ReadScenario reads and validates a scenario file. An error about an unknown
// key contains its line.
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

// validate returns all problems of the scenario in one joined error.
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
