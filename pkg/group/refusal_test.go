package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// A lost member must not count as reachable because the platform has refused to promote it.
func TestRefusedPromotionIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		s, err := f.watcher(t, "w0", RankWatchOnly).service("s")
		require.NoError(t, err)
		time.Sleep(2 * detectionTime)
		f.update(func() { f.members[2].down = true })
		time.Sleep(2 * detectionTime)
		m := s.member("m2")
		_, err = s.call(t.Context(), m, callTimeout, func(context.Context, platform.Member) (platform.Status, error) {
			return platform.Status{}, platform.ErrPromotionRefused
		})
		require.ErrorIs(t, err, platform.ErrFenced)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.False(t, m.reachable())
		require.False(t, m.answeredDirectlyWithin(time.Now(), majorityWindow))
	})
}
