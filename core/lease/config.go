package lease

import (
	"math/rand/v2"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config is what a Lease is made of. Zero timings take the defaults.
type Config struct {
	Self core.HostID
	// Incarnation is the start of this process in unix microseconds.
	Incarnation uint64
	Members     core.Membership
	// Cell names the group of hosts that share one lease table.
	Cell   string
	Random *rand.Rand

	// Interval is the time between two renewals.
	Interval time.Duration
	// ShortBound after the sending of a confirmed renewal the holder's sole
	// right ends.
	LeaseDuration time.Duration
	// LongBound after an observer first saw a renewal, it may fence the
	// member. It exceeds ShortBound by more than the clocks may differ in rate.
	FenceDelay time.Duration
	// Fallback is how long a host waits for the writer before it asks the
	// next host.
	FallbackTimeout time.Duration
	// AwayAfter without a confirmed renewal a host says that the platform is
	// away and asks all hosts of the cell.
	UnavailableAfter time.Duration
	// MinorityFence is how long a renewal must have been still before hosts
	// that hear less than half of the members fence it.
	MinorityFenceDelay time.Duration
	// CallTimeout is the longest that a call of the platform takes; while the
	// platform is fast, calls end sooner.
	CallTimeout time.Duration
	// Settle without a new member the writer gives out shares for the first
	// time, at the latest after settleFactor times as long.
	SettleTime time.Duration
	// StopTimeout bounds a planned stop when shares cannot be handed over.
	StopTimeout time.Duration
}

const (
	defaultInterval           = time.Second
	defaultLeaseDuration      = 4 * time.Second
	defaultFenceDelay         = 4500 * time.Millisecond
	defaultFallbackTimeout    = 600 * time.Millisecond
	defaultUnavailableAfter   = 2500 * time.Millisecond
	defaultMinorityFenceDelay = 30 * time.Second
	defaultCallTimeout        = 1500 * time.Millisecond
	defaultSettleTime         = time.Second
	defaultStopTimeout        = 10 * time.Second
)

// Timings that follow from how a second is divided up.
const (
	// renewLead before the writer's slot the renewals are sent.
	renewalLead = 100 * time.Millisecond
	// slotReach before its slot the writer holds a renewal for it; an earlier
	// one is written sooner, lest its sender falls back.
	slotWindow = 300 * time.Millisecond
	// batchDelay is how long the writer collects renewals outside its slots.
	batchDelay = 30 * time.Millisecond
	// releaseDelay is how long a holder collects releases.
	releaseDelay = 10 * time.Millisecond
	// settleFactor times Config.Settle is the longest wait for more members.
	settleFactor = 3
	// retryDelay before another try after a conflict, plus as much jitter.
	retryDelay = 20 * time.Millisecond
	// maxBackoff between tries while the platform is away.
	maxBackoff = 8 * time.Second
	// contactGap is the longest gap between two contacts with the platform
	// that leaves an observer's clocks running.
	maxContactGap = 2 * time.Second
	// minPatience and patienceFactor times the time of the last call bound the
	// next call, up to Config.CallTimeout.
	minCallTimeout    = 300 * time.Millisecond
	callTimeoutFactor = 8
	// pollAfter without news the writer and its backup read the members.
	pollDelay = 1200 * time.Millisecond
	// heardWithin is how recent a renewal counts a member as heard.
	heardWindow = 2500 * time.Millisecond
	// awayWithin is how long a report that the platform is away counts, from
	// the sending of the renewal that it answers.
	unavailableReportTTL = 3 * time.Second
	// quickAttempts is how many hosts are asked in turn without waiting when
	// they say at once that they cannot renew.
	immediateFallbacks = 3
	// pushAgain is how long a host waits before it sends the same table again.
	pushRepeatDelay = time.Second
	// detourTime is how long a host keeps to a writer that served it when a
	// preferred one did not.
	fallbackWriterTime = 10 * time.Second
	// forgetSent is how long a renewal may wait for its confirmation.
	sentRenewalTTL = 10 * time.Second
)

func (c *Config) check() error {
	if c.Self == "" || c.Cell == "" {
		return core.Errorf(core.InvalidRequest, "lease: own host and cell are needed")
	}
	if c.Incarnation == 0 {
		return core.Errorf(core.InvalidRequest, "lease: an incarnation is needed")
	}
	if c.Members == nil || c.Random == nil {
		return core.Errorf(core.InvalidRequest, "lease: members and a random source are needed")
	}
	return nil
}

func (c *Config) setDefaults() {
	orDefault(&c.Interval, defaultInterval)
	orDefault(&c.LeaseDuration, defaultLeaseDuration)
	orDefault(&c.FenceDelay, defaultFenceDelay)
	orDefault(&c.FallbackTimeout, defaultFallbackTimeout)
	orDefault(&c.UnavailableAfter, defaultUnavailableAfter)
	orDefault(&c.MinorityFenceDelay, defaultMinorityFenceDelay)
	orDefault(&c.CallTimeout, defaultCallTimeout)
	orDefault(&c.SettleTime, defaultSettleTime)
	orDefault(&c.StopTimeout, defaultStopTimeout)
}

func orDefault(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}
