package membership

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Guards against a VM that is gone or draining still getting work, in its own data centre and in others, while the
// list still calls it live; and against a VM that the list doesn't name yet staying unknown.
func TestHeartbeatsBeatTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 3, 2)
		all := names(n.list)
		unlisted := n.list[4]
		started := slices.Clone(n.list)
		n.startAll(t, fast)
		n.set(func() { n.list = slices.Delete(slices.Clone(started), 4, 5) })
		n.eventually(t, all, nil)
		require.Contains(t, all, unlisted.Name)

		n.set(func() { n.down = true }) // the list goes down and stays so
		n.views["vm-0-01"].SetDraining()
		n.eventually(t, without(all, "vm-0-01"), nil)

		crashed := n.views["vm-1-00"]
		n.set(func() { delete(n.views, "vm-1-00") })
		_ = crashed.Stop(context.Background())
		n.eventually(t, without(all, "vm-0-01", "vm-1-00"), nil)
		require.True(t, n.views["vm-2-00"].Ready())
	})
}

// Guards against a draining VM that still gets new work after the 3 s of P7, and against a VM that is gone and keeps its
// members for longer than the 16 s of a change of primary: with the intervals of a fleet of today's size and of a data
// centre of the two-year target.
func TestNewsReachesAllInTime(t *testing.T) {
	for _, perDC := range [][]int{{3, 3, 2}, {56, 2}} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(perDC...)
			all := names(n.list)
			n.startAll(t, Interval)
			n.eventually(t, all, nil)
			time.Sleep(time.Minute)

			begin := time.Now()
			n.views["vm-0-01"].SetDraining()
			n.eventually(t, without(all, "vm-0-01"), nil)
			require.LessOrEqual(t, time.Since(begin), leavingBound, "draining, %v VMs", perDC)

			begin = time.Now()
			gone := n.views["vm-0-02"]
			n.set(func() { delete(n.views, "vm-0-02") })
			_ = gone.Stop(context.Background())
			n.eventually(t, without(all, "vm-0-01", "vm-0-02"), nil)
			t.Logf("%v VMs: gone after %v", perDC, time.Since(begin))
			require.LessOrEqual(t, time.Since(begin), failoverBound, "gone, %v VMs", perDC)
		})
	}
}

// Guards against views that stay apart after a data centre was cut off, or that count it as live for good.
func TestDataCentreCutOffAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2, 2, 2)
		all := names(n.list)
		n.startAll(t, fast)
		n.eventually(t, all, nil)
		for _, v := range n.views {
			require.Eventually(t, func() bool {
				v.mu.Lock()
				defer v.mu.Unlock()
				return len(v.sections) == 2
			}, waitLimit, testInterval)
		}
		inside := func(v platform.VM) bool { return v.DataCentre == "dc-2" }
		n.set(func() { n.cut = func(a, b platform.VM) bool { return inside(a) != inside(b) } })
		n.eventually(t, all[:4], func(v *View) bool { return !inside(v.Self()) })
		n.eventually(t, all[4:], func(v *View) bool { return inside(v.Self()) })
		n.set(func() { n.cut = nil })
		n.eventually(t, all, nil)
	})
}

// Guards against a listed VM that never answers being kept as live, and against one that comes back staying out.
func TestDeadListedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		all := names(n.list)
		dead := n.list[1]
		n.set(func() { n.cut = func(a, b platform.VM) bool { return a.Name == dead.Name || b.Name == dead.Name } })
		n.startAll(t, fast)
		n.eventually(t, without(all, dead.Name), func(v *View) bool { return v.Self().Name != dead.Name })
		n.set(func() { n.cut = nil })
		n.eventually(t, all, nil)
	})
}

// Guards against a VM that the list calls leaving still getting work.
func TestLeavingVM(t *testing.T) {
	n := newNetwork(2)
	n.list[1].State = platform.VMLeaving
	v := n.start(t, n.list[0], fast)
	v.install(n.list)
	require.Equal(t, []string{n.list[0].Name}, names(v.Live()))
	require.Empty(t, v.Listed())
}

// Guards against a request to the address that a VM names itself while the list names another one: it would replace the
// connections with the VM, and roll back the transactions begun over them.
func TestOnPeerKeepsListedAddress(t *testing.T) {
	n := newNetwork(2)
	listed := n.list[1]
	listed.PeerAddr = "192.0.2.1:7000"
	var told []string
	v := New(Options{Self: n.list[0], Lister: n, Transport: port{n, n.list[0]}, Log: logrus.New(),
		OnHeartbeat: func(from platform.VM, _ State) { told = append(told, from.PeerAddr) }})
	v.install([]platform.VM{n.list[0], listed})
	body, err := New(Options{Self: listed, Lister: n, Log: logrus.New()}).heartbeat(n.list[0])
	require.NoError(t, err)
	named := listed
	named.PeerAddr = "192.0.2.2:7000"
	require.NoError(t, v.receive(named, body, true))
	require.NoError(t, v.receive(listed, body, false))
	require.Equal(t, []string{listed.PeerAddr, listed.PeerAddr}, told)
}

// Guards against sections that are sent again in full when little of them changes: a data centre of 56 VMs costs a node
// with links 4 KB for each peer. Peers of an older version still get all.
func TestSectionsTravelAsDeltas(t *testing.T) {
	synctest.Test(t, testSectionsTravelAsDeltas) // no heartbeat of the links' own falls between the exchanges
}

