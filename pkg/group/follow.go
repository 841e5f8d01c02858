package group

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// followRequestInterval is the shortest time between two requests to follow that are sent to one member.
const followRequestInterval = 300 * time.Millisecond

// repairReplica requests a member that reports an old term, or that it is fenced, to follow the present primary. VMs of a
// higher rank wait longer, so that usually only one request is sent.
func (s *service) repairReplica(m *member, now time.Time) {
	if s.promoterRank < 0 || s.stopped || s.election.attempting || !s.needsFollowRequest(m, now) {
		if m.failures == 0 && m != s.primary {
			m.followRequested = time.Time{}
		}
		return
	}
	if m.followRequested.IsZero() {
		m.followRequested = now.Add(time.Duration(s.promoterRank)*rankDelay - followRequestInterval)
	}
	if now.Sub(m.followRequested) < followRequestInterval {
		return
	}
	m.followRequested = now
	p, term := s.primary, s.term
	s.spawn(func() { s.requestFollow(m, term, p) })
}

// needsFollowRequest reports whether m answers but does not follow the primary, while the primary answers too.
func (s *service) needsFollowRequest(m *member, now time.Time) bool {
	p := s.primary
	if p == nil || m == p || m.failures > 0 || !m.known || p.failures > 0 || !p.heardWithin(now, detectionTime) {
		return false
	}
	t := quorum.EffectiveTerm(m.status)
	return t < s.term || t == s.term && m.status.Role != platform.RoleReplica
}

// requestFollow requests m to follow p, the primary of term.
func (s *service) requestFollow(m *member, term platform.Term, p *member) {
	s.watcher.stats.follows.Add(1)
	s.mu.Lock()
	primary := p.info
	s.mu.Unlock()
	// call records the outcome. If the member refuses, the next poll shows the higher fence behind the refusal.
	_, _ = s.call(s.ctx, m, callTimeout, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.watcher.opts.Control.Follow(ctx, info, term, primary)
	})
}
