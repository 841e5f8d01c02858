package daemon

import (
	"context"
	"sort"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/router"
	"github.com/sycamorehub/sycamorehub/pkg/teamlimit"
)

// Version is the version of the program. Release builds set it with -ldflags.
var Version = "dev"

// groupsTimeout limits the total time of the requests to owners that one call of adminView.Groups makes.
const groupsTimeout = 2 * time.Second

// adminView gives the operators' API this daemon's view of the cluster.
type adminView struct {
	started    time.Time
	vmView     *membership.View
	directory  *directory.Directory
	viewCache  *router.ViewCache
	owners     *owner.Set
	configSync *configsync.Sync
	teamLimits *teamlimit.Service
	// callerConnections returns the number of open connections of callers.
	callerConnections func() int
}

// Status returns the state of this daemon.
func (a adminView) Status() admin.Status {
	self := a.vmView.Self()
	s := admin.Status{
		VM: self.Name, DataCentre: self.DataCentre, Region: self.Region, Version: Version, Started: a.started,
		Draining: a.vmView.Draining(), ConfigVersion: a.configSync.InForce(), CallerConnections: a.callerConnections(),
	}
	s.ConfigIgnored, s.ConfigRefused = a.configSync.Problems()
	for _, svc := range a.directory.Services() {
		for _, m := range svc.Members {
			if vm, ok := ownership.Owner(m, a.vmView.Live()); ok && vm.Name == self.Name {
				s.MembersOwned = append(s.MembersOwned, m.Name)
			}
		}
	}
	sort.Strings(s.MembersOwned)
	return s
}

// Classes returns the classes with their load, summed over the members that this daemon owns.
func (a adminView) Classes() []admin.ClassStatus {
	doc := a.configSync.Installed()
	if doc == nil {
		return nil
	}
	out := make([]admin.ClassStatus, len(doc.Classes))
	index := map[string]*admin.ClassStatus{}
	for i, c := range doc.Classes {
		out[i].Class = c
		index[c.Name] = &out[i]
	}
	for _, stats := range a.owners.Stats() {
		for _, c := range stats.Classes {
			if s := index[c.Class]; s != nil {
				s.Queued += c.Queued
				s.Running += c.Running
				s.Granted += c.Granted
				s.Refused += c.RefusedPredicted + c.RefusedDeadline + c.RefusedFull
			}
		}
	}
	return out
}

// Teams returns the teams with what this daemon has admitted, and granted as a keeper.
func (a adminView) Teams() []admin.TeamStatus {
	doc := a.configSync.Installed()
	if doc == nil {
		return nil
	}
	out := make([]admin.TeamStatus, len(doc.Teams))
	index := map[string]*admin.TeamStatus{}
	for i, t := range doc.Teams {
		out[i] = admin.TeamStatus{Name: t.Name, Priority: t.Priority, Keys: len(t.Keys), Limit: t.Limit}
		index[t.Name] = &out[i]
	}
	spent, granted := a.teamLimits.Use()
	for _, u := range spent {
		if t := index[u.Team]; t != nil {
			t.Admitted, t.Refused, t.Waiting = u.Admitted, u.Refused, u.Waiting
		}
	}
	for _, u := range granted {
		if t := index[u.Team]; t != nil {
			t.Granted += u.Granted
		}
	}
	return out
}

// Groups returns all services as this daemon sees them.
func (a adminView) Groups() []admin.Group {
	ctx, cancel := context.WithTimeout(context.Background(), groupsTimeout)
	defer cancel()
	live := a.vmView.Live()
	var out []admin.Group
	for _, svc := range a.directory.Services() {
		a.viewCache.Invalidate(svc.Name) // the positions in a cached view may be old
		view, _ := a.viewCache.View(ctx, svc.Name)
		g := admin.Group{Service: svc.Name, Database: svc.Database, Term: view.Term, Primary: view.Primary}
		for _, m := range svc.Members {
			groupMember := admin.GroupMember{Name: m.Name, DataCentre: m.DataCentre, Leaving: m.Leaving, Age: -1}
			if vm, ok := ownership.Owner(m, live); ok {
				groupMember.Owner = vm.Name
			}
			if memberView, ok := view.Member(m.Name); ok {
				groupMember.Role, groupMember.Position, groupMember.Applied =
					memberView.Status.Role, memberView.Status.LastPosition, memberView.Status.Applied
				groupMember.Reachable, groupMember.Leaving, groupMember.LostState =
					memberView.Reachable, m.Leaving || memberView.Leaving, memberView.Status.LostState
				if memberView.Fresh {
					groupMember.Age = memberView.Age
				}
			}
			g.Members = append(g.Members, groupMember)
		}
		out = append(out, g)
	}
	return out
}

// VMs returns all entry VMs as this daemon sees them, itself first.
func (a adminView) VMs() []admin.VM {
	self := a.vmView.Self()
	out := []admin.VM{vmStatus(self, true, a.vmView.Draining(), a.configSync.InForce())}
	for _, p := range a.vmView.Peers() {
		out = append(out, vmStatus(p.VM, p.Live, p.Draining, p.State.ConfigVersion))
	}
	return out
}

// vmStatus returns the entry for vm, with the version of the configuration that it reports. That of a peer may not be in force
// there yet.
func vmStatus(vm platform.VM, reachable, draining bool, version uint64) admin.VM {
	return admin.VM{
		Name: vm.Name, DataCentre: vm.DataCentre, Region: vm.Region, AdminAddr: vm.AdminAddr, State: vm.State,
		Reachable: reachable, Draining: draining, ConfigVersion: version,
	}
}
