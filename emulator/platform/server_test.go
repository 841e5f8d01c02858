package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

const testTimeout = 8 * time.Second // limit of every wait; reached only when a test fails

func newServer(t *testing.T) (*Server, *httpapi.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	vms := []platform.VM{{Name: "vm-1", PeerAddr: "127.0.0.1:1", State: platform.VMLive}}
	services := []platform.Service{{Name: "db.1", Members: []platform.Member{{Name: "db.1.a"}}}}
	s := Start(l, vms, services)
	t.Cleanup(func() { _ = s.Close() })
	return s, httpapi.New(httpapi.Options{BaseURL: s.URL(), Timeout: testTimeout})
}

// requestStatus sends a request and returns the status code of the answer.
func requestStatus(t *testing.T, s *Server, method, path, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, s.URL()+path, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestDirectoryChanges guards against changes over HTTP that the lists do not show, and against lists that ignore
// Faults.ListLag.
func TestDirectoryChanges(t *testing.T) {
	s, c := newServer(t)
	require.Equal(t, 204, requestStatus(t, s, "PUT", "/vms/vm-1", `{"state": "leaving"}`))
	require.Equal(t, 204, requestStatus(t, s, "PUT", "/vms/vm-2", `{"peerAddr": "127.0.0.1:2", "state": "live"}`))
	require.Equal(t, 404, requestStatus(t, s, "PUT", "/vms/none", `{"state": "leaving"}`))
	require.Equal(t, 204, requestStatus(t, s, "PUT", "/members/db.1.a", `{"leaving": true}`))
	vms, err := c.VMs(t.Context())
	require.NoError(t, err)
	require.Len(t, vms, 2)
	require.Equal(t, platform.VMLeaving, vms[0].State)
	services, err := c.Services(t.Context())
	require.NoError(t, err)
	require.True(t, services[0].Members[0].Leaving)

	require.Equal(t, 204, requestStatus(t, s, "PUT", "/faults", `{"listLagMs": 3600000}`))
	vms, err = c.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, platform.VMLive, vms[0].State)
	require.Len(t, vms, 1)
	require.Equal(t, 400, requestStatus(t, s, "PUT", "/faults", `{"unknown": 1}`))
	require.Equal(t, 204, requestStatus(t, s, "DELETE", "/vms/vm-2", ""))
}

// TestFaultsAndCounters guards against outages that affect services outside the outage, and against requests that are
// not counted.
func TestFaultsAndCounters(t *testing.T) {
	s, c := newServer(t)
	ctx := t.Context()
	s.SetFaults(Faults{ListOutage: true})
	_, err := c.VMs(ctx)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = c.Put(ctx, "k", nil, 0)
	require.NoError(t, err)

	s.SetFaults(Faults{StoreOutage: true, Silent: true})
	done := make(chan error, 1)
	go func() {
		_, err := c.Get(ctx, "k")
		done <- err
	}()
	require.Eventually(t, func() bool { return s.Counters().Reads.Total == 1 }, testTimeout, time.Millisecond)
	s.SetFaults(Faults{})
	require.NoError(t, <-done, "a request that waits in a silent outage continues when the outage ends")

	s.SetFaults(Faults{DropAnswers: DropAll})
	for i := range uint64(2) {
		_, err = c.Put(ctx, "k", nil, i+1)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	}
	var n Counters
	resp, err := http.Get(s.URL() + PathCounters)
	require.NoError(t, err)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&n))
	require.NoError(t, resp.Body.Close())
	require.Equal(t, []uint64{1, 3, 1}, []uint64{n.Reads.Total, n.Writes.Total, n.Lists.Total})

	s.SetFaults(Faults{Latency: topology.Ms(time.Hour)})
	abandonedCtx, cancel := context.WithCancel(ctx)
	go func() {
		_, err := c.Put(abandonedCtx, "k", nil, 3)
		done <- err
	}()
	require.Eventually(t, func() bool { return s.Counters().Writes.Total == 4 }, testTimeout, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, platform.ErrOutcomeUnknown)
	row, _ := s.Row("k")
	require.Equal(t, uint64(3), row.Version, "a request cancelled during the latency must not take effect")
}

// TestMeter guards against rates that count requests in the wrong second.
func TestMeter(t *testing.T) {
	var m rateMeter
	m.current, m.total = 5, 5
	m.advance(1)
	require.Equal(t, Rate{Total: 5, LastSecond: 5, Peak: 5}, m.rate())
	m.current = 2
	m.advance(4)
	require.Equal(t, Rate{Total: 5, LastSecond: 0, Peak: 5}, m.rate())
}

// TestConditionalLists guards against polls that transfer an unchanged list, and against conditional requests that miss
// a change.
func TestConditionalLists(t *testing.T) {
	s, c := newServer(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL()+httpapi.PathServices, nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	req.Header.Set("If-None-Match", resp.Header.Get("ETag"))
	resp, err = http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNotModified, resp.StatusCode)

	for _, leaving := range []bool{false, false, true, true, false} {
		require.NoError(t, s.SetMemberLeaving("db.1.a", leaving))
		list, err := c.Services(t.Context())
		require.NoError(t, err)
		require.Equal(t, leaving, list[0].Members[0].Leaving)
	}
}
