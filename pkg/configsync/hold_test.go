package configsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// inForceBound is the time after which an accepted version must be in force.
const inForceBound = 3 * time.Second

// frozenStore is the table service as a VM sees it that may be frozen during a request.
type frozenStore struct {
	*store
	fleet *fleet
	vm    string
}

func (s frozenStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if resumed, ok := s.fleet.frozen.Load(s.vm); ok {
		<-resumed.(chan struct{})
	}
	return s.store.Get(ctx, key)
}

// freeze freezes VMs and returns the function that resumes them.
func (f *fleet) freeze(names ...string) (resume func()) {
	resumed := make(chan struct{})
	for _, name := range names {
		f.frozen.Store(name, resumed)
	}
	return func() {
		f.frozen.Clear()
		close(resumed)
	}
}

// restart replaces the Sync of a VM by one that has just started and holds no configuration.
func (f *fleet) restart(name string) *Sync {
	f.syncs[name] = New(f.syncs[name].options)
	return f.syncs[name]
}

// The only VM with a new version was killed while its peers were frozen, and then served the older one of its peers with the
// table service down.
func TestRestartAmongFrozenPeersKeepsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for _, vm := range f.vms {
			f.syncs[vm.Name].options.Store = frozenStore{f.store, f, vm.Name}
		}
		const informed = "vm-00"
		_, err := f.syncs[informed].Apply(background, document("ana"), 0, "op-1")
		require.NoError(t, err)
		f.start(t)
		for _, s := range f.syncs {
			waitUntil(t, s, s.Ready)
		}

		resume := f.freeze("vm-01", "vm-02")
		_, err = f.syncs[informed].Apply(background, document("ana"), 1, "op-2")
		require.NoError(t, err)
		accepted := time.Now()
		waitUntil(t, f.syncs[informed], func() bool { return f.syncs[informed].Installed().Version == 2 })
		require.LessOrEqual(t, time.Since(accepted)+pollInterval, inForceBound, "peers that do not answer must not keep a version from coming into force")

		f.store.locked(func() { f.store.down = true })
		require.NoError(t, f.syncs[informed].Stop(background))
		resume()
		synctest.Wait()
		s := f.restart(informed)
		require.NoError(t, s.Start(background))
		defer func() { _ = s.Stop(background) }()
		time.Sleep(2 * waitLimit)
		require.False(t, s.Ready(), "version %v is served after version 2", s.Installed())
		f.store.locked(func() { f.store.down = false })
		waitUntil(t, s, s.Ready)
		require.EqualValues(t, 2, s.Installed().Version)
	})
}

// A version must not be served before so many VMs know of it that no majority without them can vouch for the one before. With
// one VM less it must wait.
func TestServedVersionIsKnownToEachMajority(t *testing.T) {
	for vms := 2; vms <= 7; vms++ {
		for _, reachable := range []int{requiredToKnow(vms - 1), requiredToKnow(vms-1) - 1} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, vms)
				s := f.syncs["vm-00"]
				_, err := s.Apply(background, document("ana"), 0, "op-1")
				require.NoError(t, err)
				for _, s := range f.syncs {
					require.NoError(t, s.readAndInstall(background, false))
				}
				for _, vm := range f.vms[1+reachable:] {
					f.unreachable[vm.Name] = true
				}
				_, err = s.Apply(background, document("ana"), 1, "op-2")
				require.NoError(t, err)
				accepted := time.Now()
				waitUntil(t, s, func() bool { return s.Installed().Version == 2 })
				if reachable < requiredToKnow(vms-1) {
					require.Equal(t, maxHold, time.Since(accepted), "%d VMs", vms)
					return
				}
				require.Zero(t, time.Since(accepted), "%d VMs", vms)
				f.store.locked(func() { f.store.down = true })
				for answering := range 1 << (vms - 1) {
					for i, vm := range f.vms[1:] {
						f.unreachable[vm.Name] = answering>>i&1 == 0
					}
					restarted := f.restart("vm-00")
					require.False(t, restarted.majorityVouches() && restarted.Installed().Version < 2, "%d VMs, answering: %b", vms, answering)
				}
			})
		}
	}
}

// A VM that has just started must be believed when it names a version, and must confirm one that it is told, although it does
// not vouch for any: else each change would wait for the full time while VMs start.
func TestStartingVMConfirmsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		s := f.syncs["vm-00"]
		_, err := s.Apply(background, document("ana"), 0, "op-1")
		require.NoError(t, err)
		require.NoError(t, s.readAndInstall(background, false))
		_, err = s.Apply(background, document("ana"), 1, "op-2")
		require.NoError(t, err)
		accepted := time.Now()
		waitUntil(t, s, func() bool { return s.Installed().Version == 2 })
		require.Zero(t, time.Since(accepted))
		require.EqualValues(t, 2, f.syncs["vm-01"].highestAnnounced)
	})
}
