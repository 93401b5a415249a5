package edge

import (
	"sync/atomic"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
)

// callerLimits are the limits for callers that are in force here, which this host reports to
// its followers: hosts that only hand requests over do not read the configuration.
type callerLimits struct {
	current atomic.Pointer[scatter.LimitsReported] // nil until set
}

// set replaces the limits, and reports whether they have changed.
func (l *callerLimits) set(version uint64, limits scatter.CallerLimits) (changed bool) {
	before := l.current.Load()
	if before == nil {
		before = &scatter.LimitsReported{}
	}
	if before.Version != version || before.Limits != limits {
		l.current.Store(&scatter.LimitsReported{Version: version, Limits: limits})
	}
	return before.Limits != limits
}

// encode returns the limits as other hosts read them; nil if no version is in force.
func (l *callerLimits) encode() *edgepb.CallerLimits {
	current := l.current.Load()
	if current == nil || current.Version == 0 {
		return nil
	}
	limits := current.Limits
	return &edgepb.CallerLimits{
		ConfigVersion: current.Version, MaxHeaderBytes: int64(limits.MaxHeaderBytes), MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeoutUs: limits.HeaderTimeout.Microseconds(), IdleTimeoutUs: limits.IdleTimeout.Microseconds(),
	}
}

func decodeCallerLimits(limits *edgepb.CallerLimits) scatter.LimitsReported {
	return scatter.LimitsReported{Version: limits.ConfigVersion, Limits: scatter.CallerLimits{
		MaxHeaderBytes: int(limits.MaxHeaderBytes), MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: time.Duration(limits.HeaderTimeoutUs) * time.Microsecond, IdleTimeout: time.Duration(limits.IdleTimeoutUs) * time.Microsecond,
	}}
}
