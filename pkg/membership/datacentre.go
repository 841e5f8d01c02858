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

// dataCentre holds what the last evaluation found for one data centre. It is computed again only when it is dirty:
// evidence of one of its VMs has changed.
type dataCentre struct {
	name        string
	peers       map[string]*peer
	dirty       bool
	sectionHeld bool          // a section of it is at hand
	stale       bool          // no section was held for so long that its listed VMs no longer count as alive
	live        []platform.VM // by name
	candidates  []platform.VM // for links, by name: live, or the listed ones while none is live
	links       []platform.VM // VMs of it that this one exchanges heartbeats with
}

func (v *View) dataCentre(name string) *dataCentre {
	d := v.dataCentres[name]
	if d == nil {
		d = &dataCentre{name: name, peers: map[string]*peer{}, dirty: true}
		v.dataCentres[name] = d
	}
	return d
}

// addPeer takes a VM into the view. The caller holds mu.
func (v *View) addPeer(p *peer) {
	v.peers[p.vm.Name] = p
	v.markChanged(p)
}

// markChanged records that evidence of a VM has changed, other than the time when it was heard. Each change of a peer's
// fields is followed by a call. The caller holds mu.
func (v *View) markChanged(p *peer) {
	if p.dc == nil || p.dc.name != p.vm.DataCentre {
		v.assignDataCentre(p)
	}
	p.dc.dirty = true
	if !v.inOwnDataCentre(p.vm) {
		v.remoteSectionsDirty = true
	}
	updateCount(&p.countedReachable, v.inOwnDataCentre(p.vm) && !p.gone, &v.reachableInOwnDC)
	updateCount(&p.countedUnlisted, !p.listed, &v.unlistedPeers)
	if !p.contacted && (p.gone || !p.lastHeard.IsZero()) {
		p.contacted = true
		at, _ := v.contactedIndex(p)
		v.contactedPeers = slices.Insert(v.contactedPeers, at, p)
	}
}

// updateCount keeps count of the peers for which a condition holds.
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

// assignDataCentre puts a VM into its data centre. Whether a reported VM is known only to others may change in any of them.
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

// removePeer drops a VM from the view.
func (v *View) removePeer(p *peer) {
	updateCount(&p.countedReachable, false, &v.reachableInOwnDC)
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

// markSectionsDirty marks the data centres of sections that have come, gone or changed.
func (v *View) markSectionsDirty(sections []wire.Section) {
	for _, s := range sections {
		v.dataCentre(s.DataCentre).dirty = true
	}
}

// setSections takes over the sections of a peer and reports whether their content changed.
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

// refreshContactedPeers marks what time alone has changed about the VMs that were ever heard or tried.
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

// refreshDataCentres notes of which data centres sections are at hand, and which have become stale: until then their
// listed VMs count as alive.
func (v *View) refreshDataCentres(interval time.Duration) {
	limit, now := max(minStaleAfter, staleAfterIntervals*interval), time.Now()
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
		if stale := now.Sub(last) > limit; stale != d.stale {
			d.stale, d.dirty = stale, true
		}
	}
}

// holdsSection reports whether a section of the data centre is at hand right now.
func (v *View) holdsSection(dc string) bool {
	return slices.ContainsFunc(v.contactedPeers, func(p *peer) bool {
		return p.usable && slices.ContainsFunc(p.sections, func(s wire.Section) bool { return s.DataCentre == dc })
	})
}

// evaluateDirty evaluates the dirty data centres and reports whether live VMs or links changed.
func (v *View) evaluateDirty(interval time.Duration) (liveChanged, linksChanged bool) {
	own := v.dataCentre(v.options.Self.DataCentre)
	ownCandidates := own.candidates
	var outdated []*dataCentre // in which candidates changed
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
	if !slices.Equal(own.candidates, ownCandidates) { // all links depend on the own ones
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

// reportsOn merges the sections that speak of a data centre: a VM is alive when any of them says so, and draining when
// any of them says so. A section speaks only for VMs of its own data centre; for the own one direct evidence is better.
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
	for name, r := range reports { // known only to others
		if v.peers[name] == nil && !r.draining && r.vm.State != platform.VMLeaving {
			live = append(live, r.vm)
		}
	}
	sortVMs(live)
	return live
}

// linkCandidates returns the live VMs, or the listed ones that were not tried lately while none is live.
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

// linksWith returns the links to VMs of a data centre. They follow from its candidates and those of the own one.
func (v *View) linksWith(d, own *dataCentre) []platform.VM {
	candidates := own.candidates
	if d != own {
		candidates = slices.Concat(own.candidates, d.candidates)
	}
	return slices.DeleteFunc(ownership.Links(v.options.Self, candidates), func(vm platform.VM) bool { return vm.DataCentre != d.name })
}

// fromAllDataCentres joins lists of all data centres, sorted by name.
func (v *View) fromAllDataCentres(of func(*dataCentre) []platform.VM) []platform.VM {
	var out []platform.VM
	for _, name := range slices.Sorted(maps.Keys(v.dataCentres)) {
		out = append(out, of(v.dataCentres[name])...)
	}
	sortVMs(out)
	return out
}
