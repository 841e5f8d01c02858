package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/pause"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/retry"
	"github.com/sycamorehub/sycamorehub/pkg/router"
	"github.com/sycamorehub/sycamorehub/pkg/scheduler"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// peers is the kernel service that sends requests to other daemons. It keeps the options that its pool shares with the
// server for requests of other daemons.
type peers struct {
	*peer.Pool
	options peer.Options
}

// Stop closes the connections to other daemons.
func (p *peers) Stop(context.Context) error {
	p.Close()
	return nil
}

const bitsPerByte = 8

func newPeers(k *kernel.Kernel) (any, error) {
	s := kernel.MustLookup[*settings.Settings](k, nameSettings)
	options := peer.Options{
		Self: kernel.MustLookup[platform.VM](k, nameSelf), Cluster: s.Cluster,
		Limiter: peer.NewLimiter(float64(s.Link.BitsPerSecond) / bitsPerByte), Stats: peer.NewStats(),
		TLS: kernel.MustLookup[*tlsConfigs](k, nameTLS).peerClient, Log: logger(k, namePeers),
		OnUnreachable: func(vm platform.VM) {
			if vmView, err := kernel.Lookup[*membership.View](k, nameMembership); err == nil {
				vmView.MarkUnreachable(vm)
			}
		},
		OnConnectionLost: func(vm platform.VM) {
			if vmView, err := kernel.Lookup[*membership.View](k, nameMembership); err == nil {
				vmView.ConnectionLost(vm)
			}
		},
		ConfigVersion: func() uint64 {
			configSync, err := kernel.Lookup[*configsync.Sync](k, nameConfig)
			if err != nil {
				return 0
			}
			version, _ := configSync.State()
			return version
		},
		OnHello: func(configVersion uint64) {
			if configSync, err := kernel.Lookup[*configsync.Sync](k, nameConfig); err == nil {
				configSync.ObserveVersion(configVersion)
			}
		},
	}
	return &peers{Pool: peer.NewPool(options), options: options}, nil
}

func newMembership(k *kernel.Kernel) (any, error) {
	return membership.New(membership.Options{
		Self:          kernel.MustLookup[platform.VM](k, nameSelf),
		Lister:        kernel.MustLookup[Platform](k, namePlatform),
		Transport:     kernel.MustLookup[*peers](k, namePeers).Pool,
		Log:           logger(k, nameMembership),
		State:         func() membership.State { return heartbeatState(k) },
		CanOwnMembers: func() bool { return hasServices(k) },
		OnHeartbeat:   func(from platform.VM, s membership.State) { observeHeartbeat(k, from, s) },
		OnGone:        kernel.MustLookup[*gonePeers](k, nameGonePeers).add,
	}), nil
}

func newDirectory(k *kernel.Kernel) (any, error) {
	return directory.New(directory.Options{
		Lister: kernel.MustLookup[Platform](k, namePlatform), Log: logger(k, nameDirectory),
		IsReader:     kernel.MustLookup[*membership.View](k, nameMembership).IsReader,
		AwaitPeers:   kernel.MustLookup[*membership.View](k, nameMembership).AwaitList,
		MissingGrace: kernel.MustLookup[Edges](k, nameEdges).MissingGrace,
		IsSuccessor:  kernel.MustLookup[Edges](k, nameEdges).IsSuccessor,
	}), nil
}

// watcher adds the lifecycle to group.Watcher.
type watcher struct{ *group.Watcher }

// Stop stops watching all services.
func (w watcher) Stop(context.Context) error {
	w.Close()
	return nil
}

// readMembers returns the function that reads a service's members again before a promotion, nil where each list is complete and the
// members themselves refuse outdated promoters.
func readMembers(k *kernel.Kernel) func(ctx context.Context, service string) ([]platform.Member, bool) {
	if kernel.MustLookup[Edges](k, nameEdges).MissingGrace == 0 {
		return nil
	}
	dir := kernel.MustLookup[*directory.Directory](k, nameDirectory)
	return func(ctx context.Context, service string) ([]platform.Member, bool) {
		began := time.Now()
		dir.ReadNow(ctx)
		svc, _ := dir.Service(service)
		return svc.Members, dir.ReadSince(began)
	}
}

func newWatcher(k *kernel.Kernel) (any, error) {
	return watcher{group.New(group.Options{
		Control: kernel.MustLookup[Platform](k, namePlatform),
		Self:    kernel.MustLookup[platform.VM](k, nameSelf).Name,
		Log:     logger(k, nameWatcher),
		Relay: func(ctx context.Context, primaryOwner platform.VM, service string, seen uint32) (group.RelayedView, error) {
			reply, err := requestView(ctx, kernel.MustLookup[*peers](k, namePeers).Pool, primaryOwner,
				wire.ViewRequest{Service: service, Relay: true, Seen: seen})
			if err != nil {
				return group.RelayedView{}, err
			}
			return group.DecodeRelayedView(reply)
		},
		PromotionTime:   kernel.MustLookup[Edges](k, nameEdges).Guarantees.Promotion,
		MembersComplete: kernel.MustLookup[*directory.Directory](k, nameDirectory).Complete,
		ReadMembers:     readMembers(k),
		FencesIgnored:   kernel.MustLookup[Edges](k, nameEdges).Guarantees.FencesIgnored,
		MinTenure:       time.Duration(kernel.MustLookup[*settings.Settings](k, nameSettings).Placement.Stand),
		QuiesceWrites: func(ctx context.Context, service, member string) (func(), bool) {
			set, err := kernel.Lookup[*owner.Set](k, nameOwners) // the owners start after the watcher
			if err != nil {
				return func() {}, false
			}
			return set.QuiesceWrites(ctx, service, member)
		},
	})}, nil
}

