package membership

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/listpoll"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// runPoller polls the platform's VM list. The last list is kept while the platform does not answer. The poller spreads
// the reads at random, so that the daemons of a fleet do not read at the same time when the platform returns.
func (v *View) runPoller() {
	defer v.wg.Done()
	v.poller.Run(v.ctx)
}

func (v *View) readList(ctx context.Context) (err error) {
	defer panics.Confine(v.options.Log, "read of the VM list", func() { err = errkind.New(errkind.Internal, "VM list could not be handled") })
	list, err := v.options.Lister.VMs(ctx)
	if err != nil {
		v.options.Log.WithError(err).Debug("cannot read the VM list; keeping the last one")
		return err
	}
	v.applyList(list)
	return nil
}

// IsReader reports whether this VM is one of the VMs of its data centre that read the platform's lists often. Listed VMs count
// as alive until heartbeats tell, and while no VM of the data centre takes work: VMs without a service list take none, and
// one of them must read it.
func (v *View) IsReader() bool {
	vms := v.Live()
	inOwnDataCentre := func(vm platform.VM) bool { return vm.DataCentre == v.options.Self.DataCentre }
	if time.Since(v.started) < startPeriod || !slices.ContainsFunc(vms, inOwnDataCentre) {
		vms = append(v.Listed(), v.options.Self)
	}
	return ownership.IsStoreReader(v.options.Self, vms)
}

const (
	// startPeriod is the time after the start during which a VM that has not been heard from may just be starting as well.
	startPeriod = time.Second
	// listWait bounds AwaitList.
	listWait = 300 * time.Millisecond
)

// AwaitList waits until there is a list, for listWait at most.
func (v *View) AwaitList(ctx context.Context) {
	const checkInterval = 10 * time.Millisecond
	for range listWait / checkInterval {
		if v.Ready() {
			return
		}
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return
		}
	}
}

// leavingVMs returns the names of the VMs that the list marks as leaving. This is all that other VMs need to learn from the
// list at once: that a VM has joined, moved or vanished, heartbeats and sections tell them.
func leavingVMs(list []platform.VM) []string {
	names := []string{}
	for _, vm := range list {
		if vm.State == platform.VMLeaving {
			names = append(names, vm.Name)
		}
	}
	return names
}

// ListHash returns a hash of the names of the VMs that the list marks as leaving, 0 while the view has no list.
func (v *View) ListHash() uint32 { return v.listHash.Load() }

// RequestRead requests a read of the VM list before the next regular one.
func (v *View) RequestRead() { v.poller.RequestRead() }

// ReadNow reads the list at once. It returns when the read has ended or ctx is done.
func (v *View) ReadNow(ctx context.Context) { v.poller.ReadNow(ctx) }

// List returns the list as last read or adopted, nil while there is none. Callers must not change it.
func (v *View) List() []platform.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

// Adopt uses a list received from a peer, unless this VM has one already. A list that is read at the same time takes
// precedence.
func (v *View) Adopt(list []platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(list) > 0 && !v.Ready() {
		v.applyListLocked(list)
	}
}

// applyList replaces the list and updates the peers from it.
func (v *View) applyList(list []platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyListLocked(list)
}

// applyListLocked is applyList for a caller that holds mu.
func (v *View) applyListLocked(list []platform.VM) {
	v.listHash.Store(listpoll.Hash(leavingVMs(list)))
	v.list = list
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.Name == v.options.Self.Name {
			if leaving := vm.State == platform.VMLeaving; v.leaving.Swap(leaving) != leaving {
				defer v.requestHeartbeats()
			}
			continue
		}
		listed[vm.Name] = true
		v.applyListedVM(vm)
	}
	for name, p := range v.peers {
		if p.listed && !listed[name] {
			p.listed = false
			v.markChanged(p)
		}
	}
	v.evaluate()
}

// applyListedVM adds or updates the peer of a listed VM. A new address that the VM has given for itself is kept while it
// is heard from and the list holds another one.
func (v *View) applyListedVM(vm platform.VM) {
	p := v.peers[vm.Name]
	if p == nil {
		v.addPeer(&peer{vm: vm, listed: true})
		return
	}
	old, wasListed := p.vm, p.listed
	if !p.addrChanged || !p.heardRecently(v.interval()) || p.vm.PeerAddr == vm.PeerAddr {
		p.vm, p.addrChanged = vm, false
	}
	p.listed = true
	if p.vm != old || !wasListed {
		v.markChanged(p)
	}
}
