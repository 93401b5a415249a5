package ctl

import (
	"errors"
	"fmt"

	"github.com/samphirebeam/samphirebeam/core"
)

// ExitCode is what the client's process ends with.
type ExitCode int

// The exit codes.
const (
	// ExitOK: done, and with --wait in force everywhere.
	ExitOK ExitCode = 0
	// ExitUsage: the command line or a file is wrong; nothing was sent.
	ExitUsage ExitCode = 1
	// ExitRefused: refused, nothing was changed or run.
	ExitRefused ExitCode = 2
	// ExitConflict: refused because another operator changed the object.
	ExitConflict ExitCode = 3
	// ExitPartiallyAccepted: some objects were accepted and some refused.
	ExitPartiallyAccepted ExitCode = 4
	// ExitUnavailable: no host answered, or the platform is away; surely not
	// accepted and not run.
	ExitUnavailable ExitCode = 5
	// ExitUnknown: it may have been accepted or run; send it again under the
	// same operation id.
	ExitUnknown ExitCode = 6
	// ExitNotInForce: accepted, but not in force everywhere within the wait.
	ExitNotInForce ExitCode = 7
	// ExitFailed: the query ran and failed.
	ExitFailed ExitCode = 8
	// ExitBelowReach: the query's answer misses its scope's reach.
	ExitBelowReach ExitCode = 9
)

// exitError is an error with its exit code. An empty text prints nothing: the
// output has said it already.
type exitError struct {
	code ExitCode
	text string
}

func (e *exitError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Sprintf(format, args...)}
}

func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitUsage
}

// codeOfKind is the exit code of a refused change or reading.
func exitCodeForKind(kind string) ExitCode {
	switch kind {
	case core.Conflict.String():
		return ExitConflict
	case core.PlatformUnavailable.String(), core.Stopping.String(), core.Overloaded.String():
		return ExitUnavailable
	case core.OutcomeUnknown.String(), core.Internal.String():
		return ExitUnknown
	default:
		return ExitRefused
	}
}
