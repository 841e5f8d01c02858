package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Retries must not multiply an overload, and a class must not use up the budget of another.
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
	require.InDelta(t, maxTokens+1000*retryRatio, allowed, 2)
	require.True(t, b.Allow("b"))
}

// The delay must grow with the attempts and must be limited. The router stops waiting at the request's deadline.
func TestDelay(t *testing.T) {
	require.Equal(t, baseDelay, Delay(0))
	for attempt := 1; attempt < 100; attempt++ {
		require.Equal(t, min(2*Delay(attempt-1), maxDelay), Delay(attempt))
	}
}
