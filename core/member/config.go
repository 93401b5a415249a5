package member

import (
	"math/rand/v2"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config is what a Member is made of. Zero timings and sizes take the
// defaults.
type Config struct {
	Self core.HostInfo
	// Incarnation is the start of this process in unix microseconds.
	Incarnation uint64
	// Seeds are hosts to greet first, from the settings.
	Seeds  []core.HostInfo
	Random *rand.Rand

	// Interval is the time between two rounds of heartbeats.
	Interval time.Duration
	// SuspectAfter is how long a heartbeat may stay unanswered.
	SuspectAfter time.Duration
	// DeadAfter is how long a host has to refute a suspicion.
	DeadAfter time.Duration
	// PauseGap is the time between two steps from which this host takes
	// itself for paused.
	PauseThreshold time.Duration
	// ListInterval is the time between two reads of the platform's host list.
	HostListInterval time.Duration
	// Forget is how long a dead host is remembered.
	ForgetAfter time.Duration

	// AllPeers is the most peers that are all greeted in each round.
	FullMeshLimit int
	// Neighbours is how many ring successors are greeted in each round of a
	// larger fleet.
	RingSuccessors int
	// Deltas is the most changes that a heartbeat carries.
	MaxDeltas int
	// Listers is how many hosts read the platform's host list.
	HostListReaders int
}

const (
	defaultInterval         = 250 * time.Millisecond
	defaultSuspectAfter     = time.Second
	defaultDeadAfter        = time.Second
	defaultPauseThreshold   = 800 * time.Millisecond
	defaultHostListInterval = 10 * time.Second
	defaultForgetAfter      = 10 * time.Minute
	defaultFullMeshLimit    = 16
	defaultRingSuccessors   = 2
	defaultMaxDeltas        = 8
	defaultHostListReaders  = 3
)

func (c *Config) check() error {
	if c.Self.Host == "" || c.Self.Address == "" {
		return core.Errorf(core.InvalidRequest, "member: own host and address are needed")
	}
	if c.Incarnation == 0 {
		return core.Errorf(core.InvalidRequest, "member: an incarnation is needed")
	}
	if c.Random == nil {
		return core.Errorf(core.InvalidRequest, "member: a random source is needed")
	}
	return nil
}

func (c *Config) setDefaults() {
	orDefault(&c.Interval, defaultInterval)
	orDefault(&c.SuspectAfter, defaultSuspectAfter)
	orDefault(&c.DeadAfter, defaultDeadAfter)
	orDefault(&c.PauseThreshold, defaultPauseThreshold)
	orDefault(&c.HostListInterval, defaultHostListInterval)
	orDefault(&c.ForgetAfter, defaultForgetAfter)
	orDefault(&c.FullMeshLimit, defaultFullMeshLimit)
	orDefault(&c.RingSuccessors, defaultRingSuccessors)
	orDefault(&c.MaxDeltas, defaultMaxDeltas)
	orDefault(&c.HostListReaders, defaultHostListReaders)
}

func orDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
