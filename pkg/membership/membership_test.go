package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// A VM that is gone or draining must get no more work from its own or other data centres, even while the list still
// marks it as live. A VM that is not listed yet must become known.
func TestHeartbeatsBeatTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 3, 2)
		all := names(n.list)
		unlisted := n.list[4]
		started := slices.Clone(n.list)
		n.startAll(t, fixedInterval)
		n.locked(func() { n.list = slices.Delete(slices.Clone(started), 4, 5) })
		n.waitForLive(t, all, nil)
		require.Contains(t, all, unlisted.Name)

		n.locked(func() { n.platformDown = true }) // the platform stays down from here on
		n.views["vm-0-01"].SetDraining()
		n.waitForLive(t, without(all, "vm-0-01"), nil)

		crashed := n.views["vm-1-00"]
		n.locked(func() { delete(n.views, "vm-1-00") })
		_ = crashed.Stop(context.Background())
		n.waitForLive(t, without(all, "vm-0-01", "vm-1-00"), nil)
		require.True(t, n.views["vm-2-00"].Ready())
	})
}

// A draining VM must get no new work after 3 s, and a VM that is gone must lose its members within the 16 s that a
// change of primary may take. The test uses the heartbeat intervals of a fleet of today's size and of a data centre of
// the two-year target.
func TestNewsReachesAllInTime(t *testing.T) {
	for _, vmsPerDC := range [][]int{{3, 3, 2}, {56, 2}} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(vmsPerDC...)
			all := names(n.list)
			n.startAll(t, Interval)
			n.waitForLive(t, all, nil)
			time.Sleep(time.Minute)

			begin := time.Now()
			n.views["vm-0-01"].SetDraining()
			n.waitForLive(t, without(all, "vm-0-01"), nil)
			require.LessOrEqual(t, time.Since(begin), drainNoticeLimit, "draining, %v VMs", vmsPerDC)

			begin = time.Now()
			gone := n.views["vm-0-02"]
			n.locked(func() { delete(n.views, "vm-0-02") })
			_ = gone.Stop(context.Background())
			n.waitForLive(t, without(all, "vm-0-01", "vm-0-02"), nil)
			t.Logf("%v VMs: gone after %v", vmsPerDC, time.Since(begin))
			require.LessOrEqual(t, time.Since(begin), failoverLimit, "gone, %v VMs", vmsPerDC)
		})
	}
}

// The VMs of a data centre that is cut off must not count as live forever. After it is reconnected, all views must
// become equal.
func TestDataCentreCutOffAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2, 2, 2)
		all := names(n.list)
		n.startAll(t, fixedInterval)
		n.waitForLive(t, all, nil)
		for _, v := range n.views {
			require.Eventually(t, func() bool {
				v.mu.Lock()
				defer v.mu.Unlock()
				return len(v.sectionLastHeld) == 2
			}, waitLimit, testInterval)
		}
		inCutOff := func(v platform.VM) bool { return v.DataCentre == "dc-2" }
		n.locked(func() { n.blocked = func(a, b platform.VM) bool { return inCutOff(a) != inCutOff(b) } })
		n.waitForLive(t, all[:4], func(v *View) bool { return !inCutOff(v.Self()) })
		n.waitForLive(t, all[4:], func(v *View) bool { return inCutOff(v.Self()) })
		n.locked(func() { n.blocked = nil })
		n.waitForLive(t, all, nil)
	})
}

// A listed VM that never answers must not stay live. If it answers again, it must become live again.
func TestDeadListedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		all := names(n.list)
		dead := n.list[1]
		n.locked(func() { n.blocked = func(a, b platform.VM) bool { return a.Name == dead.Name || b.Name == dead.Name } })
		n.startAll(t, fixedInterval)
		n.waitForLive(t, without(all, dead.Name), func(v *View) bool { return v.Self().Name != dead.Name })
		n.locked(func() { n.blocked = nil })
		n.waitForLive(t, all, nil)
	})
}

// Guards against a VM that the list marks as leaving still getting work.
func TestLeavingVM(t *testing.T) {
	n := newNetwork(2)
	n.list[1].State = platform.VMLeaving
	v := n.addView(t, n.list[0], fixedInterval)
	v.applyList(n.list)
	require.Equal(t, []string{n.list[0].Name}, names(v.Live()))
	require.Empty(t, v.Listed())
}

