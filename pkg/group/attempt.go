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

// Deadlines of an attempt.
const (
	attemptTimeout = 1500 * time.Millisecond
	retryInterval  = 50 * time.Millisecond // after a request without an answer
	// fenceGrace is left to members beyond a majority: more than a round trip between regions.
	fenceGrace = 60 * time.Millisecond
	// drainTimeout bounds the wait for a leaving primary to fall quiet with a replica level with it.
	drainTimeout = 500 * time.Millisecond
)

// attempt tries once to promote a member. A paused attempt does no harm: it re-reads before it fences, and members
// refuse fences and promotions of a lower term.
func (s *service) attempt(reason Reason) {
	s.mu.Lock()
	began, lost := s.election.since, ""
	if reason == ReasonLost && s.primary != nil {
		began, lost = s.primary.heard, s.primary.info.Name
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, attemptTimeout+s.w.opts.PromotionTime)
	defer cancel()
	var chosen string
	a, ok := s.prepare(reason)
	if ok && reason == ReasonPlacement {
		var release func()
		release, ok = s.startMove(ctx, a)
		defer release()
	}
	if ok {
		s.w.stats.attempts.Add(1)
		if reason == ReasonLeaving {
			defer s.holdLeaving(ctx)()
			s.drain(ctx, a.LastResort)
		}
		chosen = s.drive(ctx, a, lost)
	}
	s.finish(Failover{
		Service: s.name, Term: a.Term, Primary: chosen, Reason: reason, Duration: time.Since(began),
	}, ok)
}

// finish takes the result of an attempt. An attempt that found no need any more was none.
func (s *service) finish(f Failover, tried bool) {
	s.mu.Lock()
	e := &s.election
	e.running, e.reason = false, ""
	if tried {
		e.fence = max(e.fence, f.Term) // not that of another promoter
	}
	if f.Primary != "" {
		e.failed = 0
	} else if tried {
		e.backOff(time.Now())
	}
	s.mu.Unlock()
	log := s.w.opts.Log.WithFields(logrus.Fields{"service": s.name, "term": f.Term, "reason": f.Reason})
	switch {
	case f.Primary != "":
		s.w.stats.promotions.Add(1)
		if f.Reason == ReasonPlacement {
			s.w.stats.moves.Add(1)
		}
		s.w.stats.failover.Add(int64(f.Duration))
		log.WithFields(logrus.Fields{"primary": f.Primary, "duration": f.Duration}).Info("promoted a new primary")
		if s.w.opts.OnFailover != nil {
			s.w.opts.OnFailover(f)
		}
	case tried && s.ctx.Err() == nil:
		if log, ok := s.w.logAttempt.Allow(log, s.name); ok {
			log.Warn("promotion attempt ended without a new primary")
		}
	}
}

