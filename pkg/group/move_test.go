package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// beginWrite records that a write begins. It reports false if writes are held back.
func (f *fakeService) beginWrite() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeHolds == 0 {
		f.openWrites = 1
	}
	return f.writeHolds == 0
}

// quiesceWrites implements Options.QuiesceWrites.
func (f *fakeService) quiesceWrites(ctx context.Context, _, _ string) (release func(), drained bool) {
	f.update(func() { f.writeHolds++ })
	for ctx.Err() == nil && !drained {
		time.Sleep(time.Millisecond)
		f.update(func() { drained = f.openWrites == 0 })
	}
	return func() { f.update(func() { f.writeHolds-- }) }, drained
}

// testMinTenure is much longer than detection takes, and short enough for the virtual time of a test.
const testMinTenure = time.Minute

// newFakeServiceInRegions returns a service whose members are in the given regions, and the Watchers of the three VMs
// that own them.
func newFakeServiceInRegions(t *testing.T, regions ...string) (f *fakeService, watchers []*Watcher) {
	f = newFakeService(t, len(regions))
	for i, r := range regions {
		f.members[i].info.Region = r
	}
	for i, name := range []string{"w0", "w1", "w2"} {
		watchers = append(watchers, f.watcherWithOptions(t, 2-i, Options{Self: name, QuiesceWrites: f.quiesceWrites, MinTenure: testMinTenure}))
	}
	return f, watchers
}

// If no other member is in the primary's region and another region holds two, the primary must be moved there, once and
// without the loss of a write.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, watchers := newFakeServiceInRegions(t, "a", "b", "b")
		f.onPromote = func(string) {
			f.update(func() {
				if f.writeHolds == 0 || f.openWrites > 0 {
					f.violations = append(f.violations, "promoted while writes were in progress or not held back")
				}
			})
		}
		ctx, stop := context.WithCancel(t.Context())
		acks := startWriter(ctx, f, watchers[0], false)
		time.Sleep(testMinTenure)
		require.Len(t, f.history(), 1, "moved before the primary had been in place for the minimum tenure")
		time.Sleep(5 * testMinTenure)
		stop()
		times, gap := <-acks, time.Duration(0)
		for i := 1; i < len(times); i++ {
			gap = max(gap, times[i].Sub(times[i-1]))
		}
		t.Logf("longest time between acknowledged writes: %v", gap)
		require.Less(t, gap, 500*time.Millisecond)
		require.Zero(t, f.unackedWrites, "writes in progress must be acknowledged")
		waitConverged(t, f)
		require.Len(t, f.history(), 2)
		require.Contains(t, []string{"m1", "m2"}, f.history()[2])
		require.Equal(t, Stats{Moves: 1}, Stats{Moves: watchers[0].Stats().Moves, MovesAbandoned: watchers[0].Stats().MovesAbandoned})
		require.Zero(t, watchers[1].Stats().Attempts+watchers[2].Stats().Attempts, "only the owner of the primary may decide on a move")
	})
}

// The primary must not be moved while the service is not stable, and a move that is abandoned must not fence any
// member.
func TestNoMove(t *testing.T) {
	for name, change := range map[string]func(f *fakeService){
		"member down":        func(f *fakeService) { f.members[2].down = true },
		"member behind":      func(f *fakeService) { f.members[2].replicationPaused = true },
		"member leaving":     func(f *fakeService) { f.members[2].status.Leaving = true },
		"region cut off":     func(f *fakeService) { f.cutLinks["w0>m1"], f.cutLinks["w0>m2"] = true, true },
		"write does not end": func(f *fakeService) { f.openWrites = 1 },
		"VMs cut off":        func(f *fakeService) { f.members[1].info.Region = "c" }, // its owner is in another region
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, watchers := newFakeServiceInRegions(t, "a", "b", "b")
				f.update(func() { change(f) })
				watchers[0].SetServices([]Assignment{{Service: f.service(), PromoterRank: 2, Owners: watchers[0].services["s"].owners}})
				f.write("m0")
				time.Sleep(2*testMinTenure + testMinTenure/2)
				st := watchers[0].Stats()
				require.Zero(t, st.Fences+st.Moves)
				require.Equal(t, name == "write does not end", st.MovesAbandoned == 2, "%d moves abandoned", st.MovesAbandoned)
			})
		})
	}
}
