package member

import (
	"context"
	"slices"
	"sync"
)

// slots limits the number of statements that run at once. Others wait in order of arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	peak    int             // most statements that ran at once
	waiting []chan struct{} // in order of arrival; each is closed when its waiter gets a slot
}

func newSlots(n int) *slots { return &slots{free: n} }

// acquire waits for a slot. When ctx ends first, it returns the error of ctx and holds no slot.
func (s *slots) acquire(ctx context.Context) error {
	turn := make(chan struct{})
	s.mu.Lock()
	s.waiting = append(s.waiting, turn)
	s.grantLocked()
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, turn); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return ctx.Err()
	}
	return nil // the slot was granted before the lock was taken
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
	s.running--
	s.grantLocked()
}

// grantLocked gives free slots to the first waiters. The caller holds s.mu.
func (s *slots) grantLocked() {
	for s.free > 0 && len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.free--
		s.running++
		s.peak = max(s.peak, s.running)
	}
}

// count returns the numbers of running and waiting statements, and the most that ran at once.
func (s *slots) count() (running, waiting, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting), s.peak
}
