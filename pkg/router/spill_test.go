package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// overloadedRegion is a service whose members in the caller's region refuse every read for overload, while the member
// in the other region serves as many reads per 100 ms as the test sets in freeSlots.
type overloadedRegion struct {
	fakeCluster
	freeSlots        int
	requests, served int // reads sent to the other region, and those served there
}

func (f *overloadedRegion) Execute(_ context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	if u.Member != "m-far" {
		return overloadRefusal
	}
	f.requests++
	if f.freeSlots == 0 {
		return overloadRefusal
	}
	f.freeSlots--
	f.served++
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
}

// In a burst of one region, reads must not be refused while members in another region have free slots. The link between
// the regions must not be overloaded with reads that are refused there too. The load is the burst of kasica-prod
// scale-2: for 6 s, 300 reads a second more than the region can serve. The other region can serve 30 of them a second.
func TestSpillInBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readsPerTick, burst, slotsPerTick = 30, 6 * time.Second, 3
		f := &overloadedRegion{}
		r := New(Options{Directory: f, Membership: f, Views: f, Local: f, Budget: f})
		for begin := time.Now(); time.Since(begin) < burst; time.Sleep(spilloverPause) {
			f.freeSlots = slotsPerTick
			for range readsPerTick {
				u := unit.Unit{Service: "s", Class: "batch", Target: time.Second}
				_ = r.Execute(t.Context(), &u, nil)
			}
		}
		ticks := int(burst / spilloverPause)
		require.Equal(t, slotsPerTick*ticks, f.served, "every free slot in the other region is used")
		require.LessOrEqual(t, f.requests, f.served+ticks, "at most one refusal per spilloverPause")
	})
}

// When a member refuses batch reads, urgent reads must still be sent to it.
func TestSpillByClass(t *testing.T) {
	var s spillover
	now := time.Now()
	s.recordRefusal("m", "batch", now)
	require.False(t, s.mayAsk("m", "batch", now.Add(spilloverPause-1)))
	require.True(t, s.mayAsk("m", "urgent", now))
	require.True(t, s.mayAsk("n", "batch", now))
	require.True(t, s.mayAsk("m", "batch", now.Add(spilloverPause)))
	require.Empty(t, s.refused)
}