// prepare reads the members anew and describes the attempt. It reports false when the reason is gone.
func (s *service) prepare(reason Reason) (quorum.Attempt, bool) {
	s.reread(reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.highestTerm()
	if need := s.need(time.Now()); s.stopped || s.rank < 0 || need != reason || top > s.election.fence {
		s.log().WithFields(logrus.Fields{"reason": reason, "need": need, "fence": top, "known": s.election.fence}).
			Info("promotion attempt given up before it began")
		return quorum.Attempt{}, false // a fence that is new is that of another promoter
	}
	a := quorum.Attempt{
		Term: top + 1,
		// The random part makes the name differ between attempts, also over restarts.
		ID: fmt.Sprintf("%s/%016x", s.w.opts.Self, rand.Uint64()),
	}
	target := s.betterRegion()
	for _, m := range s.preferred() {
		a.Members = append(a.Members, m.info.Name)
		if m.leaving() || reason == ReasonPlacement && m.info.Region != target {
			a.LastResort = append(a.LastResort, m.info.Name)
		}
	}
	return a, true
}

// reread asks all members for their status and waits for all but a lost primary.
func (s *service) reread(reason Reason) {
	s.mu.Lock()
	lost := s.primary
	s.mu.Unlock()
	answers, missing := s.askAll(), len(s.members)
	if reason == ReasonLost {
		missing--
	}
	for missing > 0 {
		if a := <-answers; reason != ReasonLost || a.member != lost {
			missing--
		}
	}
}

// preferred returns the members in order of preference for equal logs: the present primary, its data centre, names.
func (s *service) preferred() []*member {
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

// drain waits until a replica that stays holds all that a leaving primary holds, so that writes in progress are
// acknowledged before the fence. Routers send no new writes to a leaving member, so the primary falls quiet; one that
// does not is replaced as soon as a replica is level with it in the later half of the time. The attempt goes on in any
// case.
func (s *service) drain(ctx context.Context, avoid []string) {
	half := time.Now().Add(drainTimeout / 2)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for last := (platform.Status{}); ctx.Err() == nil; {
		s.reread("")
		end, level := s.levelWithPrimary(avoid)
		if level && (end == last || time.Now().After(half)) {
			return
		}
		last = end
		select {
		case <-ctx.Done():
		case <-time.After(catchupInterval):
		}
	}
}

// holdLeaving holds new writes back at a leaving primary that this VM owns, and waits a bounded time for those in
// progress: a fence would leave their outcome unknown. The hold lasts until the returned function is called.
func (s *service) holdLeaving(ctx context.Context) (release func()) {
	s.mu.Lock()
	primary, leads := s.primary, s.leads()
	s.mu.Unlock()
	if primary == nil || !leads {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	release, _ = s.w.opts.QuiesceWrites(ctx, s.name, primary.info.Name)
	return release
}

// leads reports whether this VM owns the primary and can hold its writes back.
func (s *service) leads() bool {
	lead, ok := s.lead()
	return ok && lead.Name == s.w.opts.Self && s.w.opts.QuiesceWrites != nil
}

// levelWithPrimary returns the primary's status and whether a member that may take over has a log at least as new.
func (s *service) levelWithPrimary(avoid []string) (platform.Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.primary
	if p == nil {
		return platform.Status{}, true
	}
	return p.status, slices.ContainsFunc(s.members, func(m *member) bool {
		return m != p && m.mayLead() && !slices.Contains(avoid, m.info.Name) && m.reachable() && quorum.AtLeastAsNew(m.status, p.status)
	})
}

// drive runs the attempt's state machine and returns the promoted member, or "". It does not wait for the lost
// member, and for others beyond a majority only for a short time.
func (s *service) drive(ctx context.Context, a quorum.Attempt, lost string) string {
	inputs := make(chan quorum.Input, 2*len(s.members))
	p, acts := quorum.NewPromoter(a)
	dispatch := func(acts []quorum.Action, pause time.Duration) {
		chosen := p.Chosen()
		for _, act := range acts {
			s.mu.Lock()
			s.spawn(func() { s.request(ctx, a, act, chosen, pause, inputs) })
			s.mu.Unlock()
		}
	}
	dispatch(acts, 0)
	if lost != "" {
		p.Step(quorum.Input{Kind: quorum.NoAnswer, Member: lost})
	}
	grace := time.After(fenceGrace)
	for p.Phase() == quorum.PhaseFencing || p.Phase() == quorum.PhasePromoting {
		in := quorum.Input{Kind: quorum.Abandoned}
		select {
		case in = <-inputs:
		case <-grace:
			dispatch(p.SkipUnanswered(), 0)
			continue
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			in.Kind = quorum.Abandoned
		}
		pause := time.Duration(0)
		if in.Kind == quorum.NoAnswer {
			pause = retryInterval
		}
		dispatch(p.Step(in), pause)
	}
	if p.Phase() == quorum.PhasePromoted {
		return p.Chosen()
	}
	return ""
}

// request carries out one action and reports its outcome. A lost Follow is repeated by repair.
func (s *service) request(ctx context.Context, a quorum.Attempt, act quorum.Action, chosen string,
	pause time.Duration, inputs chan<- quorum.Input,
) {
	m := s.member(act.Member)
	if act.Kind == quorum.FollowMember {
		s.follow(m, a.Term, s.member(chosen))
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
		in.Kind = outcome(err, quorum.FenceAnswered, quorum.FenceRefused)
	} else {
		in.Status, err = s.promote(ctx, m, a)
		in.Kind = outcome(err, quorum.PromoteAnswered, quorum.PromoteRefused)
	}
	select {
	case inputs <- in:
	case <-ctx.Done():
	}
}

func outcome(err error, answered, refused quorum.InputKind) quorum.InputKind {
	switch {
	case err == nil:
		return answered
	case errors.Is(err, platform.ErrFenced):
		return refused
	}
	return quorum.NoAnswer
}

func (s *service) fence(ctx context.Context, m *member, a quorum.Attempt) (platform.Status, error) {
	s.w.stats.fences.Add(1)
	return s.call(ctx, m, callTimeout, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.w.opts.Control.Fence(ctx, info, a.Term, a.ID)
	})
}

func (s *service) promote(ctx context.Context, m *member, a quorum.Attempt) (platform.Status, error) {
	return s.call(ctx, m, callTimeout+s.w.opts.PromotionTime, func(ctx context.Context, info platform.Member) (platform.Status, error) {
		return s.w.opts.Control.Promote(ctx, info, a.Term, a.ID)
	})
}
