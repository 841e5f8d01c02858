package member

import (
	"maps"
	"sync"
)

// Counters describe the connections and statements of a member since its start.
type Counters struct {
	Open           int               `json:"open"`       // open connections
	Peak           int               `json:"peak"`       // most connections open at once
	Accepted       uint64            `json:"accepted"`   // connections accepted within the limit
	Refused        uint64            `json:"refused"`    // connections refused because of the limit
	CancelRequests uint64            `json:"cancels"`    // cancel requests with the key of an open connection
	Queued         int               `json:"queued"`     // statements waiting for a slot
	Running        int               `json:"running"`    // statements that hold a slot
	PeakRunning    int               `json:"runPeak"`    // most statements that held a slot at once
	Statements     uint64            `json:"statements"` // statements executed, including failed ones
	ByKind         map[string]uint64 `json:"byKind"`     // statements by kind, such as KindInsert
}

// counters holds the Counters of a member except those that its slots keep.
type counters struct {
	mu     sync.Mutex
	values Counters
}

// Counters returns the present counters.
func (m *Member) Counters() Counters {
	m.counters.mu.Lock()
	defer m.counters.mu.Unlock()
	c := m.counters.values
	c.ByKind = maps.Clone(c.ByKind)
	c.Running, c.Queued, c.PeakRunning = m.slots.count()
	return c
}

func (c *counters) update(f func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.values)
	c.values.Peak = max(c.values.Peak, c.values.Open)
}

func (c *counters) countStatement(kind string) {
	c.update(func(n *Counters) {
		if n.ByKind == nil {
			n.ByKind = make(map[string]uint64)
		}
		n.Statements++
		n.ByKind[kind]++
	})
}

// admitConnection counts a new connection. It returns false when limit connections are open already.
func (c *counters) admitConnection(limit int) bool {
	ok := false
	c.update(func(n *Counters) {
		if ok = n.Open < limit; ok {
			n.Open++
			n.Accepted++
		} else {
			n.Refused++
		}
	})
	return ok
}
