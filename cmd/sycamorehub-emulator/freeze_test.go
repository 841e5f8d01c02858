package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// childVariable is the environment variable that makes the test binary run as the emulator.
const childVariable = "SYCAMOREHUB_EMULATOR_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startChild starts the emulator as a child process, which is killed at the end of the test.
func startChild(t *testing.T, args ...string) *os.Process {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// freeze suspends the process with SIGSTOP and waits until it has stopped, since the signal takes effect some time after it
// was sent.
func freeze(t *testing.T, p *os.Process) {
	require.NoError(t, p.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(p.Pid, &status, syscall.WUNTRACED, nil)
	require.NoError(t, err)
	require.True(t, status.Stopped())
}

// TestFrozenPrimary guards against a primary that is replaced while it is frozen and that, once it runs again, keeps a
// write that reached it in the meantime.
func TestFrozenPrimary(t *testing.T) {
	topo, err := topology.Kitakata()
	require.NoError(t, err)
	topologyFile := filepath.Join(t.TempDir(), "topology.json")
	require.NoError(t, topo.Save(topologyFile))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := httpapi.New(httpapi.Options{Timeout: testTimeout})
	members := topo.Services[0].Members
	var processes []*os.Process
	for _, m := range members {
		processes = append(processes, startChild(t, "member", "--topology", topologyFile, "--name", m.Name))
	}
	waitStatus := func(m platform.Member, condition func(platform.Status) bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			s, err := client.Status(ctx, m, platform.StatusWait{})
			return err == nil && condition(s)
		}, testTimeout, time.Millisecond)
	}
	for _, m := range members {
		waitStatus(m, func(s platform.Status) bool { return s.Applied == 1 })
	}
	conn, err := pgx.Connect(ctx, "postgres://u@"+members[0].DataAddr+"/plate-registry.1")
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()

	freeze(t, processes[0])
	lateWrite := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "INSERT INTO t (key, value) VALUES ('late', '1')", pgx.QueryExecModeSimpleProtocol)
		lateWrite <- err
	}()
	for _, m := range members[1:] {
		_, err := client.Fence(ctx, m, 2, "p")
		require.NoError(t, err)
	}
	_, err = client.Promote(ctx, members[1], 2, "p")
	require.NoError(t, err)
	require.NoError(t, processes[0].Signal(syscall.SIGCONT))
	require.NoError(t, <-lateWrite, "the old primary must accept the write, since it does not know yet that it was replaced")
	require.Equal(t, "1/2", conn.PgConn().ParameterStatus("group_position"))

	_, err = client.Follow(ctx, members[0], 2, members[1])
	require.NoError(t, err)
	waitStatus(members[0], func(s platform.Status) bool { return s.AppliedTerm == 2 && s.LastPosition == 2 })
	var rowCount int64
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&rowCount))
	require.Zero(t, rowCount)
}
