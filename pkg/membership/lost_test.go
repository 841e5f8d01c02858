package membership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// A VM that vanishes must count as gone to its peers within a second, so that units do not wait long for it. It takes 1.3 s
// if the probe, which lasts 0.5 s, starts only after three missed heartbeats. Slow replies, as from a VM that is short of
// processor time, must not make a VM count as gone.
func TestVanishedVM(t *testing.T) {
	const limit = time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.probesHang = true
		all := names(n.list)
		n.startAll(t, Interval)
		n.waitForLive(t, all, nil)
		n.locked(func() { n.replyDelay = 400 * time.Millisecond })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			for _, v := range n.views {
				require.Equal(t, all, names(v.Live()))
			}
		}
		n.locked(func() { n.replyDelay = 0 })
		time.Sleep(time.Second)
		// Of two VMs, the one with the lower name sends the heartbeats and the other replies. So vm-0-00 sends to both others,
		// and vm-0-02 only replies.
		for _, name := range []string{"vm-0-00", "vm-0-02"} {
			gone := n.views[name]
			n.locked(func() { delete(n.views, name) })
			begin := time.Now()
			_ = gone.Stop(context.Background())
			n.waitForLive(t, without(all, name), nil)
			require.LessOrEqual(t, time.Since(begin), limit)
			n.addView(t, gone.Self(), Interval)
			require.NoError(t, n.views[name].Start(context.Background()))
			t.Cleanup(func() { _ = n.views[name].Stop(context.Background()) })
			n.waitForLive(t, all, nil)
		}
	})
}

// If the network between two VMs is cut, neither may go on sending units to the other, although further VMs report it
// as alive. A VM that goes on sending reads to an owner that it cannot reach loses about a hundred of them in half a
// second.
func TestUnreachableHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2, 3)
		all := names(n.list)
		n.startAll(t, Interval)
		n.waitForLive(t, all, nil)
		const here, there = "vm-0-00", "vm-1-01"
		n.locked(func() {
			n.blocked = func(a, b platform.VM) bool {
				return a.Name == here && b.Name == there || a.Name == there && b.Name == here
			}
		})
		time.Sleep(10 * time.Second)
		v := n.views[here]
		target, _ := v.VM(there)
		v.MarkUnreachable(target)
		for range 100 { // the reports of other VMs must not bring it back
			require.Equal(t, without(all, there), names(v.Live()))
			time.Sleep(100 * time.Millisecond)
		}
		n.waitForLive(t, all, func(o *View) bool { return o != v })

		n.locked(func() { n.blocked = nil })
		begin := time.Now()
		n.waitForLive(t, all, nil)
		require.LessOrEqual(t, time.Since(begin), drainNoticeLimit)

		n.locked(func() { n.probes = 0 })
		for range 100 { // each failed dial is followed by a reply to a heartbeat: only one retry goroutine may run
			v.MarkUnreachable(target)
			v.mu.Lock()
			v.peers[there].unreachable = false
			v.mu.Unlock()
		}
		v.MarkUnreachable(target)
		n.locked(func() { n.blocked = func(a, b platform.VM) bool { return a.Name == here && b.Name == there } })
		time.Sleep(5 * time.Second)
		n.locked(func() { require.LessOrEqual(t, n.probes, int(5*time.Second/(goneRetryInterval/2))) })
		n.locked(func() { n.blocked = nil })
		n.waitForLive(t, all, nil)

		own, _ := v.VM("vm-0-01")
		v.MarkUnreachable(own)
		require.Equal(t, all, names(v.Live()), "heartbeats decide in the own data centre")
	})
}

// A VM that started while the platform was down knows no service and must own no member: the members that it owned, a third
// of all in one case, would be out of use until the platform returned. A VM without a list adopts one from a peer.
func TestVMWithoutListsOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 2)
		all := names(n.list)
		n.startAll(t, Interval)
		n.waitForLive(t, all, nil)
		const name = "vm-0-01"
		old := n.views[name]
		n.locked(func() { n.platformDown = true })
		_ = old.Stop(context.Background())
		var canOwn atomic.Bool
		v := n.addViewWith(t, old.Self(), Interval, canOwn.Load)
		require.NoError(t, v.Start(context.Background()))
		t.Cleanup(func() { _ = v.Stop(context.Background()) })
		n.waitForLive(t, without(all, name), nil)
		time.Sleep(5 * time.Second)
		n.waitForLive(t, without(all, name), nil)
		require.False(t, v.Ready())

		v.Adopt(n.views["vm-0-00"].List())
		require.True(t, v.Ready())
		require.Len(t, v.Listed(), len(all)-1)
		begin := time.Now()
		canOwn.Store(true)
		v.UpdateCanOwnMembers()
		n.waitForLive(t, all, nil)
		require.LessOrEqual(t, time.Since(begin), drainNoticeLimit)
	})
}
