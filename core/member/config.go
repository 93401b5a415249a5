package member

import (
	"math/rand/v2"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config holds the parameters of a Member. Zero durations and sizes are replaced
// by the defaults.
type Config struct {
	Self core.HostInfo
	// Incarnation is the start time of this process in Unix microseconds.
	Incarnation uint64
	// Seeds are the hosts from the settings that are contacted first.
	Seeds  []core.HostInfo
	Random *rand.Rand

	// Interval is the time between two rounds of heartbeats.
	Interval time.Duration
	// SuspectAfter is how long a heartbeat may stay unanswered before its target
	// is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspected host has to refute the suspicion before
	// it is declared dead.
	DeadAfter time.Duration
	// PauseThreshold is the shortest gap between two steps that counts as a pause
	// of this process.
	PauseThreshold time.Duration
	// HostListInterval is the time between two reads of the platform's host list.
	HostListInterval time.Duration
	// ForgetAfter is how long a dead host is kept before it is removed.
	ForgetAfter time.Duration

	// FullMeshLimit is the largest number of peers that are all probed in each
	// round; a larger fleet is sampled.
	FullMeshLimit int
	// RingSuccessors is how many ring successors are probed in each round of a
	// larger fleet.
	RingSuccessors int
	// MaxDeltas is the maximum number of changes in one heartbeat.
	MaxDeltas int
	// HostListReaders is how many hosts read the platform's host list.
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
