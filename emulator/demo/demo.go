// Package demo runs one installation as processes on loopback with a short workload, and prints what callers saw. It is
// not part of the product. Its figures are not measurements.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// DefaultDuration is the default length of the workload.
const DefaultDuration = 8 * time.Second

// sessionKeyCount is the number of session keys, which spread the callers over the services.
const sessionKeyCount = 30

// Options configure a run of the demo.
type Options struct {
	User        string        // name of the installation: kitakata or kasica
	Duration    time.Duration // of the workload
	Seed        uint64        // of the workload
	KillPrimary bool          // kill the primary of the first service halfway through the workload
	KeepRunning bool          // keep the processes running after the workload, until ctx ends
	Delays      bool          // put the network delays and the region bandwidth of the installation between the processes
	Out         io.Writer
}

// installation is a topology with its configuration and workload.
type installation struct {
	topology func() (*topology.Topology, error)
	config   []byte
	classes  []workload.Class
}

// meanPause is the mean pause of a caller between two requests.
const meanPause = 40 * time.Millisecond

var installations = map[string]installation{
	"kitakata": {topology.Kitakata, examples.Kitakata, []workload.Class{
		{Name: "order", Kind: workload.Write, Callers: 12, Pause: meanPause, ReadBack: "confirm"},
		{Name: "lookup", Kind: workload.Read, Callers: 20, Pause: meanPause},
		{Name: "etch-jobs", Kind: workload.Read, Callers: 10, Pause: meanPause},
	}},
	"kasica": {topology.Kasica, examples.Kasica, []workload.Class{
		{Name: "checkout", Kind: workload.Write, Callers: 12, Pause: meanPause, ReadBack: "account"},
		{Name: "menu", Kind: workload.Read, Callers: 30, Pause: meanPause},
		{Name: "report", Kind: workload.Read, Callers: 10, Pause: meanPause},
	}},
}

