package ownership

import (
	"sync"
	"sync/atomic"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Cache remembers owners as long as the live VMs stay the same. The router asks for an owner with every unit, and the
// computation grows with the fleet. The zero value is empty. It is safe for concurrent use.
type Cache struct{ current atomic.Pointer[ownerTable] }

// ownerTable holds results for one slice of live VMs. Keeping the slice keeps its address from being used again.
type ownerTable struct {
	live    []platform.VM
	mu      sync.RWMutex
	indexes map[memberKey]int
}

// memberKey is all that ownership depends on besides the live VMs.
type memberKey struct{ service, name, dataCentre, region string }

// Owner returns what the function Owner does. The slice live must never be changed in place: results are kept until
// another slice is given.
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
