package frontend

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// chunkedAnswer answers each unit with the first bytes of an answer, in chunks as they arrive from another VM, and then
// fails if some of it is missing.
type chunkedAnswer struct {
	answer            []byte
	sent, chunkLength int
}

func (e chunkedAnswer) Execute(ctx context.Context, _ *unit.Unit, sink unit.Sink) unit.Result {
	for rest := e.answer[:e.sent]; len(rest) > 0; {
		n := min(e.chunkLength, len(rest))
		if err := sink.Write(ctx, rest[:n]); err != nil {
			return unit.Failed(err)
		}
		rest = rest[n:]
	}
	if e.sent < len(e.answer) {
		return unit.Failed(errkind.New(errkind.ReadFailed, "connection to entry VM was lost"))
	}
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
}

func (chunkedAnswer) Rollback(unit.TxRef) {}

// rowsOf returns an answer of rows with the given sizes.
func rowsOf(sizes ...int) []byte {
	out := appendShowRowDescription(nil, "signature")
	for i, size := range sizes {
		out, _ = (&pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{byte('a' + i%26)}, size)}}).Encode(out)
	}
	return appendCommandComplete(out, "SELECT")
}

// An answer that breaks off within a message must end with an error. A caller whose connection is closed instead does not
// learn that it may repeat the read.
func TestAnswerBreaksOffWithinAMessage(t *testing.T) {
	sizes := make([]int, 100)
	for i := range sizes {
		sizes[i] = 1000
	}
	answer := rowsOf(sizes...)
	for _, sent := range []int{3, 500, 12_345, 16 << 10, 50_500, len(answer) - 1} {
		_, connect := startServer(t, chunkedAnswer{answer, sent, 16 << 10})
		_, err := connect().Exec(t.Context(), "SELECT").ReadAll()
		require.Equal(t, errkind.ReadFailed.SQLState, sqlStateOf(err), "after %d bytes: %v", sent, err)
	}
}

// Answers must arrive complete and in order however their messages are split.
func TestAnswerInChunks(t *testing.T) {
	sizes := []int{0, 1, 10_000, 16_370, 16_384, 40_000, 5, 16_000, 100_000, 7, 8_000, 8_000, 8_000, 33_000, 3}
	answer := rowsOf(sizes...)
	for _, chunkLength := range []int{1, 4, 1000, 8 << 10, 16<<10 - 1, 16 << 10, 17_000, 60_000, len(answer)} {
		t.Run(fmt.Sprint(chunkLength), func(t *testing.T) {
			_, connect := startServer(t, chunkedAnswer{answer, len(answer), chunkLength})
			results, err := connect().Exec(t.Context(), "SELECT").ReadAll()
			require.NoError(t, err)
			require.Len(t, results[0].Rows, len(sizes))
			for i, row := range results[0].Rows {
				require.Equal(t, bytes.Repeat([]byte{byte('a' + i%26)}, sizes[i]), append([]byte{}, row[0]...))
			}
		})
	}
}

// lateAnswer writes the end of an answer after the deadline, whatever the sink returns.
type lateAnswer struct{ unit.Executor }

func (lateAnswer) Execute(ctx context.Context, _ *unit.Unit, sink unit.Sink) unit.Result {
	answer := rowsOf(10_000, 10_000, 10)
	_ = sink.Write(ctx, answer[:9_000])
	<-ctx.Done()
	err := sink.Write(ctx, answer[9_000:20_000])
	_ = sink.Write(ctx, answer[20_000:])
	return unit.Failed(errkind.Wrap(errkind.ReadFailed, err, "answer could not be forwarded"))
}

// A caller whose answer is not complete at the deadline must be told so, and must not get rows with a gap in them.
func TestAnswerIncompleteAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(Options{Executor: lateAnswer{}, Classes: func() ClassTable { return oneClass{} }, Services: anyService{}})
		conn := connectByPipe(t, server)
		results, err := conn.Exec(t.Context(), "SELECT").ReadAll()
		require.Equal(t, errkind.ReadFailed.SQLState, sqlStateOf(err), "%v", err)
		require.Empty(t, results[0].Rows)
		require.NoError(t, conn.Close(t.Context()))
		require.NoError(t, server.Drain(t.Context()))
	})
}