// Run starts the processes, runs the workload, prints the summary and stops everything.
func Run(ctx context.Context, opts Options) error {
	inst, ok := installations[opts.User]
	if !ok {
		return fmt.Errorf("user %q must be kitakata or kasica", opts.User)
	}
	dir, err := os.MkdirTemp("", "sycamorehub-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := startCluster(ctx, opts, inst, dir)
	if err != nil {
		return err
	}
	defer c.Close()
	if c.Network != nil {
		defer func() { _ = c.Network.Close() }()
	}
	if err := runWorkload(ctx, opts, inst, c); err != nil {
		return err
	}
	if opts.KeepRunning {
		printAddresses(opts.Out, c)
		<-ctx.Done()
	}
	return c.Shutdown()
}

// startCluster builds the programs in dir and starts the processes, through a network if opts.Delays is set.
func startCluster(ctx context.Context, opts Options, inst installation, dir string) (*launch.Cluster, error) {
	fmt.Fprintln(opts.Out, "building the programs")
	if err := launch.Build(ctx, dir); err != nil {
		return nil, err
	}
	topo, err := inst.topology()
	if err != nil {
		return nil, err
	}
	if err := topo.FillAddresses(); err != nil {
		return nil, err
	}
	members := 0
	for _, s := range topo.Services {
		members += len(s.Members)
	}
	fmt.Fprintf(opts.Out, "starting the platform, %d members of %d services and %d daemons\n", members, len(topo.Services), len(topo.VMs))
	launchOpts := launch.Options{Dir: dir, BinDir: dir, Topology: topo, Config: inst.config, LogLevel: "error"}
	if opts.Delays {
		if launchOpts.Network, err = netfault.New(topo); err != nil {
			return nil, err
		}
	}
	return launch.Start(ctx, launchOpts)
}

// runWorkload runs the workload, kills a primary meanwhile if opts.KillPrimary is set, compares the orders with the rows
// and prints a summary.
func runWorkload(ctx context.Context, opts Options, inst installation, c *launch.Cluster) error {
	fmt.Fprintf(opts.Out, "running the workload for %v (seed %d)\n", opts.Duration, opts.Seed)
	if opts.KillPrimary {
		name := c.Topology.Services[0].Members[0].Name
		timer := time.AfterFunc(opts.Duration/2, func() {
			fmt.Fprintf(opts.Out, "killing %s, the primary of %s\n", name, c.Topology.Services[0].Name)
			c.Members[name].Kill()
		})
		defer timer.Stop()
	}
	callerTopology := c.Topology
	if c.Network != nil {
		callerTopology = c.Network.TopologyFrom(netfault.Clients)
	}
	res := workload.Run(ctx, workload.Options{
		Addrs: CallerAddrs(callerTopology), Database: c.Topology.Services[0].Database, Keys: sessionKeyCount,
		Classes: inst.classes, Duration: opts.Duration, Seed: opts.Seed,
	})
	doc, err := clusterconfig.Parse(inst.config)
	if err != nil {
		return err
	}
	printClasses(opts.Out, doc, res)
	primaries, err := Primaries(ctx, c)
	if err != nil {
		return err
	}
	ledger, err := res.Check(ctx, primaries)
	if err != nil {
		return err
	}
	printLedger(opts.Out, res, ledger)
	return nil
}

// CallerAddrs returns the addresses at which the entry VMs of a topology serve callers.
func CallerAddrs(t *topology.Topology) []string {
	addrs := make([]string, len(t.VMs))
	for i, vm := range t.VMs {
		addrs[i] = vm.CallerAddr
	}
	return addrs
}

// Primaries returns the data address of the present primary of each service, in the order of the services. A member that
// was the primary of an earlier term may still report that role, so the highest term decides.
func Primaries(ctx context.Context, c *launch.Cluster) ([]string, error) {
	client := c.PlatformClient()
	var addrs []string
	for _, svc := range c.Topology.Services {
		var primary platform.Status
		var addr string
		for _, m := range svc.Members {
			status, err := client.Status(ctx, m, platform.StatusWait{})
			if err == nil && status.Role == platform.RolePrimary && status.FencedTerm >= primary.FencedTerm {
				primary, addr = status, m.DataAddr
			}
		}
		if addr == "" {
			return nil, fmt.Errorf("service %s has no primary", svc.Name)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// printClasses prints a table with a row for each class that had requests.
func printClasses(out io.Writer, doc *clusterconfig.Document, res *workload.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCLASS\tRANK\tTARGET\tREQUESTS\tSERVED\tWITHIN TARGET\tP50\tP99\tREFUSED\tUNKNOWN\tERRORS")
	for _, class := range doc.Classes {
		result := res.Classes[class.Name]
		if result == nil || result.Requests == 0 {
			continue
		}
		target := time.Duration(class.Target.Latency)
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%.2f%%\t%v\t%v\t%d\t%d\t%s\n", class.Name, class.Rank, target,
			result.Requests, result.Served, 100*result.Within(target), roundLatency(result.Quantile(0.5)),
			roundLatency(result.Quantile(0.99)), result.Refused, result.Unknown, formatErrors(result.Errors))
	}
	_ = w.Flush()
}

func roundLatency(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// formatErrors returns the error codes with their counts, sorted and separated by spaces.
func formatErrors(counts map[string]int) string {
	var parts []string
	for code, n := range counts {
		parts = append(parts, fmt.Sprintf("%s x%d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// printLedger prints how the orders compare with the rows, and how many session reads were stale.
func printLedger(out io.Writer, res *workload.Result, l *workload.Ledger) {
	fmt.Fprintf(out, "\norders: %d acknowledged (%d lost), %d refused (%d ran anyway), %d of unknown outcome (%d of them ran)\n",
		l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown, l.UnknownPresent)
	fmt.Fprintf(out, "session reads: %d, of which %d missed the session's own write\n", res.SessionReads, res.StaleSessionReads)
}

// printAddresses prints the addresses at which the entry VMs serve callers and operators.
func printAddresses(out io.Writer, c *launch.Cluster) {
	fmt.Fprintln(out, "\nentry VMs with their addresses for callers and for operators; interrupt to stop:")
	for _, vm := range c.Topology.VMs {
		fmt.Fprintf(out, "  %-16s %-16s postgres://caller@%s/%s  http://%s\n", vm.Name, vm.DataCentre, vm.CallerAddr,
			c.Topology.Services[0].Database, vm.AdminAddr)
	}
}
