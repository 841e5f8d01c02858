package peer

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// refusalPeriod is how long a server that shuts down refuses units before it closes the connections, so that units
	// that cross with the shutdown are answered as not run. It covers the round trip between regions.
	refusalPeriod = 200 * time.Millisecond
	// answerReserve is the time before the end of a shutdown at which running units are cancelled, so that their senders
	// are still told the outcome.
	answerReserve = 500 * time.Millisecond
	// writeReserve is the part of answerReserve in which answers are written.
	writeReserve = 200 * time.Millisecond
	// answerReserveDivisor bounds answerReserve to a part of a short shutdown.
	answerReserveDivisor = 3
)

// Shutdown refuses new units as not run, waits for the running ones, which it cancels answerReserve before ctx ends, and
// closes the server. It does not close before refusalPeriod has passed unless ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	defer s.Close()
	refusalEnd := time.After(refusalPeriod)
	ended := s.refuseUnits()
	reserve := untilAnswerReserve(ctx)
	for ended != nil || refusalEnd != nil {
		select {
		case <-ended:
			ended = nil
		case <-refusalEnd:
			refusalEnd = nil
		case <-reserve:
			end, _ := ctx.Deadline()
			s.cancelUnits(end.Add(-writeReserve))
		case <-ctx.Done():
			return
		}
	}
}

// untilAnswerReserve returns a channel that receives when the answer reserve of a shutdown that begins now begins. It is nil
// if ctx has no deadline.
func untilAnswerReserve(ctx context.Context) <-chan time.Time {
	end, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	left := time.Until(end)
	return time.After(left - min(answerReserve, left/answerReserveDivisor))
}

// refuseUnits makes the server refuse units and returns a channel that is closed once no unit is running.
func (s *Server) refuseUnits() (ended <-chan struct{}) {
	s.mu.Lock()
	s.refusing = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.units.Wait()
		close(done)
	}()
	return done
}

// beginUnit counts a unit as running unless units are refused.
func (s *Server) beginUnit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return false
	}
	s.units.Add(1)
	return true
}

// cancelUnits cancels the running units, whose senders must have an answer before the given time. Their connections stay open
// for the results.
func (s *Server) cancelUnits(answerBefore time.Time) {
	for _, c := range s.connections() {
		c.cancelUnits(&unit.StopError{AnswerBefore: answerBefore})
	}
}

// refuseUnit answers that a unit was not run since the server shuts down. A transaction that the unit belongs to is rolled
// back.
func (c *serverConn) refuseUnit(r *unitRun) {
	r.cancel()
	c.mu.Lock()
	delete(c.running, r.id)
	c.mu.Unlock()
	res := unit.NotRun(errkind.New(errkind.Draining, "entry VM %s is stopping", c.server.opts.Self.Name))
	if r.unit.Tx.Open() {
		res.Err = errkind.New(errkind.TransactionLost, "entry VM %s, which held the transaction's connection, is stopping", c.server.opts.Self.Name)
	}
	c.server.startGoroutine(func() {
		if r.unit.Tx.Open() {
			c.server.rollback(c.session, r.unit.Tx)
		}
		r.sendResult(&res)
	})
}
