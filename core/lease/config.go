package lease

import (
	"math/rand/v2"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config holds the parameters of a Lease. Zero durations are replaced by the
// defaults.
type Config struct {
	Self core.HostID
	// Incarnation is the start time of this process in Unix microseconds.
	Incarnation uint64
	Members     core.Membership
	// Cell names the group of hosts that share one lease table.
	Cell   string
	Random *rand.Rand

	// Interval is the time between two lease renewals.
	Interval time.Duration
	// LeaseDuration is how long the holder's exclusive right lasts, counted from
	// when a confirmed renewal was sent.
	LeaseDuration time.Duration
	// FenceDelay is how long after first seeing a member's latest renewal an
	// observer may fence the member. It exceeds LeaseDuration by more than the
	// maximum drift between two clocks over that time.
	FenceDelay time.Duration
	// FallbackTimeout is how long a host waits for the writer's reply before it
	// sends the renewal to the next host.
	FallbackTimeout time.Duration
	// UnavailableAfter is how long a host goes without a confirmed renewal
	// before it reports the platform as unavailable and sends its renewals to
	// all hosts of the cell.
	UnavailableAfter time.Duration
	// MinorityFenceDelay replaces FenceDelay on hosts that received recent
	// renewals from fewer than half of the members.
	MinorityFenceDelay time.Duration
	// CallTimeout is the maximum timeout of a platform call; the actual timeout
	// adapts to recent latencies and is shorter while the platform is fast.
	CallTimeout time.Duration
	// SettleTime is how long no member must have joined before the writer
	// assigns shares for the first time. The writer waits at most settleFactor
	// times as long.
	SettleTime time.Duration
	// StopTimeout limits a planned stop whose shares cannot be handed over.
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

// Delays within the renewal interval, retry delays, and expiry times.
const (
	// renewalLead is how long before the writer's slot renewals are sent.
	renewalLead = 100 * time.Millisecond
	// slotWindow is how long before a slot the writer holds a renewal for that
	// slot. A renewal that arrives earlier is written without waiting for the
	// slot, because its sender would fall back to another host by then.
	slotWindow = 300 * time.Millisecond
	// batchDelay is how long the writer collects renewals outside its slots
	// before it writes them.
	batchDelay = 30 * time.Millisecond
	// releaseDelay is how long a holder collects releases before it sends them.
	releaseDelay = 10 * time.Millisecond
	// settleFactor times Config.SettleTime is the longest wait for more members.
	settleFactor = 3
	// retryDelay is the minimum delay before a retry after a conflict; jitter
	// adds up to as much again.
	retryDelay = 20 * time.Millisecond
	// maxBackoff is the upper limit of the backoff while the platform is
	// unavailable.
	maxBackoff = 8 * time.Second
	// maxContactGap is the longest gap between two replies of the platform that
	// does not restart an observer's fencing timers.
	maxContactGap = 2 * time.Second
	// The timeout of a call is at least minCallTimeout and at least
	// callTimeoutFactor times the latency of the last call, but at most
	// Config.CallTimeout.
	minCallTimeout    = 300 * time.Millisecond
	callTimeoutFactor = 8
	// pollDelay is how long the writer and its backup go without contact with
	// the platform before they read the members object.
	pollDelay = 1200 * time.Millisecond
	// recentRenewalWindow is the maximum age of a renewal for a member to count
	// as reachable; it is also how recent the last write of the members object
	// must be for a host to assign shares.
	recentRenewalWindow = 2500 * time.Millisecond
	// unavailableReportTTL is how long a report that the platform is
	// unavailable is valid, from the sending of the renewal that it answers.
	unavailableReportTTL = 3 * time.Second
	// immediateFallbacks is how many times in a row a host falls back to the
	// next host without waiting for FallbackTimeout when a host replies that it
	// cannot renew.
	immediateFallbacks = 3
	// pushRepeatDelay is the minimum time before the same table version is sent
	// to a host again.
	pushRepeatDelay = time.Second
	// fallbackWriterTime is how long a host keeps using a fallback writer after
	// that writer confirmed one of its renewals.
	fallbackWriterTime = 10 * time.Second
	// sentRenewalTTL is how long a sent renewal can still be confirmed.
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
