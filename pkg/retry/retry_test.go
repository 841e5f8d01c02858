package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against retries that multiply an overload, and against one class that spends the budget of another.
func TestBudget(t *testing.T) {
	b := NewBudget()
	allowed := 0
	for range 1000 {
		b.CountRequest("a")
		for range 5 {
			if b.Allow("a") {
				allowed++
			}
		}
	}
	require.InDelta(t, burst+1000*budgetShare, allowed, 2)
	require.True(t, b.Allow("b"))
}

// Guards against a delay that grows without bound, or not at all. The router ends it at the deadline.
func TestDelay(t *testing.T) {
	require.Equal(t, baseDelay, Delay(0))
	for attempt := 1; attempt < 100; attempt++ {
		require.Equal(t, min(2*Delay(attempt-1), maxDelay), Delay(attempt))
	}
}
