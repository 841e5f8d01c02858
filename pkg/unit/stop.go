package unit

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// StopError is the cause with which a stopping VM cancels the contexts of units.
type StopError struct {
	// AnswerBefore is the time at which the caller must have its answer, even if the outcome of the unit is not known.
	AnswerBefore time.Time
}

// Error implements error.
func (*StopError) Error() string { return "the VM is stopping" }

// OutcomeWait returns how long to wait for the outcome of a unit whose context has ended: limit, or less if the VM stops
// earlier.
func OutcomeWait(ctx context.Context, limit time.Duration) time.Duration {
	var stop *StopError
	if !errors.As(context.Cause(ctx), &stop) {
		return limit
	}
	return max(min(limit, time.Until(stop.AnswerBefore)), 0)
}

// CancelledByStop returns the error of a unit that the stopping VM has cancelled. Its kind says what is known of the unit's
// outcome, in place of the kind for a request that its caller has cancelled.
func CancelledByStop(vm string, u *Unit, res Result) error {
	kind := errkind.ReadFailed
	switch {
	case res.Outcome == errkind.OutcomeNotRun:
		kind = errkind.Draining
	case u.Write:
		kind = errkind.RequestOutcomeUnknown
	}
	return errkind.Wrap(kind, res.Err, "entry VM %s is stopping", vm)
}
