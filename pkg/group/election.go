package group

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// Times that decide when this VM promotes.
const (
	detectionTime  = 900 * time.Millisecond // without an answer of the primary; see also refusedTime
	majorityWindow = 500 * time.Millisecond // within which the others must have answered
	rankDelay      = 400 * time.Millisecond // per rank
	strandedDelay  = 2 * time.Second        // leaves time for the promotion that set the higher fence to end
	// ownerHeadStart is left to the owner of a leaving primary, which alone can hold writes back: twice drainTimeout, and time
	// to promote.
	ownerHeadStart = 1200 * time.Millisecond
	// otherPromoterDelay is left to another promoter whose fence shows.
	otherPromoterDelay = 600 * time.Millisecond
	// maxSuccessorAge is the age above which no replica is near enough to take over from a leaving primary.
	maxSuccessorAge = time.Second
	initialBackoff  = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
)

// election is the state of the decision to promote.
type election struct {
	reason         Reason        // present need, "" for none
	since          time.Time     // when the need showed, or was last put off
	highestFence   platform.Term // highest term seen then
	attempting     bool          // an attempt runs
	failedAttempts int           // attempts without success since the last promotion
	backoffUntil   time.Time     // back-off
}

// considerPromotion starts an attempt when this VM has a reason, its turn has come, and no other promoter is at work.
func (s *service) considerPromotion(now time.Time) {
	s.placement.Step(now, s.placementInput(now))
	e := &s.election
	if s.promoterRank < 0 || e.attempting || s.stopped {
		return
	}
	reason := s.promotionReason(now)
	highest := s.highestTerm()
	if reason != e.reason {
		if e.reason == "" {
			s.wakeAllPolls() // poll at the fast interval from now on
		}
		s.log().WithFields(logrus.Fields{"reason": reason, "before": e.reason, "rank": s.promoterRank, "primary": s.primary.name()}).
			Info("need for a promotion changed")
		e.reason, e.since = reason, now
	}
	if e.highestFence > 0 && highest > e.highestFence {
		e.since = now.Add(otherPromoterDelay)
	}
	e.highestFence = max(e.highestFence, highest)
	if reason == "" || now.Before(e.backoffUntil) || now.Sub(e.since) < s.promotionDelay(reason) {
		return
	}
	e.attempting = true
	s.spawn(func() { s.attemptPromotion(reason) })
}

// promotionDelay returns how long a need must last before this VM acts on it.
func (s *service) promotionDelay(r Reason) time.Duration {
	wait := time.Duration(s.promoterRank) * rankDelay
	switch r {
	case ReasonLeaving:
		lead, known := s.leadVM()
		switch {
		case s.canHoldWrites():
			return 0
		case known && lead.Name != s.watcher.opts.Self:
			wait += ownerHeadStart
		}
	case ReasonPlacement:
		return 0 // the lead alone decides
	case ReasonNoPrimary:
		wait += detectionTime
	case ReasonStranded:
		wait += strandedDelay
	}
	return wait
}

// promotionReason returns the reason for a promotion that the present view gives, or "".
func (s *service) promotionReason(now time.Time) Reason {
	answering := 0 // members that count and answered lately, the primary not counted
	for _, m := range s.members {
		if m != s.primary && m.answeredDirectlyWithin(now, majorityWindow) && !m.status.LostState {
			answering++
		}
	}
	majority := quorum.Majority(len(s.members))
	p := s.primary
	switch {
	case p == nil:
		if answering >= majority && s.allAnsweredOrSilent(now) {
			return ReasonNoPrimary
		}
	case p.lost(now):
		if answering >= majority {
			return ReasonLost
		}
	case p.failures > 0:
	case p.leaving():
		if answering+1 >= majority && s.hasFreshSuccessor(now) {
			return ReasonLeaving
		}
	case s.hasStrandedMember() && answering+1 >= majority:
		return ReasonStranded
	case s.placement.Due():
		return ReasonPlacement
	}
	return ""
}

// allAnsweredOrSilent reports whether every member has either answered or been silent for the detection time. A member that
// has not been asked yet may be the primary.
func (s *service) allAnsweredOrSilent(now time.Time) bool {
	for _, m := range s.members {
		if !m.known && now.Sub(m.lastHeard) < detectionTime {
			return false
		}
	}
	return true
}

// hasFreshSuccessor reports whether a replica that stays is close behind the leaving primary.
func (s *service) hasFreshSuccessor(now time.Time) bool {
	for _, m := range s.members {
		if m != s.primary && m.mayBecomePrimary() && m.reachable() && now.Sub(m.freshAt) < maxSuccessorAge {
			return true
		}
	}
	return false
}

// hasStrandedMember reports whether a reachable member holds a fence above the primary's term.
func (s *service) hasStrandedMember() bool {
	for _, m := range s.members {
		if m.reachable() && m.status.FencedTerm > s.term {
			return true
		}
	}
	return false
}

// backOff puts the next attempt off after one that did not end in a promotion.
func (e *election) backOff(now time.Time) {
	wait := min(initialBackoff<<min(e.failedAttempts, 10), maxBackoff)
	e.failedAttempts++
	e.backoffUntil = now.Add(wait + rand.N(wait))
}
