package group

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// confirmRounds lets concurrent calls of ConfirmPrimary share requests. A call takes part in the next round that
// starts, never in one that has already sent requests.
type confirmRounds struct {
	next    *confirmRound
	running bool
}

// confirmRound is one round of status requests to all members. term and err are valid once done is closed.
type confirmRound struct {
	done chan struct{}
	term platform.Term
	err  error
}

// ConfirmPrimary asks all members and returns the primary's term once a majority has reported, in answer to requests
// sent after the call, that it holds no fence above that term. This proves that the primary had not been replaced at
// the time of the call. Otherwise the error is of kind NoPrimary.
func (w *Watcher) ConfirmPrimary(ctx context.Context, name string) (platform.Term, error) {
	s, err := w.service(name)
	if err != nil {
		return 0, err
	}
	r := s.joinConfirmRound()
	select {
	case <-r.done:
		return r.term, r.err
	case <-ctx.Done():
		return 0, errkind.Wrap(errkind.NoPrimary, ctx.Err(), "no majority confirmed the primary of service %q", name)
	case <-s.ctx.Done():
		return 0, errkind.New(errkind.NoPrimary, "service %q is no longer watched by this entry VM", name)
	}
}

// joinConfirmRound returns the next round and makes sure that it will run.
func (s *service) joinConfirmRound() *confirmRound {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteTraffic(time.Now())
	rounds := &s.rounds
	if rounds.next == nil {
		rounds.next = &confirmRound{done: make(chan struct{})}
	}
	r := rounds.next
	if !rounds.running {
		rounds.running = true
		s.spawn(s.confirmLoop)
	}
	return r
}

// confirmLoop runs rounds until no call waits for the next one.
func (s *service) confirmLoop() {
	for {
		s.mu.Lock()
		r := s.rounds.next
		s.rounds.next = nil
		s.rounds.running = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		r.term, r.err = s.runConfirmRound()
		close(r.done)
	}
}

// runConfirmRound asks all members and returns the primary's term as soon as a majority confirms it.
func (s *service) runConfirmRound() (platform.Term, error) {
	answers := s.askAllMembers()
	statuses := make([]platform.Status, 0, len(s.members))
	for range s.members {
		a := <-answers
		if a.err != nil {
			continue
		}
		statuses = append(statuses, a.status)
		if term, ok := s.confirmedBy(statuses); ok {
			return term, nil
		}
	}
	return 0, errkind.New(errkind.NoPrimary, "no majority of the members of service %q confirms a primary", s.name)
}

// confirmedBy returns the primary's term and whether the given statuses, one per member, confirm it by a majority.
func (s *service) confirmedBy(statuses []platform.Status) (platform.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range statuses {
		if quorum.ConfirmsTerm(st, s.term) {
			n++
		}
	}
	return s.term, s.primary != nil && n >= s.majority()
}

// statusAnswer is the outcome of one member's status request.
type statusAnswer struct {
	member *member
	status platform.Status
	err    error
}

// askAllMembers sends a status request to every member. The returned channel gets one answer for each member and is
// buffered, so that it need not be drained.
func (s *service) askAllMembers() <-chan statusAnswer {
	answers := make(chan statusAnswer, len(s.members))
	for _, m := range s.members {
		s.mu.Lock()
		s.spawn(func() {
			st, err := s.call(s.ctx, m, callTimeout, s.plainStatus)
			answers <- statusAnswer{m, st, err}
		})
		if s.stopped {
			answers <- statusAnswer{m, platform.Status{}, context.Canceled}
		}
		s.mu.Unlock()
	}
	return answers
}

func (s *service) plainStatus(ctx context.Context, info platform.Member) (platform.Status, error) {
	s.watcher.stats.polls.Add(1)
	return s.watcher.opts.Control.Status(ctx, info, platform.StatusWait{})
}
