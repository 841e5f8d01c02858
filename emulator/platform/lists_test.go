package platform

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// TestUnchangedListIsNotSent guards against polls that transfer unchanged lists, and against a client that keeps an old
// list after a change.
func TestUnchangedListIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := Start(l, []platform.VM{{Name: "a", PeerAddr: "a:1", State: platform.VMLive}}, nil)
	t.Cleanup(func() { _ = s.Close() })

	c := httpapi.New(httpapi.Options{BaseURL: s.URL()})
	first, err := c.VMs(t.Context())
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL()+httpapi.PathVMs, nil)
	require.NoError(t, err)
	full, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, full.Body.Close())
	req.Header.Set("If-None-Match", full.Header.Get("ETag"))
	same, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, same.Body.Close())
	require.Equal(t, http.StatusNotModified, same.StatusCode)

	again, err := c.VMs(t.Context())
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0], "the client must return the same slice for an unchanged list")
	require.NoError(t, s.SetVMState("a", platform.VMLeaving))
	changed, err := c.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, platform.VMLeaving, changed[0].State)
	require.NoError(t, s.SetVMState("a", platform.VMLive))
	back, err := c.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, back)
	services, err := c.Services(t.Context())
	require.NoError(t, err)
	require.Empty(t, services)
}
