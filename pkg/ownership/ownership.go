// Package ownership computes who does the work by rendezvous hashing: the owner of a member, the order of promoters,
// the readers of the store and the heartbeat links. All functions are pure: VMs with the same view get the same answer
// without talking to each other. A difference for a moment is harmless, since safety rests on terms.
package ownership

import (
	"cmp"
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Numbers of the design.
const (
	ReadersPerDataCentre = 2 // VMs that poll the store
	LinksPerPair         = 2 // heartbeat links between two data centres
)

// score is the rendezvous weight of vm for key: FNV-1a over both, mixed so that similar names spread evenly. The hash
// is part of the agreement between VMs and must not depend on the process.
func score(key, vm string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * prime
	}
	h *= prime // separates key and VM
	for i := 0; i < len(vm); i++ {
		h = (h ^ uint64(vm[i])) * prime
	}
	// Finaliser of MurmurHash3: FNV alone leaves the high bits of similar names close together.
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// before orders by score, highest first, then by name.
func before(key, a, b string) int {
	if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// Rank returns vms in the rendezvous order for key. The first one is the choice; when it goes, the next takes over
// and the order of the others stays.
func Rank(key string, vms []string) []string {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b string) int { return before(key, a, b) })
	return out
}

// Owner returns the owner of a member: a live VM of the member's data centre, else of its region, else any.
func Owner(m platform.Member, live []platform.VM) (platform.VM, bool) {
	i := owner(m, live)
	if i < 0 {
		return platform.VM{}, false
	}
	return live[i], true
}

// owner returns the index of the owner in live, or -1.
func owner(m platform.Member, live []platform.VM) int {
	key := m.Service + "/" + m.Name
	near := func(v *platform.VM) bool { return v.DataCentre == m.DataCentre }
	region := func(v *platform.VM) bool { return v.Region == m.Region }
	for _, keep := range []func(*platform.VM) bool{near, region, func(*platform.VM) bool { return true }} {
		if i := best(key, live, keep); i >= 0 {
			return i
		}
	}
	return -1
}

func best(key string, live []platform.VM, keep func(*platform.VM) bool) int {
	top, topScore := -1, uint64(0)
	for i := range live {
		if !keep(&live[i]) {
			continue
		}
		s := score(key, live[i].Name)
		if top < 0 || s > topScore || s == topScore && live[i].Name < live[top].Name {
			top, topScore = i, s
		}
	}
	return top
}

// Readers returns the VMs of a data centre that poll the store.
func Readers(dc string, live []platform.VM) []platform.VM {
	return first(ReadersPerDataCentre, "readers/"+dc, inDataCentre(dc, live))
}

// IsReader reports whether self is one of the readers of its data centre.
func IsReader(self platform.VM, live []platform.VM) bool {
	return slices.ContainsFunc(Readers(self.DataCentre, live), func(v platform.VM) bool { return v.Name == self.Name })
}

// HeartbeatPeers returns the VMs that self exchanges heartbeats with: all others of its data centre, and those that it meets
// over the links between data centres. Links are symmetric: each end lists the other.
func HeartbeatPeers(self platform.VM, live []platform.VM) []platform.VM {
	byDC := map[string][]platform.VM{}
	for _, v := range live {
		byDC[v.DataCentre] = append(byDC[v.DataCentre], v)
	}
	if !slices.ContainsFunc(live, func(v platform.VM) bool { return v.Name == self.Name }) {
		byDC[self.DataCentre] = append(byDC[self.DataCentre], self)
	}
	var out []platform.VM
	for dc, vms := range byDC {
		if dc != self.DataCentre {
			out = append(out, pairLinks(self, byDC[self.DataCentre], vms)...)
			continue
		}
		for _, v := range vms {
			if v.Name != self.Name {
				out = append(out, v)
			}
		}
	}
	slices.SortFunc(out, func(a, b platform.VM) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// pairLinks joins the i-th ranked VM of one data centre with the i-th of the other. A data centre with one VM uses it
// for both links.
func pairLinks(self platform.VM, own, other []platform.VM) []platform.VM {
	a, b := self.DataCentre, other[0].DataCentre
	if a > b {
		a, b = b, a
	}
	key := "links/" + a + "/" + b
	left, right := first(LinksPerPair, key, own), first(LinksPerPair, key, other)
	var out []platform.VM
	for i := 0; i < min(LinksPerPair, max(len(left), len(right))); i++ {
		l, r := left[i%len(left)], right[i%len(right)]
		if l.Name == self.Name {
			out = append(out, r)
		}
	}
	return out
}

func inDataCentre(dc string, live []platform.VM) []platform.VM {
	var out []platform.VM
	for _, v := range live {
		if v.DataCentre == dc {
			out = append(out, v)
		}
	}
	return out
}

// first returns the n first VMs in the rendezvous order for key. It scores each VM once: a sort of all would take most
// of the time of an evaluation of the view at 670 VMs.
func first(n int, key string, vms []platform.VM) []platform.VM {
	type ranked struct {
		score uint64
		index int
	}
	top := make([]ranked, 0, n+1)
	for i := range vms {
		r := ranked{score(key, vms[i].Name), i}
		at, _ := slices.BinarySearchFunc(top, r, func(a, b ranked) int {
			if c := cmp.Compare(b.score, a.score); c != 0 {
				return c
			}
			return cmp.Compare(vms[a.index].Name, vms[b.index].Name)
		})
		if at < n {
			top = slices.Insert(top, at, r)
			top = top[:min(len(top), n)]
		}
	}
	out := make([]platform.VM, len(top))
	for i, r := range top {
		out[i] = vms[r.index]
	}
	return out
}
