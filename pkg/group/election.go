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
	majorityWithin = 500 * time.Millisecond // within which the others must have answered
	rankDelay      = 400 * time.Millisecond // per rank
	strandedTime   = 2 * time.Second        // leaves time for the promotion that set the higher fence to end
	// leadTime is left to the owner of a leaving primary, which alone can hold writes back: twice drainTimeout, and time
	// to promote.
	leadTime = 1200 * time.Millisecond
	// rivalTime is left to another promoter whose fence shows.
	rivalTime = 600 * time.Millisecond
	// replicaFresh is the age above which no replica is near enough to take over from a leaving primary.
	replicaFresh = time.Second
	backoffFirst = 200 * time.Millisecond
	backoffLimit = 5 * time.Second
)

// election is the state of the decision to promote.
type election struct {
	reason   Reason        // present need, "" for none
	since    time.Time     // when the need showed, or was last put off
	fence    platform.Term // highest term seen then
	running  bool          // an attempt runs
	failed   int           // attempts without success since the last promotion
	notUntil time.Time     // back-off
}

// supervise starts an attempt when this VM has a reason, its turn has come, and no other promoter is at work.
func (s *service) supervise(now time.Time) {
	s.placement.Step(now, s.seenPlacement(now))
	e := &s.election
	if s.rank < 0 || e.running || s.stopped {
		return
	}
	reason := s.need(now)
	top := s.highestTerm()
	if reason != e.reason {
		if e.reason == "" {
			s.wakeAll() // poll at the fast interval from now on
		}
		s.log().WithFields(logrus.Fields{"reason": reason, "before": e.reason, "rank": s.rank, "primary": s.primary.name()}).
			Info("need for a promotion changed")
		e.reason, e.since = reason, now
	}
	if e.fence > 0 && top > e.fence {
		e.since = now.Add(rivalTime)
	}
	e.fence = max(e.fence, top)
	if reason == "" || now.Before(e.notUntil) || now.Sub(e.since) < s.patience(reason) {
		return
	}
	e.running = true
	s.spawn(func() { s.attempt(reason) })
}

// patience returns how long a need must last before this VM acts on it.
func (s *service) patience(r Reason) time.Duration {
	wait := time.Duration(s.rank) * rankDelay
	switch r {
	case ReasonLeaving:
		lead, known := s.lead()
		switch {
		case s.leads():
			return 0
		case known && lead.Name != s.w.opts.Self:
			wait += leadTime
		}
	case ReasonPlacement:
		return 0 // the lead alone decides
	case ReasonNoPrimary:
		wait += detectionTime
	case ReasonStranded:
		wait += strandedTime
	}
	return wait
}

// need returns the reason for a promotion that the present view gives, or "".
func (s *service) need(now time.Time) Reason {
	heard := 0 // members that count and answered lately, the primary not counted
	for _, m := range s.members {
		if m != s.primary && m.answeredWithin(now, majorityWithin) && !m.status.LostState {
			heard++
		}
	}
	majority := quorum.Majority(len(s.members))
	p := s.primary
	switch {
	case p == nil:
		if heard >= majority && s.restSilent(now) {
			return ReasonNoPrimary
		}
	case p.lost(now):
		if heard >= majority {
			return ReasonLost
		}
	case p.failures > 0:
	case p.leaving():
		if heard+1 >= majority && s.successorNear(now) {
			return ReasonLeaving
		}
	case s.stranded() && heard+1 >= majority:
		return ReasonStranded
	case s.placement.MoveDue():
		return ReasonPlacement
	}
	return ""
}

// restSilent reports whether every member has either answered or been silent for the detection time. A member that
// has not been asked yet may be the primary.
func (s *service) restSilent(now time.Time) bool {
	for _, m := range s.members {
		if !m.known && now.Sub(m.heard) < detectionTime {
			return false
		}
	}
	return true
}

// successorNear reports whether a replica that stays is close behind the leaving primary.
func (s *service) successorNear(now time.Time) bool {
	for _, m := range s.members {
		if m != s.primary && m.mayLead() && m.reachable() && now.Sub(m.freshAt) < replicaFresh {
			return true
		}
	}
	return false
}

// stranded reports whether a reachable member holds a fence above the primary's term.
func (s *service) stranded() bool {
	for _, m := range s.members {
		if m.reachable() && m.status.FencedTerm > s.term {
			return true
		}
	}
	return false
}

// backOff puts the next attempt off after one that did not end in a promotion.
func (e *election) backOff(now time.Time) {
	wait := min(backoffFirst<<min(e.failed, 10), backoffLimit)
	e.failed++
	e.notUntil = now.Add(wait + rand.N(wait))
}
