package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// maxWindow bounds the credit that a client may grant, in bytes.
const maxWindow = 4 << 20

// errDuplicateID ends a connection whose client uses the id of a running unit again.
var errDuplicateID = errors.New("peer: id of a running unit was used again")

// serverConn is the accepting end of a connection.
type serverConn struct {
	*baseConn
	server  *Server
	session *peerSession // nil for a control connection
	ctx     context.Context
	cancel  context.CancelFunc

	units       context.Context // parent of the contexts of units; ends before ctx in a shutdown
	cancelUnits context.CancelCauseFunc

	mu              sync.Mutex
	running         map[uint64]*unitRun // by id of the unit
	runningHandlers int                 // of control messages
}

// handleFrame handles one received frame. It never blocks on a unit.
func (c *serverConn) handleFrame(f wire.Frame) error {
	defer f.Release()
	if f.Type.IsRequest() {
		return c.startHandler(f)
	}
	if c.purpose != wire.PurposeData {
		return wire.ErrMalformed
	}
	switch f.Type {
	case wire.TypeExecute:
		x, err := c.dec.Execute(f.Body)
		if err != nil {
			return err
		}
		return c.startUnit(x)
	case wire.TypeCredit:
		id, n, err := c.dec.Credit(f.Body)
		if r := c.findRun(id); r != nil {
			r.addCredit(n)
		}
		return err
	case wire.TypeCancel:
		id, err := c.dec.Cancel(f.Body)
		if r := c.findRun(id); r != nil {
			r.cancel()
		}
		return err
	case wire.TypeRollback:
		return c.rollback(f.Body)
	case wire.TypePing:
		// The pong is written in a goroutine of its own, since reading must go on while the peer doesn't read.
		c.server.startGoroutine(func() { _ = c.sendEmpty(wire.TypePong) })
		return nil
	}
	return wire.ErrMalformed
}

func (c *serverConn) rollback(body []byte) error {
	tx, err := c.dec.Rollback(body)
	if err == nil && tx.Open() {
		c.server.startGoroutine(func() { c.server.rollback(c.session, tx) })
	}
	return err
}

// findRun returns the running unit with the given id, or nil.
func (c *serverConn) findRun(id uint64) *unitRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[id]
}

// startHandler answers a control message in a goroutine of its own, with an error if the reply exceeds the largest frame.
func (c *serverConn) startHandler(f wire.Frame) error {
	id, body, err := c.dec.Request(f.Body)
	if err != nil {
		return err
	}
	c.mu.Lock()
	full := c.runningHandlers >= c.server.opts.MaxUnits
	if !full {
		c.runningHandlers++
	}
	c.mu.Unlock()
	if full {
		return errkind.New(errkind.Overload, "too many unanswered requests on one peer connection")
	}
	t := f.Type
	c.server.startGoroutine(func() {
		out, failure := c.server.callHandler(c.ctx, t, c.peer, body)
		c.mu.Lock()
		c.runningHandlers--
		c.mu.Unlock()
		_, err := c.send(c.ctx, levelControl, len(out), func(e *wire.Encoder) ([]byte, []byte, error) {
			head, err := e.Reply(id, failure, out)
			return head, out, err
		})
		if errors.Is(err, wire.ErrTooLarge) {
			_ = c.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Reply(id, err, nil) })
		}
	})
	return nil
}

// startUnit starts a unit without waiting for it, or answers that it was not run if MaxUnits units are running. It fails if
// the client breaks the protocol.
func (c *serverConn) startUnit(x *wire.Execute) error {
	if x.Window < uint64(wire.ChunkCost(maxChunkPayload)) || x.Window > maxWindow {
		return wire.ErrMalformed
	}
	x.Unit.Arrived = time.Now().Add(-x.Waited)
	r := &unitRun{conn: c, id: x.ID, unit: &x.Unit, credit: int(x.Window), creditAdded: ring.NewSignal()}
	c.mu.Lock()
	if c.running[x.ID] != nil {
		c.mu.Unlock()
		return errDuplicateID
	}
	full := len(c.running) >= c.server.opts.MaxUnits
	if !full {
		r.ctx, r.cancel = context.WithTimeout(c.units, x.Deadline)
		c.running[x.ID] = r
	}
	c.mu.Unlock()
	if full {
		res := unit.NotRun(errkind.New(errkind.Overload, "too many units are running for one peer connection"))
		c.server.startGoroutine(func() { r.sendResult(&res) })
		return nil
	}
	if !c.server.beginUnit() {
		c.refuseUnit(r)
		return nil
	}
	c.server.beginUnitTx(c.session, r.unit.Tx)
	c.server.workers.start(r)
	return nil
}

