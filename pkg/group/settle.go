package group

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// settleTime bounds one call that settles earlier requests to promote.
	settleTime            = time.Second
	initialSettleInterval = 200 * time.Millisecond // between two calls; it doubles up to maxSettleInterval
	maxSettleInterval     = 2 * time.Second
	// otherPromoterTurn is how long this VM leaves a primary alone that another VM may have promoted. It covers the lease of a turn.
	otherPromoterTurn = 3 * time.Second
)

// settlement is the state of the calls that keep earlier requests of this VM to promote a member from taking effect. Such a request
// would depose a healthy primary, with a choice among logs of long ago.
type settlement struct {
	cancel       context.CancelFunc // of the call in progress; nil if there is none
	failed       int                // calls in a row
	notBefore    time.Time          // the next call
	primarySince time.Time          // when the primary appeared in this VM's view, or zero
	promoted     string             // last member that this VM has promoted, or ""
}

// considerSettlement starts a call that settles earlier requests to promote, if there are any and the service has a primary that need
// not be replaced. It does so only where replicas hold acknowledged writes, which a late promotion would lose: each call is one of a
// promoter, and those of several VMs may look like turns. The caller holds s.mu.
func (s *service) considerSettlement(now time.Time) {
	control, ok := s.watcher.opts.Control.(platform.PromotionSettler)
	st, p := &s.settlement, s.primary
	if !ok || st.cancel != nil || s.stopped || s.election.attempting || now.Before(st.notBefore) ||
		s.syncReplicas() == 0 || p == nil || p.unlisted || p.failures > 0 || s.election.reason != "" || !control.UnsettledPromotions(s.name) {
		return
	}
	if p.info.Name != st.promoted && now.Sub(st.primarySince) < otherPromoterTurn {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, settleTime)
	st.cancel = cancel
	info, term := p.info, s.term
	s.spawn(func() {
		defer cancel()
		err := control.SettlePromotions(ctx, info, term)
		s.mu.Lock()
		defer s.mu.Unlock()
		st.cancel, st.failed = nil, st.failed+1
		switch {
		case err == nil:
			st.failed = 0
			s.watcher.stats.settlements.Add(1)
		case errors.Is(err, platform.ErrPromotionRefused):
			st.notBefore = time.Now().Add(otherPromoterTurn)
		default:
			st.notBefore = time.Now().Add(min(initialSettleInterval<<min(st.failed, 10), maxSettleInterval))
		}
	})
}
