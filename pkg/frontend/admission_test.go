package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Callers must be admitted in order and within the limit. A slot must not be lost when a caller stops waiting or stays
// silent, and a refusal by a full queue must state its kind.
func TestAdmission(t *testing.T) {
	const minHold, maxHold = time.Millisecond, time.Second
	a := newAdmission(1, 2, minHold, maxHold)
	ctx := context.Background()
	done, err := a.acquire(ctx, "vm")
	require.NoError(t, err)

	results := make(chan int, 2)
	cancelledCtx, cancel := context.WithCancel(ctx)
	wait := func(ctx context.Context, i int) {
		before := a.snapshot().Waiting
		go func() {
			done, err := a.acquire(ctx, "vm")
			if err != nil {
				results <- -i
				return
			}
			results <- i
			done()
		}()
		require.Eventually(t, func() bool { return a.snapshot().Waiting == before+1 }, maxHold, minHold)
	}
	wait(cancelledCtx, 1)
	wait(ctx, 2)
	_, err = a.acquire(ctx, "vm")
	require.True(t, errkind.Is(err, errkind.TooManyConnections))
	cancel()
	require.Equal(t, -1, <-results)
	wait(ctx, 3)
	done()
	require.Equal(t, []int{2, 3}, []int{<-results, <-results})
	require.Equal(t, StartupStats{Delayed: 3, Refused: 2}, a.snapshot())

	silent := newAdmission(1, 1, minHold, minHold)
	_, err = silent.acquire(ctx, "vm")
	require.NoError(t, err)
	done, err = silent.acquire(ctx, "vm")
	require.NoError(t, err)
	done()
	require.Eventually(t, func() bool {
		silent.mu.Lock()
		defer silent.mu.Unlock()
		return silent.freeSlots == 1
	}, maxHold, minHold)
}
