package group

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// followOrderInterval is the shortest time between two orders to follow that are sent to one member.
const followOrderInterval = 300 * time.Millisecond

// repairReplica orders a member that reports an old term, or that it is fenced, to follow the present primary. VMs of a
// higher rank wait longer, so that usually only one order is sent.
func (s *service) repairReplica(m *member, now time.Time) {
	if s.promoterRank < 0 || s.stopped || s.election.attempting || !s.needsFollowOrder(m, now) {
		if m.failures == 0 && m != s.primary {
			m.followOrdered = time.Time{}
		}
		return
	}
	if m.followOrdered.IsZero() {
		m.followOrdered = now.Add(time.Duration(s.promoterRank)*rankDelay - followOrderInterval)
	}
	if now.Sub(m.followOrdered) < followOrderInterval {
		return
	}
	m.followOrdered = now
	p, term := s.primary, s.term
	s.spawn(func() { s.orderToFollow(m, term, p) })
}

// needsFollowOrder reports whether m answers but does not follow the primary, while the primary answers too.
func (s *service) needsFollowOrder(m *member, now time.Time) bool {
	p := s.primary
	if p == nil || m == p || m.failures > 0 || !m.known || p.failures > 0 || !p.heardWithin(now, detectionTime) {
		return false
	}
	t := quorum.EffectiveTerm(m.status)
	return t < s.term || t == s.term && m.status.Role != platform.RoleReplica
}

// orderToFollow orders m to follow p, the primary of term.
func (s *service) orderToFollow(m *member, term platform.Term, p *member) {
	s.watcher.stats.follows.Add(1)
	s.mu.Lock()
	primary := p.info
	s.mu.Unlock()
	// call records the outcome. If the member refuses, the next poll shows the higher fence behind the refusal.
	_, _ = s.call(s.ctx, m, callTimeout, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.watcher.opts.Control.Follow(ctx, info, term, primary)
	})
}
