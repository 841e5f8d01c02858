package router

import (
	"sync"
	"time"
)

// spillPause is how long a member of another region gets no more reads of a class after it refused one for overload. A
// queue that was too long then is hardly shorter sooner, and each refused read crosses the link between regions twice.
const spillPause = 100 * time.Millisecond

// spill decides whether a read that the members of the region refused for overload goes to another region. It answers a
// burst in one region, or replicas that lag there, while members elsewhere have slots free: such a read would otherwise be
// refused, which costs its caller more than the bytes cost on the link. It costs the other region's classes of the same or
// a lower rank their slots, and nothing to those of a higher rank.
type spill struct {
	mu      sync.Mutex
	refused map[spillKey]time.Time // by the members of other regions
}

type spillKey struct{ member, class string }

// allows reports whether the member may be asked.
func (s *spill) allows(member, class string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.refused[spillKey{member, class}]
	if ok && now.Sub(at) >= spillPause {
		delete(s.refused, spillKey{member, class})
		ok = false
	}
	return !ok
}

// refuse notes that the member has refused a read for overload.
func (s *spill) refuse(member, class string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = map[spillKey]time.Time{}
	}
	s.refused[spillKey{member, class}] = now
}
