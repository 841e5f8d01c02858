package directory

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// historyLimit is the number of earlier lists that are kept. A peer that holds none of them is sent the whole list.
const historyLimit = 4

// Delta is the difference between an earlier list and the present one.
type Delta struct {
	Base    uint32             // hash of the earlier list; 0: there is none, and Changed is the whole list
	Changed []platform.Service // new services and those that differ
	Removed []string           // names of services that are no longer listed
	Version uint64             // of the present list
}

// DeltaSince returns the difference from the list with the given hash, or the whole list if that one is not known any more.
func (d *Directory) DeltaSince(hash uint32) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	if current == nil {
		return Delta{}
	}
	i := slices.IndexFunc(d.history, func(s snapshot) bool { return s.hash == hash })
	if hash == 0 || i < 0 {
		return Delta{Changed: current.listed, Version: current.version}
	}
	delta := Delta{Base: hash, Version: current.version}
	before := map[string]platform.Service{}
	for _, s := range d.history[i].listed {
		before[s.Name] = s
	}
	for _, s := range current.listed {
		if old, ok := before[s.Name]; !ok || !reflect.DeepEqual(old, s) {
			delta.Changed = append(delta.Changed, s)
		}
		delete(before, s.Name)
	}
	for name := range before {
		delta.Removed = append(delta.Removed, name)
	}
	slices.Sort(delta.Removed)
	return delta
}

// ApplyDelta adopts the list that results from a peer's delta. It reports false if this directory does not hold the list that
// the delta is based on.
func (d *Directory) ApplyDelta(delta Delta) bool {
	if delta.Base == 0 {
		d.Adopt(delta.Changed, delta.Version)
		return true
	}
	current := d.current.Load()
	if current == nil || current.hash != delta.Base {
		return false
	}
	changed := map[string]bool{}
	for _, s := range delta.Changed {
		changed[s.Name] = true
	}
	list := slices.DeleteFunc(slices.Clone(current.listed), func(s platform.Service) bool {
		return changed[s.Name] || slices.Contains(delta.Removed, s.Name)
	})
	list = append(list, delta.Changed...)
	slices.SortFunc(list, func(a, b platform.Service) int { return cmp.Compare(a.Name, b.Name) })
	d.Adopt(list, delta.Version)
	return true
}
