package daemon

import (
	"context"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/scheduler"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/team"
	"github.com/sycamorehub/sycamorehub/pkg/teamlimit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

func newTeamLimits(k *kernel.Kernel) (any, error) {
	configSync := kernel.MustLookup[*configsync.Sync](k, nameConfig)
	vmView := kernel.MustLookup[*membership.View](k, nameMembership)
	pool := kernel.MustLookup[*peers](k, namePeers)
	return teamlimit.New(teamlimit.Options{
		Self:   kernel.MustLookup[*settings.Settings](k, nameSettings).VM,
		Live:   vmView.Live,
		Listed: func() ([]platform.VM, bool) { return vmView.Listed(), vmView.Ready() },
		Request: func(ctx context.Context, vm platform.VM, body []byte) ([]byte, error) {
			return pool.Request(ctx, vm, wire.TypeTeamLimit, body)
		},
		Document: func() *clusterconfig.Document { return documentInForce(configSync) },
		Log:      logger(k, nameTeamLimits),
	}), nil
}

// teamsForScheduler returns a function that describes a team by the configuration in force: teams share a member in proportion
// to their limits.
func teamsForScheduler(k *kernel.Kernel) func(name string) scheduler.Team {
	return func(name string) scheduler.Team {
		team := scheduler.Team{Name: name}
		configSync, err := kernel.Lookup[*configsync.Sync](k, nameConfig)
		if err != nil {
			return team // the first owners are built before the configuration
		}
		if doc := documentInForce(configSync); doc != nil {
			t, _ := doc.Team(name)
			team.Priority = t.Priority
			if t.Limit != nil {
				team.Weight = t.Limit.PerSecond
			}
		}
		return team
	}
}

// callerTeams implements frontend.Teams by the configuration in force.
type callerTeams struct {
	configSync *configsync.Sync
	*teamlimit.Service
	vm string
}

// Identify implements frontend.Teams. A database without a route is not public.
func (c callerTeams) Identify(database string, key team.KeyHash) (clusterconfig.Team, error) {
	doc := documentInForce(c.configSync)
	if doc == nil {
		return clusterconfig.Team{}, errkind.New(errkind.NotReady, "entry VM %s has no configuration yet", c.vm)
	}
	route, _ := doc.Route(database)
	return team.Identify(doc, route, key)
}
