package unit

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	// answerReserve is the time before the end of a stop at which units in progress are cancelled, so that their callers are
	// still told what is known of the outcome.
	answerReserve = 500 * time.Millisecond
	// answerReserveDivisor bounds answerReserve to a part of a short stop.
	answerReserveDivisor = 3
	// writeReserve is the part of answerReserve in which answers are written.
	writeReserve = 200 * time.Millisecond
)

// CancelTime returns the time at which units in progress are cancelled in a stop that begins at start and has until end.
func CancelTime(start, end time.Time) time.Time {
	return end.Add(-min(answerReserve, end.Sub(start)/answerReserveDivisor))
}

// UntilCancel returns a channel that receives at the CancelTime of a stop that begins now and ends with ctx. It is nil if ctx
// has no deadline.
func UntilCancel(ctx context.Context) <-chan time.Time {
	end, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	return time.After(time.Until(CancelTime(time.Now(), end)))
}

// StopError is the cause with which a stopping VM cancels the contexts of units.
type StopError struct {
	// AnswerBefore is the time at which the caller must have its answer, even if the outcome of the unit is not known.
	AnswerBefore time.Time
}

// NewStopError returns the cause for a stop that ends at the given time.
func NewStopError(end time.Time) *StopError { return &StopError{AnswerBefore: end.Add(-writeReserve)} }

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
