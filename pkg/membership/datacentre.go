package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// dataCentre holds the results of the last evaluation for one data centre. They are computed again only when dirty is
// set, which means that the evidence on one of its VMs has changed.
type dataCentre struct {
	name        string
	peers       map[string]*peer
	dirty       bool
	sectionHeld bool          // a usable peer holds a section of it
	stale       bool          // no section of it has been held for so long that its listed VMs no longer count as live
	live        []platform.VM // sorted by name
	candidates  []platform.VM // VMs that links may lead to, sorted by name; see linkCandidates
	links       []platform.VM // its VMs that this VM exchanges heartbeats with
}

func (v *View) dataCentre(name string) *dataCentre {
	d := v.dataCentres[name]
	if d == nil {
		d = &dataCentre{name: name, peers: map[string]*peer{}, dirty: true}
		v.dataCentres[name] = d
	}
	return d
}

// addPeer adds a VM to the view. The caller holds mu.
func (v *View) addPeer(p *peer) {
	v.peers[p.vm.Name] = p
	v.markChanged(p)
}

// markChanged records that the evidence on a VM has changed. It must be called after each change of a peer's fields
// other than lastHeard. The caller holds mu.
func (v *View) markChanged(p *peer) {
	if p.dc == nil || p.dc.name != p.vm.DataCentre {
		v.assignDataCentre(p)
	}
	p.dc.dirty = true
	if !v.inOwnDataCentre(p.vm) {
		v.remoteSectionsDirty = true
	}
	updateCount(&p.countedReachable, v.inOwnDataCentre(p.vm) && !p.gone, &v.reachableInOwnDataCentre)
	updateCount(&p.countedUnlisted, !p.listed, &v.unlistedPeers)
	if !p.contacted && (p.gone || !p.lastHeard.IsZero()) {
		p.contacted = true
		at, _ := v.contactedIndex(p)
		v.contactedPeers = slices.Insert(v.contactedPeers, at, p)
	}
}

// updateCount adjusts the number of peers for which a condition holds, given whether it held for one peer before and
// holds now.
func updateCount(was *bool, is bool, count *int) {
	switch {
	case is && !*was:
		*count++
	case !is && *was:
		*count--
	}
	*was = is
}

func (v *View) contactedIndex(p *peer) (int, bool) {
	return slices.BinarySearchFunc(v.contactedPeers, p, func(a, b *peer) int { return strings.Compare(a.vm.Name, b.vm.Name) })
}

// assignDataCentre moves a VM to its data centre. It marks all data centres dirty, since a section of any of them may
// name the VM, and a reported VM is treated differently once it is a peer.
func (v *View) assignDataCentre(p *peer) {
	if p.dc != nil {
		delete(p.dc.peers, p.vm.Name)
	}
	p.dc = v.dataCentre(p.vm.DataCentre)
	p.dc.peers[p.vm.Name] = p
	v.peersChanged, v.remoteSectionsDirty = true, true
	for _, d := range v.dataCentres {
		d.dirty = true
	}
}

// removePeer removes a VM from the view.
func (v *View) removePeer(p *peer) {
	updateCount(&p.countedReachable, false, &v.reachableInOwnDataCentre)
	updateCount(&p.countedUnlisted, false, &v.unlistedPeers)
	if at, found := v.contactedIndex(p); found && p.contacted {
		v.contactedPeers = slices.Delete(v.contactedPeers, at, at+1)
	}
	delete(v.peers, p.vm.Name)
	delete(p.dc.peers, p.vm.Name)
	v.markSectionsDirty(p.sections)
	v.peersChanged, v.remoteSectionsDirty = true, true
	for _, d := range v.dataCentres {
		d.dirty = true
	}
}

// markSectionsDirty marks the data centres of sections that were added, removed or changed.
func (v *View) markSectionsDirty(sections []wire.Section) {
	for _, s := range sections {
		v.dataCentre(s.DataCentre).dirty = true
	}
}

// setSections stores the sections received from a peer and reports whether their content has changed.
func (v *View) setSections(p *peer, sections []wire.Section) bool {
	if slices.EqualFunc(p.sections, sections, equalSection) {
		return false
	}
	v.markSectionsDirty(p.sections)
	v.markSectionsDirty(sections)
	p.sections = sections
	v.markChanged(p)
	return true
}

func equalSection(a, b wire.Section) bool {
	return a.DataCentre == b.DataCentre && slices.Equal(a.VMs, b.VMs)
}

// refreshContactedPeers marks the data centres of the contacted peers whose evidence has expired since the last
// evaluation, and of their sections.
func (v *View) refreshContactedPeers(interval time.Duration) {
	for _, p := range v.contactedPeers {
		recent, heldOff := p.heardRecently(interval), p.heldOff(interval)
		usable := recent && !p.gone
		if recent != p.wasHeardRecently || heldOff != p.wasHeldOff || usable != p.usable {
			p.dc.dirty = true
		}
		if usable != p.usable {
			v.markSectionsDirty(p.sections)
			v.remoteSectionsDirty = true
		}
		p.wasHeardRecently, p.wasHeldOff, p.usable = recent, heldOff, usable
	}
}

