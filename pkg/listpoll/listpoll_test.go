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

// reads returns how often a poller reads within d of virtual time; during runs beside it.
func reads(t *testing.T, reader bool, fail error, d time.Duration, during func(*Poller)) int64 {
	var n atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		p := New(func(context.Context) error { n.Add(1); return fail }, func() bool { return reader })
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		if during != nil {
			go during(p)
		}
		p.Run(ctx)
		require.Equal(t, fail == nil, p.Ready())
	})
	return n.Load()
}

// Guards against a fleet that reads the lists more often than the store allows, and against readers that are too slow
// for the 3 s of P7.
func TestIntervals(t *testing.T) {
	const span = 10 * time.Minute
	require.InDelta(t, span/ReaderInterval, reads(t, true, nil, span, nil), 60)
	require.InDelta(t, span/OtherInterval, reads(t, false, nil, span, nil), 12)
	require.InDelta(t, span/startInterval, reads(t, true, errors.New("down"), span, nil), 60)
}

// Guards against a change that a VM which reads seldom sees late, and against a storm of reads while two VMs get
// different content.
func TestNudge(t *testing.T) {
	nudged := reads(t, false, nil, 5*time.Second, func(p *Poller) {
		for range 400 {
			p.RequestRead()
			time.Sleep(10 * time.Millisecond)
		}
	})
	require.GreaterOrEqual(t, nudged, int64(5))
	require.LessOrEqual(t, nudged, int64(11))
}
