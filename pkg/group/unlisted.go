package group

import (
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// What a VM knows about a service belongs to the service and to each of its members. It outlives a change of the platform's list,
// which says only where work may go.
//
// A member that the platform lists no more gets no work and is never promoted. While it answers, it still counts in majorities: it may
// be the primary, or hold a write that the others lack. Where replicas hold each acknowledged write, one that is silent is
// still missed by those who look for all acknowledged writes, until the others are seen to hold them.

// counts reports whether the member counts in majorities.
func (m *member) counts() bool { return !m.unlisted || m.reachable() }

// majority returns how many members are a majority of the service.
func (s *service) majority() int {
	n := 0
	for _, m := range s.members {
		if m.counts() {
			n++
		}
	}
	return quorum.Majority(n)
}

// listed returns the members that the platform lists, in the order of its list.
func (s *service) listed() []*member { return s.members[:s.listedCount] }

// syncReplicas returns the number of replicas that hold each acknowledged write.
func (s *service) syncReplicas() int {
	n := 0
	for _, m := range s.members {
		n = max(n, m.info.SyncReplicas)
	}
	return n
}

// continueFrom takes over what another watch of the service knows. It is called before the polls start.
func (s *service) continueFrom(before *service, now time.Time) {
	before.mu.Lock()
	defer before.mu.Unlock()
	for _, m := range s.members {
		if o := before.sameMember(m.info); o != nil {
			m.continueFrom(o)
			m.unlisted, m.unlistedAt = false, time.Time{}
		}
	}
	for _, o := range before.members {
		if !s.hasSuccessorOf(o) && before.stillCounts(o, now) {
			m := &member{info: o.info, wake: make(chan struct{}, 1)}
			m.continueFrom(o)
			m.info.Leaving = true
			if !m.unlisted {
				m.unlisted, m.unlistedAt = true, now
			}
			s.members = append(s.members, m)
		}
	}
	s.samples = slices.Clone(before.samples)
	s.lastTraffic, s.lastWrite = before.lastTraffic, before.lastWrite
	s.placement, s.claimedTerm = before.placement, before.claimedTerm
	s.settlement.primarySince, s.settlement.promoted = before.settlement.primarySince, before.settlement.promoted
	s.election = before.election
	if s.election.attempting { // it ends with the other watch, and what it has requested may still take effect
		s.election.attempting, s.election.backoffUntil = false, now.Add(otherPromoterDelay)
	}
	s.derivePrimary()
}

// continueFrom takes over what another watch knows about the member. Its polls begin anew.
func (m *member) continueFrom(o *member) {
	info, wake := m.info, m.wake
	*m = *o
	m.info, m.wake = info, wake
	m.pollStarted, m.pollEnded, m.followRequested = time.Time{}, time.Time{}, time.Time{}
	m.checkRequested, m.statusChanged, m.appliedWaiters = false, false, nil
}

// sameMember returns the member with the name and control address of info, or nil.
func (s *service) sameMember(info platform.Member) *member {
	i := slices.IndexFunc(s.members, func(m *member) bool {
		return m.info.Name == info.Name && m.info.ControlAddr == info.ControlAddr
	})
	if i < 0 {
		return nil
	}
	return s.members[i]
}

// hasSuccessorOf reports whether the list has the member, or another one at its address.
func (s *service) hasSuccessorOf(o *member) bool {
	return slices.ContainsFunc(s.listed(), func(m *member) bool { return m.info.ControlAddr == o.info.ControlAddr })
}

// stillCounts reports whether the member, if the platform lists it no more, has to be watched all the same.
func (s *service) stillCounts(m *member, now time.Time) bool {
	switch {
	case !m.known:
		return false
	case m.reachable() && m.heardWithin(now, detectionTime):
		return true
	}
	return s.syncReplicas() > 0 && !s.heldWithout(m)
}

// heldWithout reports whether enough listed members have received, since the given one vanished from the list, all that the primary
// had, so that every acknowledged write is among them.
func (s *service) heldWithout(m *member) bool {
	p := s.primary
	if p == nil || p.unlisted || !p.reachable() || m.unlistedAt.IsZero() {
		return false
	}
	n := 0
	for _, o := range s.listed() {
		if o != p && o.receivedAt.After(m.unlistedAt) {
			n++
		}
	}
	return n >= s.syncReplicas()
}

// dropsUnlisted reports whether a member that the platform lists no more need not be watched any longer.
func (s *service) dropsUnlisted(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.members[s.listedCount:], func(m *member) bool { return !s.stillCounts(m, now) })
}
