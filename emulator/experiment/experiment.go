// Package experiment measures the system, and the naive version beside it, with the sizes and network delays of
// section 1 of the design page. It is not part of the product.
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

// Systems that are measured.
const (
	SycamoreHub = "sycamorehub"
	Naive       = "naive"
)

const naivePackage = "github.com/sycamorehub/sycamorehub/test/naive/cmd/naiveproxy"

// Options of an experiment.
type Options struct {
	User    string   // kitakata or kasica
	Systems []string // SycamoreHub and Naive
	Seed    uint64
	Repeats int    // of each fault of the gap experiment
	Scene   string // only scenes of the flood experiment whose name contains this
	// Stand is the setting placement.stand of the daemons, 0 for the default. With it the experiment of reads waits
	// until no primary is alone in its region.
	Stand  time.Duration
	Output string // directory of the JSON result; empty: none
	Out    io.Writer
}

// Report is the JSON result of one run.
type Report struct {
	Experiment  string
	User        string
	Command     string
	Seed        uint64
	Started     time.Time
	CPUs        int
	LoadAtStart string // load averages over 1, 5 and 15 min
	LoadAtEnd   string
	Results     any
}

// user is an installation with its classes of work.
type user struct {
	topology func() (*topology.Topology, error)
	config   []byte
	// Names of the classes: an urgent write, the urgent session read after it, a routine read that accepts an age, and
	// a batch read that accepts an age.
	order, confirm, lookup, batch string
}

var users = map[string]user{
	"kitakata": {topology.Kitakata, examples.Kitakata, "order", "confirm", "lookup", "etch-jobs"},
	"kasica":   {topology.Kasica, examples.Kasica, "checkout", "account", "menu", "report"},
}

// runner holds what the runs of one experiment share.
type runner struct {
	Options
	user      user
	bin       string
	naiveArgs []string // of the naive proxy
}

// Experiments by name.
var Experiments = map[string]func(context.Context, *runner) (any, error){
	"gap":    gaps,
	"flood":  floods,
	"reads":  reads,
	"stop":   stops,
	"owners": owners,
	"move":   moves,
}

// Run runs one experiment, prints its figures and stores them.
func Run(ctx context.Context, name string, o Options) error {
	f, u := Experiments[name], users[o.User]
	if f == nil || u.topology == nil {
		return fmt.Errorf("no experiment %q or no user %q", name, o.User)
	}
	dir, err := os.MkdirTemp("", "sycamorehub-experiment-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := build(ctx, dir); err != nil {
		return err
	}
	rep := Report{
		Experiment: name, User: o.User, Seed: o.Seed, Started: time.Now().UTC(), CPUs: runtime.NumCPU(),
		LoadAtStart: loadAverage(), Command: command(name, o),
	}
	rep.Results, err = f(ctx, &runner{Options: o, user: u, bin: dir})
	rep.LoadAtEnd = loadAverage()
	fmt.Fprintf(o.Out, "%s\nload average %s before, %s after, %d CPUs\n", rep.Command, rep.LoadAtStart, rep.LoadAtEnd, rep.CPUs)
	if err != nil || o.Output == "" {
		return err
	}
	data, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Output, name+"-"+o.User+".json"), append(data, '\n'), 0o644)
}

func command(name string, o Options) string {
	text := fmt.Sprintf("go run ./cmd/sycamorehub-experiment %s --user %s --seed %d --repeats %d --systems %s",
		name, o.User, o.Seed, o.Repeats, strings.Join(o.Systems, ","))
	if o.Stand > 0 {
		text += fmt.Sprintf(" --stand %v", o.Stand)
	}
	return text
}

func build(ctx context.Context, dir string) error {
	if err := launch.Build(ctx, dir); err != nil {
		return err
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), naivePackage).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// loadAverage returns the machine's load averages, "unknown" where the system does not tell.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if f := strings.Fields(string(data)); err == nil && len(f) >= 3 {
		return strings.Join(f[:3], " ")
	}
	return "unknown"
}

// cluster is a running installation behind its network.
type cluster struct {
	*launch.Cluster
	net *netfault.Network
	dir string
}

// start runs the user's installation with the system's program on each entry VM.
func (r *runner) start(ctx context.Context, system string, memberArgs ...string) (*cluster, error) {
	t, err := r.user.topology()
	if err != nil {
		return nil, err
	}
	network, err := netfault.New(t)
	if err != nil {
		return nil, err
	}
	c := &cluster{net: network}
	if c.dir, err = os.MkdirTemp(r.bin, "run-"); err != nil {
		return nil, err
	}
	o := launch.Options{Dir: c.dir, BinDir: r.bin, Topology: t, Network: network, Config: r.user.config, MemberArgs: memberArgs}
	if r.Stand > 0 {
		o.Settings = func(_ string, s map[string]any) { s["placement"] = map[string]any{"stand": r.Stand.String()} }
	}
	if system == Naive {
		o.DaemonProgram, o.DaemonArgs = filepath.Join(r.bin, "naiveproxy"), r.naiveArgs
	}
	if c.Cluster, err = launch.Start(ctx, o); err != nil {
		_ = network.Close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) close() {
	c.Cluster.Close()
	_ = c.net.Close()
}

// callerAddrs returns the addresses at which callers reach the entry VMs.
func (c *cluster) callerAddrs() []string {
	return demo.CallerAddrs(c.net.TopologyFrom(netfault.Clients))
}

// addrsIn returns the callers' addresses of the entry VMs in a data centre.
func (c *cluster) addrsIn(dc string) map[string]bool {
	out := map[string]bool{}
	for _, vm := range c.net.TopologyFrom(netfault.Clients).VMs {
		if vm.DataCentre == dc {
			out[vm.CallerAddr] = true
		}
	}
	return out
}

// ledger sums up a comparison of the orders with the rows on the primaries.
type ledger struct {
	Acknowledged, Lost, Refused, RanAnyway, Unknown int
}

func (c *cluster) ledger(ctx context.Context, res *workload.Result) (ledger, error) {
	primaries, err := demo.Primaries(ctx, c.Cluster)
	if err != nil {
		return ledger{}, err
	}
	l, err := res.Check(ctx, primaries)
	if err != nil {
		return ledger{}, err
	}
	return ledger{l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown}, nil
}
