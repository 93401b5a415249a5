package operator

import (
	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/resource"
)

// The headers of the API.
const (
	// HeaderOperation holds the idempotency key of a change: a request that is
	// sent again with the same id is accepted only once. The API generates an id
	// if there is none.
	HeaderOperation = "X-Operation-Id"
	// HeaderOperator names the sender of the request, for the audit trail.
	HeaderOperator = "X-Operator"
	// HeaderGeneration is the generation of the document on which an answer is
	// based.
	HeaderGeneration = "X-Generation"
	// HeaderSource is where the document of an answer was read: "platform", or
	// "host" for the one that this host has in force while the platform is
	// unavailable.
	HeaderSource = "X-Configuration-Source"
)

// Status is the state of the system as seen by the answering host.
type Status struct {
	// Generation is the newest generation that any host has in force.
	Generation uint64       `json:"generation"`
	Hosts      []HostStatus `json:"hosts"`
	Shares     []Share      `json:"shares,omitempty"`
	Cold       []Cold       `json:"cold,omitempty"`
	Quarantine []Quarantine `json:"quarantine,omitempty"`
}

// HostStatus is the state of one host as seen by the answering host.
type HostStatus struct {
	Host    string `json:"host"`
	Domain  string `json:"domain"`
	Address string `json:"address,omitempty"`
	// State is unknown, alive, suspect, stopping or dead.
	State string `json:"state"`
	// Generation is the generation of the configuration in force there.
	Generation uint64 `json:"generation"`
	// Lags is true if the host is alive and behind the newest generation.
	Lags bool `json:"lags"`
}

// Share is the host that owns an upstream's share.
type Share struct {
	Upstream string `json:"upstream"`
	Owner    string `json:"owner,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
}

// Cold is an upstream in its cold start, with its current limit.
type Cold struct {
	Upstream string `json:"upstream"`
	Limit    int    `json:"limit"`
}

// Quarantine is a question in quarantine because upstreams crashed on it.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	LeftMs      int64  `json:"left_ms"`
}

// ObjectList is the answer to a listing.
type ObjectList struct {
	Generation uint64            `json:"generation"`
	Objects    []resource.Object `json:"objects"`
}

// Outcome is the result of a change for one object.
type Outcome string

// The outcomes.
const (
	OutcomeAccepted  Outcome = "accepted"
	OutcomeUnchanged Outcome = "unchanged"
	OutcomeRefused   Outcome = "refused"
)

// ObjectReport is the outcome of one object.
type ObjectReport struct {
	Object  string  `json:"object"`
	Outcome Outcome `json:"outcome"`
	// Version is the object's version after the change, or 0 if it does not
	// exist.
	Version uint64 `json:"version,omitempty"`
	// Kind and Errors give the reasons for a refusal.
	Kind   string             `json:"kind,omitempty"`
	Errors []resource.Refusal `json:"errors,omitempty"`
}

// ChangeReport is the answer to a change.
type ChangeReport struct {
	Operation string `json:"operation"`
	// Generation is the generation from which the change is in force.
	Generation uint64         `json:"generation"`
	Objects    []ObjectReport `json:"objects"`
}

// Failure is the body of an error answer.
type Failure struct {
	Kind         string             `json:"kind"`
	Detail       string             `json:"detail"`
	Errors       []resource.Refusal `json:"errors,omitempty"`
	Operation    string             `json:"operation,omitempty"`
	RetryAfterMs int64              `json:"retry_after_ms,omitempty"`
}

// AuditPage is the answer to a request for the audit trail.
type AuditPage = audit.Page
