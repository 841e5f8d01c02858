package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new work between a pause and the end of the refresh that follows it, against a process that takes no
// work any more when a refresh cannot succeed, and against refreshes without a pause.
func TestGuard(t *testing.T) {
	for _, refreshTime := range []time.Duration{50 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			refreshes := 0
			g := New(func(ctx context.Context) {
				refreshes++
				select {
				case <-ctx.Done():
				case <-time.After(refreshTime):
				}
			})
			require.NoError(t, g.Start(t.Context()))
			time.Sleep(time.Minute + checkInterval/2) // between two checks
			require.True(t, g.UpToDate())
			require.Zero(t, refreshes)

			g.lastCheck.Add(-int64(time.Second)) // as after a pause
			require.False(t, g.UpToDate())
			time.Sleep(checkInterval/2 + min(refreshTime, refreshTimeout) - time.Millisecond)
			require.False(t, g.UpToDate())
			time.Sleep(checkInterval)
			require.True(t, g.UpToDate())
			require.Equal(t, 1, refreshes)

			require.NoError(t, g.Stop(t.Context()))
			time.Sleep(time.Minute)
			require.True(t, g.UpToDate())
		})
	}
}
