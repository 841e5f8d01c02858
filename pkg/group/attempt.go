package group

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// Intervals and deadlines of an attempt.
const (
	attemptTimeout      = 1500 * time.Millisecond
	actionRetryInterval = 50 * time.Millisecond // before a request that got no answer is repeated
	// fenceGrace is how long after its start an attempt still waits for members beyond a majority to answer its fence.
	// It exceeds a round trip between regions.
	fenceGrace = 60 * time.Millisecond
	// maxAnswerAge bounds the age of the answers that an attempt decides on where fences are ignored: another promoter may act
	// in the meantime. It leaves room for one call that fails.
	maxAnswerAge = callTimeout + fenceGrace
	// listReadTimeout bounds the read of the platform's list before an attempt. It exceeds the time that a slow platform takes.
	listReadTimeout = 500 * time.Millisecond
	// maxUnconfirmed is how long an attempt to replace a primary that this VM has never seen waits until the platform's list can be
	// read. It exceeds the time within which entries are back after an outage of the platform.
	maxUnconfirmed = 3 * time.Second
	// drainTimeout bounds the wait until the writes in progress at a primary have ended and a replica has caught up.
	drainTimeout = 500 * time.Millisecond
)

// attemptPromotion tries once to promote a member. It is safe even if the process is suspended for long in between: the
// attempt reads all statuses again before it fences, and members refuse fences and promotions of a lower term. Where fences are
// ignored, it decides on answers of at most maxAnswerAge.
func (s *service) attemptPromotion(reason Reason) {
	s.mu.Lock()
	began, lost := s.election.since, ""
	if reason == ReasonLost && s.primary != nil {
		began, lost = s.primary.lastHeard, s.primary.info.Name
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, attemptTimeout+s.watcher.opts.PromotionTime)
	defer cancel()
	var chosen string
	end := notTried
	var a quorum.Attempt
	ok := s.confirmMembers(ctx, reason)
	if ok {
		a, ok = s.prepareAttempt(reason)
	}
	if ok && reason == ReasonPlacement {
		var release func()
		release, ok = s.startMove(ctx, a)
		defer release()
	}
	if ok {
		s.watcher.stats.attempts.Add(1)
		if reason == ReasonLeaving {
			defer s.quiesceLeavingPrimary(ctx)()
			s.drainPrimary(ctx, a.LastResort)
		}
		chosen, end = s.runPromoter(ctx, a, lost)
	}
	s.finishAttempt(Failover{
		Service: s.name, Term: a.Term, Primary: chosen, Reason: reason, Duration: time.Since(began),
	}, end, s.fencesBind(a))
}

// attemptEnd says how far an attempt got.
type attemptEnd uint8

const (
	notTried  attemptEnd = iota // it ended before it fenced a member; it does not count as failed
	undecided                   // it chose no member, where fences are ignored; the next one follows soon
	tried
)

// fencesBind reports whether a member that has answered a fence of the attempt shows that to other VMs.
func (s *service) fencesBind(a quorum.Attempt) bool {
	return !s.watcher.opts.FencesIgnored || a.SyncReplicas > 0
}

// finishAttempt records and logs the result of an attempt. visible reports whether other VMs can see its fences.
func (s *service) finishAttempt(f Failover, end attemptEnd, visible bool) {
	s.mu.Lock()
	e := &s.election
	e.attempting, e.reason = false, ""
	if end != notTried && visible {
		e.highestFence = max(e.highestFence, f.Term) // this VM's own fence must not pass for that of another promoter
	}
	switch {
	case f.Primary != "":
		e.failedAttempts, s.settlement.promoted = 0, f.Primary
	case end == undecided:
		e.pause(time.Now())
	case end == tried:
		e.backOff(time.Now())
	}
	s.mu.Unlock()
	log := s.watcher.opts.Log.WithFields(logrus.Fields{"service": s.name, "term": f.Term, "reason": f.Reason})
	switch {
	case f.Primary != "":
		s.watcher.stats.promotions.Add(1)
		if f.Reason == ReasonPlacement {
			s.watcher.stats.moves.Add(1)
		}
		s.watcher.stats.failoverTime.Add(int64(f.Duration))
		log.WithFields(logrus.Fields{"primary": f.Primary, "duration": f.Duration}).Info("promoted a new primary")
		if s.watcher.opts.OnFailover != nil {
			s.watcher.opts.OnFailover(f)
		}
	case end != notTried && s.ctx.Err() == nil:
		if log, ok := s.watcher.attemptLogLimit.Allow(log, s.name); ok {
			log.Warn("promotion attempt ended without a new primary; trying again after a pause if one is still needed")
		}
	}
}

