package group

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Times that decide when this VM promotes a member.
const (
	detectionTime    = 900 * time.Millisecond // of silence until the primary counts as lost; see also refusalDetectionTime
	majorityWindow   = 500 * time.Millisecond // within which a majority must have answered
	rankDelay        = 400 * time.Millisecond // that a promoter waits longer than the one ranked before it
	fencedAboveDelay = 2 * time.Second        // gives the promotion that set the higher fence time to end
	// ownerHeadStart is how much longer the other promoters wait when a primary leaves. Its owner should act first,
	// since it alone can hold writes back. The value covers drainTimeout twice and the time to promote.
	ownerHeadStart = 1200 * time.Millisecond
	// otherPromoterDelay is how long this VM leaves another promoter to finish after noticing its fence.
	otherPromoterDelay = 600 * time.Millisecond
	// maxSuccessorAge is the age of what a replica has received from which it is too far behind for a planned change of primary.
	maxSuccessorAge = time.Second
	initialBackoff  = 200 * time.Millisecond
	maxBackoff      = 5 * time.Second
)

// election is the state of this VM's decision to promote a member.
type election struct {
	reason         Reason        // why a promotion is needed now, "" if none is
	since          time.Time     // when the reason showed; postponed when another promoter acts
	highestFence   platform.Term // highest term that this VM has noticed
	attempting     bool          // an attempt is in progress
	failedAttempts int           // since the last promotion by this VM
	backoffUntil   time.Time     // no attempt starts before
	// listUnreadSince is when the read of the platform's list before an attempt first failed since the last one that did not, or zero.
	listUnreadSince time.Time
}

// considerPromotion starts an attempt when a promotion is needed, it is this VM's turn, and no other promoter is
// acting.
func (s *service) considerPromotion(now time.Time) {
	s.placement.Observe(now, s.placementInput(now))
	e := &s.election
	if s.promoterRank < 0 || e.attempting || s.stopped {
		return
	}
	reason := s.promotionReason(now)
	highest := s.highestTerm()
	if reason != e.reason {
		if e.reason == "" {
			s.wakeAllPolls() // poll at unhealthyPollInterval from now on
		}
		s.log().WithFields(logrus.Fields{"reason": reason, "before": e.reason, "rank": s.promoterRank, "primary": s.primary.name()}).
			Info("reason for a promotion changed")
		e.reason, e.since = reason, now
	}
	if reason == "" {
		e.listUnreadSince = time.Time{}
	}
	if e.highestFence > 0 && highest > e.highestFence {
		e.since = now.Add(otherPromoterDelay)
	}
	e.highestFence = max(e.highestFence, highest)
	if complete := s.watcher.opts.MembersComplete; reason != "" && complete != nil && !complete() {
		e.since = now // the delays of the promoters count from the time at which the members are known
		return
	}
	if reason == "" || now.Before(e.backoffUntil) || now.Sub(e.since) < s.promotionDelay(reason) {
		return
	}
	if s.settlement.cancel != nil { // it ends before the attempt, which must know what it has requested
		s.settlement.cancel()
		return
	}
	e.attempting = true
	s.spawn(func() { s.attemptPromotion(reason) })
}

// promotionDelay returns how long a reason must last before this VM acts on it.
func (s *service) promotionDelay(r Reason) time.Duration {
	wait := time.Duration(s.promoterRank) * rankDelay
	switch r {
	case ReasonLeaving:
		owner, known := s.primaryOwner()
		switch {
		case s.canQuiesceWrites():
			return 0
		case known && owner.Name != s.watcher.opts.Self:
			wait += ownerHeadStart
		}
	case ReasonPlacement:
		return 0 // only the primary's owner ever has this reason
	case ReasonNoPrimary:
		wait += detectionTime
	case ReasonFencedAbove:
		wait += fencedAboveDelay
	}
	return wait
}

// promotionReason returns why the present view calls for a promotion, or "" if it does not.
func (s *service) promotionReason(now time.Time) Reason {
	answering := 0 // members other than the primary that answered recently and have not lost their state
	for _, m := range s.members {
		if m != s.primary && m.answeredDirectlyWithin(now, majorityWindow) && !m.status.LostState {
			answering++
		}
	}
	majority := s.majority()
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
	case s.hasMemberFencedAbove() && answering+1 >= majority:
		return ReasonFencedAbove
	case s.placement.MoveDue():
		return ReasonPlacement
	}
	return ""
}

// allAnsweredOrSilent reports whether every member has either answered or been silent for detectionTime. Before that, a
// member that has not answered yet may be the primary.
func (s *service) allAnsweredOrSilent(now time.Time) bool {
	for _, m := range s.members {
		if !m.known && now.Sub(m.lastHeard) < detectionTime {
			return false
		}
	}
	return true
}

// hasFreshSuccessor reports whether a replica that is not leaving is close enough behind the leaving primary to replace it. What
// counts is what it has received, since a promoted member first applies its log: a replica that only applies late loses
// nothing, and the primary would keep its work beyond its time.
func (s *service) hasFreshSuccessor(now time.Time) bool {
	for _, m := range s.members {
		if m != s.primary && m.mayBecomePrimary() && m.reachable() &&
			(now.Sub(m.freshAt) < maxSuccessorAge || now.Sub(m.receivedAt) < maxSuccessorAge) {
			return true
		}
	}
	return false
}

// hasMemberFencedAbove reports whether a reachable member holds a fence above the primary's term. Such a member cannot
// follow this primary, only one of a later term.
func (s *service) hasMemberFencedAbove() bool {
	for _, m := range s.members {
		if m.reachable() && m.status.FencedTerm > s.term {
			return true
		}
	}
	return false
}

// pause delays the next attempt after one that ended before its choice, since too few members answer.
func (e *election) pause(now time.Time) {
	e.backoffUntil = now.Add(initialBackoff + rand.N(initialBackoff))
}

// backOff delays the next attempt after one that did not end in a promotion.
func (e *election) backOff(now time.Time) {
	wait := min(initialBackoff<<min(e.failedAttempts, 10), maxBackoff)
	e.failedAttempts++
	e.backoffUntil = now.Add(wait + rand.N(wait))
}
