package group

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// ackWaiter waits until the write at (term, position) is acknowledged by a majority.
type ackWaiter struct {
	term     platform.Term
	position platform.Position
	done     chan error // capacity 1
}

// appliedWaiter waits until a member covers a requirement.
type appliedWaiter struct {
	requirement unit.Requirement
	done        chan struct{}
}

// pollKind is the kind of poll that a member needs for the waiters on it. The constants are ordered: polls of a later kind
// also serve the waiters that need an earlier kind, so that the latest kind needed is used.
type pollKind uint8

const (
	regularPoll       pollKind = iota
	longPollForEntry           // the member has not received the entry; a long poll returns when it does
	plainPollForState          // only plain polls show the awaited state, such as an applied position
)

// WaitAcknowledged returns nil once a majority of the members holds the write that the primary of term reported at pos to
// the connection that made it, see quorum.Acknowledged. The error is of kind RequestOutcomeUnknown if ctx ends first, or
// if a majority has been fenced above the term, so that no new report can count.
func (w *Watcher) WaitAcknowledged(ctx context.Context, name string, term platform.Term, pos platform.Position) error {
	s, err := w.service(name)
	if err != nil {
		return err
	}
	waiter := &ackWaiter{term: term, position: pos, done: make(chan error, 1)}
	s.addAckWaiter(waiter)
	select {
	case err := <-waiter.done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.ackWaiters {
		if other == waiter {
			s.ackWaiters = append(s.ackWaiters[:i], s.ackWaiters[i+1:]...)
			return errkind.Wrap(errkind.RequestOutcomeUnknown, ctx.Err(), "write at term %d, position %d on service %q was not acknowledged by a majority in time", term, pos, name)
		}
	}
	return <-waiter.done // the wait has been completed meanwhile
}

// addAckWaiter adds waiter to the waiters, unless it completes at once, and wakes the polls if they may be too slow for it.
func (s *service) addAckWaiter(waiter *ackWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.noteTraffic(now)
	noRecentWrite := now.Sub(s.lastWrite) >= activeWindow
	s.lastWrite = now
	for _, m := range s.members {
		// The answer on the caller's connection proves that the primary itself holds the entry.
		if m.known && m.status.Role == platform.RolePrimary && quorum.EffectiveTerm(m.status) == waiter.term {
			s.keepBestReport(m, platform.Status{FencedTerm: waiter.term, LastTerm: waiter.term, LastPosition: waiter.position})
		}
	}
	if s.stopped {
		waiter.done <- errkind.New(errkind.RequestOutcomeUnknown, "service %q is no longer watched by this entry VM", s.name)
		return
	}
	s.ackWaiters = append(s.ackWaiters, waiter)
	s.completeAckWaiters()
	if noRecentWrite || len(s.ackWaiters) == 1 {
		s.wakeAllPolls()
	}
}

// keepBestReport keeps st if it counts towards acknowledgements and covers at least as much as the report kept
// before. A report that counted once always counts.
func (s *service) keepBestReport(m *member, st platform.Status) {
	if quorum.CountsFor(st, st.LastTerm) && quorum.LogAtLeastAsNew(st, m.bestReport) {
		m.bestReport = st
	}
}

// completeAckWaiters completes the waiters for writes that a majority holds, and the waiters that can no longer succeed.
func (s *service) completeAckWaiters() {
	if len(s.ackWaiters) == 0 {
		return
	}
	reports := make([]platform.Status, 0, len(s.members))
	for _, m := range s.members {
		if m.counts() {
			reports = append(reports, m.bestReport)
		}
	}
	kept := s.ackWaiters[:0]
	for _, waiter := range s.ackWaiters {
		switch {
		case quorum.Acknowledged(reports, len(reports), waiter.term, waiter.position):
			waiter.done <- nil
		case s.termReplaced(waiter.term):
			waiter.done <- errkind.New(errkind.RequestOutcomeUnknown, "the primary of term %d of service %q was replaced before a majority "+
				"reported position %d", waiter.term, s.name, waiter.position)
		default:
			kept = append(kept, waiter)
		}
	}
	clear(s.ackWaiters[len(kept):])
	s.ackWaiters = kept
}

// termReplaced reports whether a majority holds a fence above term.
func (s *service) termReplaced(term platform.Term) bool {
	n := 0
	for _, m := range s.members {
		if m.known && quorum.RejectsTerm(m.status, term) {
			n++
		}
	}
	return n >= s.majority()
}

// neededPoll returns the kind of poll that the current waiters need from m.
func (s *service) neededPoll(m *member) pollKind {
	kind := regularPoll
	for _, waiter := range m.appliedWaiters {
		if !quorum.MayServeRead(m.status, waiter.requirement) {
			kind = max(kind, pollKindFor(m.status, waiter.requirement.Term, waiter.requirement.Position))
		}
	}
	for _, waiter := range s.ackWaiters {
		alreadyCounted := m.bestReport.LastTerm == waiter.term && m.bestReport.LastPosition >= waiter.position
		if kind == plainPollForState || alreadyCounted || !quorum.ConfirmsTerm(m.status, waiter.term) {
			continue
		}
		kind = max(kind, pollKindFor(m.status, waiter.term, waiter.position))
	}
	return kind
}

// pollKindFor returns the kind of poll that shows as soon as possible that a member with status st has reached
// position pos of term.
func pollKindFor(st platform.Status, term platform.Term, pos platform.Position) pollKind {
	if st.LastTerm == term && st.LastPosition < pos {
		return longPollForEntry
	}
	return plainPollForState
}

// WaitApplied returns nil once the member has applied enough to serve a read that requires r, see quorum.MayServeRead. The
// error is of kind ReadNotCovered if ctx ends first.
func (w *Watcher) WaitApplied(ctx context.Context, name, memberName string, r unit.Requirement) error {
	s, err := w.service(name)
	if err != nil {
		return err
	}
	m := s.member(memberName)
	if m == nil {
		return errkind.New(errkind.NoMember, "service %q has no member %q", name, memberName)
	}
	waiter := &appliedWaiter{requirement: r, done: make(chan struct{})}
	if s.addAppliedWaiter(m, waiter) {
		return nil
	}
	defer s.removeAppliedWaiter(m, waiter)
	select {
	case <-waiter.done:
		return nil
	case <-s.ctx.Done():
		return errkind.New(errkind.ReadNotCovered, "service %q is no longer watched by this entry VM", name)
	case <-ctx.Done():
		return errkind.Wrap(errkind.ReadNotCovered, ctx.Err(), "member %s has not applied term %d, position %d in time", memberName, r.Term, r.Position)
	}
}

// member returns the named member, or nil if the service has none of that name.
func (s *service) member(name string) *member {
	for _, m := range s.members {
		if m.info.Name == name {
			return m
		}
	}
	return nil
}

// addAppliedWaiter adds waiter to the waiters on m. It reports true, and adds nothing, if m covers the requirement already.
func (s *service) addAppliedWaiter(m *member, waiter *appliedWaiter) (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteTraffic(time.Now())
	if m.known && quorum.MayServeRead(m.status, waiter.requirement) {
		return true
	}
	m.appliedWaiters = append(m.appliedWaiters, waiter)
	m.wakePolls()
	return false
}

// removeAppliedWaiter removes waiter from the waiters on m, if it is still there.
func (s *service) removeAppliedWaiter(m *member, waiter *appliedWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range m.appliedWaiters {
		if other == waiter {
			m.appliedWaiters = append(m.appliedWaiters[:i], m.appliedWaiters[i+1:]...)
			return
		}
	}
}

// completeAppliedWaiters completes the waiters whose requirement the member covers.
func (m *member) completeAppliedWaiters() {
	kept := m.appliedWaiters[:0]
	for _, waiter := range m.appliedWaiters {
		if quorum.MayServeRead(m.status, waiter.requirement) {
			close(waiter.done)
			continue
		}
		kept = append(kept, waiter)
	}
	clear(m.appliedWaiters[len(kept):])
	m.appliedWaiters = kept
}

// MajorityAnswered reports whether a majority of the members answered this VM within the given time and, when they did,
// held no fence above the primary's term. The call counts as traffic, which shortens the poll interval for some time.
func (w *Watcher) MajorityAnswered(name string, within time.Duration) bool {
	s, err := w.service(name)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.noteTraffic(now)
	n := 0
	for _, m := range s.members {
		if m.answeredDirectlyWithin(now, within) && quorum.ConfirmsTerm(m.status, s.term) {
			n++
		}
	}
	return s.primary != nil && n >= s.majority()
}
