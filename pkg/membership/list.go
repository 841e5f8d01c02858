package membership

import (
	"context"

	"github.com/sycamorehub/sycamorehub/pkg/listpoll"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// readList polls the platform. The last list stays while it doesn't answer. Reads are spread, so that a fleet doesn't
// read in step when the platform returns.
func (v *View) readList() {
	defer v.wg.Done()
	v.poller.Run(v.ctx)
}

func (v *View) pollList(ctx context.Context) error {
	list, err := v.o.Lister.VMs(ctx)
	if err != nil {
		v.o.Log.WithError(err).Debug("VM list not read; keeping the last one")
		return err
	}
	v.install(list)
	return nil
}

// IsReader reports whether this VM is one of those of its data centre that read the platform's lists often.
func (v *View) IsReader() bool { return ownership.IsReader(v.o.Self, v.Live()) }

// ListHash names the content of the VM list, 0 before the first read.
func (v *View) ListHash() uint32 { return v.listHash.Load() }

// RequestRead asks for a read of the VM list soon.
func (v *View) RequestRead() { v.poller.RequestRead() }

// Read reads the list at once, and returns after that or when ctx ends.
func (v *View) Read(ctx context.Context) { v.poller.Read(ctx) }

// List returns the list as last read or adopted, nil before. Callers must not change it.
func (v *View) List() []platform.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

// Adopt takes over a peer's list unless this VM has one, also if it gets one at the same moment.
func (v *View) Adopt(list []platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(list) > 0 && !v.Ready() {
		v.installLocked(list)
	}
}

// install takes over a list.
func (v *View) install(list []platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.installLocked(list)
}

func (v *View) installLocked(list []platform.VM) {
	v.listHash.Store(listpoll.Hash(list))
	v.list = list
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.Name == v.o.Self.Name {
			if leaving := vm.State == platform.VMLeaving; v.leaving.Swap(leaving) != leaving {
				defer v.pushAll()
			}
			continue
		}
		listed[vm.Name] = true
		v.installVM(vm)
	}
	for name, p := range v.peers {
		if p.listed && !listed[name] {
			p.listed = false
			v.touch(p)
		}
	}
	v.evaluate()
}

func (v *View) installVM(vm platform.VM) {
	p := v.peers[vm.Name]
	if p == nil {
		v.add(&peer{vm: vm, listed: true})
		return
	}
	old, was := p.vm, p.listed
	if !p.moved || !p.fresh(v.interval()) || p.vm.PeerAddr == vm.PeerAddr {
		p.vm, p.moved = vm, false
	}
	p.listed = true
	if p.vm != old || !was {
		v.touch(p)
	}
}
