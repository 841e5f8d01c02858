package errkind

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// An error that is wrapped must keep its kind. Otherwise the outcome "not run" would become "unknown".
func TestKindSurvivesWrapping(t *testing.T) {
	cause := errors.New("connection refused")
	err := fmt.Errorf("route: %w", Wrap(PeerUnreachable, cause, "dial entry VM"))
	require.True(t, Is(err, PeerUnreachable))
	require.ErrorIs(t, err, cause)
	require.Contains(t, err.Error(), PeerUnreachable.Remedy)
}

// Guards against kinds that share a code, or that lack a remedy or an SQLSTATE.
func TestKindsAreComplete(t *testing.T) {
	seenCodes := map[string]bool{}
	for _, kind := range allKinds {
		require.False(t, seenCodes[kind.Code], kind.Code)
		seenCodes[kind.Code] = true
		require.Len(t, kind.SQLState, 5)
		require.NotEmpty(t, kind.Remedy)
		require.Equal(t, kind, ByCode(kind.Code))
	}
}
