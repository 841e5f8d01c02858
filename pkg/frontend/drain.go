package frontend

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Drain refuses new callers with SQLSTATE 57P01 and closes each session after its current unit or transaction, idle
// ones after the grace period. Shortly before ctx ends, or when ctx ends without a deadline, idle transactions are
// rolled back and units in progress are cancelled. It returns nil once no session is left, and an error if units are
// still in progress shortly after the end of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining.Store(true)
	s.mu.Unlock()
	defer s.closeOnce.Do(func() {
		s.closeListeners()
		s.runners.close()
	})
	grace := time.NewTimer(s.options.DrainGrace)
	defer grace.Stop()
	retry := time.NewTicker(callerCheckInterval)
	defer retry.Stop()
	ctxDone, reserveBegins, ending := ctx.Done(), unit.UntilCancel(ctx), false
	var giveUp <-chan time.Time
	end, _ := ctx.Deadline()
	for {
		s.mu.Lock()
		n, changed := len(s.sessions), s.sessionEnded
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-grace.C:
			s.closeIdle(false)
			continue
		case <-reserveBegins:
			ending = true
			s.cancelUnits(unit.NewStopError(end))
		case <-ctxDone:
			ctxDone, ending = nil, true
			giveUp = time.After(callerCheckInterval)
			s.cancelUnits(&unit.StopError{AnswerBefore: time.Now()})
		case <-retry.C:
		case <-giveUp:
			if s.closeIdle(true) > 0 {
				return errkind.Wrap(errkind.Draining, ctx.Err(), "units of work of callers are still in progress")
			}
			return nil
		}
		if ending {
			s.closeIdle(true)
		}
	}
}

// closeListeners closes the listeners and ends watchCallers.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	close(s.drained)
}

// closeIdle makes idle sessions close, with includeTx also those that are idle in a transaction. It returns the
// number of sessions that run a unit.
func (s *Server) closeIdle(includeTx bool) (busy int) {
	for _, c := range s.allSessions() {
		if c.closeIfIdle(includeTx) {
			busy++
		}
	}
	return busy
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, c := range s.sessions {
		all = append(all, c)
	}
	return all
}
