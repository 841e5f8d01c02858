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
	name       string
	peers      map[string]*peer
	dirty      bool
	held       bool          // a section of it is at hand
	stale      bool          // no section was held for so long that its listed VMs no longer count as alive
	live       []platform.VM // by name
	candidates []platform.VM // for links, by name: live, or the listed ones while none is live
	links      []platform.VM // VMs of it that this one exchanges heartbeats with
}

func (v *View) dataCentre(name string) *dataCentre {
	d := v.dataCentres[name]
	if d == nil {
		d = &dataCentre{name: name, peers: map[string]*peer{}, dirty: true}
		v.dataCentres[name] = d
	}
	return d
}

// add takes a VM into the view. The caller holds mu.
func (v *View) add(p *peer) {
	v.peers[p.vm.Name] = p
	v.touch(p)
}

// touch records that evidence of a VM has changed, other than the time when it was heard. Each change of a peer's
// fields is followed by a call. The caller holds mu.
func (v *View) touch(p *peer) {
	if p.dc == nil || p.dc.name != p.vm.DataCentre {
		v.place(p)
	}
	p.dc.dirty = true
	if !v.own(p.vm) {
		v.inDirty = true
	}
	adjust(&p.reachable, v.own(p.vm) && !p.gone, &v.ownReachable)
	adjust(&p.unlisted, !p.listed, &v.unlisted)
	if !p.contact && (p.gone || !p.heard.IsZero()) {
		p.contact = true
		at, _ := v.contactIndex(p)
		v.contacts = slices.Insert(v.contacts, at, p)
	}
}

// adjust keeps count of the peers for which a condition holds.
func adjust(was *bool, is bool, count *int) {
	switch {
	case is && !*was:
		*count++
	case !is && *was:
		*count--
	}
	*was = is
}

func (v *View) contactIndex(p *peer) (int, bool) {
	return slices.BinarySearchFunc(v.contacts, p, func(a, b *peer) int { return strings.Compare(a.vm.Name, b.vm.Name) })
}

// place puts a VM into its data centre. Whether a reported VM is known only to others may change in any of them.
func (v *View) place(p *peer) {
	if p.dc != nil {
		delete(p.dc.peers, p.vm.Name)
	}
	p.dc = v.dataCentre(p.vm.DataCentre)
	p.dc.peers[p.vm.Name] = p
	v.placed, v.inDirty = true, true
	for _, d := range v.dataCentres {
		d.dirty = true
	}
}

// remove drops a VM from the view.
func (v *View) remove(p *peer) {
	adjust(&p.reachable, false, &v.ownReachable)
	adjust(&p.unlisted, false, &v.unlisted)
	if at, found := v.contactIndex(p); found && p.contact {
		v.contacts = slices.Delete(v.contacts, at, at+1)
	}
	delete(v.peers, p.vm.Name)
	delete(p.dc.peers, p.vm.Name)
	v.markSections(p.sections)
	v.placed, v.inDirty = true, true
	for _, d := range v.dataCentres {
		d.dirty = true
	}
}

// markSections marks the data centres of sections that have come, gone or changed.
func (v *View) markSections(sections []wire.Section) {
	for _, s := range sections {
		v.dataCentre(s.DataCentre).dirty = true
	}
}

// setSections takes over the sections of a peer and reports whether their content changed.
func (v *View) setSections(p *peer, sections []wire.Section) bool {
	if slices.EqualFunc(p.sections, sections, equalSection) {
		return false
	}
	v.markSections(p.sections)
	v.markSections(sections)
	p.sections = sections
	v.touch(p)
	return true
}

func equalSection(a, b wire.Section) bool {
	return a.DataCentre == b.DataCentre && slices.Equal(a.VMs, b.VMs)
}

// refreshContacts marks what time alone has changed about the VMs that were ever heard or tried.
func (v *View) refreshContacts(interval time.Duration) {
	for _, p := range v.contacts {
		fresh, held := p.fresh(interval), p.held(interval)
		usable := fresh && !p.gone
		if fresh != p.wasFresh || held != p.wasHeld || usable != p.usable {
			p.dc.dirty = true
		}
		if usable != p.usable {
			v.markSections(p.sections)
			v.inDirty = true
		}
		p.wasFresh, p.wasHeld, p.usable = fresh, held, usable
	}
}

