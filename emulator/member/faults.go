package member

import (
	"context"
	"sync"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
)

// Faults are the failures and delays in force. The zero value has none.
type Faults struct {
	Lag              topology.Ms `json:"lagMs"`            // delay between receiving and applying a replicated entry
	ServiceTime      topology.Ms `json:"serviceTimeMs"`    // time that each statement with a slot takes
	PauseReplication bool        `json:"pauseReplication"` // stop receiving entries from the primary
	PauseApply       bool        `json:"pauseApply"`       // stop applying received entries
	Leaving          bool        `json:"leaving"`          // report the member as leaving in its status
	// ControlOutage leaves control and replication requests unanswered and stops replication, while the data address
	// works. It emulates a partition that separates the member from the platform and its primary but not from callers.
	ControlOutage bool `json:"controlOutage"`
}

// faultSet holds the faults in force and announces changes.
type faultSet struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{} // closed and replaced on every change
}

func newFaultSet(f Faults) *faultSet { return &faultSet{current: f, changed: make(chan struct{})} }

// get returns the faults and a channel that is closed when they change.
func (s *faultSet) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

func (s *faultSet) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the faults in force.
func (m *Member) SetFaults(f Faults) {
	m.faults.set(f)
	m.engine.setLeaving(f.Leaving)
}

// Faults returns the faults in force.
func (m *Member) Faults() Faults {
	f, _ := m.faults.get()
	return f
}

// pullAllowed reports whether the faults let the member receive entries.
func (m *Member) pullAllowed() bool {
	f := m.Faults()
	return !f.PauseReplication && !f.ControlOutage
}

// waitPullAllowed waits until the faults let the member receive entries. It returns false when ctx ends first.
func (m *Member) waitPullAllowed(ctx context.Context) bool {
	return m.waitFaults(ctx, func(f Faults) bool { return !f.PauseReplication && !f.ControlOutage })
}

// waitFaults waits until ok accepts the faults in force. It returns false when ctx ends first.
func (m *Member) waitFaults(ctx context.Context, ok func(Faults) bool) bool {
	for ctx.Err() == nil {
		f, changed := m.faults.get()
		if ok(f) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}
