// Package daemon assembles the kernel services of sycamorehubd: it builds them in order, connects their interfaces and
// defines the graceful shutdown. All other logic is in the packages of these parts.
package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/logqueue"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
)

// Names under which the kernel services are registered with the kernel and look each other up.
const (
	nameSettings    = "settings"
	nameLog         = "log"
	nameSelf        = "self"
	nameEdges       = "edges"
	nameTLS         = "tls"
	namePlatform    = "platform"
	namePeers       = "peers"
	nameGonePeers   = "gone-peers"
	nameListFetcher = "lists"
	nameMembership  = "membership"
	nameDirectory   = "directory"
	nameWatcher     = "watcher"
	nameAssigner    = "assigner"
	namePause       = "pause"
	nameOwners      = "owners"
	namePeerServer  = "peer-server"
	nameConfig      = "config"
	nameTeamLimits  = "team-limits"
	nameMemory      = "memory"
	nameSessions    = "session-memory"
	nameViews       = "views"
	nameRouter      = "router"
	nameBurn        = "burn"
	nameMetrics     = "metrics"

	nameUnitMetrics = "unit-metrics"
	nameRequestLog  = "request-log"
	nameFrontend    = "frontend"
	nameAdmin       = "admin"
	nameReadiness   = "readiness"
)

const startTimeout = 15 * time.Second

// Run runs a daemon until SIGTERM, SIGINT or a request to shut down, and returns after the graceful shutdown. It returns
// at once if a kernel service cannot be built or started.
func Run(s *settings.Settings) error { return RunWith(s, Edges{}) }

// RunWith is like Run, but takes the parts in e that are set in place of the default ones.
func RunWith(s *settings.Settings, e Edges) error {
	if e.Log == nil {
		var flush func()
		e.Log, flush = NewLog(s)
		defer flush()
	}
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(s.Limits.Drain+s.Limits.Close)),
		kernel.Module(factories(s, e.withDefaults(s))...),
	)
	if err := app.Err(); err != nil {
		return err
	}
	stop := app.Wait() // before Start, since until then a signal ends the process without the shutdown
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	signal := <-stop
	e.Log.WithField("signal", fmt.Sprint(signal.Signal)).WithField("limit", time.Duration(s.Limits.Drain).String()).Info("stopping")
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(ctx)
}

// NewLog returns the daemon's logger, which never blocks, and a function that writes the queued log lines. It must be
// called before the process ends.
func NewLog(s *settings.Settings) (log *logrus.Entry, flush func()) {
	log = s.Logger()
	queue := logqueue.New(log.Logger.Out)
	log.Logger.SetOutput(queue)
	return log, queue.Close
}

// existingService returns a factory that registers v, which exists already.
func existingService(name string, v any) kernel.Factory {
	return kernel.Factory{Name: name, New: func(*kernel.Kernel) (any, error) { return v, nil }}
}

// factories lists the kernel services in the order in which they are built and started. They stop in reverse order.
func factories(s *settings.Settings, e Edges) []kernel.Factory {
	self := platform.VM{
		Name: s.VM, DataCentre: s.DataCentre, Region: s.Region,
		PeerAddr: s.Listen.Peers, AdminAddr: s.Listen.Admin, State: platform.VMLive,
	}
	return []kernel.Factory{
		existingService(nameSettings, s),
		existingService(nameLog, e.Log),
		existingService(nameSelf, self),
		existingService(nameEdges, e),
		{Name: nameMemory, New: newMemory},
		{Name: nameSessions, New: newSessionMemory},
		{Name: nameBurn, New: newBurn},
		{Name: nameUnitMetrics, New: newUnitMetrics},
		{Name: nameRequestLog, New: newRequestLog},
		{Name: nameTLS, New: newTLS},
		existingService(namePlatform, e.Platform),
		{Name: namePeers, New: newPeers},
		{Name: nameGonePeers, New: newGonePeers},
		{Name: nameMembership, New: newMembership},
		{Name: nameDirectory, New: newDirectory},
		{Name: nameListFetcher, New: newListFetcher},
		{Name: nameWatcher, New: newWatcher},
		{Name: nameAssigner, New: newAssigner},
		{Name: namePause, New: newPause},
		{Name: nameOwners, New: newOwners},
		{Name: nameConfig, New: newConfig},
		{Name: nameTeamLimits, New: newTeamLimits},
		{Name: namePeerServer, New: newPeerServer},
		{Name: nameViews, New: newViews},
		{Name: nameRouter, New: newRouter},
		{Name: nameMetrics, New: newMetrics},
		// The operators' API starts before the front end, so that it answers until the front end has drained its callers.
		{Name: nameAdmin, New: newAdmin},
		{Name: nameFrontend, New: newFrontend},
		{Name: nameReadiness, New: newReadiness},
	}
}

// logger returns the daemon's logger with the name of the kernel service as a field.
func logger(k *kernel.Kernel, service string) logrus.FieldLogger {
	return kernel.MustLookup[*logrus.Entry](k, nameLog).WithField("service", service)
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; check the listen section of the settings", addr, err)
	}
	return l, nil
}
