package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// withMissing returns the list with those members of before that it lacks, unless they have been missing for MissingGrace or
// have a successor. It does not modify the list. The caller holds mu.
func (d *Directory) withMissing(list, before []platform.Service, now time.Time) []platform.Service {
	stillMissing := map[string]time.Time{}
	out := list
	for _, s := range before {
		for _, m := range s.Members {
			if d.isListedOrReplaced(m, list) {
				continue
			}
			since, known := d.missing[m.Name]
			if !known {
				since = now
			}
			if now.Sub(since) < d.options.MissingGrace {
				stillMissing[m.Name] = since
				out = withMember(out, s, m)
			}
		}
	}
	d.missing = stillMissing
	d.armDropMissing(now)
	return out
}

// isListedOrReplaced reports whether the list has m or a successor of m.
func (d *Directory) isListedOrReplaced(m platform.Member, list []platform.Service) bool {
	return slices.ContainsFunc(list, func(s platform.Service) bool {
		return slices.ContainsFunc(s.Members, func(listed platform.Member) bool {
			return listed.Name == m.Name || d.options.IsSuccessor(m, listed)
		})
	})
}

// armDropMissing arranges that members which stay missing are dropped at the end of their grace, even if no list is read by
// then. The caller holds mu.
func (d *Directory) armDropMissing(now time.Time) {
	if d.dropMissing != nil {
		d.dropMissing.Stop()
		d.dropMissing = nil
	}
	if len(d.missing) == 0 {
		return
	}
	next := now
	for _, since := range d.missing {
		if next == now || since.Before(next) {
			next = since
		}
	}
	d.dropMissing = time.AfterFunc(next.Add(d.options.MissingGrace).Sub(now), d.applyGrace)
}

// applyGrace publishes the present list without the members whose grace has ended.
func (d *Directory) applyGrace() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.current.Load(); s != nil {
		d.publish(s.listed, s.version, time.Now())
	}
}

// withMember returns a copy of the list in which m is a member of service, with services and members sorted by name.
func withMember(list []platform.Service, service platform.Service, m platform.Member) []platform.Service {
	list = slices.Clone(list)
	i, found := slices.BinarySearchFunc(list, service.Name, func(s platform.Service, name string) int { return cmp.Compare(s.Name, name) })
	if !found {
		service.Members = nil
		list = slices.Insert(list, i, service)
	}
	members := slices.Clone(list[i].Members)
	at, _ := slices.BinarySearchFunc(members, m.Name, func(other platform.Member, name string) int { return cmp.Compare(other.Name, name) })
	list[i].Members = slices.Insert(members, at, m)
	return list
}
