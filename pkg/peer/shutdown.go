package peer

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// refusalPeriod is how long a server that shuts down refuses units before it closes the connections, so that units that cross
// with the shutdown are answered as not run. It covers the round trip between regions.
const refusalPeriod = 200 * time.Millisecond

// Shutdown refuses new units as not run, waits for the running ones, which it cancels shortly before ctx ends, and
// closes the server. It does not close before refusalPeriod has passed unless ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	defer s.Close()
	refusalEnd := time.After(refusalPeriod)
	ended := s.refuseUnits()
	reserve := unit.UntilCancel(ctx)
	for ended != nil || refusalEnd != nil {
		select {
		case <-ended:
			ended = nil
		case <-refusalEnd:
			refusalEnd = nil
		case <-reserve:
			end, _ := ctx.Deadline()
			s.cancelUnits(unit.NewStopError(end))
		case <-ctx.Done():
			return
		}
	}
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

// cancelUnits cancels the running units. Their connections stay open for the results.
func (s *Server) cancelUnits(cause *unit.StopError) {
	for _, c := range s.connections() {
		c.cancelUnits(cause)
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
