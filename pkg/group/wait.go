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
	require unit.Requirement
	done    chan struct{}
}

// demand tells what kind of poll the waits on a member need.
type demand uint8

const (
	demandNone    demand = iota
	demandEntries        // a long poll returns when the awaited entry arrives
	demandState          // a long poll cannot tell
)

// WaitAcknowledged returns nil once a majority holds the write that the primary of term reported at position to the
// connection that made it (D2). It returns an error of kind RequestOutcomeUnknown when ctx ends, or when a majority has been fenced
// above the term, so that no new report can count.
func (w *Watcher) WaitAcknowledged(ctx context.Context, name string, term platform.Term, pos platform.Position) error {
	s, err := w.service(name)
	if err != nil {
		return err
	}
	a := &ackWaiter{term: term, position: pos, done: make(chan error, 1)}
	s.addAck(a)
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.acks {
		if o == a {
			s.acks = append(s.acks[:i], s.acks[i+1:]...)
			return errkind.Wrap(errkind.RequestOutcomeUnknown, ctx.Err(), "write %d/%d on %q has no majority yet", term, pos, name)
		}
	}
	return <-a.done // it was completed meanwhile
}

func (s *service) addAck(a *ackWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.use(now)
	cold := now.Sub(s.lastWrite) >= activeFor
	s.lastWrite = now
	for _, m := range s.members {
		// The caller's connection is proof of the primary's own entry.
		if m.known && m.status.Role == platform.RolePrimary && quorum.EffectiveTerm(m.status) == a.term {
			s.count(m, platform.Status{FencedTerm: a.term, LastTerm: a.term, LastPosition: a.position})
		}
	}
	if s.stopped {
		a.done <- errkind.New(errkind.RequestOutcomeUnknown, "service %q is no longer watched", s.name)
		return
	}
	s.acks = append(s.acks, a)
	s.completeAcks()
	if cold || len(s.acks) == 1 {
		s.wakeAll()
	}
}

// count keeps the report of m that counts for the most: one that counted once counts for good.
func (s *service) count(m *member, st platform.Status) {
	if quorum.CountsFor(st, st.LastTerm) && quorum.AtLeastAsNew(st, m.counted) {
		m.counted = st
	}
}

// completeAcks ends the waits that a majority covers, and those that can no longer end well.
func (s *service) completeAcks() {
	if len(s.acks) == 0 {
		return
	}
	reports := make([]platform.Status, len(s.members))
	for i, m := range s.members {
		reports[i] = m.counted
	}
	kept := s.acks[:0]
	for _, a := range s.acks {
		switch {
		case quorum.Acknowledged(reports, len(s.members), a.term, a.position):
			a.done <- nil
		case s.replaced(a.term):
			a.done <- errkind.New(errkind.RequestOutcomeUnknown, "the primary of term %d of %q was replaced before a majority "+
				"reported position %d", a.term, s.name, a.position)
		default:
			kept = append(kept, a)
		}
	}
	clear(s.acks[len(kept):])
	s.acks = kept
}

// replaced reports whether a majority holds a fence above term.
func (s *service) replaced(term platform.Term) bool {
	n := 0
	for _, m := range s.members {
		if m.known && quorum.RejectsTerm(m.status, term) {
			n++
		}
	}
	return n >= quorum.Majority(len(s.members))
}

// demand returns the kind of poll that the waits on m need now.
func (s *service) demand(m *member) demand {
	d := demandNone
	for _, a := range m.applied {
		if !quorum.Covers(m.status, a.require) {
			d = max(d, wanted(m.status, a.require.Term, a.require.Position))
		}
	}
	for _, a := range s.acks {
		counts := m.counted.LastTerm == a.term && m.counted.LastPosition >= a.position
		if d == demandState || counts || !quorum.ConfirmsTerm(m.status, a.term) {
			continue
		}
		d = max(d, wanted(m.status, a.term, a.position))
	}
	return d
}

func wanted(st platform.Status, term platform.Term, pos platform.Position) demand {
	if st.LastTerm == term && st.LastPosition < pos {
		return demandEntries
	}
	return demandState
}

// WaitApplied returns nil once the member covers the requirement (D4), or an error of kind ReadNotCovered when ctx ends.
func (w *Watcher) WaitApplied(ctx context.Context, name, memberName string, r unit.Requirement) error {
	s, err := w.service(name)
	if err != nil {
		return err
	}
	m := s.member(memberName)
	if m == nil {
		return errkind.New(errkind.NoMember, "service %q has no member %q", name, memberName)
	}
	a := &appliedWaiter{require: r, done: make(chan struct{})}
	if s.addApplied(m, a) {
		return nil
	}
	defer s.removeApplied(m, a)
	select {
	case <-a.done:
		return nil
	case <-s.ctx.Done():
		return errkind.New(errkind.ReadNotCovered, "service %q is no longer watched", name)
	case <-ctx.Done():
		return errkind.Wrap(errkind.ReadNotCovered, ctx.Err(), "%s has not applied %d/%d", memberName, r.Term, r.Position)
	}
}

func (s *service) member(name string) *member {
	for _, m := range s.members {
		if m.info.Name == name {
			return m
		}
	}
	return nil
}

func (s *service) addApplied(m *member, a *appliedWaiter) (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.use(time.Now())
	if m.known && quorum.Covers(m.status, a.require) {
		return true
	}
	m.applied = append(m.applied, a)
	m.wakeUp()
	return false
}

func (s *service) removeApplied(m *member, a *appliedWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range m.applied {
		if o == a {
			m.applied = append(m.applied[:i], m.applied[i+1:]...)
			return
		}
	}
}

func (m *member) completeApplied() {
	kept := m.applied[:0]
	for _, a := range m.applied {
		if quorum.Covers(m.status, a.require) {
			close(a.done)
			continue
		}
		kept = append(kept, a)
	}
	clear(m.applied[len(kept):])
	m.applied = kept
}

// MajorityAnswered reports whether a majority of the members, none of them fenced above the primary's term, answered
// within the given time. It counts as traffic: the service is polled at the fast interval for some time after.
func (w *Watcher) MajorityAnswered(name string, within time.Duration) bool {
	s, err := w.service(name)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.use(now)
	n := 0
	for _, m := range s.members {
		if m.answeredWithin(now, within) && quorum.ConfirmsTerm(m.status, s.term) {
			n++
		}
	}
	return s.primary != nil && n >= quorum.Majority(len(s.members))
}
