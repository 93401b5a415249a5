// Package upstreamstub simulates upstreams: one process serves many addresses,
// each with slots, a connection limit, a cold start and faults that are switched
// on from outside. It is a stand-in and no part of the product.
package upstreamstub

import (
	"time"

	"github.com/rotisserie/eris"
)

// Config describes all upstreams of one stand-in.
type Config struct {
	Seed      uint64 `yaml:"seed"`
	Upstreams []Spec `yaml:"upstreams"`
}

// Spec describes one upstream.
type Spec struct {
	ID string `yaml:"id"`
	// Address is "ip:port"; port 0 selects a free port.
	Address string `yaml:"address"`
	// Slots is the number of requests that run at once, Queue the number that
	// may wait; further ones are shed.
	Slots int `yaml:"slots"`
	Queue int `yaml:"queue"`
	// Connections is the connection limit; connections above it are reset.
	Connections int `yaml:"connections"`
	// ConnectDelay is the wait before the first read on a new connection.
	ConnectDelay time.Duration `yaml:"connect_delay"`
	// The service time is ServiceMin plus an exponentially distributed time with
	// the mean ServiceMean.
	ServiceMin  time.Duration `yaml:"service_min"`
	ServiceMean time.Duration `yaml:"service_mean"`
	// On average one request in StragglerEvery takes StragglerFactor times as
	// long.
	StragglerEvery  int       `yaml:"straggler_every"`
	StragglerFactor float64   `yaml:"straggler_factor"`
	Cold            ColdStart `yaml:"cold"`
	// RestartTime is how long the upstream is down after a crash.
	RestartTime time.Duration `yaml:"restart_time"`
	Versions    []VersionSpec `yaml:"versions"`
	// DeathQuestion is a text that crashes the upstream if a question contains
	// it.
	DeathQuestion string `yaml:"death_question"`
	// HealthLag is the delay until the health endpoint reports a change of state.
	HealthLag time.Duration `yaml:"health_lag"`
}

// ColdStart limits the load after a start: at first Rate requests per second and
// one at a time, growing to full capacity over Warm. More load makes the
// upstream crash.
type ColdStart struct {
	Rate float64       `yaml:"rate"`
	Warm time.Duration `yaml:"warm"`
	// StartsCold makes the first start a cold one; restarts always are.
	StartsCold bool `yaml:"starts_cold"`
}

// VersionSpec is one index version that an upstream holds.
type VersionSpec struct {
	Version uint64     `yaml:"version" json:"version"`
	Ranges  []KeyRange `yaml:"ranges" json:"ranges"`
	// Items is the number of items over the whole of Space.
	Items int      `yaml:"items" json:"items"`
	Space KeyRange `yaml:"space" json:"space"`
}

func (c *Config) check() error {
	seen := map[string]bool{}
	for _, s := range c.Upstreams {
		if s.ID == "" || seen[s.ID] {
			return eris.Errorf("upstream id %q is empty or taken twice", s.ID)
		}
		seen[s.ID] = true
		if s.Slots < 1 || s.Connections < 1 {
			return eris.Errorf("upstream %s needs at least one slot and one connection", s.ID)
		}
	}
	return nil
}
