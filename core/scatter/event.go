package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Event is an input of the engine.
type Event interface{ isEvent() }

// RequestArrived is a caller's request that has been read completely.
type RequestArrived struct {
	Call core.CallID
	// RequestID is the ID that the caller gave the request, for the log.
	RequestID string
	Host      string
	Path      string
	// Budget is how long the caller waits; 0 if it set no limit.
	Budget time.Duration
	// At is when the request had been read completely.
	At time.Time
	// Fingerprint identifies the content of the request, whichever caller sends it.
	Fingerprint core.Fingerprint
	// Key is the digest of the caller's key, if HasKey is set.
	Key    KeyDigest
	HasKey bool
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool
	// FromHost is true if another host received the request and hands it over.
	FromHost bool
	// AllowStale allows this host to answer while its view of the registry may be
	// stale.
	AllowStale bool
	// Repeat is true if another host may have run the request. It is declined
	// unless its route is repeatable, and all its sends count as extra ones.
	Repeat bool
	// SeenVersion is the newest configuration version that the host which hands the
	// request over has seen in force; 0 if none.
	SeenVersion uint64
	// returned is true if no other host has accepted the request.
	returned bool
}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ Call core.CallID }

// AttemptEnded is the end of one attempt.
type AttemptEnded struct {
	Attempt uint64
	Outcome Outcome
	// Payload is the upstream's answer; the engine does not inspect it.
	Payload any
	// Cause describes a failure, for the log.
	Cause string
	// Took is how long the attempt took, as measured by a relay. If it is zero,
	// the engine uses the time since the send.
	Took time.Duration
	// RelayFault is true if the relay failed, not the upstream.
	RelayFault bool
	// Notice is what the upstream reported about itself.
	Notice Notice
}

// ConfigSeen is a version of the configuration, which may be outdated.
type ConfigSeen struct{ Config *Config }

// FeedsLapsed reports that this host follows only the list of hosts from now on. The next
// events of the other feeds come from the time when it follows them again, and the first
// one of each holds the whole state.
type FeedsLapsed struct{}

// LimitsReported are the limits for callers of the version that is in force at a host that
// this one follows.
type LimitsReported struct {
	Version uint64
	Limits  CallerLimits
}

// UpstreamsListed is the whole list of registered upstreams.
type UpstreamsListed struct {
	Upstreams []Upstream
	// Restored is true if the list is from a store that was restored from an older
	// copy: some upstreams are missing, others are listed as they were.
	Restored bool
}

// UpstreamSeen is the new or changed entry of one upstream.
type UpstreamSeen struct{ Upstream Upstream }

// UpstreamRemoved reports that an upstream's entry was removed.
type UpstreamRemoved struct{ ID core.UpstreamID }

// DomainsOut is the set of failure domains that operators took out of service.
type DomainsOut struct {
	Domains map[core.DomainID]bool
	// Restored is true if the set is from a store that was restored from an older
	// copy: domains taken out since the copy are missing.
	Restored bool
}

// HostsSeen is the list of all hosts of the tier.
type HostsSeen struct {
	Hosts []Host
	// Restored is true if the list is from a store that was restored from an older
	// copy: hosts that registered since the copy may be missing.
	Restored bool
}

// HandoverEnded is the end of a handover.
type HandoverEnded struct {
	Call core.CallID
	To   core.HostID
	// Outcome is Succeeded or Failed with an answer to pass on as Payload,
	// NotExecuted if the host declined, Unreached or Lost.
	Outcome Outcome
	Payload any
	// Partitioned is true if the host declined since it reaches no upstreams.
	Partitioned bool
	// OverQuota is true if the host refused the request because of its team's quota.
	OverQuota bool
	// Took is how long the host worked on the request, without the network time.
	Took  time.Duration
	Cause string
	// Version is the configuration version in force at the host; 0 if it does not state it.
	Version uint64
}

// HostAlive reports that a message arrived from another host.
type HostAlive struct {
	ID core.HostID
	// Withdrawn is true if that host accepts no callers.
	Withdrawn bool
}

// Followed reports whether other hosts follow this one, which means that they
// receive the contents of the store from it.
type Followed struct{ ByOthers bool }

// HostsSilent lists the hosts that a watching host found silent. It replaces the
// previous report of that host.
type HostsSilent struct {
	By    core.HostID
	Hosts []core.HostID
}

// UpstreamStart names one start of an upstream.
type UpstreamStart struct {
	ID      core.UpstreamID
	Started int64 // see Upstream
}

func (s UpstreamStart) compare(other UpstreamStart) int {
	return cmp.Or(cmp.Compare(s.ID, other.ID), cmp.Compare(s.Started, other.Started))
}

// CheckResult is what a check of an upstream's address found.
type CheckResult int

// The results of a check.
const (
	// CheckFailed: the check found nothing out, e.g. for lack of a network path.
	CheckFailed CheckResult = iota
	// UpstreamListens: the address accepts connections.
	UpstreamListens
	// UpstreamRefuses: the address refuses connections, so that the machine is up
	// and the upstream is not.
	UpstreamRefuses
)

// UpstreamChecked is the result of a check.
type UpstreamChecked struct {
	Upstream UpstreamStart
	Result   CheckResult
	Round    uint64 // see Check
}

