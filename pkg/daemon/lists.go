package daemon

import (
	"context"
	"sync"
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
	// slowAnswerTime is how long the platform takes to answer while it is slow.
	slowAnswerTime = 250 * time.Millisecond
	// peerListDelay is the time after the start before peers are asked for lists.
	peerListDelay = slowAnswerTime + 50*time.Millisecond
	// listRequestTimeout limits a request to a peer. Lists of 600 KB take 160 ms over a link of 30 Mbit/s.
	listRequestTimeout = time.Second
	// listOfferCapacity limits the number of peers that wait to be asked. A peer that is dropped offers its lists again
	// with its next heartbeat.
	listOfferCapacity = 8
)

// listFetcher gets the platform's lists from peers: both of them while a daemon that has just started cannot read them from
// the platform, and a newer service list whenever a peer has one. Most VMs thus learn of changes without reading the
// platform's list.
type listFetcher struct {
	k               *kernel.Kernel
	log             logrus.FieldLogger
	started         time.Time
	offers          *ring.Ring[listOffer]
	failureLogLimit loglimit.Limiter
	cancel          context.CancelFunc
	done            chan struct{}
}

func newListFetcher(k *kernel.Kernel) (any, error) {
	return &listFetcher{k: k, log: logger(k, nameListFetcher), started: time.Now(), done: make(chan struct{}),
		offers: ring.New[listOffer]("list-offers", listOfferCapacity, ring.DropOldest, 0)}, nil
}

// listOffer is a peer with the version of its service list.
type listOffer struct {
	vm      platform.VM
	version uint64
}

// offer queues a peer that has a list that this VM lacks. It does nothing until peerListDelay has passed since the start, and
// does not block.
func (l *listFetcher) offer(vm platform.VM, version uint64) {
	if time.Since(l.started) >= peerListDelay {
		_ = l.offers.Put(context.Background(), listOffer{vm, version}) // drops the oldest; fails only after Stop
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
		o, err := l.offers.Take(ctx)
		if err != nil {
			return
		}
		if !l.lacks(o.version) {
			continue
		}
		if err := l.fetch(ctx, o.vm); err != nil && ctx.Err() == nil {
			if log, ok := l.failureLogLimit.Allow(l.log.WithField("from", o.vm.Name), o.vm.Name); ok {
				log.WithError(err).Warn("VM and service lists could not be fetched from a peer; asking the next peer that has them")
			}
		}
	}
}

// lacks reports whether this VM has no lists, or an older service list than the given version.
func (l *listFetcher) lacks(version uint64) bool {
	return listsHash(l.k) == 0 || version > kernel.MustLookup[*directory.Directory](l.k, nameDirectory).Version()
}

// fetch requests the lists of vm and adopts what is newer than the lists of this VM.
func (l *listFetcher) fetch(ctx context.Context, vm platform.VM) error {
	vmView, dir := kernel.MustLookup[*membership.View](l.k, nameMembership), kernel.MustLookup[*directory.Directory](l.k, nameDirectory)
	first := listsHash(l.k) == 0
	var request wire.ListsRequest
	if !first {
		request.Have = dir.ListHash()
	}
	lists, err := l.request(ctx, vm, request)
	if err != nil {
		return err
	}
	vmView.Adopt(lists.VMs)
	if !dir.ApplyDelta(directory.Delta{Base: lists.Base, Changed: lists.Services, Removed: lists.Removed, Version: lists.Version}) {
		return errkind.New(errkind.NotReady, "service list has changed since it was requested")
	}
	if first {
		l.log.WithFields(logrus.Fields{"from": vm.Name, "vms": len(lists.VMs), "services": len(lists.Services)}).
			Info("the platform has not answered since the start; using the VM and service lists of a peer")
	}
	return nil
}

func (l *listFetcher) request(ctx context.Context, vm platform.VM, request wire.ListsRequest) (wire.Lists, error) {
	ctx, cancel := context.WithTimeout(ctx, listRequestTimeout)
	defer cancel()
	body, err := wire.NewEncoder().ListsRequestBody(request)
	if err != nil {
		return wire.Lists{}, err
	}
	reply, err := kernel.MustLookup[*peers](l.k, namePeers).Pool.Request(ctx, vm, wire.TypeListsRequest, body)
	if err != nil {
		return wire.Lists{}, err
	}
	return wire.DecodeLists(reply)
}

// readMissingLists reads the lists from the platform, which has answered for the first time since the start, unless reads in
// progress bring them. Otherwise a VM that has started during an outage would wait for the next regular read.
func readMissingLists(k *kernel.Kernel) {
	ctx, cancel := context.WithTimeout(context.Background(), listRequestTimeout)
	defer cancel()
	select {
	case <-time.After(slowAnswerTime):
	case <-ctx.Done():
	}
	var wg sync.WaitGroup
	if dir := kernel.MustLookup[*directory.Directory](k, nameDirectory); !dir.Ready() {
		wg.Go(func() { dir.ReadNow(ctx) })
	}
	if vmView := kernel.MustLookup[*membership.View](k, nameMembership); !vmView.Ready() {
		wg.Go(func() { vmView.ReadNow(ctx) })
	}
	wg.Wait()
}

// listsHandler returns the handler that answers a peer's request with the lists that this VM holds.
func listsHandler(k *kernel.Kernel) peer.Handler {
	vmView, dir := kernel.MustLookup[*membership.View](k, nameMembership), kernel.MustLookup[*directory.Directory](k, nameDirectory)
	return func(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
		request, err := wire.NewDecoder().ListsRequest(body)
		if err != nil {
			return nil, err
		}
		if listsHash(k) == 0 {
			return nil, errkind.New(errkind.NotReady, "this entry VM does not have both the VM and the service list")
		}
		delta := dir.DeltaSince(request.Have)
		l := wire.Lists{Services: delta.Changed, Version: delta.Version, Base: delta.Base, Removed: delta.Removed}
		if request.Have == 0 {
			l.VMs = vmView.List()
		}
		return l.Encode()
	}
}

// hasServices reports whether this VM has a service list. Without it, it cannot serve the members that it owns.
func hasServices(k *kernel.Kernel) bool {
	dir, err := kernel.Lookup[*directory.Directory](k, nameDirectory)
	return err == nil && dir.Ready()
}
