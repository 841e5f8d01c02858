package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// claimingRanks is the number of promoters that claim the right to promote in advance. The second one is needed when the
	// first is lost together with the primary.
	claimingRanks = 2
	// claimSpread is the time over which claims are spread at random when all VMs start at once. With 1,200
	// services and two promoters each, that makes 240 writes per second; the table service takes several hundred.
	claimSpread = 10 * time.Second
	// claimRetryInterval is the mean time between attempts to claim while the table service does not answer.
	claimRetryInterval = 2 * time.Second
	claimTimeout       = time.Second
)

// startClaim starts to claim the right to promote in advance, if that is due and the platform needs it. It is due when this
// VM becomes one of the first promoters, and again after each change of primary, since another promoter then holds a later
// claim. The caller holds s.mu.
func (s *service) startClaim() {
	c, ok := s.watcher.opts.Control.(platform.PromotionPreparer)
	if !ok || s.claiming || !s.needsClaim() {
		return
	}
	s.claiming = true
	s.spawn(func() { s.claimLoop(c) })
}

// needsClaim reports whether this VM is one of the first promoters and has not yet claimed the right to replace the primary
// of the present term.
func (s *service) needsClaim() bool {
	return !s.stopped && s.promoterRank >= 0 && s.promoterRank < claimingRanks && s.primary != nil && s.term > s.claimedTerm
}

// claimLoop claims the right to promote, with retries, until no claim is needed any more.
func (s *service) claimLoop(c platform.PromotionPreparer) {
	for wait := rand.N(claimSpread); s.sleep(wait); {
		term, ok := s.termToClaim()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, claimTimeout)
		err := c.PreparePromotion(ctx, s.name, term)
		cancel()
		if err == nil {
			s.setClaimed(term)
			wait = 0
			continue
		}
		if log, ok := s.watcher.claimLogLimit.Allow(s.log(), s.name); ok && s.ctx.Err() == nil {
			log.WithError(err).Warn("could not claim the right to promote in advance; a lost primary may not be replaced while the platform's table service is down")
		}
		wait = claimRetryInterval/2 + rand.N(claimRetryInterval)
	}
}

// termToClaim returns the term of the primary that this VM claims the right to replace. It reports false if no claim is
// needed any more.
func (s *service) termToClaim() (platform.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claiming = s.needsClaim()
	return s.term, s.claiming
}

func (s *service) setClaimed(term platform.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimedTerm = term
}

// sleep waits for d. It reports false if the service is dropped before that.
func (s *service) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}
