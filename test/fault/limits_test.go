package fault

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// openIdleTransactions opens idle transactions on the primary, through the VMs in turn, until one is refused or there
// are as many as the primary has connections. It returns the reason of the refusal.
func (c *cluster) openIdleTransactions(primary platform.Member, vms []string) (open []*pgx.Conn, refusal error) {
	c.t.Helper()
	for i := 0; i < primary.Connections; i++ {
		conn := c.mustConnect(vms[i%len(vms)], "order", nil)
		ctx, cancel := callContext(livenessTimeout)
		err := execAll(ctx, conn, "BEGIN", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('held/%d', 'plate')", i))
		cancel()
		if err != nil {
			refusal = err
			break
		}
		open = append(open, conn)
	}
	require.GreaterOrEqual(c.t, len(open), primary.Connections/2, "fewer idle transactions fit than half of the connections")
	return open, refusal
}

// TestConnectionLimitWithTwoOwners covers a planned stop that moves ownership: the owner of the primary stops while
// callers of other entry VMs hold as many idle transactions on it as fit, so that two owners share the member's
// connections. Single writes go on at the new owner with the remaining connections, no request fails because of the
// member's limit, and all transactions commit on the old owner.
func TestConnectionLimitWithTwoOwners(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	primary, _ := c.primary()
	oldOwner := c.ownerOf(primary)
	c.awaitOwner(primary, oldOwner)
	vms := c.vmsExcept(oldOwner)
	open, _ := c.openIdleTransactions(primary, vms)
	writers := c.startWritersOf("record", vms)
	eventually(t, allWrittenSince(writers, time.Now()), 10*time.Second, 10*time.Millisecond)

	oldDaemon := c.Daemon(oldOwner)
	require.NoError(t, oldDaemon.Terminate())
	stoppedAt := time.Now()
	for i := range 4 {
		eventually(t, allWrittenSince(writers, stoppedAt.Add(time.Duration(i)*time.Second)), recordDeadline, 10*time.Millisecond,
			"a writer had no write acknowledged while two owners shared the connections")
	}
	counters := c.memberCounters(primary)
	for i, conn := range open {
		ctx, cancel := callContext(livenessTimeout)
		require.NoError(t, execAll(ctx, conn, "COMMIT"), "idle transaction %d did not commit", i)
		cancel()
	}
	c.requireGracefulExit(oldDaemon, stoppedAt)
	allOrders := stopWriters(writers)
	refusedEarly := 0
	for _, o := range allOrders {
		if sqlState(o.err) == "53400" { // codeOverload: refused early on a busy machine, which does not concern connections
			refusedEarly++
			continue
		}
		requireSucceeded(t, o.err, nil, o.id)
	}
	c.checkLedger(allOrders)
	rows := c.storedKeys()
	for i := range open {
		require.True(t, rows[fmt.Sprintf("held/%d", i)], "idle transaction %d was committed and is lost", i)
	}
	require.LessOrEqual(t, counters.Peak, primary.Connections)
	t.Logf("%d idle transactions on the old owner; peak of %d connections, %d refused by the member, %d requests refused early",
		len(open), counters.Peak, counters.Refused, refusedEarly)
}

// allWrittenSince returns a condition: each writer has had a write acknowledged after t.
func allWrittenSince(writers []*writer, t time.Time) func() bool {
	return func() bool {
		for _, w := range writers {
			if w.countAcknowledgedSince(t) == 0 {
				return false
			}
		}
		return true
	}
}
