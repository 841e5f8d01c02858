// Package differential runs the same seeded requests through the system and through the naive proxy of test/naive.
// Without faults both must give the same answers. Under a fault the naive proxy breaks a guarantee that the system
// keeps. The tests require both, which shows that each check can fail.
package differential

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/demo"
	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Names of the systems that are compared.
const (
	systemUnderTest = "sycamorehub"
	naiveProxy      = "naive"
)

// defaultSeed is the seed when the environment variable SYCAMOREHUB_SEED is not set.
const defaultSeed = 7

// binDir holds the programs that buildAndRun has built.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs of both systems, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sycamorehub-differential-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	err = launch.Build(context.Background(), dir)
	if err == nil {
		err = exec.Command("go", "build", "-o", dir+string(filepath.Separator), "github.com/sycamorehub/sycamorehub/test/naive/cmd/naiveproxy").Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// seedOf returns the seed of a test and logs it.
func seedOf(t *testing.T) uint64 {
	t.Helper()
	seed := uint64(defaultSeed)
	if text := os.Getenv("SYCAMOREHUB_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seed = parsed
	}
	t.Logf("SYCAMOREHUB_SEED=%d", seed)
	return seed
}

// cluster is the Kitakata installation with its first service only, run by one of the two systems.
type cluster struct {
	*launch.Cluster
	system  string
	network *netfault.Network
}

// startCluster starts an installation that is closed at the end of the test.
func startCluster(t *testing.T, system string, memberArgs ...string) (*cluster, error) {
	topo, err := topology.Kitakata()
	if err != nil {
		return nil, err
	}
	topo.Services = topo.Services[:1]
	network, err := netfault.New(topo)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = network.Close() })
	options := launch.Options{
		Dir: t.TempDir(), BinDir: binDir, Topology: topo, Network: network, Config: examples.Kitakata, MemberArgs: memberArgs,
	}
	if system == naiveProxy {
		options.DaemonProgram = filepath.Join(binDir, "naiveproxy")
	}
	c, err := launch.Start(context.Background(), options)
	if err != nil {
		return nil, err
	}
	t.Cleanup(c.Close)
	return &cluster{Cluster: c, system: system, network: network}, nil
}

// runOnBoth runs f on a cluster of each system at the same time and returns the results by system.
func runOnBoth[T any](t *testing.T, f func(c *cluster) (T, error), memberArgs ...string) map[string]T {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	results, errs := map[string]T{}, map[string]error{}
	for _, system := range []string{systemUnderTest, naiveProxy} {
		wg.Go(func() {
			var res T
			c, err := startCluster(t, system, memberArgs...)
			if err == nil {
				res, err = f(c)
			}
			mu.Lock()
			defer mu.Unlock()
			results[system], errs[system] = res, err
		})
	}
	wg.Wait()
	require.NoError(t, errs[systemUnderTest], systemUnderTest)
	require.NoError(t, errs[naiveProxy], naiveProxy)
	return results
}

func (c *cluster) service() platform.Service { return c.Topology.Services[0] }

// workloadOptions returns options for callers of all entry VMs.
func (c *cluster) workloadOptions(seed uint64, duration time.Duration, classes ...workload.Class) workload.Options {
	return workload.Options{
		Addrs: demo.CallerAddrs(c.network.TopologyFrom(netfault.Clients)), Database: c.service().Name, Classes: classes, Duration: duration, Seed: seed,
	}
}

// checkLedger compares the outcomes that callers were told with the rows on the current primary.
func (c *cluster) checkLedger(res *workload.Result) (*workload.Ledger, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	primaries, err := demo.Primaries(ctx, c.Cluster)
	if err != nil {
		return nil, err
	}
	return res.Check(ctx, primaries)
}
