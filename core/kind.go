package core

import (
	"fmt"
	"net/http"
)

// Kind is an error kind from the fixed list below. The zero value is success.
type Kind int32

// The error kinds.
const (
	OK Kind = iota
	InvalidRequest
	UnknownName
	TooLarge
	Overloaded
	DeadlineUnreachable
	DeadlineExceeded
	Stopping
	TakenOut
	NoOwner
	UpstreamShed
	UpstreamFailed
	UpstreamLost
	HostLost
	SnapshotGone
	ReachNotMet
	Quarantined
	OutcomeUnknown
	KeyOutOfWindow
	Conflict
	PlatformUnavailable
	Cancelled
	Internal
	kindCount
)

// Ran states whether an upstream has run the work of a request.
type Ran int32

// The states of Ran.
const (
	// NotRun: no upstream has started the work, and none will.
	NotRun Ran = iota
	// HasRun: an upstream has run it.
	HasRun
	// RanUnknown: an upstream may have run it.
	RanUnknown
)

// Answer is the row of the answer table for one kind.
type Answer struct {
	Name string
	// Status is the HTTP status of the answer.
	Status int
	// Ran is the state implied by the kind; an answer may be more precise.
	Ran Ran
	// MayRepeat reports whether the caller may send the same request again.
	MayRepeat bool
	// HasRetryAfter reports whether the answer states when to retry.
	HasRetryAfter bool
}

var answers = [kindCount]Answer{
	OK:                  {"OK", http.StatusOK, HasRun, false, false},
	InvalidRequest:      {"InvalidRequest", http.StatusBadRequest, NotRun, false, false},
	UnknownName:         {"UnknownName", http.StatusNotFound, NotRun, false, false},
	TooLarge:            {"TooLarge", http.StatusRequestEntityTooLarge, NotRun, false, false},
	Overloaded:          {"Overloaded", http.StatusTooManyRequests, NotRun, true, true},
	DeadlineUnreachable: {"DeadlineUnreachable", http.StatusServiceUnavailable, NotRun, true, true},
	DeadlineExceeded:    {"DeadlineExceeded", http.StatusGatewayTimeout, RanUnknown, true, false},
	Stopping:            {"Stopping", http.StatusServiceUnavailable, NotRun, true, true},
	TakenOut:            {"TakenOut", http.StatusServiceUnavailable, NotRun, true, true},
	NoOwner:             {"NoOwner", http.StatusServiceUnavailable, NotRun, true, true},
	UpstreamShed:        {"UpstreamShed", http.StatusServiceUnavailable, NotRun, true, true},
	UpstreamFailed:      {"UpstreamFailed", http.StatusBadGateway, HasRun, true, false},
	UpstreamLost:        {"UpstreamLost", http.StatusBadGateway, RanUnknown, true, false},
	HostLost:            {"HostLost", http.StatusBadGateway, RanUnknown, true, false},
	SnapshotGone:        {"SnapshotGone", http.StatusServiceUnavailable, NotRun, true, true},
	ReachNotMet:         {"ReachNotMet", http.StatusServiceUnavailable, HasRun, true, false},
	Quarantined:         {"Quarantined", http.StatusUnprocessableEntity, NotRun, false, true},
	OutcomeUnknown:      {"OutcomeUnknown", http.StatusGatewayTimeout, RanUnknown, false, false},
	KeyOutOfWindow:      {"KeyOutOfWindow", http.StatusServiceUnavailable, NotRun, true, true},
	Conflict:            {"Conflict", http.StatusConflict, NotRun, true, false},
	PlatformUnavailable: {"PlatformUnavailable", http.StatusServiceUnavailable, NotRun, true, true},
	Cancelled:           {"Cancelled", 499, RanUnknown, true, false},
	Internal:            {"Internal", http.StatusInternalServerError, RanUnknown, false, false},
}

// AnswerTo returns the table row for a kind; for an unknown kind, that of Internal.
func AnswerTo(k Kind) Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// Kinds returns all kinds in order, for documentation and tests.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// String returns the kind's name.
func (k Kind) String() string { return AnswerTo(k).Name }

// String returns "not run", "run" or "unknown".
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case HasRun:
		return "run"
	default:
		return "unknown"
	}
}

// Error is a refusal or failure with its kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Errorf returns an Error of the kind with a formatted detail.
func Errorf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Error returns "kind: detail".
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Detail }
