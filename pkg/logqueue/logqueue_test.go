package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// Guards against requests that wait for the reader of the log, against a queue without bound, and against lines that are
// dropped without a trace.
func TestWriterDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{open: make(chan struct{})}
		w := New(out)
		const extra = 10
		for i := range capacity + extra {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
			synctest.Wait()
		}
		require.EqualValues(t, extra-1, w.Stats().Rejected, "one line is being written")
		close(out.open)
		synctest.Wait()
		_, _ = fmt.Fprintln(w, "later")
		w.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Equal(t, "line 0", lines[0])
		require.Contains(t, out.String(), fmt.Sprintf(`"lines":%d`, extra-1))
		require.Equal(t, "later", lines[len(lines)-1])
	})
}

// Guards against a process that does not end since nobody reads its log.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{open: make(chan struct{})}
		w := New(out)
		_, _ = fmt.Fprintln(w, "line")
		w.Close()
		close(out.open)
	})
}
