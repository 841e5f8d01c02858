package httpapi

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefused guards against a connection that the network reset being taken for one to a killed process.
func TestRefused(t *testing.T) {
	require.True(t, connectionRefused(syscall.ECONNREFUSED, time.Minute))
	for _, err := range []error{syscall.ECONNRESET, io.EOF} {
		require.True(t, connectionRefused(err, 0))
		require.False(t, connectionRefused(err, quickCloseLimit))
	}
	require.False(t, connectionRefused(context.DeadlineExceeded, 0))
}
