package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output whose Write blocks until the channel open is closed.
type blockedOutput struct {
	open chan struct{}
	bytes.Buffer
}

func (output *blockedOutput) Write(p []byte) (int, error) {
	<-output.open
	return output.Buffer.Write(p)
}

// Requests must not wait for the reader of the log. The queue must be bounded, and lines that are dropped must be
// counted.
func TestWriterDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{open: make(chan struct{})}
		writer := New(out)
		const excess = 10
		for i := range maxQueuedLines + excess {
			_, _ = fmt.Fprintf(writer, "line %d\n", i)
			synctest.Wait()
		}
		require.EqualValues(t, excess-1, writer.Stats().Rejected, "one line is being written and leaves room for one more")
		close(out.open)
		synctest.Wait()
		_, _ = fmt.Fprintln(writer, "later")
		writer.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Equal(t, "line 0", lines[0])
		require.Contains(t, out.String(), fmt.Sprintf(`"lines":%d`, excess-1))
		require.Equal(t, "later", lines[len(lines)-1])
	})
}

// Guards against a process that cannot end because nobody reads its log.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{open: make(chan struct{})}
		writer := New(out)
		_, _ = fmt.Fprintln(writer, "line")
		writer.Close()
		close(out.open)
	})
}
