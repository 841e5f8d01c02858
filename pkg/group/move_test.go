package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// admit counts a write that begins, unless writes are held back.
func (f *fake) admit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == 0 {
		f.writing = 1
	}
	return f.held == 0
}

func (f *fake) holdWrites(ctx context.Context, _, _ string) (release func(), quiet bool) {
	f.set(func() { f.held++ })
	for ctx.Err() == nil && !quiet {
		time.Sleep(time.Millisecond)
		f.set(func() { quiet = f.writing == 0 })
	}
	return func() { f.set(func() { f.held-- }) }, quiet
}

// testStand is long against detection times and short against the virtual time that a test takes.
const testStand = time.Minute

// newFakeOfRegions returns a service whose members are in the given regions, watched by the owner of each.
func newFakeOfRegions(t *testing.T, regions ...string) (f *fake, all []*Watcher) {
	f = newFake(t, len(regions))
	for i, r := range regions {
		f.members[i].info.Region = r
	}
	for i, name := range []string{"w0", "w1", "w2"} {
		all = append(all, f.watch(t, 2-i, Options{Self: name, QuiesceWrites: f.holdWrites, MinTenure: testStand}))
	}
	return f, all
}

// TestMove guards against a primary that stays alone in its region, against writes that a move cuts off, and against
// a second move.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := newFakeOfRegions(t, "a", "b", "b")
		f.onPromote = func(string) {
			f.set(func() {
				if f.held == 0 || f.writing > 0 {
					f.problems = append(f.problems, "promoted while writes ran or could start")
				}
			})
		}
		ctx, stop := context.WithCancel(t.Context())
		acks := client(ctx, f, all[0], false)
		time.Sleep(testStand)
		require.Len(t, f.history(), 1, "moved before the primary had stood")
		time.Sleep(5 * testStand)
		stop()
		times, gap := <-acks, time.Duration(0)
		for i := 1; i < len(times); i++ {
			gap = max(gap, times[i].Sub(times[i-1]))
		}
		t.Logf("longest time between acknowledged writes: %v", gap)
		require.Less(t, gap, 500*time.Millisecond)
		require.Zero(t, f.lost, "writes in progress must be acknowledged")
		settle(t, f)
		require.Len(t, f.history(), 2)
		require.Contains(t, []string{"m1", "m2"}, f.history()[2])
		require.Equal(t, Stats{Moves: 1}, Stats{Moves: all[0].Stats().Moves, MovesAbandoned: all[0].Stats().MovesAbandoned})
		require.Zero(t, all[1].Stats().Attempts+all[2].Stats().Attempts, "only the owner of the primary decides")
	})
}

// TestNoMove guards against a move while something is wrong, and against fences of one that is given up.
func TestNoMove(t *testing.T) {
	for name, change := range map[string]func(f *fake){
		"member down":        func(f *fake) { f.members[2].down = true },
		"member behind":      func(f *fake) { f.members[2].behind = true },
		"member leaving":     func(f *fake) { f.members[2].status.Leaving = true },
		"region cut off":     func(f *fake) { f.cut["w0>m1"], f.cut["w0>m2"] = true, true },
		"write does not end": func(f *fake) { f.writing = 1 },
		"VMs cut off":        func(f *fake) { f.members[1].info.Region = "c" }, // its owner is of another region
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, all := newFakeOfRegions(t, "a", "b", "b")
				f.set(func() { change(f) })
				all[0].SetServices([]Assignment{{Service: f.service(), PromoterRank: 2, Owners: all[0].services["s"].owners}})
				f.write("m0")
				time.Sleep(2*testStand + testStand/2)
				st := all[0].Stats()
				require.Zero(t, st.Fences+st.Moves)
				require.Equal(t, name == "write does not end", st.MovesAbandoned == 2, "%d given up", st.MovesAbandoned)
			})
		})
	}
}
