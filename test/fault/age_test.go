package fault

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
)

// counterRow is a row whose value a writer increments. It records when each value was acknowledged.
type counterRow struct {
	sessionID string // session name of the writer, "" for none
	mu        sync.Mutex
	ackedAt   []time.Time // indexed by value
}

// write increments the row through the entry VM until stop is closed. A value that is not acknowledged is written
// again.
func (r *counterRow) write(c *cluster, vm string, stop <-chan struct{}) {
	writer := &callerSession{cluster: c, vm: vm, sessionID: r.sessionID}
	defer writer.close()
	n := 0
	repeatUntil(requestPause, stop, func() {
		_, err := writer.run("order", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('counter', '%d') "+
			"ON CONFLICT (key) DO UPDATE SET value = excluded.value", n), callTimeout)
		if err == nil {
			r.mu.Lock()
			r.ackedAt = append(r.ackedAt, time.Now())
			r.mu.Unlock()
			n++
		}
	})
}

// newestAckedBefore returns the newest value that was acknowledged before the time, or -1 if there is none.
func (r *counterRow) newestAckedBefore(at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.ackedAt) - 1
	for n >= 0 && !r.ackedAt[n].Before(at) {
		n--
	}
	return n
}

// TestCutOffDataCentreServesNoOlderDataThanStated covers the maximum age of reads while the primary is cut off and
// while replicas lag. A data centre is cut off and writes go on elsewhere: there a read class with a maximum age serves
// what is young enough and refuses the rest with 40001, whether the data centre holds a replica, a lagging replica or
// the old primary.
func TestCutOffDataCentreServesNoOlderDataThanStated(t *testing.T) {
	for _, role := range []string{"replica", "lagging replica", "old primary"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			c := start(t, nil)
			primary, _ := c.primary()
			isolated, outside := c.replicas(primary)[0], c.replicas(primary)[1]
			if role == "old primary" {
				isolated = primary
			}
			if role == "lagging replica" {
				c.setMemberFaults(isolated, emember.Faults{Lag: threeSecondLag.Lag})
			}
			row := &counterRow{}
			run, end := c.startBackground()
			run(func(stop <-chan struct{}) { row.write(c, c.vmIn(outside.DataCentre), stop) })
			eventually(t, func() bool { return row.newestAckedBefore(time.Now()) > 50 }, primaryChangeBound, time.Millisecond)

			reader := &ageReader{callerSession: callerSession{cluster: c, vm: c.vmIn(isolated.DataCentre)}, row: row}
			defer reader.close()
			eventually(t, func() bool { return reader.read(t) == nil }, primaryChangeBound, time.Millisecond)
			c.network.Isolate(isolated.DataCentre)
			isolatedAt, served, refused := time.Now(), 0, 0
			for time.Since(isolatedAt) < lookupMaxAge+2*time.Second {
				if reader.read(t) == nil {
					served++
				} else {
					refused++
				}
				time.Sleep(reconnectDelay)
			}
			require.Positive(t, served, "the cut-off data centre served nothing, not even data within the maximum age")
			require.Positive(t, refused, "the cut-off data centre served data older than the maximum age")
			c.network.Rejoin(isolated.DataCentre)
			eventually(t, func() bool { return reader.read(t) == nil }, primaryChangeBound, 10*time.Millisecond)
			end()
			t.Logf("%d reads served, %d refused while the data centre was cut off", served, refused)
		})
	}
}

// ageReader reads the counter in the class lookup. It sends no token, so that only the maximum age of the class limits
// what it may be served.
type ageReader struct {
	callerSession
	row *counterRow
}

// read reads the counter once, and fails the test if the value is older than the class accepts. It returns an error if
// the read was refused.
func (r *ageReader) read(t *testing.T) error {
	t.Helper()
	begin := time.Now()
	value, member, err := r.callerSession.read("lookup", "counter")
	if err != nil {
		require.True(t, readRefused(err), "a read was neither served nor refused with 40001 or 57P03: %v", err)
		return err
	}
	got := -1
	if value != "" {
		got, err = strconv.Atoi(value)
		require.NoError(t, err)
	}
	oldestAllowed := r.row.newestAckedBefore(begin.Add(-lookupMaxAge))
	require.GreaterOrEqual(t, got, oldestAllowed, "%s served data older than %v", member, lookupMaxAge)
	return nil
}
