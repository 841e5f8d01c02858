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
)

// Version of the program; release builds set it with -ldflags.
var Version = "dev"

// viewTimeout bounds the requests to owners that one listing of the groups makes.
const viewTimeout = 2 * time.Second

// adminView gives the operators' API this daemon's view of the cluster.
type adminView struct {
	started time.Time
	view    *membership.View
	list    *directory.Directory
	views   *router.ViewCache
	owners  *owner.Set
	config  *configsync.Sync
	// connections returns the number of callers.
	connections func() int
}

// Status returns the state of this daemon.
func (a adminView) Status() admin.Status {
	self := a.view.Self()
	version, _ := a.config.State()
	s := admin.Status{
		VM: self.Name, DataCentre: self.DataCentre, Region: self.Region, Version: Version, Started: a.started,
		Draining: a.view.Draining(), ConfigVersion: version, CallerConnections: a.connections(),
	}
	for _, svc := range a.list.Services() {
		for _, m := range svc.Members {
			if vm, ok := ownership.Owner(m, a.view.Live()); ok && vm.Name == self.Name {
				s.MembersOwned = append(s.MembersOwned, m.Name)
			}
		}
	}
	sort.Strings(s.MembersOwned)
	return s
}

// Classes returns the classes with their load on the members that this daemon owns.
func (a adminView) Classes() []admin.ClassStatus {
	doc := a.config.Current()
	if doc == nil {
		return nil
	}
	out := make([]admin.ClassStatus, len(doc.Classes))
	index := map[string]*admin.ClassStatus{}
	for i, c := range doc.Classes {
		out[i].Class = c
		index[c.Name] = &out[i]
	}
	for _, st := range a.owners.Stats() {
		for _, c := range st.Classes {
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

// Groups returns all services as this daemon sees them.
func (a adminView) Groups() []admin.Group {
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	live := a.view.Live()
	var out []admin.Group
	for _, svc := range a.list.Services() {
		a.views.Invalidate(svc.Name) // a cached view shows old positions
		v, _ := a.views.View(ctx, svc.Name)
		g := admin.Group{Service: svc.Name, Database: svc.Database, Term: v.Term, Primary: v.Primary}
		for _, m := range svc.Members {
			gm := admin.GroupMember{Name: m.Name, DataCentre: m.DataCentre, Leaving: m.Leaving, Age: -1}
			if vm, ok := ownership.Owner(m, live); ok {
				gm.Owner = vm.Name
			}
			if mv, ok := v.Member(m.Name); ok {
				gm.Role, gm.Position, gm.Applied = mv.Status.Role, mv.Status.LastPosition, mv.Status.Applied
				gm.Reachable, gm.Leaving, gm.LostState = mv.Reachable, m.Leaving || mv.Leaving, mv.Status.LostState
				if mv.Fresh {
					gm.Age = mv.Age
				}
			}
			g.Members = append(g.Members, gm)
		}
		out = append(out, g)
	}
	return out
}

// VMs returns all entry VMs as this daemon sees them, itself first.
func (a adminView) VMs() []admin.VM {
	self := a.view.Self()
	version, _ := a.config.State()
	out := []admin.VM{vmStatus(self, true, a.view.Draining(), version)}
	for _, p := range a.view.Peers() {
		out = append(out, vmStatus(p.VM, p.Live, p.Draining, p.State.ConfigVersion))
	}
	return out
}

func vmStatus(vm platform.VM, reachable, draining bool, version uint64) admin.VM {
	return admin.VM{
		Name: vm.Name, DataCentre: vm.DataCentre, Region: vm.Region, AdminAddr: vm.AdminAddr, State: vm.State,
		Reachable: reachable, Draining: draining, ConfigVersion: version,
	}
}
