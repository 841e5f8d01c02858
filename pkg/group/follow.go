package group

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// followInterval is the least time between two orders to follow for one member.
const followInterval = 300 * time.Millisecond

// repair tells a member that answers with an old term, or as fenced, to follow the present primary. VMs of a higher
// rank wait longer, so that usually one order is sent.
func (s *service) repair(m *member, now time.Time) {
	if s.rank < 0 || s.stopped || s.election.running || !s.strays(m, now) {
		if m.failures == 0 && m != s.primary {
			m.ordered = time.Time{}
		}
		return
	}
	if m.ordered.IsZero() {
		m.ordered = now.Add(time.Duration(s.rank)*rankDelay - followInterval)
	}
	if now.Sub(m.ordered) < followInterval {
		return
	}
	m.ordered = now
	p, term := s.primary, s.term
	s.spawn(func() { s.follow(m, term, p) })
}

// strays reports whether m answers but does not follow the primary, which answers too.
func (s *service) strays(m *member, now time.Time) bool {
	p := s.primary
	if p == nil || m == p || m.failures > 0 || !m.known || p.failures > 0 || !p.heardWithin(now, detectionTime) {
		return false
	}
	t := quorum.EffectiveTerm(m.status)
	return t < s.term || t == s.term && m.status.Role != platform.RoleReplica
}

func (s *service) follow(m *member, term platform.Term, p *member) {
	s.w.stats.follows.Add(1)
	s.mu.Lock()
	primary := p.info
	s.mu.Unlock()
	// The outcome is recorded by call; a refusal means that a higher fence shows at the next poll.
	_, _ = s.call(s.ctx, m, callTimeout, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.w.opts.Control.Follow(ctx, info, term, primary)
	})
}