// If a VM gives an address for itself while the list holds another one, requests must go to the listed address.
// Requests to the other address would replace the connections to the VM and roll back the transactions begun over them.
func TestOnPeerKeepsListedAddress(t *testing.T) {
	n := newNetwork(2)
	listed := n.list[1]
	listed.PeerAddr = "192.0.2.1:7000"
	var reportedAddrs []string
	v := New(Options{Self: n.list[0], Lister: n, Transport: memoryTransport{n, n.list[0]}, Log: logrus.New(),
		OnHeartbeat: func(from platform.VM, _ State) { reportedAddrs = append(reportedAddrs, from.PeerAddr) }})
	v.applyList([]platform.VM{n.list[0], listed})
	body, err := New(Options{Self: listed, Lister: n, Log: logrus.New()}).encodeHeartbeat(n.list[0])
	require.NoError(t, err)
	selfNamed := listed
	selfNamed.PeerAddr = "192.0.2.2:7000"
	require.NoError(t, v.handleHeartbeat(selfNamed, body, true))
	require.NoError(t, v.handleHeartbeat(listed, body, false))
	require.Equal(t, []string{listed.PeerAddr, listed.PeerAddr}, reportedAddrs)
}

// If only little of a section has changed, only the change must be sent: a section of 56 VMs costs a VM with links 4 KB
// for each peer. Peers of an older version, which do not understand deltas, are still sent all sections.
func TestSectionsTravelAsDeltas(t *testing.T) {
	synctest.Test(t, testSectionsTravelAsDeltas) // in virtual time no heartbeat of the loops falls between the exchanges
}

func testSectionsTravelAsDeltas(t *testing.T) {
	const vmsPerDC, deltaLimit = 56, 200 // bytes
	n := newNetwork(2, vmsPerDC, vmsPerDC)
	a, b := n.addView(t, n.list[0], fixedInterval), n.addView(t, n.list[1], fixedInterval)
	for _, v := range n.views {
		defer func() { _ = v.Stop(context.Background()) }()
		v.applyList(n.list)
	}
	senders := []platform.VM{n.list[2], n.list[2+vmsPerDC]}
	// sendSection has a handle a reply from sender i. The section in it names the VMs in h and all but the first of the
	// sender's data centre.
	sendSection := func(i int, h wire.Heartbeat) {
		for _, vm := range n.list[2+i*vmsPerDC+1 : 2+(i+1)*vmsPerDC] {
			h.Sections[0].VMs = append(h.Sections[0].VMs, wire.VMStatus{VM: vm})
		}
		h.Sections[0].DataCentre = senders[i].DataCentre
		body, err := wire.NewEncoder().HeartbeatBody(&h)
		require.NoError(t, err)
		require.NoError(t, a.handleHeartbeat(senders[i], body, false))
		a.mu.Lock()
		a.evaluate()
		a.mu.Unlock()
	}
	empty := make([]wire.Section, 1)
	// exchangeBytes exchanges a heartbeat from a to b and returns the size of the request.
	exchangeBytes := func() int {
		_, before := a.HeartbeatTraffic()
		require.NoError(t, a.exchange(t.Context(), b.Self(), time.Second))
		_, after := a.HeartbeatTraffic()
		require.Equal(t, a.remoteSections.sections, b.peers[a.Self().Name].sections)
		return int(after - before)
	}
	sendSection(0, wire.Heartbeat{Digest: 1, Sections: slices.Clone(empty)})
	sendSection(1, wire.Heartbeat{Digest: 1, Sections: slices.Clone(empty)})
	require.Greater(t, exchangeBytes(), deltaLimit)
	require.NoError(t, a.exchange(t.Context(), b.Self(), time.Second)) // a learns from the reply what b holds
	oneMore := slices.Clone(empty)
	oneMore[0].VMs = []wire.VMStatus{{VM: senders[0], Draining: true}}
	sendSection(0, wire.Heartbeat{Digest: 2, Sections: oneMore})
	require.Less(t, exchangeBytes(), deltaLimit, "one VM added")
	sendSection(1, wire.Heartbeat{Digest: 3, Sections: []wire.Section{{VMs: nil}}})
	a.ConnectionLost(senders[1])
	a.recordFailure(senders[1].Name, time.Now()) // no section of its data centre is held any more
	require.Less(t, exchangeBytes(), deltaLimit, "one data centre dropped")
	require.NoError(t, a.exchange(t.Context(), b.Self(), time.Second))
	oneMore[0].VMs[0].Draining = false
	sendSection(0, wire.Heartbeat{Digest: 4, Sections: slices.Clone(oneMore)})
	unconfirmed, err := a.encodeHeartbeat(b.Self())
	require.NoError(t, err)
	require.NoError(t, b.handleHeartbeat(a.Self(), unconfirmed, true)) // the reply is lost
	sendSection(0, wire.Heartbeat{Digest: 5, Sections: []wire.Section{{VMs: []wire.VMStatus{{VM: senders[0], Draining: true}}}}})
	require.Greater(t, exchangeBytes(), deltaLimit, "the content is that confirmed last, which b no longer holds")
	a.peers[b.Self().Name].takesDeltas = false
	sendSection(0, wire.Heartbeat{Digest: 6, Sections: slices.Clone(empty)})
	require.Greater(t, exchangeBytes(), deltaLimit)
}

