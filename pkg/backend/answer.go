package backend

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// SQLSTATE values from the member that the pool acts on.
const (
	sqlStateReadOnly        = "25006"
	sqlStateDuplicateKey    = "23505"
	sqlStateNoStatement     = "26000"
	sqlStateStatementExists = "42P05"
)

var (
	errCopyBoth    = errors.New("member entered COPY BOTH mode, which is not supported")
	errCopyWithKey = errors.New("COPY FROM STDIN with an idempotency key is not supported")
	errSinkFailed  = errors.New("answer could not be written to its sink")
	errOutOfOrder  = errors.New("member completed Parse and Close messages out of order")
)

// readAnswer reads up to the last segment's ReadyForQuery and forwards or holds the messages of the caller's answer.
func (c *conn) readAnswer() error {
	r := &c.run
	r.pendingStart, r.pendingEnd = c.rpos, c.rpos
	for r.nextSegment < len(r.segments) {
		n, err := c.bufferedMessageBytes()
		if err != nil {
			return err
		}
		if n == 0 {
			if err := r.flushPending(c); err != nil {
				return err
			}
			if err := c.fill(); err != nil {
				return err
			}
			r.pendingStart, r.pendingEnd = c.rpos, c.rpos
			continue
		}
		start := c.rpos
		c.rpos += n
		forward, err := c.handleMessage(c.rbuf[start], c.rbuf[start+headerBytes:c.rpos])
		if err != nil {
			return err
		}
		if !forward {
			continue
		}
		if r.pendingEnd != start {
			if err := r.flushPending(c); err != nil {
				return err
			}
			r.pendingStart = start
		}
		r.pendingEnd = c.rpos
	}
	r.nextIsLast = !r.write // the end of a write's answer is held until the write is acknowledged
	return r.flushPending(c)
}

// flushPending forwards or holds the pending bytes of the read buffer.
func (r *run) flushPending(c *conn) error {
	b := c.rbuf[r.pendingStart:r.pendingEnd]
	r.pendingStart = r.pendingEnd
	if len(b) == 0 {
		return nil
	}
	if !r.holding {
		return r.sendToSink(b)
	}
	if len(r.held)+len(b) > maxHeldBytes {
		r.heldOverflow = true
		return nil
	}
	r.held = append(r.held, b...)
	return nil
}

func (r *run) sendToSink(b []byte) error {
	ctx := r.sinkContext()
	r.streamed = true
	if r.nextIsLast {
		r.sinkErr = unit.WriteLast(ctx, r.sink, b)
	} else {
		r.sinkErr = r.sink.Write(ctx, b)
	}
	if r.sinkErr != nil {
		return errSinkFailed
	}
	return nil
}

// handleMessage acts on one message from the member and reports whether it belongs to the caller's answer.
func (c *conn) handleMessage(typ byte, body []byte) (forward bool, err error) {
	r := &c.run
	switch typ {
	case 'Z':
		if len(body) > 0 {
			c.status = body[0]
		}
		if r.segments[r.nextSegment] == segUnit {
			r.nextOp = len(r.ops)
		}
		r.nextSegment++
		return false, nil
	case 'S':
		c.handleParameterStatus(body)
		return false, nil
	case 'A', 'K':
		return false, nil
	case 'W':
		return false, errCopyBoth
	case 'E':
		return c.handleErrorResponse(body)
	}
	if r.segments[r.nextSegment] != segUnit {
		return false, nil
	}
	switch typ {
	case 'G':
		return false, c.refuseCopy()
	case '1', '3':
		return c.handleStatementComplete(typ)
	}
	if r.dropAnswer {
		return false, nil
	}
	if typ == 'C' && r.predictedTag != "" {
		r.lastTag = string(cstring(body))
	}
	if r.write {
		return true, r.updateHold(c, typ)
	}
	return true, nil
}

// updateHold switches between holding and streaming the answer of a write: rows may stream, completions wait for the
// acknowledgement. Messages before the first row are held, so that the caller has received nothing if the member refuses
// the write.
func (r *run) updateHold(c *conn, typ byte) error {
	switch typ {
	case 'D', 'H':
		r.started = true
		if !r.holding || r.completed {
			return nil
		}
		if err := r.flushPending(c); err != nil {
			return err
		}
		r.holding = false
		if len(r.held) > 0 {
			err := r.sendToSink(r.held)
			r.held = r.held[:0]
			return err
		}
	case 'C', 'I', 's':
		r.started = true
		return r.holdRest(c)
	}
	return nil
}

// holdRest flushes what precedes the current message and holds the answer from there on. Later calls do nothing.
func (r *run) holdRest(c *conn) error {
	if r.completed {
		return nil
	}
	r.completed = true
	if err := r.flushPending(c); err != nil {
		return err
	}
	r.holding = true
	return nil
}

// handleStatementComplete updates the connection's statements on a ParseComplete or CloseComplete and reports whether
// the message belongs to the caller's answer.
func (c *conn) handleStatementComplete(typ byte) (forward bool, err error) {
	r := &c.run
	if r.nextOp == len(r.ops) {
		return false, errOutOfOrder
	}
	o := r.ops[r.nextOp]
	if (typ == '1') != (o.typ == 'P') {
		return false, errOutOfOrder
	}
	r.nextOp++
	if o.name != "" {
		if typ == '1' {
			c.tick++
			c.stmts[o.name] = c.tick
		} else {
			delete(c.stmts, o.name)
		}
	}
	return !o.injected && !r.dropAnswer, nil
}

// handleParameterStatus records what a ParameterStatus reports. A session parameter that a unit changed makes the
// connection unfit for other sessions.
func (c *conn) handleParameterStatus(body []byte) {
	name, value := splitParameter(body)
	switch {
	case c.recordPosition(name, value):
		c.run.wrote = true
	case string(name) == readOnlyParameter:
		c.readOnly = string(value) == "on"
	case c.params[string(name)] != string(value):
		c.tainted = true
	}
}

func (c *conn) handleErrorResponse(body []byte) (forward bool, err error) {
	r := &c.run
	e := decodeError(body)
	switch r.segments[r.nextSegment] {
	case segSetup:
		r.setupErr = e
		return false, nil
	case segKey:
		r.handleKeyError(e)
		return false, nil
	case segCommit:
		r.commitErr = e
		return false, nil
	}
	switch {
	case r.dropAnswer, r.copyIn:
		return false, nil
	case r.write && !r.started && e.Code == sqlStateReadOnly:
		r.writeRefusal, r.dropAnswer = e, true
		return false, nil
	case e.Code == sqlStateNoStatement, e.Code == sqlStateStatementExists:
		c.tainted = true // the member's prepared statements differ from c.stmts
	}
	if r.write {
		return true, r.holdRest(c)
	}
	return true, nil
}

// refuseCopy ends COPY FROM STDIN with an error. The copy mode has consumed the Sync of an extended query, so another one
// is sent.
func (c *conn) refuseCopy() error {
	if c.run.nextSegment < len(c.run.segments)-1 {
		return errCopyWithKey
	}
	c.run.copyIn = true
	msg, _ := (&pgproto3.CopyFail{Message: "COPY FROM STDIN is not supported"}).Encode(nil)
	if c.run.lastMessageType == 'S' {
		msg = append(msg, syncMessage...)
	}
	_, err := c.nc.Write(msg)
	return err
}

func appendError(dst []byte, e *serverError) []byte {
	dst, _ = e.Encode(dst)
	return dst
}
