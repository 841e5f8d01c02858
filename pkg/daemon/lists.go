package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

const (
	// peerListDelay is the time after the start before peers are asked for lists. A slow platform answers within 250 ms.
	peerListDelay = 300 * time.Millisecond
	// listRequestTimeout limits a request to a peer. Lists of 600 KB take 160 ms over a link of 30 Mbit/s.
	listRequestTimeout = time.Second
	// listOfferCapacity limits the number of peers that wait to be asked. A peer that is dropped offers its lists again
	// with its next heartbeat.
	listOfferCapacity = 8
)

// listFetcher gets the platform's lists of VMs and services from a peer while a daemon that has just started cannot read
// them from the platform. Without lists it knows no service and no peer, and cannot serve callers. Once it has lists,
// only the platform replaces them.
type listFetcher struct {
	k               *kernel.Kernel
	log             logrus.FieldLogger
	started         time.Time
	offers          *ring.Ring[platform.VM]
	failureLogLimit loglimit.Limiter
	cancel          context.CancelFunc
	done            chan struct{}
}

func newListFetcher(k *kernel.Kernel) (any, error) {
	return &listFetcher{k: k, log: logger(k, nameListFetcher), started: time.Now(), done: make(chan struct{}),
		offers: ring.New[platform.VM]("list-offers", listOfferCapacity, ring.DropOldest, 0)}, nil
}

// offer queues a peer that has lists. It does nothing until peerListDelay has passed since the start, and does not block.
func (l *listFetcher) offer(vm platform.VM) {
	if time.Since(l.started) >= peerListDelay {
		_ = l.offers.Put(context.Background(), vm) // drops the oldest; fails only after Stop
	}
}

// Start begins to ask the peers that have offered lists.
func (l *listFetcher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(ctx)
	return nil
}

// Stop ends the requests to peers.
func (l *listFetcher) Stop(context.Context) error {
	l.cancel()
	<-l.done
	return nil
}

func (l *listFetcher) run(ctx context.Context) {
	defer close(l.done)
	for {
		vm, err := l.offers.Take(ctx)
		if err != nil {
			return
		}
		if listsHash(l.k) != 0 {
			continue
		}
		if err := l.fetch(ctx, vm); err != nil && ctx.Err() == nil {
			if log, ok := l.failureLogLimit.Allow(l.log.WithField("from", vm.Name), vm.Name); ok {
				log.WithError(err).Warn("VM and service lists could not be fetched from a peer; asking the next peer that has them")
			}
		}
	}
}

// fetch requests the lists of vm and adopts them. A list that this VM has read from the platform meanwhile is kept.
func (l *listFetcher) fetch(ctx context.Context, vm platform.VM) error {
	ctx, cancel := context.WithTimeout(ctx, listRequestTimeout)
	defer cancel()
	reply, err := kernel.MustLookup[*peers](l.k, namePeers).Pool.Request(ctx, vm, wire.TypeListsRequest, nil)
	if err != nil {
		return err
	}
	lists, err := wire.DecodeLists(reply)
	if err != nil {
		return err
	}
	vmView, dir := kernel.MustLookup[*membership.View](l.k, nameMembership), kernel.MustLookup[*directory.Directory](l.k, nameDirectory)
	vmView.Adopt(lists.VMs)
	dir.Adopt(lists.Services)
	l.log.WithFields(logrus.Fields{"from": vm.Name, "vms": len(lists.VMs), "services": len(lists.Services)}).
		Info("the platform has not answered since the start; using the VM and service lists of a peer")
	return nil
}

// listsHandler returns the handler that answers a peer's request with the lists that this VM holds.
func listsHandler(k *kernel.Kernel) peer.Handler {
	vmView, dir := kernel.MustLookup[*membership.View](k, nameMembership), kernel.MustLookup[*directory.Directory](k, nameDirectory)
	return func(context.Context, platform.VM, []byte) ([]byte, error) {
		if listsHash(k) == 0 {
			return nil, errkind.New(errkind.NotReady, "this entry VM does not have both the VM and the service list")
		}
		l := wire.Lists{VMs: vmView.List(), Services: dir.Services()}
		return l.Encode()
	}
}

// hasServices reports whether this VM has a service list. Without it, it cannot serve the members that it owns.
func hasServices(k *kernel.Kernel) bool {
	dir, err := kernel.Lookup[*directory.Directory](k, nameDirectory)
	return err == nil && dir.Ready()
}
