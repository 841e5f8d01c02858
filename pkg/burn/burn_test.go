package burn

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

var orderClass = Class{Name: "order", Rank: "urgent", Latency: 100 * time.Millisecond, Reliability: 0.99}

type fakeClock struct{ current time.Time }

func (c *fakeClock) now() time.Time { return c.current }

func newTestRecorder(vm string) (*Recorder, *fakeClock) {
	clock := &fakeClock{current: time.Unix(1_000_000, 0)}
	recorder := NewRecorder(vm, clock.now)
	recorder.Configure([]Class{orderClass})
	return recorder, clock
}

// snapshotViaJSON takes a snapshot and returns it as it arrives after encoding to JSON and decoding.
func snapshotViaJSON(t *testing.T, r *Recorder) *Snapshot {
	snap, err := r.Snapshot()
	require.NoError(t, err)
	data, err := json.Marshal(snap)
	require.NoError(t, err)
	back := &Snapshot{}
	require.NoError(t, json.Unmarshal(data, back))
	return back
}

// When snapshots of several daemons are merged, the shares, burn rates, causes and coverage must be correct.
func TestMerge(t *testing.T) {
	recorderA, clockA := newTestRecorder("a")
	recorderB, clockB := newTestRecorder("b")
	for range 96 {
		recorderA.Record("order", 0, 10*time.Millisecond, true, CauseOther)
	}
	recorderA.Record("order", 0, 200*time.Millisecond, true, CauseQueue) // answered too late
	recorderA.Record("order", 0, time.Millisecond, false, CauseRefused)
	recorderB.Record("order", 0, time.Millisecond, false, CauseFailover)
	recorderB.Record("order", 0, time.Millisecond, false, CauseFailover)
	recorderB.Record("unknown class", 0, time.Millisecond, true, CauseOther)
	clockA.current = clockA.current.Add(150 * time.Second)
	clockB.current = clockA.current
	snapshots := []*Snapshot{snapshotViaJSON(t, recorderA), snapshotViaJSON(t, recorderB)}
	snapshots[0].Ignored, snapshots[1].Ignored = []string{"routes[3]", "routes[1]"}, []string{"routes[1]"}
	report := Merge(clockA.current, snapshots, []string{"c"})
	require.Equal(t, []string{"routes[1]", "routes[3]"}, report.Ignored, "what is not counted must be said once")

	require.Equal(t, []string{"a", "b"}, report.Answered)
	require.Equal(t, []string{"c"}, report.Missing)
	require.InDelta(t, 2.0/3/2, report.Windows[0].Covered, 1e-9, "two of three daemons answered, and each has counts for half of the window")
	class := report.Windows[0].Classes[0]
	require.EqualValues(t, 100, class.Total)
	require.InDelta(t, 0.96, class.Share, 1e-9)
	require.InDelta(t, 4, class.BurnRate, 1e-9)
	require.InDelta(t, -3, class.BudgetLeft, 1e-9)
	require.Equal(t, "failover", class.MainCause)
	require.InEpsilon(t, 10*time.Millisecond, class.P50, 0.07)

	var table, html strings.Builder
	require.NoError(t, report.WriteTable(&table))
	require.Contains(t, table.String(), "No answer from c")
	require.NoError(t, report.WriteHTML(&html))
	require.Contains(t, html.String(), "failover: 2")
	require.Contains(t, table.String(), "routes[3]")
	require.Contains(t, html.String(), "routes[3]")
	require.NotContains(t, html.String(), "http", "the page must not load other resources")
}

// Counts must leave a window when their time is over, not earlier and not later.
func TestWindowsSlide(t *testing.T) {
	recorder, clock := newTestRecorder("a")
	recorder.Record("order", 0, time.Millisecond, true, CauseOther)
	totals := func(after time.Duration) (totalByWindow [3]uint64) {
		clock.current = time.Unix(1_000_000, 0).Add(after)
		for i, w := range snapshotViaJSON(t, recorder).Classes[0].Windows {
			totalByWindow[i] = w.Total
		}
		return totalByWindow
	}
	require.Equal(t, [3]uint64{1, 1, 1}, totals(5*time.Minute))
	require.Equal(t, [3]uint64{0, 1, 1}, totals(6*time.Minute))
	require.Equal(t, [3]uint64{0, 1, 1}, totals(time.Hour))
	require.Equal(t, [3]uint64{0, 0, 1}, totals(6*time.Hour))
	require.Equal(t, [3]uint64{0, 0, 0}, totals(7*time.Hour))
	recorder.Configure(nil)
	require.Empty(t, snapshotViaJSON(t, recorder).Classes, "a removed class without counts must be left out")
}

// One damaged snapshot must not make the report of the other daemons wrong or impossible.
func TestMergeLeavesOutDamagedSnapshot(t *testing.T) {
	recorder, clock := newTestRecorder("a")
	recorder.Record("order", 0, time.Millisecond, true, CauseOther)
	damaged := snapshotViaJSON(t, recorder)
	damaged.VM, damaged.Classes[0].Windows[1].Latency = "b", "!"
	report := Merge(clock.current, []*Snapshot{snapshotViaJSON(t, recorder), damaged}, nil)
	require.Equal(t, []string{"b"}, report.Missing)
	require.EqualValues(t, 1, report.Windows[0].Classes[0].Total)
}

// Guards against losing counts when requests are recorded concurrently.
func TestRecordConcurrently(t *testing.T) {
	recorder := NewRecorder("a", nil)
	recorder.Configure([]Class{orderClass})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				recorder.Record("order", 0, time.Millisecond, true, CauseOther)
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 8000, snapshotViaJSON(t, recorder).Classes[0].Windows[2].Total)
}

func BenchmarkRecord(b *testing.B) {
	recorder := NewRecorder("a", nil)
	recorder.Configure([]Class{orderClass})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			recorder.Record("order", 0, 3*time.Millisecond, true, CauseOther)
		}
	})
}

// Callers' mistakes must not use up the error budget. Each other error code must have a cause of loss.
func TestCauseOf(t *testing.T) {
	_, counted := CauseOf(errkind.BadParameter.Code)
	require.False(t, counted)
	cause, counted := CauseOf(errkind.Overload.Code)
	require.True(t, counted)
	require.Equal(t, CauseRefused, cause)
}
