package daemon

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/router"
	"github.com/sycamorehub/sycamorehub/pkg/session"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/teamlimit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// callers is the kernel service that accepts and serves callers, and drains them at shutdown.
type callers struct {
	server     callerServer
	cancel     func(pid, secret uint32) bool // nil if the callers' protocol has no cancel requests
	addr       string
	vmView     *membership.View
	peerServer *peerServer
	drainLimit time.Duration
}

func newFrontend(k *kernel.Kernel) (any, error) {
	s := kernel.MustLookup[*settings.Settings](k, nameSettings)
	configSync := kernel.MustLookup[*configsync.Sync](k, nameConfig)
	vmView := kernel.MustLookup[*membership.View](k, nameMembership)
	pool := kernel.MustLookup[*peers](k, namePeers)
	c := &callers{
		addr: s.Listen.Callers, vmView: vmView, peerServer: kernel.MustLookup[*peerServer](k, namePeerServer),
		drainLimit: time.Duration(s.Limits.Drain),
	}
	if e := kernel.MustLookup[Edges](k, nameEdges); e.CallerProtocol != nil {
		c.server = session.NewServer(session.Options{
			Protocol: e.CallerProtocol, Executor: kernel.MustLookup[*router.Router](k, nameRouter),
			Document: func() *clusterconfig.Document { return documentInForce(configSync) },
			Changed:  configSync.Changed,
			VMName:   s.VM, Log: logger(k, nameFrontend), MaxConnections: s.Limits.CallerConnections,
			Budget:         kernel.MustLookup[*membudget.Budget](k, nameMemory),
			Memory:         kernel.MustLookup[*session.Memory](k, nameSessions),
			DrainGrace:     time.Duration(s.Limits.DrainGrace),
			ObserveRequest: kernel.MustLookup[*unitMetrics](k, nameUnitMetrics).observe,
			Admit:          kernel.MustLookup[*teamlimit.Service](k, nameTeamLimits).Admit,
			RecordFailure:  kernel.MustLookup[*requestlog.Log](k, nameRequestLog).Add,
		})
		return c, nil
	}
	server := frontend.New(frontend.Options{
		Executor: kernel.MustLookup[*router.Router](k, nameRouter),
		Classes:  func() frontend.ClassTable { return classesInForce(configSync) },
		Services: kernel.MustLookup[*directory.Directory](k, nameDirectory),
		Teams:    callerTeams{configSync, kernel.MustLookup[*teamlimit.Service](k, nameTeamLimits), s.VM},
		VMName:   s.VM, Log: logger(k, nameFrontend), MaxConnections: s.Limits.CallerConnections,
		TLS:            kernel.MustLookup[*tlsConfigs](k, nameTLS).callers,
		Budget:         kernel.MustLookup[*membudget.Budget](k, nameMemory),
		DrainGrace:     time.Duration(s.Limits.DrainGrace),
		ObserveRequest: kernel.MustLookup[*unitMetrics](k, nameUnitMetrics).observe,
		ForwardCancel:  func(pid, secret uint32) { forwardCancel(pool, vmView, pid, secret) },
	})
	c.server, c.cancel = server, server.Cancel
	c.peerServer.server.Handle(wire.TypeCancelKey, c.handleCancel)
	return c, nil
}

// callerConnections returns the number of open connections of callers, 0 before the front end is built.
func callerConnections(k *kernel.Kernel) int {
	c, err := kernel.Lookup[*callers](k, nameFrontend)
	if err != nil {
		return 0
	}
	return c.server.Connections()
}

// Start starts the goroutine that accepts callers.
func (c *callers) Start(context.Context) error { return listenAndServe(c.addr, c.server.Serve) }

// Stop drains the daemon: peers learn at once that this VM takes no new work, and callers finish the units and
// transactions that they have in progress, within the drain limit.
func (c *callers) Stop(ctx context.Context) error {
	c.vmView.SetDraining()
	c.peerServer.drainStart = time.Now()
	c.peerServer.drainDeadline = c.peerServer.drainStart.Add(c.drainLimit)
	ctx, cancel := context.WithDeadline(ctx, c.peerServer.drainDeadline)
	defer cancel()
	return c.server.Drain(ctx)
}

// handleCancel cancels a request of a caller of this VM. The caller's cancel request arrived at another VM, which has
// forwarded it.
func (c *callers) handleCancel(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
	req, err := wire.NewDecoder().CancelKey(body)
	if err != nil {
		return nil, err
	}
	if len(req.Secret) != secretBytes {
		return nil, errkind.New(errkind.ProtocolViolation, "secret of a cancel key has the wrong length: %d bytes", len(req.Secret))
	}
	c.cancel(req.PID, binary.BigEndian.Uint32(req.Secret))
	return nil, nil
}

const (
	secretBytes   = 4 // length of the secret in a cancel key
	cancelTimeout = 2 * time.Second
	nameHashShift = 16 // the hash of the VM's name is in the upper half of the process id of a cancel key
)

// forwardCancel forwards a cancel request to the other VMs whose name has the hash in the process id of the cancel
// key. It includes draining VMs, which are listed but not live, since they still finish requests of their callers.
func forwardCancel(pool *peers, vmView *membership.View, pid, secret uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	asked := map[string]bool{vmView.Self().Name: true}
	for _, vm := range slices.Concat(vmView.Live(), vmView.Listed()) {
		if asked[vm.Name] || frontend.ProcessIDPrefix(vm.Name) != uint16(pid>>nameHashShift) {
			continue
		}
		asked[vm.Name] = true
		body, err := wire.NewEncoder().CancelKeyBody(wire.CancelKey{
			VM: vm.Name, PID: pid, Secret: binary.BigEndian.AppendUint32(nil, secret),
		})
		if err == nil {
			_, _ = pool.Request(ctx, vm, wire.TypeCancelKey, body)
		}
	}
}
