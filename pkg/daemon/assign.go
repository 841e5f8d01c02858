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

// reassignInterval is the time after which the assigner looks again without a notification, so that a missed one delays
// it no longer.
const reassignInterval = time.Second

// assigner tells the watcher which services this VM watches: those of which it owns a member, and those of which it
// still runs the owner of a member that now belongs to another VM. The last units of such an owner need the watch for
// their acknowledgement.
type assigner struct {
	self       string
	vmView     *membership.View
	directory  *directory.Directory
	watcher    watcher
	ownerCache ownership.Cache
	// servicesInUse returns the names of the services for whose members this VM runs an owner.
	servicesInUse func() map[string]bool

	ownerAdded ring.Signal // raised when this VM starts to run another owner
	cancel     context.CancelFunc
	done       chan struct{}
}

func newAssigner(k *kernel.Kernel) (any, error) {
	return &assigner{
		self:      kernel.MustLookup[platform.VM](k, nameSelf).Name,
		vmView:    kernel.MustLookup[*membership.View](k, nameMembership),
		directory: kernel.MustLookup[*directory.Directory](k, nameDirectory),
		watcher:   kernel.MustLookup[watcher](k, nameWatcher),
		servicesInUse: func() map[string]bool {
			if set, err := kernel.Lookup[*owner.Set](k, nameOwners); err == nil { // the owners start after the assigner
				return set.Services()
			}
			return nil
		},
		ownerAdded: ring.NewSignal(),
		done:       make(chan struct{}),
	}, nil
}

// Start begins to assign services to the watcher.
func (a *assigner) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.run(ctx)
	return nil
}

// Stop ends the assignment. The watcher keeps the services that it has.
func (a *assigner) Stop(context.Context) error {
	a.cancel()
	<-a.done
	return nil
}

func (a *assigner) run(ctx context.Context) {
	defer close(a.done)
	for {
		a.vmView.UpdateCanOwnMembers() // this VM can own members once the service list has been read for the first time
		changed := a.vmView.Changed()
		// A draining daemon still finishes its units, so it keeps the services that it watches.
		if !a.vmView.Draining() {
			a.watcher.SetServices(a.assignments(a.directory.Services(), a.vmView.Live(), a.servicesInUse()))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.directory.Changed():
		case <-a.ownerAdded:
		case <-time.After(reassignInterval):
		}
	}
}

// signalOwnerAdded makes the assigner look again at once, since a new owner needs the watch of its service.
func (a *assigner) signalOwnerAdded() { a.ownerAdded.Raise() }

// assignments returns the services of which this VM owns a member, and those in servicesInUse. The promoters of a service
// are the owners of its members, ranked by rendezvous hashing; a VM that owns none of them only watches.
func (a *assigner) assignments(services []platform.Service, live []platform.VM, servicesInUse map[string]bool) []group.Assignment {
	var out []group.Assignment
	for _, svc := range services {
		owners, names := a.memberOwners(svc, live)
		rank := group.RankWatchOnly
		if slices.Contains(names, a.self) {
			rank = slices.Index(ownership.RendezvousOrder(svc.Name, names), a.self)
		} else if !servicesInUse[svc.Name] {
			continue
		}
		out = append(out, group.Assignment{Service: svc, PromoterRank: rank, Owners: owners})
	}
	return out
}

// memberOwners returns the owner of each member of svc, the zero VM for a member without one, and the names of the owners
// without duplicates.
func (a *assigner) memberOwners(svc platform.Service, live []platform.VM) (owners []platform.VM, names []string) {
	owners = make([]platform.VM, len(svc.Members))
	for i, m := range svc.Members {
		vm, ok := a.ownerCache.Owner(m, live)
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
