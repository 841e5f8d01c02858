// Package experiment measures the system and the naive proxy of test/naive, each on the installations of package
// topology with their sizes and network delays. All processes run on loopback. The package is not part of the product.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/demo"
	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/examples"
)

// Names of the systems that are measured: this one, and the naive proxy of test/naive.
const (
	SycamoreHub = "sycamorehub"
	Naive       = "naive"
)

const naivePackage = "github.com/sycamorehub/sycamorehub/test/naive/cmd/naiveproxy"

// Options of an experiment.
type Options struct {
	User    string   // name of the installation: kitakata or kasica
	Systems []string // any of SycamoreHub and Naive
	Seed    uint64
	Repeats int    // of each fault of the gap experiment, or of the move experiment
	Scene   string // the flood experiment runs only the scenes whose name contains this
	// Stand is the setting placement.stand of the daemons: how long a primary stays in place before it may move to
	// another region. 0 selects the default. If it is set, the reads experiment first waits until no primary should
	// move any more.
	Stand  time.Duration
	Output string    // directory that the JSON report is written to; empty for no report
	Out    io.Writer // receives the figures as text
}

// Report is the JSON report of one run.
type Report struct {
	Experiment  string
	User        string
	Command     string
	Seed        uint64
	Started     time.Time
	CPUs        int
	LoadAtStart string // the machine's load averages over 1, 5 and 15 min
	LoadAtEnd   string
	Results     any
}

// installation is a topology with its configuration and the classes of work that the experiments use.
type installation struct {
	topology func() (*topology.Topology, error)
	config   []byte
	// Names of the classes: an urgent write, the urgent read of the same session after it, a routine read that accepts
	// data up to a maximum age, and a batch read that does so too.
	orderClass, confirmClass, lookupClass, batchClass string
}

// installations holds the installations by the name that Options.User selects.
var installations = map[string]installation{
	"kitakata": {topology.Kitakata, examples.Kitakata, "order", "confirm", "lookup", "etch-jobs"},
	"kasica":   {topology.Kasica, examples.Kasica, "checkout", "account", "menu", "report"},
}

// runner holds what all runs of one experiment share.
type runner struct {
	Options
	installation installation
	binDir       string   // holds the programs, and a directory for the files of each cluster
	naiveArgs    []string // further arguments of the naive proxy
}

// Experiments holds the experiments by name. Each returns the results that its report holds.
var Experiments = map[string]func(context.Context, *runner) (any, error){
	"gap":    runGaps,
	"flood":  runFloods,
	"reads":  runReads,
	"stop":   runStops,
	"owners": runOwners,
	"move":   runMoves,
}

// Run runs the experiment with the given name, prints its figures and, if opts.Output is set, writes the JSON report.
func Run(ctx context.Context, name string, opts Options) error {
	experiment, inst := Experiments[name], installations[opts.User]
	if experiment == nil || inst.topology == nil {
		return fmt.Errorf("unknown experiment %q or unknown user %q", name, opts.User)
	}
	dir, err := os.MkdirTemp("", "sycamorehub-experiment-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := buildPrograms(ctx, dir); err != nil {
		return err
	}
	report := Report{
		Experiment: name, User: opts.User, Seed: opts.Seed, Started: time.Now().UTC(), CPUs: runtime.NumCPU(),
		LoadAtStart: loadAverages(), Command: commandLine(name, opts),
	}
	report.Results, err = experiment(ctx, &runner{Options: opts, installation: inst, binDir: dir})
	report.LoadAtEnd = loadAverages()
	fmt.Fprintf(opts.Out, "%s\nload average %s before, %s after, %d CPUs\n", report.Command, report.LoadAtStart, report.LoadAtEnd, report.CPUs)
	if err != nil || opts.Output == "" {
		return err
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(opts.Output, name+"-"+opts.User+".json"), append(data, '\n'), 0o644)
}

// commandLine returns the command that the report records. It leaves out the options scene and output.
func commandLine(name string, opts Options) string {
	text := fmt.Sprintf("go run ./cmd/sycamorehub-experiment %s --user %s --seed %d --repeats %d --systems %s",
		name, opts.User, opts.Seed, opts.Repeats, strings.Join(opts.Systems, ","))
	if opts.Stand > 0 {
		text += fmt.Sprintf(" --stand %v", opts.Stand)
	}
	return text
}

// buildPrograms compiles the programs of the system and the naive proxy into dir.
func buildPrograms(ctx context.Context, dir string) error {
	if err := launch.Build(ctx, dir); err != nil {
		return err
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), naivePackage).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build the naive proxy: %w\n%s", err, out)
	}
	return nil
}

// loadAverages returns the machine's load averages over 1, 5 and 15 min, or "unknown" if they cannot be read.
func loadAverages() string {
	data, err := os.ReadFile("/proc/loadavg")
	if fields := strings.Fields(string(data)); err == nil && len(fields) >= 3 {
		return strings.Join(fields[:3], " ")
	}
	return "unknown"
}

// cluster is a running installation whose data centres are connected by a network with delays and faults.
type cluster struct {
	*launch.Cluster
	network *netfault.Network
	dir     string // holds the settings and topology files of the processes
}

// start starts the installation with the program of the given system on each entry VM. The members get memberArgs as
// further arguments.
func (r *runner) start(ctx context.Context, system string, memberArgs ...string) (*cluster, error) {
	topo, err := r.installation.topology()
	if err != nil {
		return nil, err
	}
	network, err := netfault.New(topo)
	if err != nil {
		return nil, err
	}
	c := &cluster{network: network}
	if c.dir, err = os.MkdirTemp(r.binDir, "run-"); err != nil {
		return nil, err
	}
	opts := launch.Options{
		Dir: c.dir, BinDir: r.binDir, Topology: topo, Network: network, Config: r.installation.config, MemberArgs: memberArgs,
	}
	if r.Stand > 0 {
		opts.Settings = func(_ string, settings map[string]any) {
			settings["placement"] = map[string]any{"stand": r.Stand.String()}
		}
	}
	if system == Naive {
		opts.DaemonProgram, opts.DaemonArgs = filepath.Join(r.binDir, "naiveproxy"), r.naiveArgs
	}
	if c.Cluster, err = launch.Start(ctx, opts); err != nil {
		_ = network.Close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) close() {
	c.Cluster.Close()
	_ = c.network.Close()
}

// callerAddrs returns the addresses at which callers reach the entry VMs, through the network.
func (c *cluster) callerAddrs() []string {
	return demo.CallerAddrs(c.network.TopologyFrom(netfault.Clients))
}

// callerAddrsIn returns the addresses at which callers reach the entry VMs of one data centre.
func (c *cluster) callerAddrsIn(dataCentre string) map[string]bool {
	addrs := map[string]bool{}
	for _, vm := range c.network.TopologyFrom(netfault.Clients).VMs {
		if vm.DataCentre == dataCentre {
			addrs[vm.CallerAddr] = true
		}
	}
	return addrs
}

// ledgerCounts counts the orders of a workload.Ledger, which compares what callers were told with the rows on the
// primaries.
type ledgerCounts struct {
	Acknowledged, Lost, Refused, RanAnyway, Unknown int
}

// checkOrders compares the orders of a run with the rows on the primaries of all services.
func (c *cluster) checkOrders(ctx context.Context, res *workload.Result) (ledgerCounts, error) {
	primaries, err := demo.Primaries(ctx, c.Cluster)
	if err != nil {
		return ledgerCounts{}, err
	}
	l, err := res.Check(ctx, primaries)
	if err != nil {
		return ledgerCounts{}, err
	}
	return ledgerCounts{l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown}, nil
}
