package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

func (v *View) inOwnDataCentre(vm platform.VM) bool {
	return vm.DataCentre == v.options.Self.DataCentre
}

// interval returns the current heartbeat interval. The caller holds mu.
func (v *View) interval() time.Duration { return v.options.Interval(v.reachableInOwnDataCentre) }

// heardRecently reports whether the last message from the peer is younger than twice the time in which it may miss
// heartbeats.
func (p *peer) heardRecently(interval time.Duration) bool {
	return !p.lastHeard.IsZero() && time.Since(p.lastHeard) < 2*MissedHeartbeatLimit*interval
}

// heldOff reports whether a probe of the peer failed so recently that no link to it is chosen. A VM of another data centre
// does not count as live meanwhile.
func (p *peer) heldOff(interval time.Duration) bool {
	return p.gone && time.Since(p.lastFailed) < max(minHoldOff, holdOffIntervals*interval)
}

// vmReport is what the sections received say about a VM.
type vmReport struct {
	draining bool
	vm       platform.VM
}

// evaluate computes the live VMs, the links and the sections to send. It covers only the data centres whose evidence has
// changed: while a fleet starts almost every message changes something, and a full evaluation with 670 VMs takes
// milliseconds. The caller holds mu.
func (v *View) evaluate() {
	interval := v.interval()
	v.removeExpiredPeers()
	v.refreshContactedPeers(interval)
	v.refreshDataCentres(interval)
	own := v.dataCentre(v.options.Self.DataCentre)
	ownDirty := own.dirty
	liveChanged, linksChanged := v.evaluateDirty(interval)
	if liveChanged || v.live.Load() == nil {
		live := v.fromAllDataCentres(func(d *dataCentre) []platform.VM { return d.live })
		v.live.Store(&live)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	if linksChanged {
		v.links = v.fromAllDataCentres(func(d *dataCentre) []platform.VM { return d.links })
	}
	if linksChanged || ownDirty || v.peersChanged {
		v.peersChanged = false
		v.updateLinks()
	}
	if ownDirty {
		v.ownSection = v.ownSectionHistory.keepPrevious(v.ownSection, ownSectionSet(v))
	}
	if v.remoteSectionsDirty {
		v.remoteSectionsDirty = false
		v.remoteSections = v.remoteSectionsHistory.keepPrevious(v.remoteSections, remoteSectionSet(v))
	}
}

// removeExpiredPeers removes VMs that are not listed and have sent no message for unlistedRetention.
func (v *View) removeExpiredPeers() {
	if v.unlistedPeers == 0 {
		return
	}
	for _, p := range v.peers {
		if !p.listed && (p.lastHeard.IsZero() || time.Since(p.lastHeard) > unlistedRetention) {
			p.stopHeartbeats()
			v.removePeer(p)
		}
	}
}

// countsAsLive reports whether a VM counts as live. Direct evidence takes precedence over reports, and reports over the
// list.
func (v *View) countsAsLive(p *peer, interval time.Duration, report vmReport, reported, stale bool) bool {
	switch {
	case p.vm.State == platform.VMLeaving, p.draining && p.heardRecently(interval):
		return false
	case v.inOwnDataCentre(p.vm):
		return !p.gone && (p.listed || !p.lastHeard.IsZero())
	case p.unreachable, p.heldOff(interval):
		return false
	case !p.gone && p.heardRecently(interval):
		return true
	case reported:
		return !report.draining
	}
	// A section names every live VM of its data centre, so a VM that it does not name is not alive. Between the loss of the
	// last section and the time when the data centre is stale, its live VMs stay live.
	_, known := v.sectionLastHeld[p.vm.DataCentre]
	if known && !stale {
		return v.wasLive(p.vm.Name) && !p.dc.sectionHeld
	}
	return !stale && p.listed && !p.gone
}

// wasLive reports whether the last evaluation found the VM live.
func (v *View) wasLive(name string) bool {
	old := v.live.Load()
	if old == nil {
		return false
	}
	_, found := slices.BinarySearchFunc(*old, name, func(l platform.VM, name string) int { return strings.Compare(l.Name, name) })
	return found
}

// updateLinks starts heartbeats with the linked VMs and stops all others. Heartbeats with VMs of the own data centre go on
// when these are gone, since they may return.
func (v *View) updateLinks() {
	linked := map[string]bool{}
	for _, vm := range v.links {
		linked[vm.Name] = true
		if v.peers[vm.Name] == nil { // only other daemons know it
			v.addPeer(&peer{vm: vm, lastHeard: time.Now()})
		}
	}
	for name, p := range v.peers {
		if linked[name] || v.inOwnDataCentre(p.vm) && p.vm.State != platform.VMLeaving {
			v.startHeartbeats(p)
		} else {
			p.stopHeartbeats()
		}
	}
}

// ownSectionSet returns the section of the own data centre, which is sent to peers in other data centres.
func ownSectionSet(v *View) sectionSet {
	section := wire.Section{DataCentre: v.options.Self.DataCentre,
		VMs: []wire.VMStatus{{VM: v.options.Self, Draining: v.unavailable()}}}
	for _, p := range v.contactedPeers {
		if v.inOwnDataCentre(p.vm) && p.usable {
			section.VMs = append(section.VMs, wire.VMStatus{VM: p.vm, Draining: p.draining})
		}
	}
	return newSectionSet([]wire.Section{section})
}

// remoteSectionSet returns the sections that peers of other data centres have sent, which are passed on to peers in the
// own data centre.
func remoteSectionSet(v *View) sectionSet {
	var sections []wire.Section
	for _, p := range v.contactedPeers {
		if !v.inOwnDataCentre(p.vm) && p.usable {
			sections = append(sections, p.sections...)
		}
	}
	return newSectionSet(sections)
}

// sectionsFor returns the sections to send to a VM, and their history. VMs of the own data centre are sent the
// sections of the others, and VMs of other data centres that of the own one.
func (v *View) sectionsFor(vm platform.VM) (sectionSet, sectionHistory) {
	if v.inOwnDataCentre(vm) {
		return v.remoteSections, v.remoteSectionsHistory
	}
	return v.ownSection, v.ownSectionHistory
}
