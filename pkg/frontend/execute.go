package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// runUnit answers the unit that has been read. It returns false when the connection must be closed.
func (c *session) runUnit() bool {
	w := c.w
	a := &w.asm
	w.sink = sink{c: c}
	switch {
	case a.skip:
		c.failTransaction()
	case a.refuse != nil:
		w.out = appendErr(w.out, "ERROR", a.refuse)
		c.forgetParsed(0)
		c.failTransaction()
	case c.lost:
		c.answerLost()
	case a.local && a.remote:
		w.out = appendErr(w.out, "ERROR", errkind.New(errkind.Unsupported, "SET and SHOW of session parameters must be sent in a unit of their own"))
		c.forgetParsed(0)
		c.failTransaction()
	case a.local || !a.remote && !c.inTransaction():
		c.answerLocally()
	default:
		if !c.execute() {
			return false
		}
	}
	w.out = appendReady(w.out, c.txStatus)
	return c.flushOut(time.Time{}) == nil
}

// failTransaction rolls the open transaction back after a unit in it was refused, as an error at the member does: a
// COMMIT that the caller has sent already must not commit the statements before the refused one.
func (c *session) failTransaction() {
	if !c.inTransaction() || c.lost {
		return
	}
	if c.tx.Open() {
		c.srv.o.Executor.Rollback(c.tx)
	}
	c.tx, c.lost, c.txStatus = unit.TxRef{}, true, 'E'
}

// forgetParsed drops the statements whose Parse did not succeed.
func (c *session) forgetParsed(done int) {
	p := c.w.asm.parsed
	for _, name := range p[min(done, len(p)):] {
		c.dropStatement(name)
	}
}

// execute passes the unit to the executor. It returns false when the answer broke off within a message.
func (c *session) execute() bool {
	w := c.w
	class, err := c.prepare()
	if err != nil {
		if class.Name != "" {
			c.srv.o.Observe(class.Name, errkind.OutcomeNotRun, errkind.Of(err).Code, 0)
		}
		w.out = appendErr(w.out, "ERROR", err)
		c.forgetParsed(0)
		c.failTransaction()
		return true
	}
	u := &w.unit
	start := time.Now()
	u.Arrived = start
	ctx, cancel := c.begin(start, unitTimeout(class.Target))
	before := c.tx
	res := c.srv.runners.execute(ctx, u, &w.sink)
	code := resultCode(ctx, res)
	c.settle(u, before, res)
	c.finish(cancel)
	c.srv.o.Observe(class.Name, res.Outcome, code, time.Since(start))
	c.forgetParsed(w.sink.parsedNamed(w.asm.unnamed))
	if w.sink.failed || w.sink.inMessage() {
		return false
	}
	if res.Err != nil {
		w.out = appendErr(w.out, "ERROR", res.Err)
	} else if res.Outcome == errkind.OutcomeDone && res.Term != 0 {
		c.advanceToken(u.Service, res)
	}
	return true
}

// resultCode returns the code under which a unit is observed. A statement that was cancelled at the member ends with an
// SQL error, so its cause is known only here.
func resultCode(ctx context.Context, res unit.Result) string {
	switch {
	case res.Err != nil:
		return errkind.Of(res.Err).Code
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.DeadlineExceeded.Code
	case ctx.Err() != nil:
		return errkind.Cancelled.Code
	}
	return ""
}

// parsedNamed returns how many ParseComplete messages count for named statements.
func (s *sink) parsedNamed(unnamed bool) int {
	if unnamed {
		return max(s.parsed-1, 0)
	}
	return s.parsed
}

// settle takes over the transaction state that the unit left.
func (c *session) settle(u *unit.Unit, before unit.TxRef, res unit.Result) {
	wasOpen := c.inTransaction()
	c.tx, c.txStatus = res.Tx, res.TxStatus
	if !c.tx.Open() {
		c.txStatus = 'I'
		if before.Open() && res.Err != nil {
			c.srv.o.Executor.Rollback(before)
			if c.w.asm.cmd.kind != kindTxEnd {
				c.lost, c.txStatus = true, 'E'
			}
		}
		return
	}
	if !wasOpen {
		c.txWrite, c.service = u.Write, u.Service
	}
}

// advanceToken adds a write to the session token and reports the new token to the caller.
func (c *session) advanceToken(service string, res unit.Result) {
	c.token = c.token.With(service, res.Term, res.Position)
	text := c.token.String()
	if text == c.tokenText {
		return
	}
	c.tokenText = text
	c.w.out = appendParameter(c.w.out, ownPrefix+"token", text)
}
