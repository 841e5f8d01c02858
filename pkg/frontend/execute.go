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
	w := c.workspace
	a := &w.assembly
	w.sink = callerSink{session: c, wholeEnd: len(w.out)}
	switch {
	case a.skipToSync:
		c.failTransaction()
	case a.refusal != nil:
		w.out = appendErrorResponse(w.out, "ERROR", a.refusal)
		c.dropFailedParses(0)
		c.failTransaction()
	case c.txAborted:
		c.answerInAbortedTransaction()
	case a.hasLocal && a.hasRemote:
		w.out = appendErrorResponse(w.out, "ERROR", errkind.New(errkind.Unsupported, "session commands such as SET and SHOW cannot be sent with other statements before the same Sync"))
		c.dropFailedParses(0)
		c.failTransaction()
	case a.hasLocal || !a.hasRemote && !c.inTransaction():
		c.answerLocally()
	default:
		if !c.executeUnit() {
			return false
		}
	}
	w.out = appendReadyForQuery(w.out, c.txStatus)
	return c.flushOutput(time.Time{}) == nil
}

// failTransaction rolls the open transaction back after a unit in it was refused, as an error at the member would: a
// COMMIT that the caller has sent already must not commit the statements before the refused one.
func (c *session) failTransaction() {
	if !c.inTransaction() || c.txAborted {
		return
	}
	if c.tx.Open() {
		c.server.options.Executor.Rollback(c.tx)
	}
	c.tx, c.txAborted, c.txStatus = unit.TxRef{}, true, 'E'
}

// dropFailedParses drops the named statements of the unit whose Parse did not succeed: all but the first succeeded
// ones.
func (c *session) dropFailedParses(succeeded int) {
	names := c.workspace.assembly.parsedNames
	for _, name := range names[min(succeeded, len(names)):] {
		c.dropStatement(name)
	}
}

// executeUnit passes the unit to the executor. It returns false when the answer could not be written, or broke off
// within a message of which the caller has a part.
func (c *session) executeUnit() bool {
	w := c.workspace
	class, err := c.fillUnit()
	if err != nil {
		if class.Name != "" {
			c.server.options.ObserveRequest(class.Name, class.Target, errkind.OutcomeNotRun, errkind.Of(err).Code, 0)
		}
		w.out = appendErrorResponse(w.out, "ERROR", err)
		c.dropFailedParses(0)
		c.failTransaction()
		return true
	}
	u := &w.unit
	start := time.Now()
	u.Arrived = start
	ctx, cancel := c.beginUnit(start, unitTimeout(class.Target))
	txBefore := c.tx
	res := c.server.runners.execute(ctx, u, &w.sink)
	if stop := (*unit.StopError)(nil); res.Err != nil && errors.As(context.Cause(ctx), &stop) {
		res.Err = unit.CancelledByStop(c.server.options.VMName, u, res)
	}
	code := observedCode(ctx, res)
	c.adoptTransaction(u, txBefore, res)
	c.finishUnit(cancel)
	c.server.options.ObserveRequest(class.Name, class.Target, res.Outcome, code, time.Since(start))
	c.dropFailedParses(w.sink.namedParseCount(w.assembly.parsesUnnamed))
	incomplete := w.sink.err != nil || w.sink.inMessage()
	if w.sink.writeFailed || res.Err == nil && incomplete || !w.sink.dropPart() {
		return false
	}
	if res.Err != nil {
		w.out = appendErrorResponse(w.out, "ERROR", res.Err)
	} else if res.Outcome == errkind.OutcomeDone && res.Term != 0 {
		c.advanceToken(u.Service, res)
	}
	return true
}

// observedCode returns the code that is passed to ObserveRequest. A statement that was cancelled at the member ends with an
// SQL error, so its cause is known only from ctx.
func observedCode(ctx context.Context, res unit.Result) string {
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

// namedParseCount returns the number of ParseComplete messages that stand for named statements. parsesUnnamed tells
// that one of them stands for the unnamed statement.
func (s *callerSink) namedParseCount(parsesUnnamed bool) int {
	if parsesUnnamed {
		return max(s.parseCompletes-1, 0)
	}
	return s.parseCompletes
}

// adoptTransaction takes over the transaction state that the unit left. A transaction that the unit lost counts as
// aborted, unless the unit was to end it.
func (c *session) adoptTransaction(u *unit.Unit, txBefore unit.TxRef, res unit.Result) {
	wasOpen := c.inTransaction()
	c.tx, c.txStatus = res.Tx, res.TxStatus
	if !c.tx.Open() {
		c.txStatus = 'I'
		if txBefore.Open() && res.Err != nil {
			c.server.options.Executor.Rollback(txBefore)
			if c.workspace.assembly.command.kind != kindTransactionEnd {
				c.txAborted, c.txStatus = true, 'E'
			}
		}
		return
	}
	if !wasOpen {
		c.txWritable, c.txService = u.Write, u.Service
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
	c.workspace.out = appendParameterStatus(c.workspace.out, systemParameterPrefix+"token", text)
}
