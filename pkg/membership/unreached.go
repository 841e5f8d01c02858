package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// MarkUnreachable tells the view that no connection to a VM could be opened. A VM of another data centre does not count as live
// here from then on, whatever others report, until a connection can be opened or a heartbeat is answered: part of a network may
// be cut, so that others still reach it. Units go to the next owner meanwhile. VMs of the own data centre are judged by
// their heartbeats. It does not block.
func (v *View) MarkUnreachable(vm platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[vm.Name]
	if p == nil || p.unreached || v.own(p.vm) || v.stopped || p.vm.PeerAddr != vm.PeerAddr {
		return
	}
	p.unreached = true
	v.touch(p)
	v.evaluate()
	if log, ok := v.logGone.Allow(v.o.Log, vm.Name); ok {
		log.WithField("vm", vm.Name).Warn("no connection to an entry VM of another data centre can be opened; " +
			"this VM sends it nothing until one can")
	}
	if !p.retrying {
		p.retrying = true
		v.wg.Add(1)
		go v.retryUnreached(vm.Name)
	}
}

// retryUnreached tries to connect to a VM that could not be reached until it answers or is no longer known.
func (v *View) retryUnreached(name string) {
	defer v.wg.Done()
	timer := time.NewTimer(goneRetry/2 + rand.N(goneRetry))
	defer timer.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case <-timer.C:
		}
		v.mu.Lock()
		p := v.peers[name]
		if p == nil || !p.unreached {
			if p != nil {
				p.retrying = false
			}
			v.mu.Unlock()
			return
		}
		vm := p.vm
		v.mu.Unlock()
		ctx, cancel := context.WithTimeout(v.ctx, probeMinimum)
		err := v.o.Transport.Probe(ctx, vm)
		cancel()
		if err == nil {
			v.reached(name) // ends the loop after the next wait, unless a dial has failed again
		}
		timer.Reset(goneRetry/2 + rand.N(goneRetry))
	}
}

// reached takes back what MarkUnreachable noted.
func (v *View) reached(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[name]; p != nil && p.unreached {
		p.unreached = false
		v.touch(p)
		v.evaluate()
		v.o.Log.WithField("vm", name).Info("entry VM can be reached again")
	}
}
