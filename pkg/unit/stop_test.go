package unit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A wait for the outcome of a cancelled unit must end before its VM stops, and must not be cut short for other reasons.
func TestOutcomeWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		unitCtx, cancelUnit := context.WithTimeout(ctx, time.Minute)
		defer cancelUnit()
		require.Equal(t, time.Second, OutcomeWait(unitCtx, time.Second))
		cancel(&StopError{AnswerBefore: time.Now().Add(300 * time.Millisecond)})
		require.Equal(t, 300*time.Millisecond, OutcomeWait(unitCtx, time.Second))
		require.Equal(t, 100*time.Millisecond, OutcomeWait(unitCtx, 100*time.Millisecond))
		time.Sleep(time.Second)
		require.Zero(t, OutcomeWait(unitCtx, time.Second))
	})
}
