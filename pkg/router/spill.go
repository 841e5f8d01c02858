package router

import (
	"sync"
	"time"
)

// spilloverPause is how long a member of another region gets no more reads of a class after it refused one for overload. A
// queue that was too long then is hardly shorter sooner, and each refused read crosses the link between regions twice.
const spilloverPause = 100 * time.Millisecond

// spillover decides whether a read that the members of the region refused for overload goes to another region. It answers a
// burst in one region, or replicas that lag there, while members elsewhere have slots free: such a read would otherwise be
// refused, which costs its caller more than the bytes cost on the link. It costs the other region's classes of the same or
// a lower rank their slots, and nothing to those of a higher rank.
type spillover struct {
	mu      sync.Mutex
	refused map[spilloverKey]time.Time // by the members of other regions
}

type spilloverKey struct{ member, class string }

// mayAsk reports whether the member may be asked.
func (s *spillover) mayAsk(member, class string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.refused[spilloverKey{member, class}]
	if ok && now.Sub(at) >= spilloverPause {
		delete(s.refused, spilloverKey{member, class})
		ok = false
	}
	return !ok
}

// recordRefusal notes that the member has refused a read for overload.
func (s *spillover) recordRefusal(member, class string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = map[spilloverKey]time.Time{}
	}
	s.refused[spilloverKey{member, class}] = now
}
