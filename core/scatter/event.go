package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Event is what the engine learns.
type Event interface{ isEvent() }

// RequestArrived is a caller's request, read whole.
type RequestArrived struct {
	Call core.CallID
	// RequestID is the caller's name for the request, for the log.
	RequestID string
	Host      string
	Path      string
	// Budget is how long the caller waits, 0 when it did not say.
	Budget time.Duration
	// At is when the request had been read.
	At time.Time
	// Fingerprint identifies what is asked, whoever asks it.
	Fingerprint core.Fingerprint
	// HasBody says that the request has a body, which may be empty.
	HasBody bool
	// FromHost says that another host took the request and hands it over.
	FromHost bool
	// AllowStale lets this host answer from what it cannot confirm.
	AllowStale bool
	// Repeat says that another host may have run the request: it is declined
	// unless its route allows that, and all its sends are extra ones.
	Repeat bool
}

// CallerGone says that the caller closed its connection.
type CallerGone struct{ Call core.CallID }

// AttemptEnded is the end of one attempt.
type AttemptEnded struct {
	Attempt uint64
	Outcome Outcome
	// Payload is the upstream's answer; the engine hands it on unread.
	Payload any
	// Cause describes a failure, for the log.
	Cause string
	// Took is how long the attempt took where a relay sent it; zero is the time
	// since it was sent here.
	Took time.Duration
	// RelayFault says that the relay failed, not the upstream.
	RelayFault bool
	// Notice is what the upstream said of itself.
	Notice Notice
}

// ConfigSeen is a version of the configuration, which may be an old one.
type ConfigSeen struct{ Config *Config }

// UpstreamsListed is the whole list of registered upstreams.
type UpstreamsListed struct{ Upstreams []Upstream }

// UpstreamSeen is the changed entry of one upstream.
type UpstreamSeen struct{ Upstream Upstream }

// UpstreamRemoved says that an upstream's entry is gone.
type UpstreamRemoved struct{ ID core.UpstreamID }

// DomainsOut is the set of failure domains that operators took out.
type DomainsOut struct{ Domains map[core.DomainID]bool }

// HostsSeen is the list of all hosts of the tier.
type HostsSeen struct{ Hosts []Host }

// HandoverEnded is the end of a handover.
type HandoverEnded struct {
	Call core.CallID
	To   core.HostID
	// Outcome is Succeeded or Failed with an answer to pass on as Payload,
	// NotExecuted when the host declined, Unreached or Lost.
	Outcome Outcome
	Payload any
	// Took is how long the host itself worked on the request.
	Took  time.Duration
	Cause string
}

// HostAlive says that something came from another host.
type HostAlive struct {
	ID core.HostID
	// Withdrawn says that the host takes no callers.
	Withdrawn bool
}

// Followed says whether other hosts follow this one.
type Followed struct{ ByOthers bool }

// HostsSilent is what a host that watches others says of them: those that are
// silent, in place of what it said before.
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
	// CheckFailed: nothing is known, as when the way to the upstream is cut.
	CheckFailed CheckResult = iota
	// UpstreamListens: something takes connections there.
	UpstreamListens
	// UpstreamRefuses: its host is there and nothing takes connections.
	UpstreamRefuses
)

// UpstreamChecked is the outcome of a check.
type UpstreamChecked struct {
	Upstream UpstreamStart
	Result   CheckResult
}

// Suspect is a question under which upstreams ended.
type Suspect struct {
	Fingerprint core.Fingerprint
	Ended       []UpstreamStart
}

func (s Suspect) equal(other Suspect) bool {
	return s.Fingerprint == other.Fingerprint && slices.Equal(s.Ended, other.Ended)
}

// SuspectsSeen is what all hosts have found, this one included, in place of what
// was seen before.
type SuspectsSeen struct{ ByHost map[core.HostID][]Suspect }

// StoreReachable says whether the registry of upstreams answers this host.
type StoreReachable struct{ Reachable bool }

// Tick runs the timers that are due.
type Tick struct{}

func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (AttemptEnded) isEvent()    {}
func (ConfigSeen) isEvent()      {}
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
func (Tick) isEvent()            {}

// Upstream is the registry's entry of one upstream.
type Upstream struct {
	ID      core.UpstreamID
	Service core.ServiceID
	Domain  core.DomainID
	// Address is "ip:port".
	Address string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Draining upstreams take no new work.
	Draining bool
	// ColdFor is how long the upstream stays slow after its start, as of its
	// last entry.
	ColdFor time.Duration
	// Started is the upstream's start in unix milliseconds, which tells two
	// starts under one ID apart.
	Started int64
}

// Start names the upstream's start.
func (u Upstream) Start() UpstreamStart { return UpstreamStart{u.ID, u.Started} }

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded: the upstream's whole answer to this request, a success.
	Succeeded Outcome = iota
	// Failed: the upstream's whole answer to this request, a failure.
	Failed
	// NotExecuted: the upstream says that it did not run the request.
	NotExecuted
	// WrongInstance: another upstream has the address; it did not run the
	// request.
	WrongInstance
	// Unreached: no byte of the request was sent.
	Unreached
	// Lost: the request was sent and has no answer; it may have run.
	Lost
	// NotRelayed: the host that should have relayed the request did not send
	// it.
	NotRelayed
	// Withheld: the request was not sent, since the upstream had asked for
	// that meanwhile.
	Withheld
)

var outcomeNames = [...]string{"succeeded", "failed", "not executed", "wrong instance", "unreached", "lost", "not relayed", "withheld"}

// Known says that the outcome is one of those above; one from another host may
// be none.
func (o Outcome) Known() bool { return o >= 0 && int(o) < len(outcomeNames) }

// String returns the outcome as the log prints it.
func (o Outcome) String() string { return outcomeNames[o] }

// MayHaveArrived says that the upstream got the request, or may have.
func (o Outcome) MayHaveArrived() bool { return o != Unreached && o != NotRelayed && o != Withheld }

// Answered says that the upstream answered.
func (o Outcome) Answered() bool {
	return o == Succeeded || o == Failed || o == NotExecuted || o == WrongInstance
}

// SurelyNotRun says that the attempt did not run and never will.
func (o Outcome) SurelyNotRun() bool {
	return o == NotExecuted || o == WrongInstance || !o.MayHaveArrived()
}
