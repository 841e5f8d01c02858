package group

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/placement"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// seenPlacement describes the service to the rule that decides on moves. Only the lead looks closer: as owner of the
// primary it alone can hold the writes back.
func (s *service) seenPlacement(now time.Time) placement.Input {
	in := placement.Input{Term: s.term}
	if s.primary == nil {
		return in
	}
	in.Primary = s.primary.info.Name
	lead, _ := s.lead()
	if in.OwnsPrimary = lead.Name == s.w.opts.Self && s.rank >= 0; in.OwnsPrimary {
		in.Target = s.betterRegion()
		in.Stable = in.Target != "" && s.settled(now)
	}
	return in
}

// betterRegion returns the region that the primary should move to, or "".
func (s *service) betterRegion() string {
	primary := slices.Index(s.members, s.primary)
	if primary < 0 {
		return ""
	}
	return placement.TargetRegion(len(s.members), primary, func(i int) string { return s.members[i].info.Region })
}

// settled reports whether all members answer this VM, are level, stay, hold their state, and are owned by a VM of their
// region, and whether no fence stands above the term. A region whose members or VMs are cut off is not settled.
func (s *service) settled(now time.Time) bool {
	for i, m := range s.members {
		if m.failures > 0 || !m.mayLead() || !m.answeredWithin(now, detectionTime) || now.Sub(m.freshAt) >= replicaFresh {
			return false
		}
		if i >= len(s.owners) || s.owners[i].Region != m.info.Region || quorum.EffectiveTerm(m.status) > s.term {
			return false
		}
	}
	return true
}

// startMove holds new writes back at the primary and waits until those in progress are acknowledged and a member that
// may take over holds all of the primary's log. It reports false when that takes too long or something has changed:
// then nothing was fenced, and writes go on at the primary once release is called.
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
	release, ok = s.w.opts.QuiesceWrites(ctx, s.name, primary.info.Name)
	for ok {
		s.reread("")
		if ok = s.stillSettled(primary, term) && ctx.Err() == nil; !ok {
			break
		}
		if _, level := s.levelWithPrimary(a.LastResort); level {
			return release, true
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchupInterval):
		}
	}
	s.w.stats.movesAbandoned.Add(1)
	s.w.opts.Log.WithField("service", s.name).WithField("primary", primary.info.Name).
		Info("gave up a move of the primary to another region: writes did not end or members were not level in time")
	return release, false
}

// stillSettled reports whether the service is settled with the same primary and term.
func (s *service) stillSettled(primary *member, term platform.Term) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && s.primary == primary && s.term == term && s.settled(time.Now())
}
