package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An attempt of another VM must be left to it while it may still take effect, and no longer: its VM may have ended.
func TestAttemptOfAnotherVM(t *testing.T) {
	now := time.Now()
	b := NewBook("b")
	require.Zero(t, b.Expected("s"))
	require.True(t, b.Found("s", 7, Claim{"a", 3}, 3, now), "the holder replaces the same primary")
	require.EqualValues(t, 7, b.Expected("s"))
	require.True(t, b.Defers("s", 3, now.Add(Window-1)))
	require.False(t, b.Defers("s", 4, now), "the attempt of the holder has ended: a later primary is lost")
	require.False(t, b.Defers("s", 3, now.Add(Window)))
	require.False(t, b.Found("s", 8, Claim{"a", 3}, 3, now.Add(Window)), "the holder has claimed again, and promoted nobody")
	require.True(t, b.Found("s", 9, Claim{"c", 3}, 3, now.Add(Window)), "another holder")
	require.True(t, b.Found("s", 10, Claim{"a", 4}, 3, now.Add(2*Window)), "the holder knows of a later primary")
	require.False(t, b.Found("s", 10, Claim{"a", 4}, 5, now.Add(2*Window)))
}

// A claim of this VM must not count once another VM has claimed, nor when the others no longer leave the attempt to it: a VM that
// was frozen would act on what it saw before.
func TestOwnClaim(t *testing.T) {
	now := time.Now()
	b := NewBook("b")
	version, holds, _ := b.Own("s", 3, now)
	require.Zero(t, version)
	require.False(t, holds)
	b.Made("s", 7, 3, now, now)
	version, holds, settled := b.Own("s", 3, now.Add(Window-1))
	require.EqualValues(t, 7, version)
	require.True(t, holds)
	require.Equal(t, now, settled)
	version, _, _ = b.Own("s", 4, now)
	require.Zero(t, version, "the claim is that of an earlier primary")
	_, holds, _ = b.Own("s", 3, now.Add(Window))
	require.False(t, holds)
	require.False(t, b.Found("s", 8, Claim{"b", 3}, 3, now), "a claim of this VM whose answer was lost")
	_, holds, _ = b.Own("s", 3, now)
	require.False(t, holds)
}

// A further claim of the same VM for the same primary must not hold as long as the first one, which alone the others leave to it.
// A claim over that of another VM must not be acted on while a request of that VM may still be on its way.
func TestFurtherClaims(t *testing.T) {
	now := time.Now()
	b := NewBook("b")
	b.Made("s", 7, 3, now, now)
	b.Made("s", 8, 3, now, now)
	_, holds, _ := b.Own("s", 3, now.Add(Settle-1))
	require.True(t, holds)
	_, holds, _ = b.Own("s", 3, now.Add(Settle))
	require.False(t, holds)
	require.True(t, b.Found("s", 9, Claim{"a", 3}, 3, now))
	now = now.Add(Window)
	b.Made("s", 10, 3, now, now)
	_, holds, settled := b.Own("s", 3, now.Add(Settle))
	require.False(t, holds, "another VM may have claimed again")
	require.Equal(t, now.Add(Settle), settled)
	b.Made("s", 11, 3, now, now)
	_, holds, settled = b.Own("s", 3, now)
	require.True(t, holds)
	require.Equal(t, now, settled)
}