// unitRun is a unit that runs for the peer. It is the sink to which the executor writes the unit's answer.
type unitRun struct {
	conn   *serverConn
	id     uint64
	unit   *unit.Unit
	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	credit        int         // bytes that may still be sent
	creditAdded   ring.Signal // raised after credit was added
	streamed      bool        // a part of the answer has been sent
	resultCharged bool        // the limiter was charged for the result together with the last chunk
}

// execute runs the unit and sends its result.
func (r *unitRun) execute() {
	c := r.conn
	defer c.server.units.Done()
	res := r.runUnit()
	if stop := (*unit.StopError)(nil); res.Err != nil && errors.As(context.Cause(r.ctx), &stop) {
		res.Err = unit.CancelledByStop(c.server.opts.Self.Name, r.unit, res)
	}
	r.cancel()
	c.server.endUnitTx(c.session, r.unit.Tx, res.Tx)
	c.mu.Lock()
	delete(c.running, r.id)
	c.mu.Unlock()
	res.Streamed = res.Streamed || r.streamed
	r.sendResult(&res)
}

// runUnit runs the unit. After a panic the outcome of the unit is unknown.
func (r *unitRun) runUnit() (res unit.Result) {
	opts := &r.conn.server.opts
	defer panics.Confine(opts.Log, "unit of a peer", func() {
		res = unit.Failed(errkind.New(errkind.Internal, "unit ended by an unexpected error at entry VM %s", opts.Self.Name))
	})
	return opts.Executor.Execute(r.ctx, r.unit, r)
}

// sendResult ends the answer. It passes the limiter unless the last chunk has passed it for the result as well.
func (r *unitRun) sendResult(res *unit.Result) {
	if r.resultCharged {
		_ = r.conn.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Result(r.id, res) })
		return
	}
	_, _ = r.conn.send(r.conn.ctx, rankLevel(r.unit.Rank), 0, func(e *wire.Encoder) ([]byte, []byte, error) {
		head, err := e.Result(r.id, res)
		return head, nil, err
	})
}

// Write sends messages to the peer in chunks as its credit allows, and returns early when ctx or the connection ends. A
// Cancel of the unit does not end it, since the caller waits for the rest of the answer and the member's error. Write
// doesn't keep messages.
func (r *unitRun) Write(ctx context.Context, messages []byte) error {
	for len(messages) > 0 {
		n := min(len(messages), maxChunkPayload)
		if err := r.writeChunk(ctx, messages[:n], false); err != nil {
			return err
		}
		messages = messages[n:]
	}
	return nil
}

// WriteLast is like Write for the last messages of an answer. Their last chunk is sent in one system call together with the
// result, so that the peer can also read both with one.
func (r *unitRun) WriteLast(ctx context.Context, messages []byte) error {
	if len(messages) == 0 {
		return nil
	}
	last := (len(messages) - 1) / maxChunkPayload * maxChunkPayload
	if err := r.Write(ctx, messages[:last]); err != nil {
		return err
	}
	return r.writeChunk(ctx, messages[last:], true)
}

// writeChunk sends one chunk as soon as there is credit for it. last says that only the result follows.
func (r *unitRun) writeChunk(ctx context.Context, payload []byte, last bool) error {
	if err := r.takeCredit(ctx, wire.ChunkCost(len(payload))); err != nil {
		return err
	}
	r.streamed = true
	build := func(e *wire.Encoder) ([]byte, []byte, error) {
		head, err := e.Chunk(r.id, payload)
		return head, payload, err
	}
	if last {
		r.resultCharged = true
		return r.conn.sendFirstOfTwo(ctx, rankLevel(r.unit.Rank), len(payload), build)
	}
	_, err := r.conn.send(ctx, rankLevel(r.unit.Rank), len(payload), build)
	return err
}

// takeCredit waits until there is credit for cost bytes and uses it.
func (r *unitRun) takeCredit(ctx context.Context, cost int) error {
	for {
		r.mu.Lock()
		if r.credit >= cost {
			r.credit -= cost
			r.mu.Unlock()
			return nil
		}
		r.mu.Unlock()
		select {
		case <-r.creditAdded:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.conn.ctx.Done():
			return r.conn.ctx.Err()
		}
	}
}

// addCredit adds n bytes of credit, up to maxWindow in total.
func (r *unitRun) addCredit(n uint64) {
	r.mu.Lock()
	r.credit = min(r.credit+int(min(n, maxWindow)), maxWindow)
	r.mu.Unlock()
	r.creditAdded.Raise()
}