// refreshDataCentres determines for each other data centre whether a section of it is held, and whether it is stale.
// While it is not stale, its listed VMs count as live.
func (v *View) refreshDataCentres(interval time.Duration) {
	staleAfter, now := max(minStaleAfter, staleAfterIntervals*interval), time.Now()
	if unavailable := v.unavailable(); unavailable != v.wasUnavailable {
		v.wasUnavailable = unavailable
		v.dataCentre(v.options.Self.DataCentre).dirty = true
	}
	for _, d := range v.dataCentres {
		if d.name == v.options.Self.DataCentre {
			continue
		}
		if d.dirty {
			d.sectionHeld = v.holdsSection(d.name)
		}
		if d.sectionHeld {
			v.sectionLastHeld[d.name] = now
		}
		last, known := v.sectionLastHeld[d.name]
		if !known {
			last = v.started
		}
		if stale := now.Sub(last) > staleAfter; stale != d.stale {
			d.stale, d.dirty = stale, true
		}
	}
}

// holdsSection reports whether a usable peer holds a section of the data centre.
func (v *View) holdsSection(dc string) bool {
	return slices.ContainsFunc(v.contactedPeers, func(p *peer) bool {
		return p.usable && slices.ContainsFunc(p.sections, func(s wire.Section) bool { return s.DataCentre == dc })
	})
}

// evaluateDirty evaluates the dirty data centres and reports whether live VMs or links changed.
func (v *View) evaluateDirty(interval time.Duration) (liveChanged, linksChanged bool) {
	own := v.dataCentre(v.options.Self.DataCentre)
	ownCandidates := own.candidates
	var outdated []*dataCentre // data centres whose links must be computed again
	for _, d := range v.dataCentres {
		if !d.dirty {
			continue
		}
		d.dirty = false
		live := v.liveVMs(d, interval)
		liveChanged = liveChanged || !slices.Equal(live, d.live)
		d.live = live
		if c := d.linkCandidates(interval); !slices.Equal(c, d.candidates) {
			d.candidates = c
			outdated = append(outdated, d)
		}
	}
	if !slices.Equal(own.candidates, ownCandidates) { // all links depend on the candidates of the own data centre
		outdated = outdated[:0]
		for _, d := range v.dataCentres {
			outdated = append(outdated, d)
		}
	}
	for _, d := range outdated {
		if links := v.linksWith(d, own); !slices.Equal(links, d.links) {
			d.links, linksChanged = links, true
		}
	}
	return liveChanged, linksChanged
}

// reportsOn merges the sections of a data centre that usable peers hold. A VM is alive if any section names it, and
// draining if any section says so. VMs of a section that belong to another data centre are ignored. There are no
// reports on the own data centre, since its VMs exchange heartbeats directly.
func (v *View) reportsOn(dc string) map[string]vmReport {
	out := map[string]vmReport{}
	if dc == v.options.Self.DataCentre {
		return out
	}
	for _, p := range v.contactedPeers {
		if !p.usable {
			continue
		}
		for _, s := range p.sections {
			if s.DataCentre != dc {
				continue
			}
			for _, st := range s.VMs {
				if st.VM.DataCentre == dc {
					out[st.VM.Name] = vmReport{out[st.VM.Name].draining || st.Draining, st.VM}
				}
			}
		}
	}
	return out
}

// liveVMs returns the VMs of a data centre that count as live, sorted by name.
func (v *View) liveVMs(d *dataCentre, interval time.Duration) []platform.VM {
	var live []platform.VM
	if d.name == v.options.Self.DataCentre && !v.wasUnavailable {
		live = append(live, v.options.Self)
	}
	reports := v.reportsOn(d.name)
	for name, p := range d.peers {
		r, reported := reports[name]
		if v.countsAsLive(p, interval, r, reported, d.stale) {
			live = append(live, p.vm)
		}
	}
	for name, r := range reports { // VMs that only other daemons know
		if v.peers[name] == nil && !r.draining && r.vm.State != platform.VMLeaving {
			live = append(live, r.vm)
		}
	}
	sortVMs(live)
	return live
}

// linkCandidates returns the VMs that links may lead to: the live ones or, while none is live, the listed ones except
// those that have failed recently.
func (d *dataCentre) linkCandidates(interval time.Duration) []platform.VM {
	if len(d.live) > 0 {
		return d.live
	}
	var out []platform.VM
	for _, p := range d.peers {
		if p.listed && !p.heldOff(interval) && p.vm.State != platform.VMLeaving {
			out = append(out, p.vm)
		}
	}
	sortVMs(out)
	return out
}

// linksWith returns the VMs of data centre d that this VM exchanges heartbeats with. They follow from the candidates of
// both data centres.
func (v *View) linksWith(d, own *dataCentre) []platform.VM {
	candidates := own.candidates
	if d != own {
		candidates = slices.Concat(own.candidates, d.candidates)
	}
	return slices.DeleteFunc(ownership.HeartbeatPeers(v.options.Self, candidates),
		func(vm platform.VM) bool { return vm.DataCentre != d.name })
}

// fromAllDataCentres concatenates the lists that the function of returns for each data centre, and sorts them by name.
func (v *View) fromAllDataCentres(of func(*dataCentre) []platform.VM) []platform.VM {
	var out []platform.VM
	for _, name := range slices.Sorted(maps.Keys(v.dataCentres)) {
		out = append(out, of(v.dataCentres[name])...)
	}
	sortVMs(out)
	return out
}
