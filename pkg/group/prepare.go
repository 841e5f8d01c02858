package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// preparingRanks is the number of promoters that prepare. The second one is needed when the first is lost together
	// with the primary.
	preparingRanks = 2
	// prepareSpread is the time over which preparations are spread at random when all VMs start at once. With 1,200
	// services and two promoters each, that makes 240 writes per second; the table service takes several hundred.
	prepareSpread = 10 * time.Second
	// prepareRetryInterval is the mean time between attempts to prepare while the table service does not answer.
	prepareRetryInterval = 2 * time.Second
	prepareTimeout       = time.Second
)

// preparePromotion starts to prepare for a promotion if that is due. It is due when this VM becomes one of the first
// promoters, and again after each change of primary, since another promoter then holds a later fence. The caller holds
// s.mu.
func (s *service) preparePromotion() {
	c, ok := s.watcher.opts.Control.(platform.PromotionPreparer)
	if !ok || s.preparing || !s.needsPreparation() {
		return
	}
	s.preparing = true
	s.spawn(func() { s.prepareLoop(c) })
}

// needsPreparation reports whether this VM is one of the first promoters and has not yet prepared to replace the
// primary of the present term.
func (s *service) needsPreparation() bool {
	return !s.stopped && s.promoterRank >= 0 && s.promoterRank < preparingRanks && s.primary != nil && s.term > s.preparedTerm
}

// prepareLoop prepares for a promotion, with retries, until nothing needs to be prepared any more.
func (s *service) prepareLoop(c platform.PromotionPreparer) {
	for wait := rand.N(prepareSpread); s.sleep(wait); {
		term, ok := s.termToPrepare()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, prepareTimeout)
		err := c.PreparePromotion(ctx, s.name)
		cancel()
		if err == nil {
			s.setPrepared(term)
			wait = 0
			continue
		}
		if log, ok := s.watcher.prepareLogLimit.Allow(s.log(), s.name); ok && s.ctx.Err() == nil {
			log.WithError(err).Warn("could not prepare a promotion; a lost primary may not be replaced while the platform's table service is down")
		}
		wait = prepareRetryInterval/2 + rand.N(prepareRetryInterval)
	}
}

// termToPrepare returns the term whose primary this VM prepares to replace. It reports false if nothing needs to be
// prepared any more.
func (s *service) termToPrepare() (platform.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preparing = s.needsPreparation()
	return s.term, s.preparing
}

func (s *service) setPrepared(term platform.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preparedTerm = term
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
