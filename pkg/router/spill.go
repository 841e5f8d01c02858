package router

import (
	"sync"
	"time"
)

// spilloverPause is how long a member in another region gets no more reads of a class after it refused one for
// overload. A queue that was too long is hardly shorter sooner, and each refused read crosses the link between regions
// twice.
const spilloverPause = 100 * time.Millisecond

// spillover limits the reads that are sent to another region because the members of this VM's region refused them for
// overload. Spillover helps during a burst in one region, or while its replicas lag, when members elsewhere have free
// slots: refusing the read costs its caller more than the traffic between regions costs. The read takes slots from the
// other region's classes of the same or a lower rank, and none from those of a higher rank.
type spillover struct {
	mu      sync.Mutex
	refused map[spilloverKey]time.Time // time of the last refusal for overload
}

// spilloverKey names a member in another region and a class of work.
type spilloverKey struct{ member, class string }

// mayAsk reports whether a read of the class may be sent to the member, which is in another region.
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

// recordRefusal records that the member, which is in another region, refused a read of the class for overload.
func (s *spillover) recordRefusal(member, class string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = map[spilloverKey]time.Time{}
	}
	s.refused[spilloverKey{member, class}] = now
}
