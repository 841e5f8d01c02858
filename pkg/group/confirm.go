package group

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// rounds shares confirmation rounds between calls: a call takes part in the next round that starts, never in one
// that has already sent requests.
type rounds struct {
	next    *round
	running bool
}

type round struct {
	done chan struct{}
	term platform.Term
	err  error
}

// ConfirmPrimary asks all members and returns the primary's term once a majority has reported, in requests sent after
// the call, that it holds no fence above it: at the time of the call that primary had not been replaced. The error is
// of kind NoPrimary.
func (w *Watcher) ConfirmPrimary(ctx context.Context, name string) (platform.Term, error) {
	s, err := w.service(name)
	if err != nil {
		return 0, err
	}
	r := s.joinRound()
	select {
	case <-r.done:
		return r.term, r.err
	case <-ctx.Done():
		return 0, errkind.Wrap(errkind.NoPrimary, ctx.Err(), "no majority confirmed the primary of %q", name)
	case <-s.ctx.Done():
		return 0, errkind.New(errkind.NoPrimary, "service %q is no longer watched", name)
	}
}

func (s *service) joinRound() *round {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.use(time.Now())
	c := &s.rounds
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	r := c.next
	if !c.running {
		c.running = true
		s.spawn(s.runRounds)
	}
	return r
}

func (s *service) runRounds() {
	for {
		s.mu.Lock()
		r := s.rounds.next
		s.rounds.next = nil
		s.rounds.running = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		r.term, r.err = s.confirm()
		close(r.done)
	}
}

// confirm runs one round. It ends as soon as a majority confirms.
func (s *service) confirm() (platform.Term, error) {
	answers := s.askAll()
	fences := make([]platform.Status, 0, len(s.members))
	for range s.members {
		a := <-answers
		if a.err != nil {
			continue
		}
		fences = append(fences, a.status)
		if term, ok := s.confirmedBy(fences); ok {
			return term, nil
		}
	}
	return 0, errkind.New(errkind.NoPrimary, "no majority of %q confirms a primary", s.name)
}

func (s *service) confirmedBy(fences []platform.Status) (platform.Term, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range fences {
		if quorum.ConfirmsTerm(st, s.term) {
			n++
		}
	}
	return s.term, s.primary != nil && n >= quorum.Majority(len(s.members))
}

type answer struct {
	member *member
	status platform.Status
	err    error
}

// askAll sends a status request to every member. Each gives one answer on the returned channel, which is buffered.
func (s *service) askAll() <-chan answer {
	answers := make(chan answer, len(s.members))
	for _, m := range s.members {
		s.mu.Lock()
		s.spawn(func() {
			st, err := s.call(s.ctx, m, callTimeout, s.plainStatus)
			answers <- answer{m, st, err}
		})
		if s.stopped {
			answers <- answer{m, platform.Status{}, context.Canceled}
		}
		s.mu.Unlock()
	}
	return answers
}

func (s *service) plainStatus(ctx context.Context, info platform.Member) (platform.Status, error) {
	s.w.stats.polls.Add(1)
	return s.w.opts.Control.Status(ctx, info, platform.StatusWait{})
}
