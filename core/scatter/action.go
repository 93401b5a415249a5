package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Actions collects the actions that result from steps, in order.
type Actions struct {
	Sends     []Send
	Cancels   []Cancel
	Handovers []Handover
	// Probes are the hosts to ping.
	Probes []Host
	// Silent is to be sent to the hosts that follow this one; nil if it has not
	// changed.
	Silent *SilentHosts
	// CancelledHandovers are the calls whose handover is to be cancelled.
	CancelledHandovers []core.CallID
	Answers            []Answer
	Notes              []Note
	// Checks are the upstreams to which a connection is to be attempted, without
	// a request.
	Checks []Check
	// Suspects is to be stored for all hosts; nil if it has not changed.
	Suspects *SuspectReport
	// LimitEnds are to be sent to the other gatherers.
	LimitEnds []LimitEnd
	// QuotaRequests are to be sent to other hosts, QuotaReplies answer theirs.
	QuotaRequests []QuotaRequest
	QuotaReplies  []QuotaReply
	// RolloutWrites are to be stored, RolloutReports to be sent to other hosts.
	RolloutWrites  []RolloutWrite
	RolloutReports []RolloutReportTo
}

// Check is an upstream to which a connection is to be attempted, without a request.
type Check struct {
	Target Upstream
	// Round identifies the round of checks of this host's connectivity; it is 0 for
	// the check of an upstream that may have crashed.
	Round uint64
}

// LimitEnd reports that an upstream has answered without the rate limit that it stated.
type LimitEnd struct {
	ID      core.UpstreamID
	Address string
	Started int64 // see Upstream
	// At is when the request was sent that was answered without a limit.
	At time.Time
	// To are the gatherers to tell; By is the host that found out.
	To []Host
	By core.HostID
}

// SuspectReport lists the suspects that this host found. It replaces the previous
// report of this host.
type SuspectReport struct{ Suspects []Suspect }

// Reset empties the lists and keeps their capacity.
func (a *Actions) Reset() {
	clear(a.Sends)
	clear(a.Handovers)
	clear(a.Answers)
	clear(a.Notes)
	a.Sends, a.Cancels, a.Answers, a.Notes = a.Sends[:0], a.Cancels[:0], a.Answers[:0], a.Notes[:0]
	a.Silent, a.Suspects = nil, nil
	a.Checks, a.LimitEnds = a.Checks[:0], a.LimitEnds[:0]
	clear(a.QuotaRequests)
	clear(a.QuotaReplies)
	a.QuotaRequests, a.QuotaReplies = a.QuotaRequests[:0], a.QuotaReplies[:0]
	a.RolloutWrites, a.RolloutReports = a.RolloutWrites[:0], a.RolloutReports[:0]
	a.Handovers, a.Probes, a.CancelledHandovers = a.Handovers[:0], a.Probes[:0], a.CancelledHandovers[:0]
}

// Send sends a call's request to one upstream.
type Send struct {
	Attempt uint64
	Call    core.CallID
	Target  Upstream
	// Connections is the maximum number of connections that this host may hold to
	// the upstream.
	Connections int
	// Deadline is when the upstream should stop working on the request.
	Deadline time.Time
	// Repeatable requests may use a connection that the upstream might be about
	// to close.
	Repeatable bool
	// Version is the configuration version behind the decision.
	Version uint64
	// Identity is on whose behalf the request is sent.
	Identity Identity
	// Via is the host that relays this send and the others of its call; the zero
	// value is a direct send.
	Via Host
	// LimitKnownAt is as of when this host knows whether the upstream states a rate
	// limit; the zero time if the upstream has not answered yet.
	LimitKnownAt time.Time
	// Top is how many of the greatest records of a gather's part can be in the
	// answer; 0 for other requests.
	Top int
}

// Cancel cancels a running attempt, because its caller is gone.
type Cancel struct{ Attempt uint64 }

// Handover hands a call's request over to another host.
type Handover struct {
	Call core.CallID
	To   Host
	// Deadline is when the caller stops waiting, and Spent the time that the
	// request has spent at this host.
	Deadline time.Time
	Spent    time.Duration
	// AllowStale allows the host to answer while its view of the registry may be
	// stale.
	AllowStale bool
	// Repeat is true if another host may have run the request.
	Repeat bool
	// SeenVersion is the newest configuration version that this host has seen in force.
	SeenVersion uint64
}

// SilentHosts lists those of the hosts watched by this one that are silent.
type SilentHosts struct{ Hosts []core.HostID }

// Answer is the final answer to a call.
type Answer struct {
	Call core.CallID
	Kind AnswerKind
	// Payload is the upstream's answer to pass on, for PassedOn.
	Payload any
	// Parts are the payloads to merge, Missing is the number of shards without an
	// answer, and Top is how many records to return, for Gathered.
	Parts   []any
	Missing int
	Top     int
	// RetryAfter is how long the caller should wait before it repeats a refused
	// request.
	RetryAfter time.Duration
	// Partitioned is true if the request is declined since this host reaches no
	// upstreams.
	Partitioned bool
}

