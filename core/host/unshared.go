package host

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// unshared implements ownership and membership for the naive baseline: this host
// is the holder of every share and the only live host.
type unshared struct{ self core.HostInfo }

// Self returns this host.
func (u unshared) Self() core.HostID { return u.self.Host }

// Live returns only this host.
func (u unshared) Live() []core.HostID { return []core.HostID{u.self.Host} }

// IsLive reports whether h is this host.
func (u unshared) IsLive(h core.HostID) bool { return h == u.self.Host }

// DomainOf returns this host's failure domain.
func (u unshared) DomainOf(core.HostID) core.DomainID { return u.self.Domain }

// OwnerOf returns this host.
func (u unshared) OwnerOf(core.UpstreamID) (core.HostID, bool) { return u.self.Host, true }

// Holds always returns true.
func (u unshared) Holds(time.Time, core.UpstreamID) bool { return true }

// ExclusiveUntil returns a time far in the future.
func (u unshared) ExclusiveUntil(core.UpstreamID) time.Time { return time.Unix(1<<40, 0) }

// KnownWarm always returns true.
func (u unshared) KnownWarm(core.UpstreamID) bool { return true }

// Draining always returns false.
func (u unshared) Draining(core.UpstreamID) bool { return false }

// Release does nothing.
func (u unshared) Release(time.Time, core.UpstreamID, bool, *core.Actions) {}

// unguarded replaces the at-most-once guard in the naive baseline: a request runs
// immediately, and a resend through another host runs again.
type unguarded struct{ runner core.Runner }

// Idle always returns true.
func (u unguarded) Idle() bool { return true }

// Next returns the zero time, since there is no timer.
func (u unguarded) Next() time.Time { return time.Time{} }

// Step runs requests marked once without any protection against a second run.
func (u unguarded) Step(now time.Time, event core.Event, out *core.Actions) {
	request, isRequest := event.(core.CallerRequest)
	if !isRequest || !request.Query.GetOnce() {
		return
	}
	answer := func(_ time.Time, reply *peerpb.QueryReply, out *core.Actions) {
		out.Add(core.AnswerCaller{Call: request.Call, Reply: reply})
	}
	u.runner.Run(now, request.Query, answer, out)
}
