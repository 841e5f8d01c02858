package claim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A fence token whose request may still take effect must name no other member, until the promotion service has seen a higher one.
func TestTokenNamesOneMember(t *testing.T) {
	var o Orders
	first := o.Send("s", 7, "a")
	again := o.Send("s", 7, "a")
	require.True(t, o.MayName("s", 7, "a"))
	require.False(t, o.MayName("s", 7, "b"))
	require.True(t, o.MayName("s", 8, "b"))
	require.False(t, o.MayName("s", 6, "b"), "the request with the higher token would undo it")
	require.True(t, o.MayName("other", 7, "b"))
	again(true)
	require.False(t, o.MayName("s", 7, "b"), "the first request has no answer")
	first(false)
	require.False(t, o.MayName("s", 7, "b"), "the first request was given up")
	require.Equal(t, 1, o.Open("s"))

	o.Passed("s", 7)
	require.Equal(t, 1, o.Open("s"), "an equal token is not refused")
	o.Passed("s", 8)
	require.Zero(t, o.Open("s"))
	first(true)

	o.Send("s", 9, "a")(true)
	require.True(t, o.MayName("s", 9, "b"), "every request has been answered")
}
