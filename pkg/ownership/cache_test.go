package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// A cached owner must not be returned after it has left, or after its member has moved to another data centre.
func TestCacheFollowsLive(t *testing.T) {
	var c Cache
	var live []platform.VM
	for i := range 6 {
		live = append(live, platform.VM{Name: fmt.Sprint("vm", i), DataCentre: fmt.Sprint("dc", i%2), Region: "r"})
	}
	m := platform.Member{Service: "s", Name: "s.a", DataCentre: "dc0", Region: "r"}
	for len(live) > 0 {
		for range 2 {
			for _, dc := range []string{"dc0", "dc1", "dc2"} {
				m.DataCentre = dc
				want, _ := Owner(m, live)
				got, ok := c.Owner(m, live)
				require.True(t, ok)
				require.Equal(t, want, got)
			}
		}
		live = append([]platform.VM(nil), live[1:]...)
	}
	_, ok := c.Owner(m, nil)
	require.False(t, ok)
}
