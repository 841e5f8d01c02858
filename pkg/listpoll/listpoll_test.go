package listpoll

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// countReads returns how often a poller reads within span of virtual time, while concurrently runs in a goroutine.
func countReads(t *testing.T, reader bool, readErr error, span time.Duration, concurrently func(*Poller)) int64 {
	var n atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		p := New(func(context.Context) error { n.Add(1); return readErr }, func() bool { return reader })
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		if concurrently != nil {
			go concurrently(p)
		}
		p.Run(ctx)
		require.Equal(t, readErr == nil, p.HasRead())
	})
	return n.Load()
}

// All VMs together must not read the lists more often than the platform allows. Readers must read often enough for the
// limit of 3 s, after which a VM or member that is leaving gets no new work.
func TestIntervals(t *testing.T) {
	const span = 10 * time.Minute
	require.InDelta(t, span/ReaderInterval, countReads(t, true, nil, span, nil), 60)
	require.InDelta(t, span/NonReaderInterval, countReads(t, false, nil, span, nil), 12)
	require.InDelta(t, span/initialInterval, countReads(t, true, errors.New("down"), span, nil), 60)
}

// After RequestRead a VM must read the lists soon, even if it otherwise reads seldom. Many requests in a row, as when
// two VMs get different content, must not cause a read each.
func TestNudge(t *testing.T) {
	count := countReads(t, false, nil, 5*time.Second, func(p *Poller) {
		for range 400 {
			p.RequestRead()
			time.Sleep(10 * time.Millisecond)
		}
	})
	require.GreaterOrEqual(t, count, int64(5))
	require.LessOrEqual(t, count, int64(11))
}
