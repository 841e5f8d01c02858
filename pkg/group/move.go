package group

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/placement"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// placementInput describes the service to the rule that decides on moves between regions. Only the primary's owner
// fills in more than term and primary, since it alone can hold back writes.
func (s *service) placementInput(now time.Time) placement.Input {
	in := placement.Input{Term: s.term}
	if s.primary == nil {
		return in
	}
	in.Primary = s.primary.info.Name
	owner, _ := s.primaryOwner()
	if in.OwnsPrimary = owner.Name == s.watcher.opts.Self && s.promoterRank >= 0; in.OwnsPrimary {
		in.Target = s.betterRegion()
		in.Stable = in.Target != "" && s.stable(now)
	}
	return in
}

// betterRegion returns the region that the primary should move to, or "" if it should stay.
func (s *service) betterRegion() string {
	primary := slices.Index(s.members, s.primary)
	if primary < 0 {
		return ""
	}
	return placement.TargetRegion(len(s.members), primary, func(i int) string { return s.members[i].info.Region })
}

// stable reports whether the service is in a state in which its primary may be moved: all members answer this VM, are
// up to date, are not leaving, have kept their state, are owned by a VM of their region, and hold no fence above the
// term. This is not so while the members or VMs of a region are cut off.
func (s *service) stable(now time.Time) bool {
	for i, m := range s.members {
		if m.failures > 0 || !m.mayBecomePrimary() || !m.answeredDirectlyWithin(now, detectionTime) ||
			now.Sub(m.freshAt) >= maxSuccessorAge {
			return false
		}
		if i >= len(s.owners) || s.owners[i].Region != m.info.Region || quorum.EffectiveTerm(m.status) > s.term {
			return false
		}
	}
	return true
}

// startMove holds back new writes to the primary and waits until those in progress are acknowledged and a member that
// may replace the primary holds all of its log. It reports false if that takes longer than drainTimeout or if the
// service has changed. In that case nothing was fenced, and writes to the primary go on once release is called.
func (s *service) startMove(ctx context.Context, a quorum.Attempt) (release func(), ok bool) {
	s.mu.Lock()
	primary, term := s.primary, s.term
	s.placement.MoveStarted(time.Now())
	s.mu.Unlock()
	release = func() {}
	if primary == nil || term+1 != a.Term {
		return release, false
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	release, ok = s.watcher.opts.QuiesceWrites(ctx, s.name, primary.info.Name)
	for ok {
		s.rereadStatuses("")
		if ok = s.stillStable(primary, term) && ctx.Err() == nil; !ok {
			break
		}
		if _, caughtUp := s.caughtUpWithPrimary(a.LastResort); caughtUp {
			return release, true
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpInterval):
		}
	}
	s.watcher.stats.movesAbandoned.Add(1)
	s.watcher.opts.Log.WithField("service", s.name).WithField("primary", primary.info.Name).
		Info("abandoned a move of the primary to another region: writes did not end or members did not catch up in time")
	return release, false
}

// stillStable reports whether the service is stable and still has the given primary and term.
func (s *service) stillStable(primary *member, term platform.Term) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && s.primary == primary && s.term == term && s.stable(time.Now())
}
