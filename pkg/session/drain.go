package session

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Drain ends the service within the time that ctx leaves, one minute if ctx has no deadline. It serves callers as before
// for the drain grace, at most a third of the time, and then closes each caller that is outside a transaction. In the last
// third of the time it also closes callers that idle in a transaction, which is rolled back; statements in progress still
// finish. It returns nil once no caller is left.
func (s *Server) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(time.Minute)
	}
	start := time.Now()
	if !s.waitUntilEmpty(ctx, start.Add(min(s.opts.DrainGrace, end.Sub(start)/3))) {
		s.close()
		s.interrupt(false)
		if !s.waitUntilEmpty(ctx, start.Add(end.Sub(start)*2/3)) {
			s.interrupt(true)
		}
	}
	if s.waitUntilEmpty(ctx, end) {
		s.close()
		return nil
	}
	return errkind.New(errkind.Draining, "statements of %d callers are still in progress", s.Connections())
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

// waitUntilEmpty waits until the server is closing and no caller is left, at most until the given time. It reports whether
// no caller is left then, and false if ctx ends first.
func (s *Server) waitUntilEmpty(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		s.mu.Lock()
		n, callerLeft, closing := len(s.callers), s.callerLeft, s.closing
		s.mu.Unlock()
		if n == 0 && closing {
			return true
		}
		select {
		case <-callerLeft:
		case <-t.C:
			return n == 0
		case <-ctx.Done():
			return false
		}
	}
}

// interrupt asks the callers outside transactions to leave, and with transactions set also those in one. Callers that wait
// for a statement are woken.
func (s *Server) interrupt(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		c.interrupt(transactions)
	}
}
