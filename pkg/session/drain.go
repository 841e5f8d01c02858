package session

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// drainPhase says which sessions are to end before they read another statement. It only increases.
type drainPhase int32

const (
	serving            drainPhase = iota
	endingIdleSessions            // those outside transactions
	endingTransactions            // all
)

// Drain ends the service within the time that ctx leaves, one minute if ctx has no deadline. It serves callers as before
// for the drain grace, at most a third of the time, and then closes each caller that is outside a transaction. In the last
// third of the time it also closes callers that idle in a transaction, which is rolled back. Statements in progress finish,
// or are cancelled shortly before the end. It returns nil once no caller is left, or if at the end only callers are left
// that have got all their answers.
func (s *Server) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(time.Minute)
	}
	start := time.Now()
	s.drainEnd.Store(&end)
	s.logDrain("serving as before", start)
	sleepUntil(ctx, start.Add(min(s.opts.DrainGrace, end.Sub(start)/3)))
	s.close()
	s.logDrain("asking callers outside transactions to leave", start)
	s.enter(endingIdleSessions)
	if !s.waitUntilEmpty(ctx, start.Add(end.Sub(start)*2/3)) {
		s.logDrain("asking callers that idle in a transaction to leave", start)
		s.enter(endingTransactions)
	}
	if !s.waitUntilEmpty(ctx, unit.CancelTime(start, end)) {
		s.logDrain("cancelling statements in progress", start)
		s.cancelUnits(unit.NewStopError(end))
	}
	if s.waitUntilEmpty(ctx, end) {
		s.logDrain("ended", start)
		return nil
	}
	s.logDrain("ended by its limit", start)
	s.logUnanswered()
	if n := s.countCallers().executing; n > 0 {
		return errkind.New(errkind.Draining, "statements of %d callers are still in progress", n)
	}
	return nil
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}

func (s *Server) drainingError() error {
	return errkind.New(errkind.Draining, "entry VM %s is stopping", s.opts.VMName)
}

// sleepUntil waits until the given time or until ctx ends.
func sleepUntil(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// waitUntilEmpty waits until no caller is left, at most until the given time or the end of ctx, and reports whether none is
// left then. It is called once the server is closing, so that no caller is added.
func (s *Server) waitUntilEmpty(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		s.mu.Lock()
		n, callerLeft := len(s.callers), s.callerLeft
		s.mu.Unlock()
		if n == 0 {
			return true
		}
		select {
		case <-callerLeft:
		case <-t.C:
			return s.Connections() == 0
		case <-ctx.Done():
			return s.Connections() == 0
		}
	}
}

// enter begins a phase of the drain. Sessions that are to end and wait for a statement are woken; the others read the phase
// before they wait.
func (s *Server) enter(p drainPhase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase.Store(max(s.phase.Load(), int32(p)))
	for c := range s.callers {
		c.wake(p)
	}
}

// callerCounts counts the callers of a server by what their sessions are doing.
type callerCounts struct {
	starting, idle, idleInTransaction, executing, leaving int
}

func (s *Server) countCallers() callerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n callerCounts
	for c := range s.callers {
		c.mu.Lock()
		switch {
		case c.state == callerStarting:
			n.starting++
		case c.state == callerExecuting:
			n.executing++
		case c.state == callerLeaving:
			n.leaving++
		case c.inTx:
			n.idleInTransaction++
		default:
			n.idle++
		}
		c.mu.Unlock()
	}
	return n
}

// logDrain logs a step of a drain that began at start.
func (s *Server) logDrain(step string, start time.Time) {
	n := s.countCallers()
	s.opts.Log.WithFields(logrus.Fields{
		"step": step, "after": time.Since(start).Round(time.Millisecond).String(), "starting": n.starting, "idle": n.idle,
		"idle_in_transaction": n.idleInTransaction, "executing": n.executing, "leaving": n.leaving,
	}).Info("draining callers")
}

// maxUnansweredLogged bounds the statements that logUnanswered logs one by one.
const maxUnansweredLogged = 16

// logUnanswered logs the statements that have not been answered.
func (s *Server) logUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	logged := 0
	for c := range s.callers {
		c.mu.Lock()
		if c.state == callerExecuting && logged < maxUnansweredLogged {
			logged++
			s.opts.Log.WithFields(logrus.Fields{
				"request": c.request, "database": c.database, "took": time.Since(c.requestRead).Round(time.Millisecond).String(),
			}).Warn("statement is not answered at the end of the drain")
		}
		c.mu.Unlock()
	}
}
