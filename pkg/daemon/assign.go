package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// assignInterval bounds how long a missed change of the VM view goes unseen.
const assignInterval = time.Second

// assigner tells the watcher which services this VM watches: those of which it owns a member, and those of which it
// still has an owner whose member has moved to another VM. Its last units need the watch for their acknowledgement.
type assigner struct {
	self    string
	view    *membership.View
	list    *directory.Directory
	watcher watcher
	owners  ownership.Cache
	// inUse returns the services that have an owner here.
	inUse func() map[string]bool

	added  ring.Signal
	cancel context.CancelFunc
	done   chan struct{}
}

func newAssigner(k *kernel.Kernel) (any, error) {
	return &assigner{
		self:    kernel.MustLookup[platform.VM](k, nameSelf).Name,
		view:    kernel.MustLookup[*membership.View](k, nameMembership),
		list:    kernel.MustLookup[*directory.Directory](k, nameDirectory),
		watcher: kernel.MustLookup[watcher](k, nameWatcher),
		inUse: func() map[string]bool {
			if set, err := kernel.Lookup[*owner.Set](k, nameOwners); err == nil { // starts after the assigner
				return set.Services()
			}
			return nil
		},
		added: ring.NewSignal(),
		done:  make(chan struct{}),
	}, nil
}

// Start begins to follow the views.
func (a *assigner) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.run(ctx)
	return nil
}

// Stop ends it; the watcher keeps its services.
func (a *assigner) Stop(context.Context) error {
	a.cancel()
	<-a.done
	return nil
}

func (a *assigner) run(ctx context.Context) {
	defer close(a.done)
	for {
		a.view.UpdateCanOwn() // the service list may be the first one
		changed := a.view.Changed()
		// A draining daemon still finishes its units, so it keeps what it watches.
		if !a.view.Draining() {
			a.watcher.SetServices(a.assignments(a.list.Services(), a.view.Live(), a.inUse()))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.list.Changed():
		case <-a.added:
		case <-time.After(assignInterval):
		}
	}
}

// wake makes the assigner look again, since a new owner needs the watch of its service.
func (a *assigner) wake() { a.added.Raise() }

// assignments returns the services of which this VM owns a member, or that are in use. The promoters of a service are
// the owners of its members, ranked by rendezvous hashing.
func (a *assigner) assignments(services []platform.Service, live []platform.VM, inUse map[string]bool) []group.Assignment {
	var out []group.Assignment
	for _, svc := range services {
		owners, names := a.ownersOf(svc, live)
		rank := group.RankWatchOnly
		if slices.Contains(names, a.self) {
			rank = slices.Index(ownership.Rank(svc.Name, names), a.self)
		} else if !inUse[svc.Name] {
			continue
		}
		out = append(out, group.Assignment{Service: svc, PromoterRank: rank, Owners: owners})
	}
	return out
}

// ownersOf returns the owner of each member, the zero VM for none, and the owners' names without repeats.
func (a *assigner) ownersOf(svc platform.Service, live []platform.VM) (owners []platform.VM, names []string) {
	owners = make([]platform.VM, len(svc.Members))
	for i, m := range svc.Members {
		vm, ok := a.owners.Owner(m, live)
		if !ok {
			continue
		}
		owners[i] = vm
		if !slices.Contains(names, vm.Name) {
			names = append(names, vm.Name)
		}
	}
	return owners, names
}