// newPause returns the guard that reads both lists again after a pause of the process. They say which VMs and members are
// leaving, and those must get no new work.
func newPause(k *kernel.Kernel) (any, error) {
	dir := kernel.MustLookup[*directory.Directory](k, nameDirectory)
	vmView := kernel.MustLookup[*membership.View](k, nameMembership)
	return pause.New(func(ctx context.Context) {
		var reads sync.WaitGroup
		reads.Go(func() { dir.ReadNow(ctx) })
		reads.Go(func() { vmView.ReadNow(ctx) })
		reads.Wait()
	}), nil
}

func newOwners(k *kernel.Kernel) (any, error) {
	dir := kernel.MustLookup[*directory.Directory](k, nameDirectory)
	vmView := kernel.MustLookup[*membership.View](k, nameMembership)
	self := kernel.MustLookup[platform.VM](k, nameSelf).Name
	return owner.NewSet(owner.SetOptions{
		Self:   self,
		Member: dir.Member,
		Owned: func(m platform.Member) bool {
			vm, ok := ownership.Owner(m, vmView.Live())
			return ok && vm.Name == self
		},
		New:   func(m platform.Member) *owner.Owner { return newOwner(k, self, m) },
		OnAdd: kernel.MustLookup[*assigner](k, nameAssigner).signalOwnerAdded,
	}), nil
}

// newOwner returns the owner of m. It leaves the reserved connections of m unused, and sizes its scheduler by the number
// of connections that the member allows.
func newOwner(k *kernel.Kernel, self string, m platform.Member) *owner.Owner {
	s := kernel.MustLookup[*settings.Settings](k, nameSettings)
	maxConnections := max(m.Connections-s.Endpoints.Reserve, 1)
	e := kernel.MustLookup[Edges](k, nameEdges)
	sched := scheduler.New(scheduler.Options{Slots: max(m.Slots, 1), Transactions: maxOpenTransactions(maxConnections, m.Slots)})
	log := logger(k, nameOwners).WithField("member", m.Name)
	newPool := func(ack owner.WaitAcknowledgedFunc, admit owner.AdmitFunc) owner.Pool {
		return e.NewPool(PoolOptions{
			Member: m, MaxConnections: maxConnections, ConnectTimeout: time.Duration(s.Endpoints.ConnectTimeout),
			WaitAcknowledged: ack, Admit: admit, Log: log,
			OnConnectionLimit: func(usable int) {
				log.WithField("connections", usable).Info("number of usable connections to the member has changed")
				sched.Resize(min(max(usable, 1), max(m.Slots, 1)), maxOpenTransactions(usable, m.Slots))
			},
		})
	}
	o := owner.New(self, m, newPool, sched, kernel.MustLookup[watcher](k, nameWatcher))
	o.SetGuarantees(e.Guarantees)
	o.SetTeams(teamsForScheduler(k))
	o.RefuseUnless(kernel.MustLookup[*pause.Guard](k, namePause).UpToDate)
	return o
}

// maxOpenTransactions returns how many transactions may be open at a time, at least 1. The connections that run single
// units, one for each slot, and the probe connection are not available to transactions.
func maxOpenTransactions(maxConnections, slots int) int { return max(maxConnections-slots-1, 1) }

func newViews(k *kernel.Kernel) (any, error) {
	pool := kernel.MustLookup[*peers](k, namePeers)
	fetch := router.NewViewFetcher(func(ctx context.Context, vm platform.VM, r wire.ViewRequest) ([]byte, error) {
		return requestView(ctx, pool.Pool, vm, r)
	})
	return router.NewViewCache(kernel.MustLookup[watcher](k, nameWatcher), kernel.MustLookup[*directory.Directory](k, nameDirectory),
		kernel.MustLookup[*membership.View](k, nameMembership), fetch), nil
}

func newRouter(k *kernel.Kernel) (any, error) {
	return router.New(router.Options{
		Directory:  kernel.MustLookup[*directory.Directory](k, nameDirectory),
		Membership: kernel.MustLookup[*membership.View](k, nameMembership),
		Local:      kernel.MustLookup[*owner.Set](k, nameOwners), Remote: kernel.MustLookup[*peers](k, namePeers).Pool,
		Views: kernel.MustLookup[*router.ViewCache](k, nameViews), Budget: retry.NewBudget(),
	}), nil
}

// requestView sends a view request to vm and returns the encoded reply.
func requestView(ctx context.Context, pool *peer.Pool, vm platform.VM, r wire.ViewRequest) ([]byte, error) {
	body, err := wire.NewEncoder().ViewRequestBody(r)
	if err != nil {
		return nil, err
	}
	return pool.Request(ctx, vm, wire.TypeViewRequest, body)
}
