package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Actions collects what a step wants done, in order.
type Actions struct {
	Sends     []Send
	Cancels   []Cancel
	Handovers []Handover
	// Probes are the hosts to ask whether they are there.
	Probes []Host
	// Silent is to be told to the hosts that follow this one; nil says nothing
	// new.
	Silent *SilentHosts
	// CancelledHandovers are the calls whose handover is to end.
	CancelledHandovers []core.CallID
	Answers            []Answer
	Notes              []Note
	// Checks are the upstreams whose addresses are to be tried, without a
	// request.
	Checks []Upstream
	// Suspects is to be stored for all hosts; nil says nothing new.
	Suspects *SuspectReport
}

// SuspectReport is what this host has found of questions, in place of what it
// said before.
type SuspectReport struct{ Suspects []Suspect }

// Reset empties the lists and keeps their memory.
func (a *Actions) Reset() {
	clear(a.Sends)
	clear(a.Handovers)
	clear(a.Answers)
	clear(a.Notes)
	a.Sends, a.Cancels, a.Answers, a.Notes = a.Sends[:0], a.Cancels[:0], a.Answers[:0], a.Notes[:0]
	a.Silent, a.Suspects = nil, nil
	a.Checks = a.Checks[:0]
	a.Handovers, a.Probes, a.CancelledHandovers = a.Handovers[:0], a.Probes[:0], a.CancelledHandovers[:0]
}

// Send asks one upstream to run a call's request.
type Send struct {
	Attempt uint64
	Call    core.CallID
	Target  Upstream
	// Connections is the most connections that this host may hold to the
	// upstream.
	Connections int
	// Deadline is when the upstream should give up.
	Deadline time.Time
	// Repeatable requests may use a connection that could be about to close.
	Repeatable bool
	// Version is the configuration version that decided.
	Version uint64
	// Via is the host that relays the send, together with the others of its
	// call; the zero value sends directly.
	Via Host
	// Top is how many of the greatest records of a gather's part can matter;
	// 0 for other requests.
	Top int
}

// Cancel ends a running attempt, whose caller is gone.
type Cancel struct{ Attempt uint64 }

// Handover asks another host to answer a call's request.
type Handover struct {
	Call core.CallID
	To   Host
	// Deadline is when the caller stops waiting, Spent the time that the
	// request has used here.
	Deadline time.Time
	Spent    time.Duration
	// AllowStale lets the host answer from what it cannot confirm.
	AllowStale bool
	// Repeat says that another host may have run the request.
	Repeat bool
}

// SilentHosts is what this host believes of hosts that it watches.
type SilentHosts struct{ Hosts []core.HostID }

// Answer is the final answer to a call.
type Answer struct {
	Call core.CallID
	Kind AnswerKind
	// Payload is the upstream's answer to pass on, for PassedOn.
	Payload any
	// Parts are the payloads to merge, Missing the number of shards that are
	// left out and Top how many records to return, for Gathered.
	Parts   []any
	Missing int
	Top     int
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
}

// AnswerKind is what an answer consists of.
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
	// UpstreamsFailed: the request may have run and has no answer.
	UpstreamsFailed
	// TimedOut: the time for the request is over; it may have run.
	TimedOut
	// Declined: another host should answer; the request has not run here.
	Declined
)

var answerNames = [...]string{"passed on", "gathered", "no route", "refused", "upstreams failed", "timed out", "declined"}

// String returns the kind as the log prints it.
func (k AnswerKind) String() string { return answerNames[k] }

// Note is one decision for the log.
type Note struct {
	Decision Decision
	// RequestID names the caller's request, if one is touched.
	RequestID string
	Route     string
	Service   core.ServiceID
	Upstream  core.UpstreamID
	// Fingerprint identifies what is asked, whoever asks it.
	Fingerprint core.Fingerprint
	// UpstreamsLost counts those that the question may have brought down.
	UpstreamsLost int
	// Attempt counts the upstreams asked for this part, from 1.
	Attempt int
	// Version is the configuration version that decided.
	Version uint64
	// Age is the age of the input that decided.
	Age time.Duration
	// Parts and Missing describe an answer, Extra the repeated sends for it.
	Parts, Missing, Extra int
	Detail                string
}

// Decision names what was decided.
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
	DecisionUpstreamRemoved        Decision = "upstream_removed"
	DecisionUpstreamKept           Decision = "upstream_kept_without_entry"
	DecisionConfig                 Decision = "config_in_force"
	DecisionDomains                Decision = "domains_out"
	DecisionHosts                  Decision = "hosts_counted"
	DecisionRegistryReachable      Decision = "registry_reachable"
	DecisionHostBackoff            Decision = "host_rests"
	DecisionHostsSilent            Decision = "hosts_silent"
	DecisionFingerprintSuspected   Decision = "question_suspected"
	DecisionFingerprintQuarantined Decision = "question_quarantined"
	DecisionRequestQuarantined     Decision = "request_quarantined"
	DecisionDomainSilent           Decision = "failure_domain_silent"
	DecisionDomainResponsive       Decision = "failure_domain_heard"
	DecisionWithdraw               Decision = "callers_turned_away"
	DecisionReturn                 Decision = "callers_taken_again"
)
