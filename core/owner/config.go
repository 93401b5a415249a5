package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Defaults of the Config fields.
const (
	defaultQueueLimit    = 256
	defaultSyncEvery     = 50 * time.Millisecond
	defaultDiscoverEvery = time.Second
	defaultReportEvery   = 100 * time.Millisecond
	defaultReportTo      = time.Second
	defaultDrainFor      = 10 * time.Second
	defaultDrainQuiet    = 2 * time.Second
	defaultCancelSettle  = 5 * time.Millisecond
	defaultSuspectFor    = 60 * time.Second
	defaultSuspectLimit  = 1024
)

// Config configures an Owner. A duration or limit of zero selects its default.
type Config struct {
	Self        core.HostID
	Incarnation uint64
	// Limiter returns a new limiter, in the warm state, for one upstream.
	Limiter func(*core.Upstream) core.Limiter
	Members core.Membership
	Owners  core.Ownership

	// QueueLimit is the maximum number of queued sub-queries per upstream.
	QueueLimit int
	// SyncEvery is the interval between checks of the held shares' ownership.
	SyncEvery time.Duration
	// DiscoverEvery is the interval between searches of all upstreams for new
	// shares. It also spaces repeated releases and requests for connections.
	DiscoverEvery time.Duration
	// ReportEvery is the minimum interval between two load reports.
	ReportEvery time.Duration
	// ReportTo is how long after its last sub-query a host still receives load
	// reports.
	ReportTo time.Duration
	// DrainFor is how long an upstream that announced draining gets no work
	// if no further probe or reply arrives.
	DrainFor time.Duration
	// DrainQuiet is how long probes must have shown no draining before the
	// drain ends.
	DrainQuiet time.Duration
	// CancelSettle is how long the slot of an attempt counts as occupied after
	// its connection was closed: the upstream keeps executing until it
	// detects the close.
	CancelSettle time.Duration
	// SuspectFor is how long a fingerprint stays suspect, or quarantined,
	// after its last loss.
	SuspectFor time.Duration
	// SuspectLimit is the maximum number of suspect fingerprints kept.
	SuspectLimit int
}

func (c Config) withDefaults() Config {
	setDefault(&c.QueueLimit, defaultQueueLimit)
	setDefault(&c.SyncEvery, defaultSyncEvery)
	setDefault(&c.DiscoverEvery, defaultDiscoverEvery)
	setDefault(&c.ReportEvery, defaultReportEvery)
	setDefault(&c.ReportTo, defaultReportTo)
	setDefault(&c.DrainFor, defaultDrainFor)
	setDefault(&c.DrainQuiet, defaultDrainQuiet)
	setDefault(&c.CancelSettle, defaultCancelSettle)
	setDefault(&c.SuspectFor, defaultSuspectFor)
	setDefault(&c.SuspectLimit, defaultSuspectLimit)
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
		return core.Errorf(core.InvalidRequest, "owner: Self is empty")
	case c.Limiter == nil, c.Members == nil, c.Owners == nil:
		return core.Errorf(core.InvalidRequest, "owner: Limiter, Members or Owners is nil")
	case c.QueueLimit < 0, c.SuspectLimit < 0:
		return core.Errorf(core.InvalidRequest, "owner: QueueLimit or SuspectLimit is negative")
	}
	return nil
}
