package main

import (
	"context"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

const testTimeout = 8 * time.Second // reached only if the test fails

// TestCommands guards against subcommands that do not start the platform or the members that the topology describes.
func TestCommands(t *testing.T) {
	topo, err := topology.Kasica()
	require.NoError(t, err)
	topologyFile := filepath.Join(t.TempDir(), "topology.json")
	require.NoError(t, topo.Save(topologyFile))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	var commands sync.WaitGroup
	defer commands.Wait()
	defer cancel()
	run := func(args ...string) {
		commands.Go(func() {
			if err := command().Run(ctx, append([]string{"sycamorehub-emulator"}, args...)); err != nil {
				t.Error(err)
			}
		})
	}
	run("platform", "--topology", topologyFile)
	members := topo.Services[0].Members
	for _, m := range members {
		run("member", "--topology", topologyFile, "--name", m.Name, "--lag", "1ms", "--connect-delay", "0s")
	}
	client := httpapi.New(httpapi.Options{BaseURL: "http://" + topo.PlatformAddr, Timeout: testTimeout})
	require.Eventually(t, func() bool {
		vms, err := client.VMs(ctx)
		return err == nil && len(vms) == len(topo.VMs)
	}, testTimeout, time.Millisecond)
	for _, m := range members {
		require.Eventually(t, func() bool {
			s, err := client.Status(ctx, m, platform.StatusWait{})
			return err == nil && s.LastTerm == 1
		}, testTimeout, time.Millisecond)
	}
	conn, err := pgx.Connect(ctx, "postgres://u@"+members[0].DataAddr+"/orders-db.1")
	require.NoError(t, err)
	_, err = conn.Exec(ctx, "INSERT INTO t (key, value) VALUES ('a', 'b')")
	require.NoError(t, err)
	s, err := client.Status(ctx, members[2], platform.StatusWait{After: 1, Timeout: testTimeout})
	require.NoError(t, err)
	require.Equal(t, platform.Position(2), s.LastPosition)
	require.NoError(t, conn.Close(ctx))
}