// AnswerKind is the kind of an answer.
type AnswerKind int

// The kinds of answers.
const (
	// PassedOn is one upstream's answer, unchanged.
	PassedOn AnswerKind = iota
	// Gathered is merged from parts.
	Gathered
	// NoRoute: the configuration has no route for the request.
	NoRoute
	// Refused: the request has not run and never will.
	Refused
	// UpstreamsFailed: the request may have run, and no upstream answered it.
	UpstreamsFailed
	// TimedOut: the deadline of the request has passed; it may have run.
	TimedOut
	// Declined: another host should answer the request; this one has not run it.
	Declined
	// Interrupted: this host cannot answer the request of another host any more. It
	// may have run, and its route allows another run.
	Interrupted
	// Unauthorized: the route requires a key, and the request has no valid one.
	Unauthorized
	// OverQuota: the request is beyond the quota of its team; it has not run.
	OverQuota
)

var answerNames = [...]string{"passed on", "gathered", "no route", "refused", "upstreams failed", "timed out", "declined", "interrupted", "unauthorized", "over quota"}

// String returns the kind as the log prints it.
func (k AnswerKind) String() string { return answerNames[k] }

// Note is a log record of one decision.
type Note struct {
	Decision Decision
	// RequestID is the ID of the caller's request, if the decision concerns one.
	RequestID string
	Route     string
	Service   core.ServiceID
	Upstream  core.UpstreamID
	// Relay is the host that relayed the attempt; empty for a direct one.
	Relay core.HostID
	// Fingerprint identifies the content of the request, whichever caller sends it.
	Fingerprint core.Fingerprint
	// UpstreamsLost counts the upstreams that may have crashed because of the
	// request.
	UpstreamsLost int
	// Attempt is the number of the part's attempt, from 1.
	Attempt int
	// Version is the configuration version behind the decision.
	Version uint64
	// Age is the age of the input behind the decision.
	Age time.Duration
	// Parts and Missing describe an answer, and Extra counts its hedges and
	// retries.
	Parts, Missing, Extra int
	Detail                string
}

// Decision names a kind of decision in the log.
type Decision string

// The decisions that are logged.
const (
	DecisionAnswer                 Decision = "answer"
	DecisionRefuse                 Decision = "refuse"
	DecisionHedge                  Decision = "hedge"
	DecisionRetry                  Decision = "retry"
	DecisionAttemptFailed          Decision = "attempt_failed"
	DecisionExtraDenied            Decision = "extra_send_denied"
	DecisionUpstreamSuspected      Decision = "upstream_suspected"
	DecisionUpstreamTrusted        Decision = "upstream_trusted"
	DecisionUpstreamJoined         Decision = "upstream_joined"
	DecisionUpstreamDraining       Decision = "upstream_draining"
	DecisionUpstreamLeaving        Decision = "upstream_leaving"
	DecisionUpstreamWithheld       Decision = "upstream_withheld"
	DecisionUpstreamLimited        Decision = "upstream_limited"
	DecisionUpstreamUnlimited      Decision = "upstream_limit_lifted"
	DecisionUpstreamCapacity       Decision = "upstream_capacity"
	DecisionUpstreamRemoved        Decision = "upstream_removed"
	DecisionUpstreamKept           Decision = "upstream_kept_without_entry"
	DecisionConfig                 Decision = "config_in_force"
	DecisionFeedsLapsed            Decision = "feeds_lapsed"
	DecisionDomains                Decision = "domains_out"
	DecisionHosts                  Decision = "hosts_counted"
	DecisionRegistryReachable      Decision = "registry_reachable"
	DecisionHostBackoff            Decision = "host_rests"
	DecisionHostsSilent            Decision = "hosts_silent"
	DecisionFingerprintSuspected   Decision = "question_suspected"
	DecisionFingerprintQuarantined Decision = "question_quarantined"
	DecisionRequestQuarantined     Decision = "request_quarantined"
	DecisionProbe                  Decision = "request_probed"
	DecisionDomainSilent           Decision = "failure_domain_silent"
	DecisionDomainResponsive       Decision = "failure_domain_heard"
	DecisionPartitioned            Decision = "upstreams_unreachable"
	DecisionReconnected            Decision = "upstreams_reachable"
	DecisionWithdraw               Decision = "callers_turned_away"
	DecisionReturn                 Decision = "callers_taken_again"
	DecisionOverQuota              Decision = "over_quota"
	DecisionQuotaOwnerSkipped      Decision = "quota_owner_skipped"
	DecisionQuotaOwnerBack         Decision = "quota_owner_back"
	DecisionRollout                Decision = "rollout"
	DecisionRolloutHalted          Decision = "rollout_halted_here"
)
