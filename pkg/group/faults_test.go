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

var seeds = flag.Int("group.seeds", 40, "number of random fault plans")

// TestRandomFaults guards against lost writes and services that do not recover under random faults. With odd seeds the
// watchers ask each other: the one that owns the primary is the lead.
func TestRandomFaults(t *testing.T) {
	faults := []func(f *fake, i int){
		func(f *fake, i int) { f.members[i].down = true },
		func(f *fake, i int) { f.members[i].down = false },
		loseState,
		func(f *fake, i int) { f.members[i].behind = !f.members[i].behind },
		func(f *fake, i int) { f.members[i].lag = 3 - f.members[i].lag },
		func(f *fake, i int) {
			if m := f.members[i]; m.frozen == nil {
				m.frozen = make(chan struct{})
			} else {
				close(m.frozen)
				m.frozen = nil
			}
		},
		func(f *fake, i int) { f.cut[fmt.Sprintf("w0>m%d", i)] = true },
		func(f *fake, i int) { f.cut[fmt.Sprintf("w1>m%d", i)] = true },
		func(f *fake, i int) { f.cut[fmt.Sprintf("m%d>m%d", i, (i+1)%3)] = true },
		isolate, isolate,
		func(f *fake, _ int) { clear(f.cut) },
		func(f *fake, _ int) { heal(f) },
		func(f *fake, i int) { f.members[i].status.Leaving = !f.members[i].status.Leaving },
	}
	plans := rapid.SliceOfN(rapid.IntRange(0, len(faults)*3-1), 1, 12)
	pauses := rapid.SliceOfN(rapid.IntRange(1, 1500), 12, 12) // ms
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			plan, pause := plans.Example(seed), pauses.Example(seed)
			synctest.Test(t, func(t *testing.T) {
				f := newFake(t, 3)
				l0, l1 := newLead(nil, roundTrip), newLead(nil, roundTrip)
				ask := RelayFunc(nil)
				if seed%2 == 1 {
					ask = func(ctx context.Context, vm platform.VM, service string, seen uint32) (Relayed, error) {
						return map[string]*lead{"w0": l0, "w1": l1, "w2": newLead(nil, 0)}[vm.Name].relay(ctx, vm, service, seen)
					}
				}
				w0, w1 := f.relayed(t, "w0", 0, ask), f.relayed(t, "w1", 1, ask)
				l0.w.Store(w0)
				l1.w.Store(w1)
				ctx, stop := context.WithCancel(t.Context())
				acks0, acks1 := client(ctx, f, w0, true), client(ctx, f, w1, true)
				for i, p := range plan {
					time.Sleep(time.Duration(pause[i]) * time.Millisecond)
					f.set(func() { faults[p/3](f, p%3) })
				}
				f.set(func() { heal(f) })
				stop()
				<-acks0
				<-acks1
				settle(t, f)
				requireWrite(t, f, w0)
				require.Empty(t, f.found())
			})
		})
	}
}

// requireWrite waits until a write is acknowledged.
func requireWrite(t *testing.T, f *fake, w *Watcher) {
	ctx, stop := context.WithCancel(t.Context())
	acks := client(ctx, f, w, false)
	time.Sleep(5 * time.Second)
	stop()
	require.NotEmpty(t, <-acks)
}