// Guards against heartbeat traffic above the budget of a VM at the two-year target: 12 KB/s in both directions together,
// with 56 peers in the data centre. Frames are counted as encoded, plus 52 bytes of TCP and IP headers each.
func TestTrafficBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const measured, headers, budget = 3 * time.Second, 52, 12_000
		n := newNetwork(57, 2, 2)
		n.startAll(t, Interval)
		n.waitForLive(t, names(n.list), nil)
		// The budget is that of a fleet in which nothing changes. After the start, sections are exchanged for some seconds
		// more: a window right after it measured 4.3 to 7.1 KB/s, one 5 s later 3.6 to 4.5 KB/s. Some links of the start are
		// given up later. What a VM learnt over such a link expires six intervals afterwards, and the VM then sends the change
		// to its peers.
		time.Sleep(5*time.Second + Interval(56))
		before, sent := map[string]int64{}, map[string]uint64{}
		for name, frameBytes := range n.frameBytes {
			before[name] = frameBytes.Load()
			sent[name], _ = n.views[name].HeartbeatTraffic()
		}
		start := time.Now()
		time.Sleep(measured)
		elapsed := time.Since(start).Seconds()
		var maxBytes, maxFrames float64
		for name, b := range n.frameBytes {
			if n.views[name].Self().DataCentre != "dc-0" {
				continue
			}
			frames, _ := n.views[name].HeartbeatTraffic()
			maxBytes = max(maxBytes, float64(b.Load()-before[name])/elapsed)
			maxFrames = max(maxFrames, 2*float64(frames-sent[name])/elapsed) // each frame sent has one received
		}
		t.Logf("busiest node of 57: %.0f B/s payload both ways, %.0f frames/s, %.0f B/s with headers",
			maxBytes, maxFrames, maxBytes+maxFrames*headers)
		require.Less(t, maxBytes, budget/2.0)
		require.Less(t, maxBytes+maxFrames*headers, float64(budget))
	})
}

// BenchmarkHeartbeat measures one exchange with a peer: encoding, decoding and handling at both ends, without TCP.
func BenchmarkHeartbeat(b *testing.B) {
	n := newNetwork(57)
	v := n.addView(b, n.list[0], Interval)
	for _, vm := range n.list[1:] {
		n.addView(b, vm, Interval).applyList(n.list)
	}
	v.applyList(n.list)
	b.Cleanup(func() {
		for _, v := range n.views {
			_ = v.Stop(context.Background())
		}
	})
	b.ReportAllocs()
	start, rounds := n.frameBytes[v.Self().Name].Load(), 0
	for b.Loop() {
		if err := v.exchange(context.Background(), n.list[1+rounds%56], time.Second); err != nil {
			b.Fatal(err)
		}
		rounds++
	}
	b.ReportMetric(float64(n.frameBytes[v.Self().Name].Load()-start)/float64(rounds), "bytes/exchange")
}

// Two VMs of a data centre must read the platform's lists even while none takes work, as when a fleet starts before the platform
// has a configuration. If no VM counted as a reader until it has a service list, none would ever get one.
func TestReadersOfAFleetThatTakesNoWork(t *testing.T) {
	var list []platform.VM
	for i := range 5 {
		list = append(list, platform.VM{Name: fmt.Sprint("vm", i), DataCentre: fmt.Sprint("dc", i%2), State: platform.VMLive})
	}
	for _, uptime := range []time.Duration{0, time.Minute} {
		readers := map[string]int{}
		for _, self := range list {
			v := New(Options{Self: self, CanOwnMembers: func() bool { return false }})
			v.started = time.Now().Add(-uptime)
			v.stopped = true // prevents heartbeats
			v.applyList(list)
			v.mu.Lock()
			for _, p := range v.peers {
				p.lastHeard, p.draining = time.Now(), true
				v.markChanged(p)
			}
			v.evaluate()
			v.mu.Unlock()
			require.Empty(t, v.Live())
			if v.IsReader() {
				readers[self.DataCentre]++
			}
		}
		require.Equal(t, map[string]int{"dc0": 2, "dc1": 2}, readers)
	}
}
