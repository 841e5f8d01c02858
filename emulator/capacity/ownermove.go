package capacity

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
)

// Times and sizes of a measurement of ownership moves. Each service has one member, so that a statement needs the owner of
// exactly that member.
const (
	// DefaultMoveDaemons is the default number of daemons. The heartbeat interval grows with the number of daemons, and with
	// it the time until a silent VM counts as gone.
	DefaultMoveDaemons = 16
	moveServices       = 24
	// moveAttemptInterval is the time between attempts to run a statement on a member. Each attempt has a connection of its
	// own, since a caller whose statement went to a lost VM waits longer than a caller that arrives later.
	moveAttemptInterval = 50 * time.Millisecond
	moveTimeout         = 20 * time.Second
	moveRounds          = 2 // measurements of each kind of loss and number of lost VMs
)

var errNotServed = errors.New("members served no statement in time after their owners were lost; see the daemons' logs")

// OwnerMoves measures the time from the loss of entry VMs to the first statement that is served on each member that they
// owned, as seen by new callers of another VM. Sizes are numbers of VMs lost at once. The connections of a killed VM are
// reset. A silent VM stops answering, as when its machine or network fails.
func OwnerMoves(ctx context.Context, sizes []int, daemons int) (*Report, error) {
	r := NewReport("recovery-owners", "VMs lost at once")
	r.Notes["cluster"] = fmt.Sprintf("%d daemons in one data centre, heartbeat interval %v; %d services of one member",
		daemons, membership.Interval(daemons-1), moveServices)
	for _, lostCount := range sizes {
		for range moveRounds {
			values := map[string]float64{}
			for _, silent := range []bool{false, true} {
				if err := measureMoves(ctx, daemons, lostCount, silent, values); err != nil {
					return nil, err
				}
			}
			r.Add(float64(lostCount), values)
		}
	}
	r.Finish()
	return r, nil
}

// measureMoves measures the loss of the lostCount VMs that own most members and adds the times to values.
func measureMoves(ctx context.Context, daemons, lostCount int, silent bool, values map[string]float64) error {
	cluster, err := startClusterOf(ctx, clusterShape{daemons, moveServices, 1, readWriteConfig})
	if err != nil {
		return err
	}
	defer cluster.close()
	ownedServices := cluster.servicesByOwner()
	lostVMs := vmsOwningMost(ownedServices, lostCount)
	entryVM := cluster.firstVMExcept(lostVMs)
	for i := range moveServices { // so that every member has been used before the loss
		if err := cluster.tryStatement(entryVM.CallerAddr, i); err != nil {
			return err
		}
	}
	start := time.Now()
	for _, name := range lostVMs {
		if process := cluster.Daemon(name); !silent {
			process.Kill()
		} else if err := process.Freeze(); err != nil {
			return err
		}
	}
	defer func() {
		for _, name := range lostVMs {
			cluster.Daemon(name).Kill()
		}
	}()
	var durations []float64
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, name := range lostVMs {
		for _, service := range ownedServices[name] {
			wg.Go(func() {
				if d, ok := cluster.timeToFirstServed(ctx, entryVM.CallerAddr, service, start); ok {
					mu.Lock()
					defer mu.Unlock()
					durations = append(durations, d.Seconds())
				}
			})
		}
	}
	wg.Wait()
	members := 0
	for _, name := range lostVMs {
		members += len(ownedServices[name])
	}
	if len(durations) < members {
		return fmt.Errorf("%w: %d of %d", errNotServed, members-len(durations), members)
	}
	kind := "killed"
	if silent {
		kind = "silent"
	}
	values["members"] = float64(members)
	values[kind+"_median_s"], values[kind+"_last_s"] = quantile(durations, 0.5), quantile(durations, 1)
	return nil
}

// servicesByOwner returns, by the name of the owning VM, the indexes of the services whose member the VM owns.
func (c *cluster) servicesByOwner() map[string][]int {
	out := map[string][]int{}
	for i, s := range c.Topology.Services {
		vm, _ := ownership.Owner(s.Members[0], c.Topology.PlatformVMs())
		out[vm.Name] = append(out[vm.Name], i)
	}
	return out
}

// vmsOwningMost returns the names of the count VMs that own most members.
func vmsOwningMost(ownedServices map[string][]int, count int) []string {
	var names []string
	for name := range ownedServices {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(len(ownedServices[b])-len(ownedServices[a]), cmp.Compare(a, b))
	})
	return names[:min(count, len(names))]
}

// firstVMExcept returns the first VM of the topology whose name is not excluded.
func (c *cluster) firstVMExcept(excluded []string) topology.EntryVM {
	for _, vm := range c.Topology.VMs {
		if !slices.Contains(excluded, vm.Name) {
			return vm
		}
	}
	return topology.EntryVM{}
}

// tryStatement runs a statement on the service as a new caller of the VM at addr.
func (c *cluster) tryStatement(addr string, serviceIndex int) error {
	conn, err := openCallerWith(addr, map[string]string{"user": "capacity", "database": c.Topology.Services[serviceIndex].Name})
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if conn.answer[0] == 'E' {
		return errors.New("refused")
	}
	return nil
}

// timeToFirstServed sends statements until one is served and returns the time from start until then. It returns false if
// none is served within moveTimeout or ctx ends.
func (c *cluster) timeToFirstServed(ctx context.Context, addr string, serviceIndex int, start time.Time) (time.Duration, bool) {
	served := make(chan time.Duration, int(moveTimeout/moveAttemptInterval)+1)
	ticker := time.NewTicker(moveAttemptInterval)
	defer ticker.Stop()
	for timeout := time.After(moveTimeout); ; {
		go func() {
			if c.tryStatement(addr, serviceIndex) == nil {
				served <- time.Since(start)
			}
		}()
		select {
		case d := <-served:
			return d, true
		case <-timeout:
			return 0, false
		case <-ctx.Done():
			return 0, false
		case <-ticker.C:
		}
	}
}
