// Package launch starts the emulated platform and members, and the daemons, as separate processes on
// loopback for tests, measurements and the demo. It is not part of the product, whose own processes start no others.
package launch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

const (
	readyTimeout  = 20 * time.Second      // for each process to become ready
	readyInterval = 20 * time.Millisecond // between two checks whether a process is ready
	stopTimeout   = 40 * time.Second      // for each daemon to exit in Shutdown
	fileMode      = 0o600
)

// Options configure a cluster.
type Options struct {
	Dir      string             // directory of the settings and topology files
	BinDir   string             // directory of the programs that Build compiles
	Topology *topology.Topology // addresses at which the processes listen
	// Network, if set, forwards the connections between data centres: daemons and members reach others at the addresses
	// of its proxies.
	Network    *netfault.Network
	Config     []byte   // first configuration document, stored before the daemons start; nil for none
	MemberArgs []string // further arguments of each member
	LogLevel   string   // of the daemons; empty means warn
	// DaemonProgram is the path of a program to run on each entry VM in place of sycamorehubd, for comparisons. Empty
	// means sycamorehubd in BinDir.
	DaemonProgram string
	DaemonArgs    []string // further arguments of the daemons
	// Settings, if set, may change the settings of the daemon of a VM before it starts.
	Settings func(vm string, settings map[string]any)
}

// Cluster is a running installation. Daemons may be replaced while other methods run.
type Cluster struct {
	Options
	Platform *Process
	Members  map[string]*Process // by name

	mu      sync.Mutex
	daemons map[string]*Process // by name of the VM
}

// Build compiles the daemon, the operators' tool and the emulator into dir.
func Build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"github.com/sycamorehub/sycamorehub/cmd/sycamorehubd",
		"github.com/sycamorehub/sycamorehub/cmd/sycamorehubctl",
		"github.com/sycamorehub/sycamorehub/cmd/sycamorehub-emulator")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return nil
}

// Start starts the platform, the members and the daemons, and waits until all are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{Options: o, Members: map[string]*Process{}, daemons: map[string]*Process{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// start starts the emulated platform and members, then the daemons, and waits until the daemons are ready.
func (c *Cluster) start(ctx context.Context) error {
	if err := c.startEmulators(ctx); err != nil {
		return err
	}
	for _, vm := range c.Topology.VMs {
		if err := c.StartDaemon(vm.Name); err != nil {
			return err
		}
	}
	for _, vm := range c.Topology.VMs {
		if err := c.WaitReady(ctx, vm.Name); err != nil {
			return err
		}
	}
	return nil
}

// startEmulators starts the platform and the members, waits until they are ready and stores the configuration.
func (c *Cluster) startEmulators(ctx context.Context) error {
	if err := c.Topology.Save(c.topologyPath()); err != nil {
		return err
	}
	var err error
	c.Platform, err = startProcess("platform", c.emulatorPath(), "platform", "--topology", c.topologyPath(), "--listen", c.Topology.PlatformAddr)
	if err != nil {
		return err
	}
	for _, s := range c.Topology.Services {
		for _, m := range s.Members {
			if err := c.StartMember(m, c.MemberArgs...); err != nil {
				return err
			}
		}
	}
	return c.prepareEmulators(ctx)
}

func (c *Cluster) topologyPath() string { return filepath.Join(c.Dir, "topology.json") }
func (c *Cluster) emulatorPath() string { return filepath.Join(c.BinDir, "sycamorehub-emulator") }

// StartMember starts an emulated member with further arguments. It keeps its data in memory, so a member that is
// started again is empty.
func (c *Cluster) StartMember(m platform.Member, args ...string) error {
	args, err := c.withSeenTopology(m, append([]string{"member", "--topology", c.topologyPath(), "--name", m.Name}, args...))
	if err != nil {
		return err
	}
	c.Members[m.Name], err = startProcess(m.Name, c.emulatorPath(), args...)
	return err
}

// withSeenTopology adds to the arguments of a member the file with the addresses at which it reaches others, if there is
// a Network. Each member has a file of its own, since a member could read a shared one while it is being written for
// another.
func (c *Cluster) withSeenTopology(m platform.Member, args []string) ([]string, error) {
	if c.Network == nil {
		return args, nil
	}
	file := filepath.Join(c.Dir, "seen-"+m.Name+".json")
	return append(args, "--seen", file), c.Network.TopologyFrom(m.DataCentre).Save(file)
}

// prepareEmulators waits until the emulated platform and members answer, and stores the configuration.
func (c *Cluster) prepareEmulators(ctx context.Context) error {
	client := c.PlatformClient()
	for _, s := range c.Topology.Services {
		for _, m := range s.Members {
			err := waitUntilReady(ctx, c.Members[m.Name], func(ctx context.Context) error {
				_, err := client.Status(ctx, m, platform.StatusWait{})
				return err
			})
			if err != nil {
				return err
			}
		}
	}
	return waitUntilReady(ctx, c.Platform, func(ctx context.Context) error {
		if c.Config == nil {
			_, err := client.VMs(ctx)
			return err
		}
		return storeConfig(ctx, client, c.Config)
	})
}

