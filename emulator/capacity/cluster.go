package capacity

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// firstServiceName is the name of a cluster's first service. The others follow with the numbers 2, 3 and so on.
	firstServiceName  = "capacity.1"
	memberSlots       = 64
	memberConnections = 200

	// clusterSettle is the wait after all daemons are ready, until they have their first views and know the owners.
	clusterSettle = 2 * time.Second
)

// readWriteConfig is a configuration with a read class, which any member may serve, and a write class. The latencies of
// their targets are so long that no statement is refused.
const readWriteConfig = `{
  "default": "read",
  "classes": [
    {"name": "read", "rank": "routine", "access": "read", "target": {"latency": "10s", "reliability": 0.9}, "maxAge": "30s", "repeatable": true},
    {"name": "write", "rank": "routine", "access": "write", "target": {"latency": "10s", "reliability": 0.9}},
  ],
}`

// cluster is a platform, the members of some services, and some daemons, each of which runs as a process of its own.
type cluster struct {
	*launch.Cluster
	dir string // holds the programs and the files of the cluster
}

// clusterShape is the size and configuration of a cluster, all of which is in one data centre.
type clusterShape struct {
	daemons, services, members int    // members of each service
	config                     string // configuration that the daemons start with
}

// startCluster starts a cluster with one service of memberCount members and readWriteConfig.
func startCluster(ctx context.Context, daemons, memberCount int) (*cluster, error) {
	return startClusterOf(ctx, clusterShape{daemons, 1, memberCount, readWriteConfig})
}

// startClusterOf starts a cluster and waits until its daemons are ready and have settled.
func startClusterOf(ctx context.Context, shape clusterShape) (*cluster, error) {
	dir, err := os.MkdirTemp("", "sycamorehub-capacity-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir}
	if c.Cluster, err = c.startProcesses(ctx, shape); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	pause(ctx, clusterSettle)
	return c, nil
}

// startProcesses builds the programs and starts the processes.
func (c *cluster) startProcesses(ctx context.Context, shape clusterShape) (*launch.Cluster, error) {
	if err := launch.Build(ctx, c.dir); err != nil {
		return nil, err
	}
	topo := &topology.Topology{
		Name: "capacity", Regions: []topology.Region{{Name: "region-0", DataCentres: []string{"data-centre-00"}}},
		StoreRegion: "region-0",
	}
	for _, vm := range fleetVMs(1, shape.daemons) {
		vm.PeerAddr, vm.AdminAddr = "", ""
		topo.VMs = append(topo.VMs, topology.EntryVM{VM: vm})
	}
	for i := range shape.services {
		topo.Services = append(topo.Services, clusterService(i, shape.members))
	}
	if err := topo.FillAddresses(); err != nil {
		return nil, err
	}
	return launch.Start(ctx, launch.Options{
		Dir: c.dir, BinDir: c.dir, Topology: topo, Config: []byte(shape.config), LogLevel: "error",
		Settings: func(_ string, s map[string]any) { s["admin"] = map[string]any{"pprof": true} },
	})
}

// clusterService returns the service with the given index. That of index 0 is named firstServiceName.
func clusterService(index, members int) platform.Service {
	database := strings.TrimSuffix(firstServiceName, ".1")
	svc := platform.Service{Name: fmt.Sprintf("%s.%d", database, index+1), Database: database}
	for j := range members {
		svc.Members = append(svc.Members, platform.Member{
			Name: fmt.Sprintf("%s.%c", svc.Name, 'a'+j), Service: svc.Name, DataCentre: "data-centre-00",
			Region: "region-0", Slots: memberSlots, Connections: memberConnections,
		})
	}
	return svc
}

func (c *cluster) close() {
	c.Close()
	_ = os.RemoveAll(c.dir)
}

// ownerOfMember returns the VM that owns the member of the first service with the given index, and another VM, which is
// the zero value if there is none.
func (c *cluster) ownerOfMember(index int) (owner, other topology.EntryVM) {
	vm, _ := ownership.Owner(c.Topology.Services[0].Members[index], c.Topology.PlatformVMs())
	for _, candidate := range c.Topology.VMs {
		if candidate.Name == vm.Name {
			owner = candidate
		} else {
			other = candidate
		}
	}
	return owner, other
}

// resourceUsage is what a daemon has used since it started. threadSleeps counts how often its threads went to sleep.
type resourceUsage struct{ cpuSeconds, allocations, allocatedBytes, gcCycles, threadSleeps float64 }

// totalUsage returns the sum of what the daemons of the VMs have used so far.
func (c *cluster) totalUsage(ctx context.Context, vms ...topology.EntryVM) (resourceUsage, error) {
	var sum resourceUsage
	for _, vm := range vms {
		values, err := readMetrics(ctx, vm.AdminAddr)
		if err != nil {
			return sum, err
		}
		cpu, err := processCPU(c.Daemon(vm.Name).PID())
		if err != nil {
			return sum, err
		}
		sum.cpuSeconds += cpu.Seconds()
		sum.allocations += values["go_memstats_mallocs_total"]
		sum.allocatedBytes += values["go_memstats_alloc_bytes_total"]
		sum.gcCycles += values["go_gc_duration_seconds_count"]
		sum.threadSleeps += threadSleeps(c.Daemon(vm.Name).PID())
	}
	return sum, nil
}

// usageOfEach stores the usage of each VM in usages, which has the length of vms.
func (c *cluster) usageOfEach(ctx context.Context, vms []topology.EntryVM, usages []resourceUsage) error {
	for i, vm := range vms {
		u, err := c.totalUsage(ctx, vm)
		if err != nil {
			return err
		}
		usages[i] = u
	}
	return nil
}
