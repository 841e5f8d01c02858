// Package demo runs one user's installation as processes on loopback with a short workload. It is not part
// of the product, and its figures are no measurement.
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

// DefaultDuration is the length of the workload.
const DefaultDuration = 8 * time.Second

const sessionKeys = 30

// Options of a demo run.
type Options struct {
	User        string
	Duration    time.Duration
	Seed        uint64
	KillPrimary bool // kill a primary halfway through
	KeepRunning bool // stay up until ctx ends
	Delays      bool // put the user's network delays and region bandwidth between the processes
	Out         io.Writer
}

// user is one of the two installations with its work.
type user struct {
	topology func() (*topology.Topology, error)
	config   []byte
	classes  []workload.Class
}

const callerPause = 40 * time.Millisecond

var users = map[string]user{
	"kitakata": {topology.Kitakata, examples.Kitakata, []workload.Class{
		{Name: "order", Kind: workload.Write, Callers: 12, Pause: callerPause, ReadBack: "confirm"},
		{Name: "lookup", Kind: workload.Read, Callers: 20, Pause: callerPause},
		{Name: "etch-jobs", Kind: workload.Read, Callers: 10, Pause: callerPause},
	}},
	"kasica": {topology.Kasica, examples.Kasica, []workload.Class{
		{Name: "checkout", Kind: workload.Write, Callers: 12, Pause: callerPause, ReadBack: "account"},
		{Name: "menu", Kind: workload.Read, Callers: 30, Pause: callerPause},
		{Name: "report", Kind: workload.Read, Callers: 10, Pause: callerPause},
	}},
}

// Run starts the processes, runs the workload, prints the summary and stops everything.
func Run(ctx context.Context, o Options) error {
	u, ok := users[o.User]
	if !ok {
		return fmt.Errorf("user %q must be kitakata or kasica", o.User)
	}
	dir, err := os.MkdirTemp("", "sycamorehub-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := start(ctx, o, u, dir)
	if err != nil {
		return err
	}
	defer c.Close()
	if c.Network != nil {
		defer func() { _ = c.Network.Close() }()
	}
	if err := serve(ctx, o, u, c); err != nil {
		return err
	}
	if o.KeepRunning {
		printAddresses(o.Out, c)
		<-ctx.Done()
	}
	return c.Shutdown()
}

func start(ctx context.Context, o Options, u user, dir string) (*launch.Cluster, error) {
	fmt.Fprintln(o.Out, "building the programs")
	if err := launch.Build(ctx, dir); err != nil {
		return nil, err
	}
	t, err := u.topology()
	if err != nil {
		return nil, err
	}
	if err := t.FillAddresses(); err != nil {
		return nil, err
	}
	members := 0
	for _, s := range t.Services {
		members += len(s.Members)
	}
	fmt.Fprintf(o.Out, "starting the platform, %d members of %d services and %d daemons\n", members, len(t.Services), len(t.VMs))
	lo := launch.Options{Dir: dir, BinDir: dir, Topology: t, Config: u.config, LogLevel: "error"}
	if o.Delays {
		if lo.Network, err = netfault.New(t); err != nil {
			return nil, err
		}
	}
	return launch.Start(ctx, lo)
}

// serve runs the workload and prints its summary.
func serve(ctx context.Context, o Options, u user, c *launch.Cluster) error {
	fmt.Fprintf(o.Out, "running the workload for %v (seed %d)\n", o.Duration, o.Seed)
	if o.KillPrimary {
		name := c.Topology.Services[0].Members[0].Name
		timer := time.AfterFunc(o.Duration/2, func() {
			fmt.Fprintf(o.Out, "killing %s, the primary of %s\n", name, c.Topology.Services[0].Name)
			c.Members[name].Kill()
		})
		defer timer.Stop()
	}
	callers := c.Topology
	if c.Network != nil {
		callers = c.Network.TopologyFrom(netfault.Clients)
	}
	res := workload.Run(ctx, workload.Options{
		Addrs: CallerAddrs(callers), Database: c.Topology.Services[0].Database, Keys: sessionKeys,
		Classes: u.classes, Duration: o.Duration, Seed: o.Seed,
	})
	doc, err := clusterconfig.Parse(u.config)
	if err != nil {
		return err
	}
	printClasses(o.Out, doc, res)
	primaries, err := Primaries(ctx, c)
	if err != nil {
		return err
	}
	ledger, err := res.Check(ctx, primaries)
	if err != nil {
		return err
	}
	printLedger(o.Out, res, ledger)
	return nil
}

// CallerAddrs returns the caller addresses of all entry VMs.
func CallerAddrs(t *topology.Topology) []string {
	addrs := make([]string, len(t.VMs))
	for i, vm := range t.VMs {
		addrs[i] = vm.CallerAddr
	}
	return addrs
}

// Primaries returns the data address of each service's present primary: the one with the highest term.
func Primaries(ctx context.Context, c *launch.Cluster) ([]string, error) {
	client := c.PlatformClient()
	var addrs []string
	for _, s := range c.Topology.Services {
		var best platform.Status
		var addr string
		for _, m := range s.Members {
			st, err := client.Status(ctx, m, platform.StatusWait{})
			if err == nil && st.Role == platform.RolePrimary && st.FencedTerm >= best.FencedTerm {
				best, addr = st, m.DataAddr
			}
		}
		if addr == "" {
			return nil, fmt.Errorf("service %s has no primary", s.Name)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

func printClasses(out io.Writer, doc *clusterconfig.Document, res *workload.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCLASS\tRANK\tTARGET\tREQUESTS\tSERVED\tWITHIN\tP50\tP99\tREFUSED\tUNKNOWN\tERRORS")
	for _, c := range doc.Classes {
		r := res.Classes[c.Name]
		if r == nil || r.Requests == 0 {
			continue
		}
		target := time.Duration(c.Target.Latency)
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%.2f%%\t%v\t%v\t%d\t%d\t%s\n", c.Name, c.Rank, target, r.Requests, r.Served,
			100*r.Within(target), round(r.Quantile(0.5)), round(r.Quantile(0.99)), r.Refused, r.Unknown, errorText(r.Errors))
	}
	_ = w.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func errorText(errs map[string]int) string {
	var parts []string
	for code, n := range errs {
		parts = append(parts, fmt.Sprintf("%s x%d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

func printLedger(out io.Writer, res *workload.Result, l *workload.Ledger) {
	fmt.Fprintf(out, "\norders: %d acknowledged (%d lost), %d refused (%d ran anyway), %d unknown (%d of them ran)\n",
		l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown, l.UnknownPresent)
	fmt.Fprintf(out, "session reads: %d, of which %d missed the session's own write\n", res.SessionReads, res.StaleSessionReads)
}

func printAddresses(out io.Writer, c *launch.Cluster) {
	fmt.Fprintln(out, "\nentry VMs (callers, admin); interrupt to stop:")
	for _, vm := range c.Topology.VMs {
		fmt.Fprintf(out, "  %-16s %-16s postgres://caller@%s/%s  http://%s\n", vm.Name, vm.DataCentre, vm.CallerAddr,
			c.Topology.Services[0].Database, vm.AdminAddr)
	}
}
