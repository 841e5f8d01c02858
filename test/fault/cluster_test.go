// Package fault holds integration tests: real processes behind a network that injects faults. Each test covers one
// guarantee of the system under one failure, or under several at once.
package fault

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// binDir is the directory of the programs under test, which TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sycamorehub-fault-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := launch.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// cluster is a running installation and the network between its processes.
type cluster struct {
	*launch.Cluster
	t        *testing.T
	network  *netfault.Network
	endFlood func()            // ends the flood of startBatchFlood or startUrgentFlood
	classes  map[string]string // own class names by the Kitakata classes that the tests name; nil for Kitakata
	database string            // database that callers connect to; "" is the first service
}

// start runs the Kitakata installation, reduced to its first service, behind a fault-injecting network.
func start(t *testing.T, change func(o *launch.Options)) *cluster {
	t.Helper()
	return startService(t, 0, change)
}

// startService is start for the service with the given index. The first primary of each service is in another data
// centre; that of the third service is alone in its region.
func startService(t *testing.T, index int, change func(o *launch.Options)) *cluster {
	t.Helper()
	topo, err := topology.Kitakata()
	require.NoError(t, err)
	require.NoError(t, topo.FillAddresses())
	topo.Services = topo.Services[index : index+1]
	return startTopology(t, topo, change)
}

// startTopology runs an installation with the example configuration of Kitakata; change may alter the options. A test
// that fails logs the output of all daemons.
func startTopology(t *testing.T, topo *topology.Topology, change func(o *launch.Options)) *cluster {
	t.Helper()
	network, err := netfault.New(topo)
	require.NoError(t, err)
	t.Cleanup(func() { _ = network.Close() })
	o := launch.Options{Dir: t.TempDir(), BinDir: binDir, Topology: topo, Network: network, Config: examples.Kitakata}
	if change != nil {
		change(&o)
	}
	c, err := launch.Start(context.Background(), o)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	t.Cleanup(func() {
		for _, vm := range topo.VMs {
			if p := c.Daemon(vm.Name); t.Failed() && p != nil {
				t.Logf("output of %s:\n%s", vm.Name, p.Output())
			}
		}
	})
	return &cluster{Cluster: c, t: t, network: network}
}

// startKasica runs the Kašica installation, reduced to its first service, behind a fault-injecting network.
func startKasica(t *testing.T) *cluster {
	t.Helper()
	topo, err := topology.Kasica()
	require.NoError(t, err)
	topo.Services = topo.Services[:1]
	c := startTopology(t, topo, func(o *launch.Options) { o.Config = examples.Kasica })
	c.classes = map[string]string{"order": "checkout", "confirm": "account", "lookup": "menu", "record": "change",
		"etch-jobs": "report", "etch-done": "import"}
	return c
}

// classFor returns the class of the running installation that corresponds to a class of Kitakata.
func (c *cluster) classFor(name string) string {
	if own, ok := c.classes[name]; ok {
		return own
	}
	return name
}

// service returns the first service of the installation.
func (c *cluster) service() platform.Service { return c.Topology.Services[0] }

// connect opens a session through the entry VM in the given class. params are additional startup parameters.
func (c *cluster) connect(ctx context.Context, vm, class string, params map[string]string) (*pgx.Conn, error) {
	vmEntry, err := c.VM(vm)
	require.NoError(c.t, err)
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable", vmEntry.CallerAddr, c.service().Name))
	require.NoError(c.t, err)
	cfg.RuntimeParams["sycamorehub.class"] = c.classFor(class)
	for k, param := range params {
		cfg.RuntimeParams[k] = param
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// mustConnect is connect for steps that must succeed. The connection is closed when the test ends.
func (c *cluster) mustConnect(vm, class string, params map[string]string) *pgx.Conn {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := c.connect(ctx, vm, class, params)
	require.NoError(c.t, err)
	c.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return conn
}

// status returns what a member reports on its real address, which no network fault affects.
func (c *cluster) status(m platform.Member) (platform.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.PlatformClient().Status(ctx, m, platform.StatusWait{})
}

// primary returns the current primary of the first service and its status. The member has no name if there is none.
func (c *cluster) primary() (platform.Member, platform.Status) { return c.primaryOf(c.service()) }

// primaryOf returns the current primary of a service, which is the one with the highest term, and its status.
func (c *cluster) primaryOf(s platform.Service) (platform.Member, platform.Status) {
	var bestStatus platform.Status
	var member platform.Member
	for _, m := range s.Members {
		status, err := c.status(m)
		if err == nil && status.Role == platform.RolePrimary && status.FencedTerm >= bestStatus.FencedTerm {
			bestStatus, member = status, m
		}
	}
	return member, bestStatus
}

// vmIn returns the name of the first entry VM of the data centre.
func (c *cluster) vmIn(dc string) string {
	for _, vm := range c.Topology.VMs {
		if vm.DataCentre == dc {
			return vm.Name
		}
	}
	c.t.Fatalf("no entry VM in %s", dc)
	return ""
}
