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

// reassignInterval bounds how long a missed change of the VM view goes unseen.
const reassignInterval = time.Second

// assigner tells the watcher which services this VM watches: those of which it owns a member, and those of which it
// still has an owner whose member has moved to another VM. Its last units need the watch for their acknowledgement.
type assigner struct {
	self      string
	vmView    *membership.View
	directory *directory.Directory
	watcher   watcher
	owners    ownership.Cache
	// inUse returns the services that have an owner here.
	servicesInUse func() map[string]bool

	ownerAdded ring.Signal
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
			if set, err := kernel.Lookup[*owner.Set](k, nameOwners); err == nil { // starts after the assigner
				return set.Services()
			}
			return nil
		},
		ownerAdded: ring.NewSignal(),
		done:       make(chan struct{}),
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
		a.vmView.UpdateCanOwn() // the service list may be the first one
		changed := a.vmView.Changed()
		// A draining daemon still finishes its units, so it keeps what it watches.
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

// signalOwnerAdded makes the assigner look again, since a new owner needs the watch of its service.
func (a *assigner) signalOwnerAdded() { a.ownerAdded.Raise() }

// assignments returns the services of which this VM owns a member, or that are in use. The promoters of a service are
// the owners of its members, ranked by rendezvous hashing.
func (a *assigner) assignments(services []platform.Service, live []platform.VM, servicesInUse map[string]bool) []group.Assignment {
	var out []group.Assignment
	for _, svc := range services {
		owners, names := a.memberOwners(svc, live)
		rank := group.RankWatchOnly
		if slices.Contains(names, a.self) {
			rank = slices.Index(ownership.Rank(svc.Name, names), a.self)
		} else if !servicesInUse[svc.Name] {
			continue
		}
		out = append(out, group.Assignment{Service: svc, PromoterRank: rank, Owners: owners})
	}
	return out
}

// memberOwners returns the owner of each member, the zero VM for none, and the owners' names without repeats.
func (a *assigner) memberOwners(svc platform.Service, live []platform.VM) (owners []platform.VM, names []string) {
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
