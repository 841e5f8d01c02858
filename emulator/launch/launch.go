// Package launch starts stand-ins and daemons as separate processes on loopback, for the tests and the demo. The
// product's own processes start no other.
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
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
	stopTimeout   = 40 * time.Second
	fileMode      = 0o600
)

// Options of a cluster of processes.
type Options struct {
	Dir      string             // for binaries, settings and topology files
	BinDir   string             // programs built by Build
	Topology *topology.Topology // where processes listen
	// Network, if set, stands between data centres: daemons and members use the addresses that it shows them.
	Network    *netfault.Network
	Config     []byte   // first configuration document, stored before the daemons start; nil for none
	MemberArgs []string // further arguments of each member
	LogLevel   string   // of the daemons; empty means warn
	// DaemonProgram is run for each entry VM, for comparisons; empty means sycamorehubd of BinDir.
	DaemonProgram string
	DaemonArgs    []string // further arguments of DaemonProgram
	// Settings may change the settings of a daemon before it starts.
	Settings func(vm string, settings map[string]any)
}

// Cluster is a set of running processes.
type Cluster struct {
	Options
	Platform *Process
	Members  map[string]*Process

	mu      sync.Mutex
	daemons map[string]*Process
}

// Build compiles the programs into dir.
func Build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"github.com/sycamorehub/sycamorehub/cmd/sycamorehubd",
		"github.com/sycamorehub/sycamorehub/cmd/sycamorehubctl",
		"github.com/sycamorehub/sycamorehub/cmd/sycamorehub-emulator")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}

// Start starts platform, members and daemons and waits until all are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{Options: o, Members: map[string]*Process{}, daemons: map[string]*Process{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startStandIns(ctx); err != nil {
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

func (c *Cluster) startStandIns(ctx context.Context) error {
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
	return c.prepareStandIns(ctx)
}

func (c *Cluster) topologyPath() string { return filepath.Join(c.Dir, "topology.json") }
func (c *Cluster) emulatorPath() string { return filepath.Join(c.BinDir, "sycamorehub-emulator") }

// StartMember starts the stand-in of a member with further arguments. One that ran before has lost its state.
func (c *Cluster) StartMember(m platform.Member, args ...string) error {
	args, err := c.withSeenTopology(m, append([]string{"member", "--topology", c.topologyPath(), "--name", m.Name}, args...))
	if err != nil {
		return err
	}
	c.Members[m.Name], err = startProcess(m.Name, c.emulatorPath(), args...)
	return err
}

// withSeenTopology adds the addresses at which a member reaches others to its arguments. Each member has a file of its own: one
// that is written again while another member reads it would be incomplete.
func (c *Cluster) withSeenTopology(m platform.Member, args []string) ([]string, error) {
	if c.Network == nil {
		return args, nil
	}
	file := filepath.Join(c.Dir, "seen-"+m.Name+".json")
	return append(args, "--seen", file), c.Network.TopologyFrom(m.DataCentre).Save(file)
}

// prepareStandIns waits for the stand-ins and stores the configuration.
func (c *Cluster) prepareStandIns(ctx context.Context) error {
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

// storeConfig stores the first version of the configuration as an operator's tool would.
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

// PlatformClient returns a client that reaches the platform and the members directly.
func (c *Cluster) PlatformClient() *httpapi.Client {
	return httpapi.New(httpapi.Options{BaseURL: "http://" + c.Topology.PlatformAddr, Timeout: 2 * time.Second})
}

// StartDaemon starts the daemon of a VM; it may replace one that has ended.
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

// Daemon returns the present process of a VM.
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
			return fmt.Errorf("/readyz answers %s", resp.Status)
		}
		return nil
	})
}

// waitUntilReady calls check until it succeeds, the process exits or readyTimeout passes.
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
			return fmt.Errorf("%s is not ready: %w\n%s", p.Name, err, p.Output())
		case <-p.exited:
			return fmt.Errorf("%s exited: %v\n%s", p.Name, p.exitErr, p.Output())
		case <-time.After(readyInterval):
		}
	}
}

// Close kills all processes.
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

// Shutdown stops the daemons gracefully, then everything else.
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
