package group

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

var faultPlanSeeds = flag.Int("group.seeds", 40, "number of random fault plans")

// TestRandomFaults guards against lost writes and services that do not recover under random faults. With odd seeds the
// watchers use relays: the other one asks the VM that owns the primary.
func TestRandomFaults(t *testing.T) {
	faults := []func(f *fakeService, i int){
		func(f *fakeService, i int) { f.members[i].down = true },
		func(f *fakeService, i int) { f.members[i].down = false },
		loseState,
		func(f *fakeService, i int) { f.members[i].replicationPaused = !f.members[i].replicationPaused },
		func(f *fakeService, i int) { f.members[i].unapplied = 3 - f.members[i].unapplied },
		func(f *fakeService, i int) {
			if m := f.members[i]; m.frozen == nil {
				m.frozen = make(chan struct{})
			} else {
				close(m.frozen)
				m.frozen = nil
			}
		},
		func(f *fakeService, i int) { f.cutLinks[fmt.Sprintf("w0>m%d", i)] = true },
		func(f *fakeService, i int) { f.cutLinks[fmt.Sprintf("w1>m%d", i)] = true },
		func(f *fakeService, i int) { f.cutLinks[fmt.Sprintf("m%d>m%d", i, (i+1)%3)] = true },
		isolate, isolate,
		func(f *fakeService, _ int) { clear(f.cutLinks) },
		func(f *fakeService, _ int) { healAll(f) },
		func(f *fakeService, i int) { f.members[i].status.Leaving = !f.members[i].status.Leaving },
	}
	plans := rapid.SliceOfN(rapid.IntRange(0, len(faults)*3-1), 1, 12)
	pauses := rapid.SliceOfN(rapid.IntRange(1, 1500), 12, 12) // ms
	for seed := range *faultPlanSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			plan, pause := plans.Example(seed), pauses.Example(seed)
			synctest.Test(t, func(t *testing.T) {
				f := newFakeService(t, 3)
				owner0, owner1 := newFakePrimaryOwner(nil, roundTrip), newFakePrimaryOwner(nil, roundTrip)
				relay := RelayFunc(nil)
				if seed%2 == 1 {
					relay = func(ctx context.Context, vm platform.VM, service string, seen uint32) (RelayedView, error) {
						return map[string]*fakePrimaryOwner{"w0": owner0, "w1": owner1, "w2": newFakePrimaryOwner(nil, 0)}[vm.Name].relay(ctx, vm, service, seen)
					}
				}
				w0, w1 := f.watcherWithRelay(t, "w0", 0, relay), f.watcherWithRelay(t, "w1", 1, relay)
				owner0.watcher.Store(w0)
				owner1.watcher.Store(w1)
				ctx, stop := context.WithCancel(t.Context())
				acks0, acks1 := startWriter(ctx, f, w0, true), startWriter(ctx, f, w1, true)
				for i, p := range plan {
					time.Sleep(time.Duration(pause[i]) * time.Millisecond)
					f.update(func() { faults[p/3](f, p%3) })
				}
				f.update(func() { healAll(f) })
				stop()
				<-acks0
				<-acks1
				waitConverged(t, f)
				requireWrite(t, f, w0)
				require.Empty(t, f.foundViolations())
			})
		})
	}
}

// requireWrite writes for some time and requires that a write is acknowledged.
func requireWrite(t *testing.T, f *fakeService, w *Watcher) {
	ctx, stop := context.WithCancel(t.Context())
	acks := startWriter(ctx, f, w, false)
	time.Sleep(5 * time.Second)
	stop()
	require.NotEmpty(t, <-acks)
}
