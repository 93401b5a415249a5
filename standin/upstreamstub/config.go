// Package upstreamstub is a stand-in for upstreams: many addresses in one
// process, each with slots, a connection limit, a cold start and faults that
// are switched on from outside. It is no part of the product.
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
	// Address is "ip:port"; port 0 takes a free one.
	Address string `yaml:"address"`
	// Slots is how many requests run at once, Queue how many wait; more are
	// shed.
	Slots int `yaml:"slots"`
	Queue int `yaml:"queue"`
	// Connections is the limit; one more is reset at once.
	Connections int `yaml:"connections"`
	// ConnectDelay passes before a new connection takes its first request.
	ConnectDelay time.Duration `yaml:"connect_delay"`
	// ServiceMin plus an exponential time of mean ServiceMean is the service
	// time.
	ServiceMin  time.Duration `yaml:"service_min"`
	ServiceMean time.Duration `yaml:"service_mean"`
	// One request in StragglerEvery takes StragglerFactor times as long.
	StragglerEvery  int       `yaml:"straggler_every"`
	StragglerFactor float64   `yaml:"straggler_factor"`
	Cold            ColdStart `yaml:"cold"`
	// RestartTime is how long the upstream is down after a crash.
	RestartTime time.Duration `yaml:"restart_time"`
	Versions    []VersionSpec `yaml:"versions"`
	// DeathQuestion crashes the upstream when a question contains it.
	DeathQuestion string `yaml:"death_question"`
	// HealthLag is how long the health and load endpoints lag behind.
	HealthLag time.Duration `yaml:"health_lag"`
}

// ColdStart is what an upstream bears after a start: Rate requests a second at
// first, one at a time, growing to full over Warm. More makes it fall over.
type ColdStart struct {
	Rate float64       `yaml:"rate"`
	Warm time.Duration `yaml:"warm"`
	// StartsCold says that the first start is a cold one.
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
