package member

import (
	"maps"
	"sync"
)

// Counters describe the work of a member since its start.
type Counters struct {
	Open           int               `json:"open"`       // connections now
	Peak           int               `json:"peak"`       // most connections at once
	Accepted       uint64            `json:"accepted"`   // connections that passed the limit
	Refused        uint64            `json:"refused"`    // connections over the limit
	CancelRequests uint64            `json:"cancels"`    // cancel requests that named a connection
	Queued         int               `json:"queued"`     // statements that wait for a slot
	Running        int               `json:"running"`    // statements in a slot
	PeakRunning    int               `json:"runPeak"`    // most statements in slots at once
	Statements     uint64            `json:"statements"` // statements executed, also failed ones
	ByKind         map[string]uint64 `json:"byKind"`     // statements by Kind
}

type counters struct {
	mu     sync.Mutex
	values Counters
}

// Counters returns the counters.
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

// admitConnection counts a new connection unless limit connections are open.
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
