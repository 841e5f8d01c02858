package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// preparingRanks are the promoters that prepare: the second one replaces a first one that is lost with the primary.
	preparingRanks = 2
	// prepareSpread spreads preparations after a start of the whole fleet: with 1,200 services and two promoters each, 240
	// writes a second, of the several hundred that the table service takes.
	prepareSpread = 10 * time.Second
	// prepareRetryInterval is the mean time between tries while the table service does not answer.
	prepareRetryInterval = 2 * time.Second
	prepareTimeout       = time.Second
)

// preparePromotion begins to get ready for a promotion: when this VM becomes one of the first promoters, and again after
// each change of primary, since another promoter then holds a later fence. The caller holds mu.
func (s *service) preparePromotion() {
	c, ok := s.watcher.opts.Control.(platform.PromotionPreparer)
	if !ok || s.preparing || !s.needsPreparation() {
		return
	}
	s.preparing = true
	s.spawn(func() { s.prepareLoop(c) })
}

// needsPreparation reports whether this VM is one of the first promoters and has not prepared for the end of the present term.
func (s *service) needsPreparation() bool {
	return !s.stopped && s.promoterRank >= 0 && s.promoterRank < preparingRanks && s.primary != nil && s.term > s.preparedTerm
}

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
			log.WithError(err).Warn("promotion not prepared; a lost primary may not be replaced while the platform's store is down")
		}
		wait = prepareRetryInterval/2 + rand.N(prepareRetryInterval)
	}
}

// termToPrepare returns the term for whose end to prepare, and false when there is nothing to do any more.
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

// sleep waits and reports false when the watch ends first.
func (s *service) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}
