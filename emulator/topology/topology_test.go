package topology

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUsers guards against topologies that differ from the users' installations in the numbers of entry VMs, services,
// slots and connections, and against addresses that are used twice.
func TestUsers(t *testing.T) {
	for _, want := range []struct {
		build              func() (*Topology, error)
		vms                int
		slots, connections int
	}{{Kitakata, 7, 2, 16}, {Kasica, 6, 3, 35}} {
		top, err := want.build()
		require.NoError(t, err)
		require.Len(t, top.VMs, want.vms)
		require.Len(t, top.Services, 3)
		addrs := map[string]bool{top.PlatformAddr: true}
		addrCount := 1
		for _, v := range top.VMs {
			addrs[v.PeerAddr], addrs[v.AdminAddr], addrs[v.CallerAddr] = true, true, true
			addrCount += 3
		}
		for _, s := range top.Services {
			dataCentres := map[string]bool{}
			for _, m := range s.Members {
				require.Equal(t, []int{want.slots, want.connections}, []int{m.Slots, m.Connections})
				addrs[m.DataAddr], addrs[m.ControlAddr], dataCentres[m.DataCentre] = true, true, true
				addrCount += 2
			}
			require.Len(t, dataCentres, 3)
		}
		require.Len(t, addrs, addrCount)
		require.NotContains(t, addrs, "")

		file := filepath.Join(t.TempDir(), "topology.json")
		require.NoError(t, top.Save(file))
		loaded, err := Load(file)
		require.NoError(t, err)
		require.Equal(t, top, loaded)
		m, s, i, err := loaded.Member(top.Services[1].Members[2].Name)
		require.NoError(t, err)
		require.Equal(t, 2, i)
		require.Equal(t, s.Members[2], m)
	}
}
