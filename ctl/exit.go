package ctl

import (
	"errors"
	"fmt"

	"github.com/samphirebeam/samphirebeam/core"
)

// ExitCode is the exit code of the client's process.
type ExitCode int

// The exit codes, listed in the help text of the root command.
const (
	// ExitOK: done, and with --wait in force on every live host.
	ExitOK ExitCode = 0
	// ExitUsage: the command line or a file is wrong; nothing was sent.
	ExitUsage ExitCode = 1
	// ExitRefused: refused, nothing was changed or run.
	ExitRefused ExitCode = 2
	// ExitConflict: refused because another operator changed the object.
	ExitConflict ExitCode = 3
	// ExitPartiallyAccepted: some objects were accepted and some refused.
	ExitPartiallyAccepted ExitCode = 4
	// ExitUnavailable: no host answered, or the platform is unavailable; the
	// request was certainly neither accepted nor run.
	ExitUnavailable ExitCode = 5
	// ExitUnknown: the request may have been accepted or run; send it again
	// with the same operation id.
	ExitUnknown ExitCode = 6
	// ExitNotInForce: accepted, but not in force on every host before the wait
	// timed out.
	ExitNotInForce ExitCode = 7
	// ExitFailed: the query ran and failed.
	ExitFailed ExitCode = 8
	// ExitBelowReach: the query's coverage is below its scope's declared reach.
	ExitBelowReach ExitCode = 9
)

// exitError is an error with an exit code. Its text is empty if the command has
// already printed the reason.
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

// exitCodeForKind returns the exit code for an error kind of the operator API
// or the caller API.
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
