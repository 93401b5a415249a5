package once

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Defaults for Config.
const (
	defaultPartitions   = 16
	defaultLookahead    = 10 * time.Second
	defaultExtendEvery  = 3 * time.Second
	defaultPollEvery    = 500 * time.Millisecond
	defaultTakeoverWait = 2 * time.Second
	defaultClockSkew    = 500 * time.Millisecond
	defaultCallTimeout  = 2 * time.Second
	defaultMaxOutcomes  = 1 << 16
	defaultResendWindow = 10 * time.Minute
)

// Config configures a Guard. Zero durations and limits select the defaults.
type Config struct {
	Self core.HostID
	// Incarnation is the start time of this process in Unix microseconds.
	Incarnation uint64
	Members     core.Membership
	Runner      core.Runner

	// Partitions is the number of key partitions. It must be the same on all
	// hosts.
	Partitions int
	// Lookahead is how far ahead of the clock an interval of issue times is
	// reserved.
	Lookahead time.Duration
	// ExtendEvery is the time between two extensions of a held interval.
	ExtendEvery time.Duration
	// PollEvery is how often a home reads the record of a partition that it does
	// not hold yet, and the delay before a failed platform call is retried.
	PollEvery time.Duration
	// TakeoverWait is the time after the end of a recorded interval before
	// another host may reserve the next one. Until ClockSkew before that moment,
	// the holder can still answer that a later key has not run.
	TakeoverWait time.Duration
	// ClockSkew bounds the difference between the clocks of hosts. The
	// at-most-once guarantee does not depend on it; the correctness of "not run"
	// answers during a platform outage does.
	ClockSkew time.Duration
	// CallTimeout limits one platform call.
	CallTimeout time.Duration
	// ResendWindow is how long after its first send a request id without an issue time
	// may be sent again. For as long after a restore of the platform, such requests are
	// not run.
	ResendWindow time.Duration
	// MaxOutcomes limits the number of requests whose outcomes are kept to
	// answer resends.
	MaxOutcomes int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Partitions, defaultPartitions)
	setDefault(&c.Lookahead, defaultLookahead)
	setDefault(&c.ExtendEvery, defaultExtendEvery)
	setDefault(&c.PollEvery, defaultPollEvery)
	setDefault(&c.TakeoverWait, defaultTakeoverWait)
	setDefault(&c.ClockSkew, defaultClockSkew)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.MaxOutcomes, defaultMaxOutcomes)
	setDefault(&c.ResendWindow, defaultResendWindow)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

func (c Config) check() error {
	switch {
	case c.Self == "":
		return core.Errorf(core.InvalidRequest, "once: Self is empty")
	case c.Members == nil, c.Runner == nil:
		return core.Errorf(core.InvalidRequest, "once: Members and Runner are needed")
	case c.Partitions < 1, c.MaxOutcomes < 1:
		return core.Errorf(core.InvalidRequest, "once: Partitions and MaxOutcomes must be positive")
	case c.ExtendEvery >= c.Lookahead, c.ClockSkew >= c.TakeoverWait:
		return core.Errorf(core.InvalidRequest, "once: ExtendEvery must be below Lookahead, ClockSkew below TakeoverWait")
	}
	return nil
}
