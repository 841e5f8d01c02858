package daemon

import (
	"errors"
	"os"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/router"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/teamlimit"
)

// drainer implements admin.Drainer: it starts the graceful shutdown on an operator's request.
type drainer struct{ kernel *kernel.Kernel }

// Drain starts the shutdown and does not wait for its end.
func (d drainer) Drain() { _ = d.kernel.Shutdown() }

func newAdmin(k *kernel.Kernel) (any, error) {
	daemonSettings := kernel.MustLookup[*settings.Settings](k, nameSettings)
	token, err := readToken(daemonSettings.Admin.TokenFile)
	if err != nil {
		return nil, err
	}
	configSync := kernel.MustLookup[*configsync.Sync](k, nameConfig)
	client := kernel.MustLookup[Platform](k, namePlatform)
	log := logger(k, nameAdmin)
	return admin.New(admin.Options{
		Addr: daemonSettings.Listen.Admin, Token: token, PProf: daemonSettings.Admin.PProf, Log: log, Checks: readinessChecks(k, configSync),
		Gatherer: kernel.MustLookup[*prometheus.Registry](k, nameMetrics),
		Burn:     burnSource{kernel.MustLookup[*burn.Recorder](k, nameBurn), kernel.MustLookup[*configsync.Sync](k, nameConfig)}, Drainer: drainer{k},
		Requests: kernel.MustLookup[*requestlog.Log](k, nameRequestLog),
		Config:   adminConfig{configSync: configSync, table: client, history: configsync.NewHistory(client), log: log},
		Cluster: adminView{
			started: time.Now(), configSync: configSync,
			vmView: kernel.MustLookup[*membership.View](k, nameMembership), directory: kernel.MustLookup[*directory.Directory](k, nameDirectory),
			viewCache: kernel.MustLookup[*router.ViewCache](k, nameViews), owners: kernel.MustLookup[*owner.Set](k, nameOwners),
			teamLimits:        kernel.MustLookup[*teamlimit.Service](k, nameTeamLimits),
			callerConnections: func() int { return callerConnections(k) },
		},
	}), nil
}

// readToken returns the token in file without surrounding white space, or the empty token if file is empty.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	return strings.TrimSpace(string(data)), err
}

// Reasons why the daemon is not ready.
var (
	errNoVMList      = errors.New("the platform's VM list has not been read since the start")
	errNoServiceList = errors.New("the platform's service list has not been read since the start")
	errNoConfig      = errors.New("no configuration is known to be the one in force; see docs/OPERATIONS.md, starting with the store down")
	errDraining      = errors.New("the daemon is shutting down, or the platform lists its VM as leaving")
)

// readinessChecks returns the checks that must all pass before the daemon is ready for callers.
func readinessChecks(k *kernel.Kernel, configSync *configsync.Sync) []admin.Check {
	vmView := kernel.MustLookup[*membership.View](k, nameMembership)
	dir := kernel.MustLookup[*directory.Directory](k, nameDirectory)
	check := func(name string, ok func() bool, err error) admin.Check {
		return admin.Check{Name: name, Probe: func() error {
			if ok() {
				return nil
			}
			return err
		}}
	}
	return []admin.Check{
		check("vm-list", vmView.Ready, errNoVMList),
		check("service-list", dir.Ready, errNoServiceList),
		check("configuration", configSync.Ready, errNoConfig),
		check("not-draining", func() bool { return !vmView.Draining() }, errDraining),
	}
}

// burnSource adds to the counts what the configuration in force asks for and cannot be counted.
type burnSource struct {
	*burn.Recorder
	configSync *configsync.Sync
}

// Snapshot implements admin.BurnSource.
func (b burnSource) Snapshot() (*burn.Snapshot, error) {
	snap, err := b.Recorder.Snapshot()
	if err == nil {
		snap.Ignored, _ = b.configSync.Problems()
	}
	return snap, err
}
