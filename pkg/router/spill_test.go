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

// flooded is a service whose members in the caller's region refuse every read for overload, while the one elsewhere takes
// a number of reads per 100 ms.
type flooded struct {
	fakeCluster
	free          int
	asked, served int // elsewhere
}

func (f *flooded) Execute(_ context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	if u.Member != "m-far" {
		return full
	}
	f.asked++
	if f.free == 0 {
		return full
	}
	f.free--
	f.served++
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
}

// Guards against reads that are refused in a burst of one region while members of another have slots free, and against a
// flood that then fills the link between regions with reads which are refused there too. The load is the burst of
// kasica-prod scale-2: 300 reads a second more than the region takes, for 6 s, against 30 that fit elsewhere.
func TestSpillInBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perTick, burst, fits = 30, 6 * time.Second, 3
		f := &flooded{}
		r := New(Options{Directory: f, Membership: f, Views: f, Local: f, Budget: f})
		for begin := time.Now(); time.Since(begin) < burst; time.Sleep(spillPause) {
			f.free = fits
			for range perTick {
				u := unit.Unit{Service: "s", Class: "batch", Target: time.Second}
				_ = r.Execute(t.Context(), &u, nil)
			}
		}
		ticks := int(burst / spillPause)
		require.Equal(t, fits*ticks, f.served, "every free slot is used")
		require.LessOrEqual(t, f.asked, f.served+ticks, "one refusal a pause")
	})
}

// Guards against a refusal of batch reads that keeps urgent ones from another region.
func TestSpillByClass(t *testing.T) {
	var s spill
	now := time.Now()
	s.refuse("m", "batch", now)
	require.False(t, s.allows("m", "batch", now.Add(spillPause-1)))
	require.True(t, s.allows("m", "urgent", now))
	require.True(t, s.allows("n", "batch", now))
	require.True(t, s.allows("m", "batch", now.Add(spillPause)))
	require.Empty(t, s.refused)
}
