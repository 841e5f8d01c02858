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

// Ownership moves. Each service has one member, so that a statement needs the owner of exactly that member.
const (
	// DefaultMoveDaemons is the usual number of daemons. The heartbeat interval, and with it the time until a silent VM counts
	// as gone, grows with their number.
	DefaultMoveDaemons = 16
	moveServices       = 24
	// moveAttempt is the time between attempts at a member, each on a connection of its own: a caller whose statement
	// went to a lost VM waits longer than one that comes later.
	moveAttempt = 50 * time.Millisecond
	moveLimit   = 20 * time.Second
	moveRounds  = 2 // of each kind of loss
)

var errNotServed = errors.New("members were not served after the loss of their owners; see the daemons' logs")

// OwnerMoves measures the time from the loss of entry VMs to the first statement served on each member that they owned,
// seen by new callers of another VM. Sizes are VMs lost at once. A killed VM's connections are reset; a silent one
// answers nothing any more, as when its machine or network fails.
func OwnerMoves(ctx context.Context, sizes []int, daemons int) (*Report, error) {
	r := NewReport("recovery-owners", "VMs lost at once")
	r.Notes["cluster"] = fmt.Sprintf("%d daemons in one data centre, heartbeat interval %v; %d services of one member",
		daemons, membership.Interval(daemons-1), moveServices)
	for _, n := range sizes {
		for range moveRounds {
			values := map[string]float64{}
			for _, silent := range []bool{false, true} {
				if err := measureMoves(ctx, daemons, n, silent, values); err != nil {
					return nil, err
				}
			}
			r.Add(float64(n), values)
		}
	}
	r.Finish()
	return r, nil
}

func measureMoves(ctx context.Context, daemons, lost int, silent bool, out map[string]float64) error {
	c, err := startShape(ctx, shape{daemons, moveServices, 1, benchConfig})
	if err != nil {
		return err
	}
	defer c.close()
	owned := c.ownedServices()
	victims := busiest(owned, lost)
	entry := c.survivor(victims)
	for i := range moveServices { // all members have been used
		if err := c.tryService(entry.CallerAddr, i); err != nil {
			return err
		}
	}
	start := time.Now()
	for _, name := range victims {
		if p := c.Daemon(name); !silent {
			p.Kill()
		} else if err := p.Freeze(); err != nil {
			return err
		}
	}
	defer func() {
		for _, name := range victims {
			c.Daemon(name).Kill()
		}
	}()
	var took []float64
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, name := range victims {
		for _, service := range owned[name] {
			wg.Go(func() {
				if d, ok := c.firstServed(ctx, entry.CallerAddr, service, start); ok {
					mu.Lock()
					defer mu.Unlock()
					took = append(took, d.Seconds())
				}
			})
		}
	}
	wg.Wait()
	members := 0
	for _, name := range victims {
		members += len(owned[name])
	}
	if len(took) < members {
		return fmt.Errorf("%w: %d of %d", errNotServed, members-len(took), members)
	}
	kind := "killed"
	if silent {
		kind = "silent"
	}
	out["members"] = float64(members)
	out[kind+"_median_s"], out[kind+"_last_s"] = quantile(took, 0.5), quantile(took, 1)
	return nil
}

// ownedServices returns the indexes of the services whose member each VM owns.
func (c *cluster) ownedServices() map[string][]int {
	out := map[string][]int{}
	for i, s := range c.Topology.Services {
		vm, _ := ownership.Owner(s.Members[0], c.Topology.PlatformVMs())
		out[vm.Name] = append(out[vm.Name], i)
	}
	return out
}

// busiest returns the n VMs that own most members.
func busiest(owned map[string][]int, n int) []string {
	var names []string
	for name := range owned {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(len(owned[b])-len(owned[a]), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

func (c *cluster) survivor(victims []string) topology.EntryVM {
	for _, vm := range c.Topology.VMs {
		if !slices.Contains(victims, vm.Name) {
			return vm
		}
	}
	return topology.EntryVM{}
}

// tryService runs one statement of a new caller.
func (c *cluster) tryService(addr string, service int) error {
	caller, err := openSession(addr, map[string]string{"user": "capacity", "database": c.Topology.Services[service].Name})
	if err != nil {
		return err
	}
	defer func() { _ = caller.Close() }()
	if caller.buf[0] == 'E' {
		return errors.New("refused")
	}
	return nil
}

// firstServed sends statements until one is served.
func (c *cluster) firstServed(ctx context.Context, addr string, service int, start time.Time) (time.Duration, bool) {
	served := make(chan time.Duration, int(moveLimit/moveAttempt)+1)
	t := time.NewTicker(moveAttempt)
	defer t.Stop()
	for limit := time.After(moveLimit); ; {
		go func() {
			if c.tryService(addr, service) == nil {
				served <- time.Since(start)
			}
		}()
		select {
		case d := <-served:
			return d, true
		case <-limit:
			return 0, false
		case <-ctx.Done():
			return 0, false
		case <-t.C:
		}
	}
}
