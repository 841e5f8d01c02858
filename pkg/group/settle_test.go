package group

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// settlingControl counts the calls that settle earlier requests to promote.
type settlingControl struct {
	overridingControl
	open    atomic.Bool
	primary atomic.Value // that the last call named
	calls   atomic.Int32
}

func (c *settlingControl) UnsettledPromotions(string) bool { return c.open.Load() }

func (c *settlingControl) SettlePromotions(_ context.Context, primary platform.Member, _ platform.Term) error {
	c.primary.Store(primary.Name)
	if c.calls.Add(1) == 1 {
		return platform.ErrOutcomeUnknown
	}
	c.open.Store(false)
	return nil
}

// A request to promote that was given up must not take effect once the service has a primary: it is settled, again if that gets no
// answer. While there is no primary, or another VM may just have promoted it, it is left alone.
func TestRequestsThatWereGivenUpAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		for _, m := range f.members {
			m.info.SyncReplicas = 1
		}
		c := &settlingControl{overridingControl: overridingControl{fakeControl{f, "w0"}}}
		f.promoterOf(t, f.service(), Options{Control: c})
		time.Sleep(time.Second)
		c.open.Store(true)
		time.Sleep(time.Second)
		require.Zero(t, c.calls.Load(), "the primary has only just appeared")
		time.Sleep(otherPromoterTurn)
		require.EqualValues(t, 2, c.calls.Load())
		require.Equal(t, "m0", c.primary.Load())

		f.update(func() {
			f.onPromote = func(string) { c.open.Store(true) }
			f.member("m0").down = true
		})
		time.Sleep(detectionTime + 2*takeoverTime)
		require.Equal(t, f.history()[2], c.primary.Load(), "this VM has promoted the primary itself")
		require.EqualValues(t, 3, c.calls.Load())
	})
}