// Suspect is a request fingerprint and the upstreams that crashed while they ran
// such a request.
type Suspect struct {
	Fingerprint core.Fingerprint
	Ended       []Crash
	// Survived lists crashes that other hosts report and after which the host had an
	// answer to such a request. Answered is true if it had one shortly before a crash.
	Survived []UpstreamStart
	Answered bool
	// Open lists the starts that may still run such a request of a host that stops, with the
	// order that their crash would have.
	Open []Crash
}

// Crash is the crash of an upstream that ran a request.
type Crash struct {
	UpstreamStart
	// Order is the place of the crash in a chain of crashes, from 1: its host sent the
	// request after it had recorded a crash of the order before. Crashes of the same
	// order may have one common cause. It is 0 in records of older builds, which do not
	// tell such crashes apart, and counts as 1.
	Order int
}

func (c Crash) compare(other Crash) int { return c.UpstreamStart.compare(other.UpstreamStart) }

func (s Suspect) equal(other Suspect) bool {
	return s.Fingerprint == other.Fingerprint && slices.Equal(s.Ended, other.Ended) &&
		slices.Equal(s.Survived, other.Survived) && s.Answered == other.Answered && slices.Equal(s.Open, other.Open)
}

// SuspectsSeen lists the findings of all hosts, including this one. It replaces
// the previous list.
type SuspectsSeen struct {
	ByHost map[core.HostID][]Suspect
	// Restored is true if the list is from a store that was restored from an older
	// copy: newer findings are missing.
	Restored bool
}

// LimitEnded is a report of another host.
type LimitEnded struct{ LimitEnd }

// StoreReachable reports whether this host can reach the registry of upstreams,
// directly or through another host.
type StoreReachable struct {
	Reachable bool
	// MayHaveFailed is true if the registry has become reachable and may have been
	// unavailable to the upstreams too; see SourceGap.
	MayHaveFailed bool
}

// Tick has no effect besides running the timers that are due.
type Tick struct{}

func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (AttemptEnded) isEvent()    {}
func (ConfigSeen) isEvent()      {}
func (LimitsReported) isEvent()  {}
func (FeedsLapsed) isEvent()     {}
func (UpstreamsListed) isEvent() {}
func (UpstreamSeen) isEvent()    {}
func (UpstreamRemoved) isEvent() {}
func (DomainsOut) isEvent()      {}
func (HostsSeen) isEvent()       {}
func (HandoverEnded) isEvent()   {}
func (StoreReachable) isEvent()  {}
func (HostAlive) isEvent()       {}
func (Followed) isEvent()        {}
func (HostsSilent) isEvent()     {}
func (UpstreamChecked) isEvent() {}
func (SuspectsSeen) isEvent()    {}
func (LimitEnded) isEvent()      {}
func (Tick) isEvent()            {}

// Upstream is the registry's entry of one upstream.
type Upstream struct {
	ID      core.UpstreamID
	Service core.ServiceID
	Domain  core.DomainID
	// Address is "ip:port".
	Address string
	// Version is the version of the upstream's software.
	Version string
	// Slots is how many requests the upstream runs concurrently.
	Slots int
	// Draining upstreams receive no new requests.
	Draining bool
	// ColdFor is how much longer the upstream stays cold, as of its last entry.
	ColdFor time.Duration
	// Started is the upstream's start in unix milliseconds. It distinguishes two
	// starts under one ID.
	Started int64
}

// Start returns the key of this start of the upstream.
func (u Upstream) Start() UpstreamStart { return UpstreamStart{u.ID, u.Started} }

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded: the upstream answered completely, with a success.
	Succeeded Outcome = iota
	// Failed: the upstream answered completely, with a failure.
	Failed
	// NotExecuted: the upstream answered that it did not run the request.
	NotExecuted
	// WrongInstance: another upstream now uses the address and did not run the
	// request.
	WrongInstance
	// Unreached: no byte of the request was sent.
	Unreached
	// Lost: the request was sent and not answered; it may have run.
	Lost
	// NotRelayed: the host that should have relayed the request did not send
	// it.
	NotRelayed
	// Withheld: the request was not sent, since a notice that the upstream sent
	// in the meantime forbids it.
	Withheld
)

var outcomeNames = [...]string{"succeeded", "failed", "not executed", "wrong instance", "unreached", "lost", "not relayed", "withheld"}

// Known reports whether the outcome is one of those above. One that another host
// sent may not be.
func (o Outcome) Known() bool { return o >= 0 && int(o) < len(outcomeNames) }

// String returns the outcome as the log prints it.
func (o Outcome) String() string { return outcomeNames[o] }

// MayHaveArrived reports whether the upstream received the request or may have.
func (o Outcome) MayHaveArrived() bool { return o != Unreached && o != NotRelayed && o != Withheld }

// AsRelayed returns the outcome that a relay reports for an attempt that ended
// this way there. An upstream that a relay cannot reach, or that asked the relay
// to back off, may be available to the requesting host.
func (o Outcome) AsRelayed() Outcome {
	if o == Unreached || o == Withheld {
		return NotRelayed
	}
	return o
}

// Answered reports whether the upstream answered.
func (o Outcome) Answered() bool {
	return o == Succeeded || o == Failed || o == NotExecuted || o == WrongInstance
}

// SurelyNotRun reports whether the attempt has not run and never will.
func (o Outcome) SurelyNotRun() bool {
	return o == NotExecuted || o == WrongInstance || !o.MayHaveArrived()
}
