package ownership

import (
	"sync"
	"sync/atomic"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Cache remembers the owners of members for as long as the live VMs stay the same. The router needs an owner for every
// unit, and the cost of computing one grows with the fleet. The zero value is an empty cache. A Cache is safe for
// concurrent use.
type Cache struct{ current atomic.Pointer[ownerTable] }

// ownerTable holds the owners for one slice of live VMs. It keeps a reference to the slice, so that no other slice can
// get the same address while the table is in use.
type ownerTable struct {
	live    []platform.VM
	mu      sync.RWMutex
	indexes map[memberKey]int // index of the owner in live
}

// memberKey holds everything that ownership depends on besides the live VMs.
type memberKey struct{ service, name, dataCentre, region string }

// Owner returns the same result as the function Owner. The caller must never modify the slice live: a change is
// recognised only by the address or the length of the slice.
func (c *Cache) Owner(m platform.Member, live []platform.VM) (platform.VM, bool) {
	if len(live) == 0 {
		return platform.VM{}, false
	}
	table := c.current.Load()
	if table == nil || len(table.live) != len(live) || &table.live[0] != &live[0] {
		table = &ownerTable{live: live, indexes: map[memberKey]int{}}
		c.current.Store(table)
	}
	return live[table.ownerIndex(m)], true
}

// ownerIndex returns the index of the owner of m in t.live. It computes the owner on the first call for a member.
func (t *ownerTable) ownerIndex(m platform.Member) int {
	key := memberKey{m.Service, m.Name, m.DataCentre, m.Region}
	t.mu.RLock()
	i, ok := t.indexes[key]
	t.mu.RUnlock()
	if !ok {
		i = ownerIndex(m, t.live)
		t.mu.Lock()
		t.indexes[key] = i
		t.mu.Unlock()
	}
	return i
}
