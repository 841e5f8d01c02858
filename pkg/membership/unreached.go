package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// MarkUnreachable tells the view that no connection to a VM could be opened. A VM of another data centre then does not count
// as live here, even if other VMs report it as alive, until a connection can be opened or the VM replies to a heartbeat:
// in a partial network failure other VMs may still reach it. Until then units go to the next owner. MarkUnreachable ignores
// VMs of the own data centre, for which heartbeats decide. It does not block.
func (v *View) MarkUnreachable(vm platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[vm.Name]
	if p == nil || p.unreachable || v.inOwnDataCentre(p.vm) || v.stopped || p.vm.PeerAddr != vm.PeerAddr {
		return
	}
	p.unreachable = true
	v.markChanged(p)
	v.evaluate()
	if log, ok := v.failureLogLimit.Allow(v.options.Log, vm.Name); ok {
		log.WithField("vm", vm.Name).Warn("cannot open a connection to an entry VM of another data centre; " +
			"sending it no work until a connection succeeds")
	}
	if !p.retrying {
		p.retrying = true
		v.wg.Add(1)
		go v.retryUnreachable(vm.Name)
	}
}

// retryUnreachable tries to connect to an unreachable VM until it is reached or no longer known.
func (v *View) retryUnreachable(name string) {
	defer v.wg.Done()
	timer := time.NewTimer(goneRetryInterval/2 + rand.N(goneRetryInterval))
	defer timer.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case <-timer.C:
		}
		v.mu.Lock()
		p := v.peers[name]
		if p == nil || !p.unreachable {
			if p != nil {
				p.retrying = false
			}
			v.mu.Unlock()
			return
		}
		vm := p.vm
		v.mu.Unlock()
		ctx, cancel := context.WithTimeout(v.ctx, minProbeTimeout)
		err := v.options.Transport.Probe(ctx, vm)
		cancel()
		if err == nil {
			v.markReachable(name) // the loop ends after the next wait, unless MarkUnreachable is called again before
		}
		timer.Reset(goneRetryInterval/2 + rand.N(goneRetryInterval))
	}
}

// markReachable undoes MarkUnreachable.
func (v *View) markReachable(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[name]; p != nil && p.unreachable {
		p.unreachable = false
		v.markChanged(p)
		v.evaluate()
		v.options.Log.WithField("vm", name).Info("entry VM is reachable again")
	}
}
