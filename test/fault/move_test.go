package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
)

// shortStandTime sets the time that a primary stays in place before it may move to a larger region to seconds instead
// of an hour.
func shortStandTime(o *launch.Options) {
	o.Settings = func(_ string, s map[string]any) { s["placement"] = map[string]any{"stand": "2s"} }
}

// countMoves returns the number of moves with this result. Moves counted by daemons that were killed are missing.
func (c *cluster) countMoves(result string) float64 {
	n := 0.0
	for _, vm := range c.vmsExcept() {
		n += c.metricSum(vm, "sycamorehub_primary_moves_total", `result="`+result+`"`)
	}
	return n
}

// TestPrimaryMovesToLargerRegion covers the move of a primary that is alone in its region. It guards against a request
// that the move cuts off or refuses, a session that misses its own write after the move, and a second move.
func TestPrimaryMovesToLargerRegion(t *testing.T) {
	for name, inTransactions := range map[string]bool{"single units": false, "transactions": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startService(t, 2, shortStandTime)
			old, _ := c.primary()
			sessions := c.startSessions(seedOr(1), c.vmsExcept(), inTransactions)
			eventually(t, func() bool { m, _ := c.primary(); return m.Name != "" && m.Region != old.Region },
				primaryChangeBound, 5*time.Millisecond, "the primary did not move away from region %s", old.Region)
			c.awaitSessionsServed(sessions, "after the move")
			time.Sleep(3 * time.Second) // longer than the stand time, so that a second move would be seen
			sessions.end()
			c.verifySessions(sessions, sessionFailure{servesAllReads: true})
			for _, s := range sessions.loops {
				for _, o := range s.orders {
					requireSucceeded(t, o.err, nil, o.id)
				}
			}
			require.EqualValues(timingChecks(t), 1, c.countMoves("done")) // after another change of primary a second move is allowed
		})
	}
}
