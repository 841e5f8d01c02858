package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// After a pause there must be no new work until the refresh that follows has ended. If the refresh cannot succeed, the
// process must still take work again. Without a pause there must be no refresh.
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
