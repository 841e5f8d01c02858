package membership

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// sectionSet is a list of sections with a digest of their content. The digest is 0 if there are none.
type sectionSet struct {
	digest   uint32
	sections []wire.Section
}

// sectionHistoryLimit is the number of earlier section sets kept. A peer that holds none of them is sent all sections. At
// the target size a set changes about once a minute, so that two changes within a heartbeat interval are rare.
const sectionHistoryLimit = 4

// sectionHistory holds earlier section sets, the latest last.
type sectionHistory []sectionSet

// keepPrevious returns current, and adds previous to the history if its content differs.
func (h *sectionHistory) keepPrevious(previous, current sectionSet) sectionSet {
	if previous.digest != current.digest && previous.digest != 0 {
		*h = append(*h, previous)
		*h = slices.Clone((*h)[max(0, len(*h)-sectionHistoryLimit):])
	}
	return current
}

// deltaSince returns the difference between the set with the digest base and the current one. It returns false if the
// history does not contain that set.
func (h sectionHistory) deltaSince(base uint32, current sectionSet) (wire.Delta, bool) {
	i := slices.IndexFunc(h, func(s sectionSet) bool { return s.digest == base })
	if base == 0 || i < 0 {
		return wire.Delta{}, false
	}
	delta := wire.Delta{Base: base}
	before, after := byDataCentre(h[i].sections), byDataCentre(current.sections)
	for _, s := range h[i].sections {
		if _, kept := after[s.DataCentre]; !kept {
			delta.Sections = append(delta.Sections, wire.SectionDelta{DataCentre: s.DataCentre, Dropped: true})
		}
	}
	for _, s := range current.sections {
		old, known := before[s.DataCentre]
		change := wire.SectionDelta{DataCentre: s.DataCentre, Changed: difference(s.VMs, old, sameStatus)}
		for _, st := range difference(old, s.VMs, sameVM) {
			change.Removed = append(change.Removed, st.VM.Name)
		}
		if !known || len(change.Changed)+len(change.Removed) > 0 {
			delta.Sections = append(delta.Sections, change)
		}
	}
	return delta, true
}

func byDataCentre(sections []wire.Section) map[string][]wire.VMStatus {
	out := make(map[string][]wire.VMStatus, len(sections))
	for _, s := range sections {
		out[s.DataCentre] = s.VMs
	}
	return out
}

func compareNames(a, b wire.VMStatus) int   { return strings.Compare(a.VM.Name, b.VM.Name) }
func sameVM(a, b wire.VMStatus) bool        { return a.VM.Name == b.VM.Name }
func sameStatus(a, b wire.VMStatus) bool    { return a == b }
func compareSections(a, b wire.Section) int { return strings.Compare(a.DataCentre, b.DataCentre) }
func sameDataCentre(a, b wire.Section) bool { return a.DataCentre == b.DataCentre }

// difference returns the entries of a that have no equal in b. Both must be sorted by name.
func difference(a, b []wire.VMStatus, equal func(a, b wire.VMStatus) bool) (out []wire.VMStatus) {
	for _, st := range a {
		if i, found := slices.BinarySearchFunc(b, st, compareNames); !found || !equal(st, b[i]) {
			out = append(out, st)
		}
	}
	return out
}

// applyDelta returns the sections that result from applying a delta to old, which it does not modify.
func applyDelta(old []wire.Section, delta wire.Delta) sectionSet {
	vms := byDataCentre(old)
	for _, change := range delta.Sections {
		if change.Dropped {
			delete(vms, change.DataCentre)
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(vms[change.DataCentre]), func(st wire.VMStatus) bool {
			return slices.Contains(change.Removed, st.VM.Name)
		})
		vms[change.DataCentre] = mergeStatuses(append(kept, change.Changed...), false)
	}
	var list []wire.Section
	for name, s := range vms {
		list = append(list, wire.Section{DataCentre: name, VMs: s})
	}
	return newSectionSet(list)
}

// newSectionSet sorts and merges the sections, so that the same content has the same digest.
func newSectionSet(list []wire.Section) sectionSet {
	if len(list) == 0 {
		return sectionSet{}
	}
	list = mergeSections(list)
	h := fnv.New32a()
	for _, s := range list {
		_, _ = h.Write([]byte(s.DataCentre))
		for _, st := range s.VMs {
			mark := ",live,"
			if st.Draining {
				mark = ",draining,"
			}
			for _, field := range []string{st.VM.Name, st.VM.PeerAddr, st.VM.AdminAddr, string(st.VM.State), mark} {
				_, _ = h.Write([]byte(field))
			}
		}
	}
	return sectionSet{digest: max(1, h.Sum32()), sections: list}
}

// mergeSections returns one section for each data centre, sorted by name. As in reportsOn, the result names a VM if any
// section names it, and marks it as draining if any section does.
func mergeSections(list []wire.Section) []wire.Section {
	slices.SortStableFunc(list, compareSections)
	for i := 1; i < len(list); i++ {
		if sameDataCentre(list[i-1], list[i]) {
			list[i].VMs = slices.Concat(list[i-1].VMs, list[i].VMs)
			list[i-1].VMs = nil
		}
	}
	out := make([]wire.Section, 0, len(list))
	for i, s := range list {
		if i+1 == len(list) || !sameDataCentre(s, list[i+1]) {
			out = append(out, wire.Section{DataCentre: s.DataCentre, VMs: mergeStatuses(s.VMs, true)})
		}
	}
	return out
}

// mergeStatuses returns the last status of each VM, sorted by name. With anyDraining a VM is draining if any of its
// statuses says so. It does not modify list.
func mergeStatuses(list []wire.VMStatus, anyDraining bool) []wire.VMStatus {
	out := slices.Clone(list)
	slices.SortStableFunc(out, compareNames)
	kept := out[:0]
	for _, st := range out {
		if n := len(kept); n > 0 && sameVM(kept[n-1], st) {
			st.Draining = st.Draining || anyDraining && kept[n-1].Draining
			kept[n-1] = st
			continue
		}
		kept = append(kept, st)
	}
	return kept
}
