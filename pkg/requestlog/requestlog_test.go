package requestlog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// A flood of refusals must be logged in a bounded number of lines that still account for each of them, and the latest requests
// must be found by their id. The load is that of one VM on a day on which 7,363 lines were written by eight VMs in 12 s.
func TestFloodIsLoggedInBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, lines := test.NewNullLogger()
		l := New(out)
		refused := errkind.New(errkind.Overload, "the target cannot be met")
		const seconds, perSecond = 12, 500
		for i := range seconds * perSecond {
			l.Add(Entry{Time: time.Now(), Request: fmt.Sprint("r", i), Database: "db", Service: "svc", Err: refused})
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(2 * sumInterval)
		single, summed := 0, 0
		for _, line := range lines.AllEntries() {
			if n, ok := line.Data["failed_overload"].(int); ok {
				summed += n
				continue
			}
			require.Contains(t, line.Data["error"], "the target cannot be met")
			single++
		}
		require.Equal(t, seconds*perSecond, single+summed)
		require.LessOrEqual(t, single, burstLines+seconds*linesPerSecond+1)
		require.LessOrEqual(t, len(lines.AllEntries())-single, seconds+1)

		require.Len(t, l.Find("r5999"), 1)
		require.Len(t, l.Find("R4000"), 1, "ids are compared without case")
		require.Empty(t, l.Find("r100"), "only the latest are kept")
		all := l.Find("")
		require.Len(t, all, capacity)
		require.Equal(t, "r5999", all[capacity-1].Request, "the oldest comes first")
	})
}

// Single failures must be logged one by one, each with what explains it.
func TestSingleFailuresAreLogged(t *testing.T) {
	out, lines := test.NewNullLogger()
	l := New(out)
	l.Add(Entry{Time: time.Now(), Request: "r1", Database: "db", Service: "svc", Class: "orders", State: "I", Took: 40 * time.Millisecond,
		Err: errkind.New(errkind.NoPrimary, "no primary")})
	l.Add(Entry{Time: time.Now(), Database: "db", Err: errkind.New(errkind.UnknownService, "no route")})
	require.Len(t, lines.AllEntries(), 2)
	require.Equal(t, "statement failed", lines.AllEntries()[0].Message)
	require.Equal(t, "not run", lines.AllEntries()[0].Data["outcome"])
	require.Equal(t, "session of a caller refused", lines.AllEntries()[1].Message)
}