// refreshDataCentres notes of which data centres sections are at hand, and which have become stale: until then their
// listed VMs count as alive.
func (v *View) refreshDataCentres(interval time.Duration) {
	limit, now := max(staleMinimum, staleInterval*interval), time.Now()
	if away := v.away(); away != v.wasAway {
		v.wasAway = away
		v.dataCentre(v.o.Self.DataCentre).dirty = true
	}
	for _, d := range v.dataCentres {
		if d.name == v.o.Self.DataCentre {
			continue
		}
		if d.dirty {
			d.held = v.sectionHeld(d.name)
		}
		if d.held {
			v.sections[d.name] = now
		}
		last, known := v.sections[d.name]
		if !known {
			last = v.started
		}
		if stale := now.Sub(last) > limit; stale != d.stale {
			d.stale, d.dirty = stale, true
		}
	}
}

// sectionHeld reports whether a section of the data centre is at hand right now.
func (v *View) sectionHeld(dc string) bool {
	return slices.ContainsFunc(v.contacts, func(p *peer) bool {
		return p.usable && slices.ContainsFunc(p.sections, func(s wire.Section) bool { return s.DataCentre == dc })
	})
}

// recompute evaluates the dirty data centres and reports whether live VMs or links changed.
func (v *View) recompute(interval time.Duration) (liveChanged, linksChanged bool) {
	own := v.dataCentre(v.o.Self.DataCentre)
	ownCandidates := own.candidates
	var relink []*dataCentre // in which candidates changed
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
			relink = append(relink, d)
		}
	}
	if !slices.Equal(own.candidates, ownCandidates) { // all links depend on the own ones
		relink = relink[:0]
		for _, d := range v.dataCentres {
			relink = append(relink, d)
		}
	}
	for _, d := range relink {
		if links := v.linksWith(d, own); !slices.Equal(links, d.links) {
			d.links, linksChanged = links, true
		}
	}
	return liveChanged, linksChanged
}

// reports merges the sections that speak of a data centre: a VM is alive when any of them says so, and draining when
// any of them says so. A section speaks only for VMs of its own data centre; for the own one direct evidence is better.
func (v *View) reports(dc string) map[string]report {
	out := map[string]report{}
	if dc == v.o.Self.DataCentre {
		return out
	}
	for _, p := range v.contacts {
		if !p.usable {
			continue
		}
		for _, s := range p.sections {
			if s.DataCentre != dc {
				continue
			}
			for _, st := range s.VMs {
				if st.VM.DataCentre == dc {
					out[st.VM.Name] = report{out[st.VM.Name].draining || st.Draining, st.VM}
				}
			}
		}
	}
	return out
}

func (v *View) liveVMs(d *dataCentre, interval time.Duration) []platform.VM {
	var live []platform.VM
	if d.name == v.o.Self.DataCentre && !v.wasAway {
		live = append(live, v.o.Self)
	}
	reports := v.reports(d.name)
	for name, p := range d.peers {
		r, reported := reports[name]
		if v.alive(p, interval, r, reported, d.stale) {
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
		if p.listed && !p.held(interval) && p.vm.State != platform.VMLeaving {
			out = append(out, p.vm)
		}
	}
	sortVMs(out)
	return out
}

// linksWith returns the links to VMs of a data centre. They follow from its candidates and those of the own one.
func (v *View) linksWith(d, own *dataCentre) []platform.VM {
	both := own.candidates
	if d != own {
		both = slices.Concat(own.candidates, d.candidates)
	}
	return slices.DeleteFunc(ownership.HeartbeatPeers(v.o.Self, both), func(vm platform.VM) bool { return vm.DataCentre != d.name })
}

// collect joins lists of all data centres, sorted by name.
func (v *View) collect(of func(*dataCentre) []platform.VM) []platform.VM {
	var out []platform.VM
	for _, name := range slices.Sorted(maps.Keys(v.dataCentres)) {
		out = append(out, of(v.dataCentres[name])...)
	}
	sortVMs(out)
	return out
}
