package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// makeVMs returns n VMs distributed over data centres and regions as in the two-year target.
func makeVMs(n, dcs, regions int) []platform.VM {
	out := make([]platform.VM, n)
	for i := range out {
		dc := i % dcs
		out[i] = platform.VM{Name: fmt.Sprintf("vm-%03d", i), DataCentre: fmt.Sprintf("dc-%02d", dc),
			Region: fmt.Sprintf("region-%d", dc%regions)}
	}
	return out
}

// makeMembers returns n members, three per service, distributed over data centres and regions in the same way.
func makeMembers(n, dcs, regions int) []platform.Member {
	out := make([]platform.Member, n)
	for i := range out {
		dc := i % dcs
		out[i] = platform.Member{Service: fmt.Sprintf("db.%d", i/3), Name: fmt.Sprintf("m-%d", i),
			DataCentre: fmt.Sprintf("dc-%02d", dc), Region: fmt.Sprintf("region-%d", dc%regions)}
	}
	return out
}

// When a VM leaves, only the members that it owned may change their owner.
func TestOwnerMovesMinimally(t *testing.T) {
	vms := makeVMs(36, 6, 3)
	gone := vms[7]
	rest := slices.Delete(slices.Clone(vms), 7, 8)
	for _, m := range makeMembers(900, 6, 3) {
		before, ok := Owner(m, vms)
		require.True(t, ok)
		require.Equal(t, m.DataCentre, before.DataCentre)
		after, _ := Owner(m, rest)
		if before.Name != gone.Name {
			require.Equal(t, before, after)
		}
	}
}

// Guards against a VM that owns far more members than the other VMs.
func TestOwnerSpreadsEvenly(t *testing.T) {
	counts := map[string]int{}
	vms := makeVMs(8, 1, 1)
	for _, m := range makeMembers(8000, 1, 1) {
		o, _ := Owner(m, vms)
		counts[o.Name]++
	}
	for name, n := range counts {
		require.InDelta(t, 1000, n, 150, name)
	}
}

// Guards against a member without an owner while any VM is live.
func TestOwnerFallsBackToRegionThenAny(t *testing.T) {
	m := platform.Member{Name: "m", DataCentre: "dc-00", Region: "region-0"}
	region := platform.VM{Name: "b", DataCentre: "dc-03", Region: "region-0"}
	far := platform.VM{Name: "c", DataCentre: "dc-01", Region: "region-1"}
	got, ok := Owner(m, []platform.VM{far, region})
	require.True(t, ok)
	require.Equal(t, region, got)
	got, _ = Owner(m, []platform.VM{far})
	require.Equal(t, far, got)
	_, ok = Owner(m, nil)
	require.False(t, ok)
}

// Guards against an order of promoters or readers that depends on the order of the input.
func TestRankIgnoresOrderOfInput(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	want := RendezvousOrder("orders-db.1", names)
	slices.Reverse(names)
	require.Equal(t, want, RendezvousOrder("orders-db.1", names))
	require.ElementsMatch(t, names, want)
	without := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == want[0] })
	require.Equal(t, want[1:], RendezvousOrder("orders-db.1", without))
	require.NotEqual(t, want, RendezvousOrder("orders-db.2", names))
}

// Both ends must list a link, each two data centres must have two links to each other, and no VM may have too many
// links. The test uses the fleet size of the two-year target.
func TestLinks(t *testing.T) {
	vms := makeVMs(670, 12, 3)
	peers := map[string]map[string]bool{}
	between := map[[2]string]int{}
	remoteMost := 0
	for _, v := range vms {
		peers[v.Name] = map[string]bool{}
		remote := 0
		for _, l := range HeartbeatPeers(v, vms) {
			peers[v.Name][l.Name] = true
			if l.DataCentre != v.DataCentre {
				remote++
				between[[2]string{v.DataCentre, l.DataCentre}]++
			}
		}
		remoteMost = max(remoteMost, remote)
		require.Equal(t, len(inDataCentre(v.DataCentre, vms))-1+remote, len(peers[v.Name]))
	}
	for a, list := range peers {
		for b := range list {
			require.True(t, peers[b][a], "%s lists %s but not the other way round", a, b)
		}
	}
	require.Len(t, between, 12*11)
	for pair, n := range between {
		require.Equal(t, LinksPerPair, n, pair)
	}
	require.LessOrEqual(t, remoteMost, 11)
	t.Logf("most links to other data centres: %d", remoteMost)
}

// A data centre with a single VM must have links, and no VM may have a link to itself.
func TestLinksOfSmallDataCentres(t *testing.T) {
	vms := makeVMs(3, 2, 2) // dc-00: vm-000, vm-002; dc-01: vm-001
	require.Len(t, HeartbeatPeers(vms[1], vms), 2)
	require.Len(t, HeartbeatPeers(vms[0], vms), 2)
	require.Empty(t, HeartbeatPeers(vms[0], vms[:1]))
}

// Guards against a data centre in which too many VMs or none read the table service.
func TestReaders(t *testing.T) {
	vms := makeVMs(670, 12, 3)
	for dc := range 12 {
		require.Len(t, StoreReaders(fmt.Sprintf("dc-%02d", dc), vms), StoreReadersPerDataCentre)
	}
	require.Len(t, StoreReaders("dc-00", vms[:1]), 1)
}

func BenchmarkOwner(b *testing.B) {
	vms := makeVMs(670, 12, 3)
	m := makeMembers(1, 1, 1)[0]
	b.ReportAllocs()
	for b.Loop() {
		Owner(m, vms)
	}
}

// Guards against a cached owner that is still returned after the list of live VMs has changed.
func TestCacheFollowsTheView(t *testing.T) {
	m := platform.Member{Name: "m", Service: "s", DataCentre: "dc"}
	live := []platform.VM{{Name: "a", DataCentre: "dc"}, {Name: "b", DataCentre: "dc"}}
	var c Cache
	first, ok := c.Owner(m, live)
	require.True(t, ok)
	again, _ := c.Owner(m, live)
	require.Equal(t, first, again)
	var rest []platform.VM
	for _, v := range live {
		if v.Name != first.Name {
			rest = append(rest, v)
		}
	}
	next, ok := c.Owner(m, rest)
	require.True(t, ok)
	require.Equal(t, rest[0], next)
	_, ok = c.Owner(m, nil)
	require.False(t, ok)
}
