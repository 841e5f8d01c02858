package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGuard guards against new work between a pause and the end of the read that follows it, against a process that
// never goes on when nothing can be read, and against reads without a pause.
func TestGuard(t *testing.T) {
	for _, takes := range []time.Duration{50 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			reads := 0
			g := New(func(ctx context.Context) {
				reads++
				select {
				case <-ctx.Done():
				case <-time.After(takes):
				}
			})
			require.NoError(t, g.Start(t.Context()))
			time.Sleep(time.Minute + tick/2) // between two ticks
			require.True(t, g.UpToDate())
			require.Zero(t, reads)

			g.last.Add(-int64(time.Second)) // as after a pause
			require.False(t, g.UpToDate())
			time.Sleep(tick/2 + min(takes, patience) - time.Millisecond)
			require.False(t, g.UpToDate())
			time.Sleep(tick)
			require.True(t, g.UpToDate())
			require.Equal(t, 1, reads)

			require.NoError(t, g.Stop(t.Context()))
			time.Sleep(time.Minute)
			require.True(t, g.UpToDate())
		})
	}
}
