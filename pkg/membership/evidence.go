package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

func (v *View) own(vm platform.VM) bool { return vm.DataCentre == v.o.Self.DataCentre }

// interval returns the present heartbeat interval. The caller holds mu.
func (v *View) interval() time.Duration { return v.o.Interval(v.ownReachable) }

// fresh reports whether the peer was heard within twice the time that makes it suspect.
func (p *peer) fresh(interval time.Duration) bool {
	return !p.heard.IsZero() && time.Since(p.heard) < 2*MissedLimit*interval
}

// held reports whether the peer failed so lately that it is not tried again yet.
func (p *peer) held(interval time.Duration) bool {
	return p.gone && time.Since(p.goneAt) < max(goneMinimum, goneIntervals*interval)
}

// report is what sections say of a VM.
type report struct {
	draining bool
	vm       platform.VM
}

// evaluate recomputes live VMs, links and what is passed on, for the data centres whose evidence has changed. A fleet
// that starts brings news with almost every message, and a full evaluation at 670 VMs takes milliseconds. The caller
// holds mu.
func (v *View) evaluate() {
	interval := v.interval()
	v.dropForgotten()
	v.refreshContacts(interval)
	v.refreshDataCentres(interval)
	own := v.dataCentre(v.o.Self.DataCentre)
	ownDirty := own.dirty
	liveChanged, linksChanged := v.recompute(interval)
	if liveChanged || v.live.Load() == nil {
		live := v.collect(func(d *dataCentre) []platform.VM { return d.live })
		v.live.Store(&live)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	if linksChanged {
		v.links = v.collect(func(d *dataCentre) []platform.VM { return d.links })
	}
	if linksChanged || ownDirty || v.placed {
		v.placed = false
		v.relink()
	}
	if ownDirty {
		v.out = v.outPast.replace(v.out, outward(v))
	}
	if v.inDirty {
		v.inDirty = false
		v.in = v.inPast.replace(v.in, inward(v))
	}
}

// dropForgotten removes VMs that are neither listed nor heard of any more.
func (v *View) dropForgotten() {
	if v.unlisted == 0 {
		return
	}
	for _, p := range v.peers {
		if !p.listed && (p.heard.IsZero() || time.Since(p.heard) > forgetAfter) {
			p.stop()
			v.remove(p)
		}
	}
}

// alive decides for one VM. Direct evidence beats reports, which beat the list.
func (v *View) alive(p *peer, interval time.Duration, r report, reported, stale bool) bool {
	switch {
	case p.vm.State == platform.VMLeaving, p.draining && p.fresh(interval):
		return false
	case v.own(p.vm):
		return !p.gone && (p.listed || !p.heard.IsZero())
	case p.unreached, p.held(interval):
		return false
	case !p.gone && p.fresh(interval):
		return true
	case reported:
		return !r.draining
	}
	// Sections name every live VM of their data centre, so one that they don't name isn't alive.
	_, known := v.sections[p.vm.DataCentre]
	if known && !stale {
		return v.wasLive(p.vm.Name) && !p.dc.held
	}
	return !stale && p.listed && !p.gone
}

func (v *View) wasLive(name string) bool {
	old := v.live.Load()
	if old == nil {
		return false
	}
	_, found := slices.BinarySearchFunc(*old, name, func(l platform.VM, name string) int { return strings.Compare(l.Name, name) })
	return found
}

// relink starts and stops heartbeats. All VMs of the own data centre are kept as peers, gone ones too, since they may
// return.
func (v *View) relink() {
	linked := map[string]bool{}
	for _, vm := range v.links {
		linked[vm.Name] = true
		if v.peers[vm.Name] == nil { // known only to others
			v.add(&peer{vm: vm, heard: time.Now()})
		}
	}
	for name, p := range v.peers {
		if linked[name] || v.own(p.vm) && p.vm.State != platform.VMLeaving {
			v.link(p)
		} else {
			p.stop()
		}
	}
}

// outward is the section of the own data centre, for peers in others.
func outward(v *View) digest {
	s := wire.Section{DataCentre: v.o.Self.DataCentre,
		VMs: []wire.VMStatus{{VM: v.o.Self, Draining: v.away()}}}
	for _, p := range v.contacts {
		if v.own(p.vm) && p.usable {
			s.VMs = append(s.VMs, wire.VMStatus{VM: p.vm, Draining: p.draining})
		}
	}
	return newDigest([]wire.Section{s})
}

// inward passes on the sections that peers of other data centres sent of their own.
func inward(v *View) digest {
	var list []wire.Section
	for _, p := range v.contacts {
		if !v.own(p.vm) && p.usable {
			list = append(list, p.sections...)
		}
	}
	return newDigest(list)
}

// digestFor returns what a peer is to know, and what it was to know before: peers of the own data centre learn of
// others and the other way round.
func (v *View) digestFor(vm platform.VM) (digest, past) {
	if v.own(vm) {
		return v.in, v.inPast
	}
	return v.out, v.outPast
}
