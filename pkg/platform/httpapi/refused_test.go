package httpapi

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection that the network reset must not be taken for one that was refused because the process does not run.
func TestRefused(t *testing.T) {
	require.True(t, connectionRefused(syscall.ECONNREFUSED, time.Minute))
	for _, err := range []error{syscall.ECONNRESET, io.EOF} {
		require.True(t, connectionRefused(err, 0))
		require.False(t, connectionRefused(err, quickCloseLimit))
	}
	require.False(t, connectionRefused(context.DeadlineExceeded, 0))
}