func testSectionsTravelAsDeltas(t *testing.T) {
	const perDC, limit = 56, 200 // bytes
	n := newNetwork(2, perDC, perDC)
	a, b := n.start(t, n.list[0], fast), n.start(t, n.list[1], fast)
	for _, v := range n.views {
		defer func() { _ = v.Stop(context.Background()) }()
		v.install(n.list)
	}
	speakers := []platform.VM{n.list[2], n.list[2+perDC]}
	speak := func(i int, h wire.Heartbeat) {
		for _, vm := range n.list[2+i*perDC+1 : 2+(i+1)*perDC] {
			h.Sections[0].VMs = append(h.Sections[0].VMs, wire.VMStatus{VM: vm})
		}
		h.Sections[0].DataCentre = speakers[i].DataCentre
		body, err := wire.NewEncoder().HeartbeatBody(&h)
		require.NoError(t, err)
		require.NoError(t, a.receive(speakers[i], body, false))
		a.mu.Lock()
		a.evaluate()
		a.mu.Unlock()
	}
	all := make([]wire.Section, 1)
	exchanged := func() int {
		_, before := a.Traffic()
		require.NoError(t, a.exchange(t.Context(), b.Self(), time.Second))
		_, after := a.Traffic()
		require.Equal(t, a.in.sections, b.peers[a.Self().Name].sections)
		return int(after - before)
	}
	speak(0, wire.Heartbeat{Digest: 1, Sections: slices.Clone(all)})
	speak(1, wire.Heartbeat{Digest: 1, Sections: slices.Clone(all)})
	require.Greater(t, exchanged(), limit)
	require.NoError(t, a.exchange(t.Context(), b.Self(), time.Second)) // learns what b has
	one := slices.Clone(all)
	one[0].VMs = []wire.VMStatus{{VM: speakers[0], Draining: true}}
	speak(0, wire.Heartbeat{Digest: 2, Sections: one})
	require.Less(t, exchanged(), limit, "one VM more")
	speak(1, wire.Heartbeat{Digest: 3, Sections: []wire.Section{{VMs: nil}}})
	a.ConnectionLost(speakers[1])
	a.lost(speakers[1].Name, time.Now()) // the evidence of a data centre ends
	require.Less(t, exchanged(), limit, "a data centre less")
	require.NoError(t, a.exchange(t.Context(), b.Self(), time.Second))
	one[0].VMs[0].Draining = false
	speak(0, wire.Heartbeat{Digest: 4, Sections: slices.Clone(one)})
	unconfirmed, err := a.heartbeat(b.Self())
	require.NoError(t, err)
	require.NoError(t, b.receive(a.Self(), unconfirmed, true)) // its reply is lost
	speak(0, wire.Heartbeat{Digest: 5, Sections: []wire.Section{{VMs: []wire.VMStatus{{VM: speakers[0], Draining: true}}}}})
	require.Greater(t, exchanged(), limit, "back to what was confirmed last, which b no longer holds")
	a.peers[b.Self().Name].deltas = false
	speak(0, wire.Heartbeat{Digest: 6, Sections: slices.Clone(all)})
	require.Greater(t, exchanged(), limit)
}

// Guards against control traffic above the budget of a node at the two-year target: 12 KB/s, both ways, with 56 peers
// in the data centre. Frames are counted as encoded, with 52 bytes of TCP and IP headers each.
func TestTrafficBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const measured, headers, budget = 3 * time.Second, 52, 12_000
		n := newNetwork(57, 2, 2)
		n.startAll(t, Interval)
		n.eventually(t, names(n.list), nil)
		// The budget is that of a fleet in which nothing changes. Sections of the start go on for some seconds: a window
		// right after it had 4.3 to 7.1 KB/s, one 5 s later 3.6 to 4.5 KB/s. What a VM learnt over a link of the start that
		// was given up expires six intervals later, within the window: it then sends its peers what has changed.
		time.Sleep(5*time.Second + Interval(56))
		before, sent := map[string]int64{}, map[string]uint64{}
		for name, b := range n.bytes {
			before[name] = b.Load()
			sent[name], _ = n.views[name].Traffic()
		}
		start := time.Now()
		time.Sleep(measured)
		elapsed := time.Since(start).Seconds()
		var most, mostFrames float64
		for name, b := range n.bytes {
			if n.views[name].Self().DataCentre != "dc-0" {
				continue
			}
			frames, _ := n.views[name].Traffic()
			most = max(most, float64(b.Load()-before[name])/elapsed)
			mostFrames = max(mostFrames, 2*float64(frames-sent[name])/elapsed) // a frame sent answers one received
		}
		t.Logf("busiest node of 57: %.0f B/s payload both ways, %.0f frames/s, %.0f B/s with headers",
			most, mostFrames, most+mostFrames*headers)
		require.Less(t, most, budget/2.0)
		require.Less(t, most+mostFrames*headers, float64(budget))
	})
}

// BenchmarkHeartbeat measures one exchange with a peer: encode, decode and handling at both ends, without TCP.
func BenchmarkHeartbeat(b *testing.B) {
	n := newNetwork(57)
	v := n.start(b, n.list[0], Interval)
	for _, vm := range n.list[1:] {
		n.start(b, vm, Interval).install(n.list)
	}
	v.install(n.list)
	b.Cleanup(func() {
		for _, v := range n.views {
			_ = v.Stop(context.Background())
		}
	})
	b.ReportAllocs()
	start, rounds := n.bytes[v.Self().Name].Load(), 0
	for b.Loop() {
		if err := v.exchange(context.Background(), n.list[1+rounds%56], time.Second); err != nil {
			b.Fatal(err)
		}
		rounds++
	}
	b.ReportMetric(float64(n.bytes[v.Self().Name].Load()-start)/float64(rounds), "bytes/exchange")
}
