package ctl

import (
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Exit codes of sycamorehubctl.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitConflict       = 3 // another operator has changed the configuration since the base version
	ExitNotReachable   = 4 // no daemon could be reached; nothing was changed
	ExitTimeout        = 5
	ExitOutcomeUnknown = 6 // a change may or may not have taken effect
)

const exitCodesText = `Exit codes:
   0  done
   1  refused or failed; nothing was changed
   2  wrong usage
   3  conflict: the configuration has been changed by another operator
   4  no daemon could be reached; nothing was changed
   5  timeout
   6  unknown outcome: a change may or may not have taken effect`

// Error is a failure with its exit code and its remedy, which says what the operator can do about it.
type Error struct {
	Exit    int
	Message string
	Remedy  string
	cause   error
}

// Error returns the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "\nremedy: " + e.Remedy
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

func usageError(format string, args ...any) error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...), Remedy: "see `sycamorehubctl help`"}
}

// exitCode returns the exit code for the error that a command returned; nil gives ExitOK.
func exitCode(err error) int {
	var e *Error
	var fromCLI cli.ExitCoder // returned by urfave/cli itself for a wrong command line
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Exit
	case errors.As(err, &fromCLI):
		return ExitUsage
	default:
		return ExitFailure
	}
}

// exitCodeOfRefusal maps the error code of a daemon's refusal to an exit code.
func exitCodeOfRefusal(code string) int {
	switch code {
	case errkind.ConfigConflict.Code:
		return ExitConflict
	case errkind.StoreOutcomeUnknown.Code:
		return ExitOutcomeUnknown
	default:
		return ExitFailure
	}
}