// storeConfig stores config as version 1 of the configuration, in the form in which the daemons store accepted versions.
func storeConfig(ctx context.Context, client *httpapi.Client, config []byte) error {
	doc, err := clusterconfig.Parse(config)
	if err != nil {
		return err
	}
	doc.Version, doc.OperationID, doc.AcceptedAt = 1, "first", time.Now()
	row, err := doc.Marshal()
	if err != nil {
		return err
	}
	_, err = client.Put(ctx, configsync.RowKey, row, 0)
	return err
}

// PlatformClient returns a client that reaches the platform and the members without passing through Network.
func (c *Cluster) PlatformClient() *httpapi.Client {
	return httpapi.New(httpapi.Options{BaseURL: "http://" + c.Topology.PlatformAddr, Timeout: 2 * time.Second})
}

// StartDaemon starts the daemon of a VM. If the VM had one before, that one must have exited.
func (c *Cluster) StartDaemon(vm string) error {
	path, err := c.writeSettings(vm)
	if err != nil {
		return err
	}
	program := c.DaemonProgram
	if program == "" {
		program = filepath.Join(c.BinDir, "sycamorehubd")
	}
	p, err := startProcess(vm, program, append([]string{"--settings", path}, c.DaemonArgs...)...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[vm] = p
	return nil
}

// writeSettings writes the settings file of a VM's daemon and returns its path.
func (c *Cluster) writeSettings(vm string) (string, error) {
	entryVM, err := c.VM(vm)
	if err != nil {
		return "", err
	}
	level := c.LogLevel
	if level == "" {
		level = "warn"
	}
	platformURL := "http://" + c.Topology.PlatformAddr
	if c.Network != nil {
		platformURL = c.Network.PlatformURL(entryVM.DataCentre)
	}
	settings := map[string]any{
		"vm": entryVM.Name, "dataCentre": entryVM.DataCentre, "region": entryVM.Region, "cluster": c.Topology.Name,
		"listen":   map[string]any{"callers": entryVM.CallerAddr, "peers": entryVM.PeerAddr, "admin": entryVM.AdminAddr},
		"platform": map[string]any{"url": platformURL},
		"log":      map[string]any{"level": level, "format": "text"},
	}
	if c.Settings != nil {
		c.Settings(vm, settings)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.Dir, vm+".json")
	return path, os.WriteFile(path, data, fileMode)
}

// VM returns the entry VM with the given name.
func (c *Cluster) VM(name string) (topology.EntryVM, error) {
	for _, v := range c.Topology.VMs {
		if v.Name == name {
			return v, nil
		}
	}
	return topology.EntryVM{}, fmt.Errorf("topology has no VM %q", name)
}

// Daemon returns the daemon process that was last started on a VM, or nil if there was none.
func (c *Cluster) Daemon(vm string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[vm]
}

// WaitReady waits until the VM's daemon answers /readyz with 200.
func (c *Cluster) WaitReady(ctx context.Context, vm string) error {
	entryVM, err := c.VM(vm)
	if err != nil {
		return err
	}
	return waitUntilReady(ctx, c.Daemon(vm), func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entryVM.AdminAddr+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("/readyz answered %s", resp.Status)
		}
		return nil
	})
}

// waitUntilReady calls check until it succeeds. It returns an error if the process exits before, or readyTimeout passes.
func waitUntilReady(ctx context.Context, p *Process, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready: %w\nits last output:\n%s", p.Name, err, p.Output())
		case <-p.exited:
			return fmt.Errorf("%s exited before it was ready: %v\nits last output:\n%s", p.Name, p.exitErr, p.Output())
		case <-time.After(readyInterval):
		}
	}
}

// Close kills all processes and waits until they have exited. Frozen ones are resumed first.
func (c *Cluster) Close() {
	c.mu.Lock()
	processes := []*Process{c.Platform}
	for _, p := range c.daemons {
		processes = append(processes, p)
	}
	c.mu.Unlock()
	for _, p := range c.Members {
		processes = append(processes, p)
	}
	for _, p := range processes {
		if p != nil {
			_ = p.Resume()
			p.Kill()
		}
	}
}

// Shutdown stops all daemons gracefully at the same time, and then kills the other processes.
func (c *Cluster) Shutdown() error {
	var errs []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range c.Topology.VMs {
		wg.Go(func() {
			if p := c.Daemon(vm.Name); p != nil {
				err := p.Stop(stopTimeout)
				mu.Lock()
				errs = append(errs, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.Close()
	return errors.Join(errs...)
}
