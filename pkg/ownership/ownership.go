// Package ownership assigns tasks to VMs by rendezvous hashing: it computes the owner of a member, the order of
// promoters, the readers of the table service and the heartbeat links. All functions are pure, so VMs with the same
// view of the fleet get the same result without communicating. VMs whose views differ for a moment may get different
// results. That is harmless, because safety depends on terms and not on ownership.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Numbers of VMs and links for each task.
const (
	StoreReadersPerDataCentre = 2 // VMs of each data centre that poll the table service
	LinksPerPair              = 2 // heartbeat links between each two data centres
)

// rendezvousScore returns the rendezvous hash of vm for key: FNV-1a over both, followed by a mixing step that spreads
// similar names evenly. VMs agree only if they compute the same hash, so it must not depend on the process.
func rendezvousScore(key, vm string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * prime
	}
	h *= prime // separates key and VM, like a zero byte between them
	for i := 0; i < len(vm); i++ {
		h = (h ^ uint64(vm[i])) * prime
	}
	// Finaliser of MurmurHash3. With FNV-1a alone the high bits of similar names are close together.
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// compareRendezvous compares two VM names by their score for key, the higher score first, then by name.
func compareRendezvous(key, a, b string) int {
	if c := cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// RendezvousOrder returns vms in the rendezvous order for key. The first VM has the task. If it disappears the next one
// takes over, and the order of the others doesn't change.
func RendezvousOrder(key string, vms []string) []string {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b string) int { return compareRendezvous(key, a, b) })
	return out
}

// Owner returns the VM that owns a member: a live VM of the member's data centre, otherwise one of its region,
// otherwise any live VM. It returns false if no VM is live.
func Owner(m platform.Member, live []platform.VM) (platform.VM, bool) {
	i := ownerIndex(m, live)
	if i < 0 {
		return platform.VM{}, false
	}
	return live[i], true
}

// ownerIndex returns the index of the owner in live, or -1 if live is empty.
func ownerIndex(m platform.Member, live []platform.VM) int {
	key := m.Service + "/" + m.Name
	sameDataCentre := func(v *platform.VM) bool { return v.DataCentre == m.DataCentre }
	sameRegion := func(v *platform.VM) bool { return v.Region == m.Region }
	for _, eligible := range []func(*platform.VM) bool{
		sameDataCentre, sameRegion, func(*platform.VM) bool { return true },
	} {
		if i := highestScoring(key, live, eligible); i >= 0 {
			return i
		}
	}
	return -1
}

// highestScoring returns the index of the eligible VM with the highest score for key, or -1 if no VM is eligible. Of
// equal scores the first name wins.
func highestScoring(key string, live []platform.VM, eligible func(*platform.VM) bool) int {
	best, bestScore := -1, uint64(0)
	for i := range live {
		if !eligible(&live[i]) {
			continue
		}
		s := rendezvousScore(key, live[i].Name)
		if best < 0 || s > bestScore || s == bestScore && live[i].Name < live[best].Name {
			best, bestScore = i, s
		}
	}
	return best
}

// Keeper returns the VM that keeps the limits of a shard of teams. It returns false if no VM is live.
func Keeper(shard int, live []platform.VM) (platform.VM, bool) {
	i := highestScoring("team-limits/"+strconv.Itoa(shard), live, func(*platform.VM) bool { return true })
	if i < 0 {
		return platform.VM{}, false
	}
	return live[i], true
}

// StoreReaders returns the VMs of a data centre that poll the table service.
func StoreReaders(dc string, live []platform.VM) []platform.VM {
	return firstRanked(StoreReadersPerDataCentre, "readers/"+dc, inDataCentre(dc, live))
}

// IsStoreReader reports whether self is one of the VMs that poll the table service for its data centre.
func IsStoreReader(self platform.VM, live []platform.VM) bool {
	return slices.ContainsFunc(StoreReaders(self.DataCentre, live), func(v platform.VM) bool { return v.Name == self.Name })
}

// HeartbeatPeers returns the VMs that self exchanges heartbeats with, sorted by name: all other VMs of its data centre,
// and the VMs of other data centres that it is linked to. Links are symmetric: if VM a lists b, then b lists a.
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
			out = append(out, linksBetween(self, byDC[self.DataCentre], vms)...)
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

// linksBetween returns the VMs of the data centre other that self is linked to. The first LinksPerPair VMs in the
// rendezvous order of each data centre are linked, each to the VM at the same position of the other data centre. If a
// data centre has a single VM, that VM has all its links.
func linksBetween(self platform.VM, own, other []platform.VM) []platform.VM {
	a, b := self.DataCentre, other[0].DataCentre
	if a > b {
		a, b = b, a
	}
	key := "links/" + a + "/" + b
	left, right := firstRanked(LinksPerPair, key, own), firstRanked(LinksPerPair, key, other)
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

// firstRanked returns the first n VMs in the rendezvous order for key. It computes each score only once, because at
// 670 VMs sorting all of them would take most of the time that an evaluation of the view needs.
func firstRanked(n int, key string, vms []platform.VM) []platform.VM {
	type ranked struct {
		score uint64
		index int
	}
	top := make([]ranked, 0, n+1)
	for i := range vms {
		r := ranked{rendezvousScore(key, vms[i].Name), i}
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
