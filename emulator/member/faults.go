package member

import (
	"context"
	"sync"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
)

// Faults are the failures and delays in force. The zero value is none.
type Faults struct {
	Lag              topology.Ms `json:"lagMs"`            // between receiving and applying a replicated entry
	ServiceTime      topology.Ms `json:"serviceTimeMs"`    // of each statement that takes a slot
	PauseReplication bool        `json:"pauseReplication"` // receive no entries
	PauseApply       bool        `json:"pauseApply"`       // apply no entries
	Leaving          bool        `json:"leaving"`          // reported in the status
	// ControlOutage leaves control and replication requests without an answer and stops pulling, while the data
	// address works: a partition that cuts the member off while callers still reach it.
	ControlOutage bool `json:"controlOutage"`
}

// faultSet holds the faults in force.
type faultSet struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
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

// pullAllowed reports whether replication may pull.
func (m *Member) pullAllowed() bool {
	f := m.Faults()
	return !f.PauseReplication && !f.ControlOutage
}

// waitPullAllowed waits until replication may pull. It returns false when ctx ends.
func (m *Member) waitPullAllowed(ctx context.Context) bool {
	return m.waitFaults(ctx, func(f Faults) bool { return !f.PauseReplication && !f.ControlOutage })
}

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
