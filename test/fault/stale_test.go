package fault

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// lookupMaxAge is the maximum age of the data that the class lookup accepts.
const lookupMaxAge = 5 * time.Second

// writeDirectly inserts rows on a member past the daemons, as units do that were sent before the member was cut off.
func (c *cluster) writeDirectly(m platform.Member, prefix string, n int) {
	c.t.Helper()
	c.withDirectConnection(m, func(ctx context.Context, conn *pgx.Conn) {
		for i := range n {
			_, err := conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, 'lost')", fmt.Sprintf("%s-%d", prefix, i))
			require.NoError(c.t, err)
		}
	})
}

// TestDivergedPrimaryServesNoTokenOfNewTerm covers an old primary that answers again as a replica, and that holds so
// many unacknowledged writes that its position is far above that of the new primary. It must not serve a session with a
// token of the new term. Once the maximum age of a read class has passed, it must not serve that class either. After it
// has discarded the writes it serves again.
func TestDivergedPrimaryServesNoTokenOfNewTerm(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	old, _ := c.primary()
	c.setMemberFaults(old, emember.Faults{ControlOutage: true})
	lostAt := time.Now()
	c.writeDirectly(old, "ghost", 200)
	replicas := c.replicas(old)
	session := &callerSession{cluster: c, vm: c.vmIn(replicas[0].DataCentre)}
	defer session.close()
	var key string
	eventually(t, func() bool {
		key = fmt.Sprintf("new-%d", time.Now().UnixNano())
		return session.insert(key) == nil
	}, primaryChangeBound, 10*time.Millisecond)
	// Its status answers again, and it keeps its unacknowledged writes.
	c.setMemberFaults(old, emember.Faults{PauseReplication: true})
	eventually(t, func() bool {
		status, err := c.status(old)
		return err == nil && status.Role == platform.RoleReplica
	}, primaryChangeBound, 10*time.Millisecond)
	primary, _ := c.primary()
	require.NotEqual(t, old.Name, primary.Name)

	for _, vm := range c.vmsExcept() {
		session.roam(vm)
		for _, class := range []string{"confirm", "lookup"} {
			value, member, err := session.read(class, key)
			require.NoError(t, err, "the read failed although two members cover the token")
			require.Equal(t, "plate", value, "wrong value for a read of class %s through %s, served by %s", class, vm, member)
			require.NotEqual(t, old.Name, member)
			value, _, err = session.read(class, "ghost-199")
			require.NoError(t, err)
			require.Empty(t, value, "an unacknowledged write of a replaced primary is visible in the new term")
		}
	}
	time.Sleep(time.Until(lostAt.Add(lookupMaxAge + time.Second)))
	fresh := &callerSession{cluster: c, vm: c.vmIn(old.DataCentre)}
	defer fresh.close()
	for range 20 {
		value, member, err := fresh.read("lookup", key)
		require.NoError(t, err)
		require.Equal(t, "plate", value, "%s served data older than the class accepts", member)
	}
	c.setMemberFaults(old, emember.Faults{})
	session.roam(c.ownerOf(old)) // other VMs may have a view that is 30 s old and send the reads elsewhere
	eventually(t, func() bool {
		value, member, err := session.read("lookup", key)
		return err == nil && value == "plate" && member == old.Name
	}, primaryChangeBound, 10*time.Millisecond, "the old primary serves no reads after it has discarded its writes")
}

// lostTokenReader reads the newest value of the counter in new connections, which name the session but send no token.
type lostTokenReader struct {
	servedReads  atomic.Int64
	refusedReads atomic.Int64
	violation    atomic.Pointer[string] // the first violation
}

func (r *lostTokenReader) run(c *cluster, vm string, row *counterRow, stop <-chan struct{}) {
	n := 0
	repeatUntil(requestPause, stop, func() {
		n++
		session := &callerSession{cluster: c, vm: vm, sessionID: row.sessionID}
		class, newestAcked := []string{"confirm", "lookup"}[n%2], row.newestAckedBefore(time.Now())
		value, member, err := session.read(class, "counter")
		session.close()
		got, parseErr := strconv.Atoi(value)
		switch {
		case err == nil && parseErr == nil && got >= newestAcked:
			r.servedReads.Add(1)
		case readRefused(err):
			r.refusedReads.Add(1)
		case err == nil || code(err) != "" || !errors.Is(err, context.DeadlineExceeded):
			text := fmt.Sprintf("%s read through %s: %q from %q, not at least %d: %v", class, vm, value, member, newestAcked, err)
			r.violation.CompareAndSwap(nil, &text)
		}
	})
}

// TestLostTokenReadsConfirmedPrimary covers a session that has lost its token but names itself. On all entry VMs it
// reads every acknowledged write or is refused: while no replica applies entries, while the primary is replaced, and in
// a data centre that is cut off together with the old primary.
func TestLostTokenReadsConfirmedPrimary(t *testing.T) {
	for _, isolates := range []bool{true, false} {
		t.Run(map[bool]string{true: "primary cut off", false: "control outage"}[isolates], func(t *testing.T) {
			t.Parallel()
			c := start(t, nil)
			old, _ := c.primary()
			faultReplicas(emember.Faults{PauseApply: true}, 2)(c, old)
			row := &counterRow{sessionID: "crew"}
			run, end := c.startBackground()
			outside := c.replicas(old)[0].DataCentre
			run(func(stop <-chan struct{}) { row.write(c, c.vmIn(outside), stop) })
			eventually(t, func() bool { return row.newestAckedBefore(time.Now()) >= 0 }, primaryChangeBound, time.Millisecond)
			readers := map[string]*lostTokenReader{}
			for _, vm := range c.vmsExcept() {
				readers[vm] = &lostTokenReader{}
				run(func(stop <-chan struct{}) { readers[vm].run(c, vm, row, stop) })
			}
			eachServed := func(count int64, skip string) func() bool {
				before := map[string]int64{}
				for vm, r := range readers {
					before[vm] = r.servedReads.Load()
				}
				return func() bool {
					for vm, r := range readers {
						if v, _ := c.VM(vm); v.DataCentre != skip && r.servedReads.Load() < before[vm]+count {
							return false
						}
					}
					return true
				}
			}
			eventually(t, eachServed(5, ""), primaryChangeBound, 10*time.Millisecond, "reads were not served although the primary is healthy")
			for _, r := range readers {
				require.Zero(timingChecks(t), r.refusedReads.Load(), "reads were refused although the primary is healthy")
			}
			faultReplicas(emember.Faults{}, 2)(c, old)
			skip := ""
			if isolates {
				c.network.Isolate(old.DataCentre)
				skip = old.DataCentre
			} else {
				c.setMemberFaults(old, emember.Faults{ControlOutage: true})
			}
			c.awaitNewPrimary(old)
			eventually(t, eachServed(5, skip), primaryChangeBound, 10*time.Millisecond)
			c.network.Rejoin(old.DataCentre)
			c.setMemberFaults(old, emember.Faults{})
			eventually(t, eachServed(5, ""), primaryChangeBound, 10*time.Millisecond, "reads were not served after all data centres were connected again")
			end()
			for vm, r := range readers {
				require.Nil(t, r.violation.Load(), "wrong read through %s", vm)
				t.Logf("%s: %d reads served, %d refused", vm, r.servedReads.Load(), r.refusedReads.Load())
			}
		})
	}
}