// confirmMembers reads the platform's list again before an attempt that an outdated list would mislead: the primary may be a member
// that this VM does not know, and where replicas hold each acknowledged write, so may be one that holds the last of them. It
// reports whether the members are still those of this watch. While the list cannot be read, what is known of a lost primary holds.
func (s *service) confirmMembers(ctx context.Context, reason Reason) bool {
	s.mu.Lock()
	needed := s.watcher.opts.ReadMembers != nil && (reason == ReasonNoPrimary || s.syncReplicas() > 0)
	s.mu.Unlock()
	if !needed {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	members, ok := s.watcher.opts.ReadMembers(ctx, s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := &s.election, time.Now()
	switch {
	case ok:
		e.listUnreadSince = time.Time{}
	case e.listUnreadSince.IsZero():
		e.listUnreadSince = now
	}
	if ok && s.sameMembers(platform.Service{Members: members}) ||
		!ok && (reason != ReasonNoPrimary || now.Sub(e.listUnreadSince) >= maxUnconfirmed) {
		return true
	}
	e.pause(now)
	s.watcher.stats.unconfirmed.Add(1)
	s.log().WithFields(logrus.Fields{"reason": reason, "read": ok}).
		Info("promotion attempt abandoned: the service's members are not confirmed by the platform's list")
	return false
}

// prepareAttempt reads all statuses again and describes the attempt. It reports false if the reason no longer holds,
// or if another promoter has set a fence meanwhile.
func (s *service) prepareAttempt(reason Reason) (quorum.Attempt, bool) {
	s.rereadStatuses(reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := s.highestTerm()
	if need := s.promotionReason(time.Now()); s.stopped || s.promoterRank < 0 || need != reason ||
		highest > s.election.highestFence {
		s.log().WithFields(logrus.Fields{"reason": reason, "need": need, "fence": highest, "known": s.election.highestFence}).
			Info("promotion attempt abandoned before fencing: the service has changed")
		return quorum.Attempt{}, false // a new fence is that of another promoter
	}
	a := quorum.Attempt{
		Term: highest + 1,
		// The random part makes the promoter ID differ between attempts, also across restarts.
		ID: fmt.Sprintf("%s/%016x", s.watcher.opts.Self, rand.Uint64()),
	}
	target := s.betterRegion()
	a.SyncReplicas = s.syncReplicas()
	for _, m := range s.membersByPreference() {
		if !m.counts() {
			if a.SyncReplicas == 0 {
				continue
			}
			a.Absent = append(a.Absent, m.info.Name)
		}
		a.Members = append(a.Members, m.info.Name)
		if m.unlisted || m.leavingLong(time.Now()) {
			a.Barred = append(a.Barred, m.info.Name)
		}
		if m.leaving() || reason == ReasonPlacement && m.info.Region != target {
			a.LastResort = append(a.LastResort, m.info.Name)
		}
	}
	return a, true
}

// rereadStatuses asks all members for their status and waits for the answers of all members except a lost primary.
func (s *service) rereadStatuses(reason Reason) {
	s.mu.Lock()
	lost := s.primary
	s.mu.Unlock()
	answers, missing := s.askAllMembers(), len(s.members)
	if reason == ReasonLost {
		missing--
	}
	for missing > 0 {
		if a := <-answers; reason != ReasonLost || a.member != lost {
			missing--
		}
	}
}

// membersByPreference returns the members in the order in which one is chosen among equal logs: the present primary,
// then the members in its data centre, then the others, each by name.
func (s *service) membersByPreference() []*member {
	list := slices.Clone(s.members)
	preference := func(m *member) int {
		switch p := s.primary; {
		case m == p:
			return 0
		case p != nil && m.info.DataCentre == p.info.DataCentre:
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(preference(a)-preference(b), cmp.Compare(a.info.Name, b.info.Name))
	})
	return list
}

// drainPrimary waits until a replica that is not leaving holds everything that the leaving primary holds, so that
// writes in progress are acknowledged before the fence. Routers send no new writes to a leaving member, so the
// primary's log stops growing. If it does not, the wait ends as soon as a replica has caught up in the second half of
// drainTimeout. The attempt goes on in any case.
func (s *service) drainPrimary(ctx context.Context, lastResort []string) {
	halfTime := time.Now().Add(drainTimeout / 2)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for previous := (platform.Status{}); ctx.Err() == nil; {
		s.rereadStatuses("")
		status, caughtUp := s.caughtUpWithPrimary(lastResort)
		if caughtUp && (status == previous || time.Now().After(halfTime)) {
			return
		}
		previous = status
		select {
		case <-ctx.Done():
		case <-time.After(catchUpInterval):
		}
	}
}

// quiesceLeavingPrimary holds back new writes to a leaving primary that this VM owns, and waits up to drainTimeout for the
// writes in progress, since a fence would leave their outcome unknown. Writes are held back until release is called.
func (s *service) quiesceLeavingPrimary(ctx context.Context) (release func()) {
	s.mu.Lock()
	primary, canQuiesce := s.primary, s.canQuiesceWrites()
	s.mu.Unlock()
	if primary == nil || !canQuiesce {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	release, _ = s.watcher.opts.QuiesceWrites(ctx, s.name, primary.info.Name)
	return release
}

// canQuiesceWrites reports whether this VM owns the primary and can therefore hold back its writes.
func (s *service) canQuiesceWrites() bool {
	owner, ok := s.primaryOwner()
	return ok && owner.Name == s.watcher.opts.Self && s.watcher.opts.QuiesceWrites != nil
}

// caughtUpWithPrimary returns the primary's status and whether a reachable member that may replace the primary has a
// log at least as new. Members in lastResort do not count.
func (s *service) caughtUpWithPrimary(lastResort []string) (platform.Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.primary
	if p == nil {
		return platform.Status{}, true
	}
	return p.status, slices.ContainsFunc(s.members, func(m *member) bool {
		return m != p && m.mayBecomePrimary() && !slices.Contains(lastResort, m.info.Name) && m.reachable() &&
			quorum.LogAtLeastAsNew(m.status, p.status)
	})
}

// runPromoter runs the state machine of an attempt and returns the promoted member, or "" if there is none. It does not
// wait for the lost member, and from fenceGrace after the start no longer waits for members beyond a majority.
//
// Where fences are ignored, the attempt ends undecided if too few members answer within maxAnswerAge, or if the lost member
// answers and need not be replaced. The next attempt asks all members again.
func (s *service) runPromoter(ctx context.Context, a quorum.Attempt, lost string) (promoted string, end attemptEnd) {
	began := time.Now()
	inputs := make(chan quorum.Input, 2*len(s.members))
	p, acts := quorum.NewPromoter(a)
	dispatch := func(acts []quorum.Action, pause time.Duration) {
		chosen := p.Chosen()
		for _, act := range acts {
			s.mu.Lock()
			s.spawn(func() { s.performAction(ctx, a, act, chosen, pause, inputs) })
			s.mu.Unlock()
		}
	}
	dispatch(acts, 0)
	if lost != "" {
		p.Step(quorum.Input{Kind: quorum.NoAnswer, Member: lost})
	}
	grace := time.After(fenceGrace)
	var outdated <-chan time.Time
	if s.watcher.opts.FencesIgnored {
		outdated = time.After(maxAnswerAge)
	}
	for p.Phase() == quorum.PhaseFencing || p.Phase() == quorum.PhasePromoting {
		in := quorum.Input{Kind: quorum.Abandoned}
		select {
		case in = <-inputs:
		case <-grace:
			if outdated == nil || time.Since(began) < maxAnswerAge {
				dispatch(p.SkipUnanswered(), 0)
			}
			continue
		case <-outdated:
			if p.Phase() == quorum.PhasePromoting {
				outdated = nil
				continue
			}
		case <-ctx.Done():
		}
		answers := in.Kind == quorum.FenceAnswered || in.Kind == quorum.FenceRefused
		switch {
		case ctx.Err() != nil:
			in.Kind = quorum.Abandoned
		case s.watcher.opts.FencesIgnored && p.Phase() == quorum.PhaseFencing &&
			(time.Since(began) >= maxAnswerAge || answers && in.Member == lost):
			in.Kind = quorum.Abandoned
		}
		pause := time.Duration(0)
		if in.Kind == quorum.NoAnswer {
			pause = actionRetryInterval
		}
		dispatch(p.Step(in), pause)
	}
	end = tried
	if p.Chosen() == "" && s.watcher.opts.FencesIgnored {
		end = undecided
	}
	if p.Phase() == quorum.PhasePromoted {
		return p.Chosen(), end
	}
	return "", end
}

// performAction sends the request of one action, after pause, and passes its outcome to inputs. A request to follow
// has no outcome to pass on; repairReplica repeats one that got lost.
func (s *service) performAction(ctx context.Context, a quorum.Attempt, act quorum.Action, chosen string,
	pause time.Duration, inputs chan<- quorum.Input,
) {
	s.mu.Lock()
	m, primary := s.member(act.Member), s.member(chosen)
	s.mu.Unlock()
	if act.Kind == quorum.FollowMember {
		s.requestFollow(m, a.Term, primary)
		return
	}
	if pause > 0 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
	in := quorum.Input{Member: act.Member}
	var err error
	if act.Kind == quorum.FenceMember {
		in.Status, err = s.fence(ctx, m, a)
		in.Kind = inputKindOf(err, quorum.FenceAnswered, quorum.FenceRefused)
	} else {
		in.Status, err = s.promote(ctx, m, a)
		in.Kind = inputKindOf(err, quorum.PromoteAnswered, quorum.PromoteRefused)
	}
	select {
	case inputs <- in:
	case <-ctx.Done():
	}
}

// inputKindOf returns how a call that ended with err is reported to the state machine.
func inputKindOf(err error, answered, refused quorum.InputKind) quorum.InputKind {
	switch {
	case err == nil:
		return answered
	case errors.Is(err, platform.ErrFenced):
		return refused
	}
	return quorum.NoAnswer
}

func (s *service) fence(ctx context.Context, m *member, a quorum.Attempt) (platform.Status, error) {
	s.watcher.stats.fences.Add(1)
	return s.call(ctx, m, callTimeout, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.watcher.opts.Control.Fence(ctx, info, a.Term, a.ID)
	})
}

func (s *service) promote(ctx context.Context, m *member, a quorum.Attempt) (platform.Status, error) {
	return s.call(ctx, m, callTimeout+s.watcher.opts.PromotionTime, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.watcher.opts.Control.Promote(ctx, info, a.Term, a.ID)
	})
}
