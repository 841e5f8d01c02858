package backend

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxInlineWriteBytes is the size of the largest request that is written completely before its answer is read. Larger
// requests are written concurrently, since member and pool could otherwise block each other with full socket buffers.
const maxInlineWriteBytes = 32 << 10

// run is the state of the unit that runs on a connection. It stays with the connection, so that its memory is reused.
type run struct {
	ctx             context.Context
	cancelGrace     time.Duration
	graceCtx        context.Context // replaces ctx after its end, so that an answer in progress can be completed; nil before
	stopGraceCtx    context.CancelFunc
	streamCtx       context.Context // for all but the first write to sink; ends cancelAnswerLimit after ctx
	stopStreamCtx   func()
	sink            unit.Sink
	write           bool
	lastMessageType byte // type of the unit's last message

	segments    []segment
	nextSegment int // index of the first segment not yet answered
	ops         []statementOp
	nextOp      int // index of the first operation not yet completed

	pendingStart, pendingEnd int    // range of the read buffer that is to be forwarded or held next
	holding                  bool   // pending bytes go to held instead of sink
	held                     []byte // bounded by maxHeldBytes
	heldOverflow             bool   // held would exceed maxHeldBytes
	started                  bool   // the member has sent a row or a completion
	completed                bool   // the member has sent a completion: the rest is held until acknowledged
	streamed                 bool   // bytes were sent to sink
	nextIsLast               bool   // the bytes sent next to sink are the end of the answer

	wrote        bool // the member reported a position: the unit wrote
	sinkErr      error
	setupErr     *serverError // error in a setup segment
	keyErr       *serverError // error of the insertion of the idempotency key other than a duplicate
	commitErr    *serverError // error in the commit segment
	writeRefusal *serverError // the member is not a writable primary
	copyIn       bool         // the unit ran COPY FROM STDIN, which is refused
	predictedTag string       // command tag stored with the idempotency key; empty for a unit without a key
	lastTag      string       // command tag of the last completion of a unit with a key
	keyExists    bool         // the idempotency key is stored already: the unit ran before
	dropAnswer   bool         // drop the rest of the answer, as the key insertion failed or the member refused the write
}

func (r *run) reset(ctx context.Context, p *Pool, u *unit.Unit, sink unit.Sink) {
	*r = run{ctx: ctx, cancelGrace: p.opts.CancelGrace, sink: sink, write: u.Write, holding: u.Write,
		segments: r.segments[:0], ops: r.ops[:0], held: r.held[:0]}
}

// activeContext returns the unit's context, or after its end one that lasts for the cancel grace.
func (r *run) activeContext() context.Context {
	if r.graceCtx != nil {
		return r.graceCtx
	}
	if r.ctx.Err() == nil {
		return r.ctx
	}
	r.graceCtx, r.stopGraceCtx = context.WithTimeout(context.WithoutCancel(r.ctx), r.cancelGrace)
	return r.graceCtx
}

// sinkContext returns the context of a write to the sink. A write that is blocked until the caller reads must not fail
// when the unit is cancelled: the caller reads on and expects the member's error. The first write fits into the buffers
// of every sink and does not block.
func (r *run) sinkContext() context.Context {
	if !r.streamed {
		return r.activeContext()
	}
	if r.streamCtx == nil {
		limit := cancelAnswerLimit(r.cancelGrace)
		deadline, _ := r.ctx.Deadline() // Pool.Run has set one
		ctx, cancel := context.WithDeadline(context.WithoutCancel(r.ctx), deadline.Add(limit))
		stop := context.AfterFunc(r.ctx, func() { time.AfterFunc(limit, cancel) })
		r.streamCtx, r.stopStreamCtx = ctx, func() {
			stop()
			cancel()
		}
	}
	return r.streamCtx
}

// dropReferences releases contexts, sink and large buffers, so that an idle connection keeps no memory of a caller.
func (r *run) dropReferences() {
	if r.stopGraceCtx != nil {
		r.stopGraceCtx()
	}
	if r.stopStreamCtx != nil {
		r.stopStreamCtx()
	}
	r.ctx, r.graceCtx, r.stopGraceCtx, r.sink, r.streamCtx, r.stopStreamCtx = nil, nil, nil, nil, nil, nil
	if cap(r.held) > maxInlineWriteBytes {
		r.held = nil
	}
}

// runUnit sends the unit and forwards its answer. Afterwards c.broken tells whether the connection must be closed.
func (c *conn) runUnit(ctx context.Context, p *Pool, u *unit.Unit, sink unit.Sink) unit.Result {
	r := &c.run
	r.reset(ctx, p, u, sink)
	defer r.dropReferences()
	p.beginUnit(ctx, c)
	if err := ctx.Err(); err != nil {
		c.endUnit()
		return unit.Result{Outcome: errkind.OutcomeNotRun, Err: endedBeforeStart(err), TxStatus: c.status}
	}
	if err := p.opts.Admit(u); err != nil {
		c.endUnit()
		return unit.Result{Outcome: errkind.OutcomeNotRun, Err: err, TxStatus: c.status}
	}
	request := c.buildRequest(p, u)
	stopCancel := c.armCancel(ctx, p)
	err := c.exchange(request)
	c.endUnit()
	cancelled := c.disarmCancel(stopCancel)
	if cancelled && !u.Tx.Open() {
		c.tainted = true // a late cancel request must not hit another unit
	}
	c.shrinkBuffers()
	if err != nil {
		if r.sinkErr != nil {
			go p.sendCancel(c.pid, c.secret) // nobody reads the rest of the answer
		}
		c.broken = true
		return c.lostResult(p, err)
	}
	return c.conclude(p, u)
}

func endedBeforeStart(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "deadline passed before the unit was sent to the member")
	}
	return errkind.Wrap(errkind.Cancelled, err, "unit was cancelled before it was sent to the member")
}

// exchange writes the request and reads the answer.
func (c *conn) exchange(request []byte) error {
	if len(request) <= maxInlineWriteBytes {
		if _, err := c.nc.Write(request); err != nil {
			return err
		}
		return c.readAnswer()
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.nc.Write(request)
		written <- err
	}()
	err := c.readAnswer()
	if err != nil {
		_ = c.nc.Close() // unblocks the writer
	}
	if writeErr := <-written; err == nil {
		err = writeErr
	}
	return err
}

// lostResult returns the result of a unit whose answer was not read to the end.
func (c *conn) lostResult(p *Pool, err error) unit.Result {
	r := &c.run
	res := unit.Result{Outcome: errkind.OutcomeUnknown, TxStatus: 'I', Streamed: r.streamed}
	kind := errkind.ReadFailed
	switch {
	case r.write:
		kind = errkind.RequestOutcomeUnknown
	case errors.Is(r.ctx.Err(), context.Canceled):
		kind = errkind.Cancelled
	}
	if r.sinkErr != nil {
		res.Err = errkind.Wrap(kind, r.sinkErr, "answer could not be forwarded to the caller")
		return res
	}
	res.Err = errkind.Wrap(kind, err, "connection to member %s was lost while it ran the unit", p.opts.Member.Name)
	if isTimeout(err) {
		p.replaceAfterTimeout(c)
	}
	return res
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// conclude turns a complete answer into a result. For a write it waits for the acknowledgement and then sends the held
// bytes.
func (c *conn) conclude(p *Pool, u *unit.Unit) unit.Result {
	r := &c.run
	res := unit.Result{Outcome: errkind.OutcomeNotRun, TxStatus: c.status, Streamed: r.streamed}
	name := p.opts.Member.Name
	switch {
	case r.setupErr != nil:
		c.broken = true
		return c.lostResult(p, r.setupErr)
	case r.writeRefusal != nil:
		res.Err = errkind.Wrap(errkind.NoPrimary, r.writeRefusal, "member %s is read-only and refused the write", name)
		return res
	case r.copyIn:
		res.Err = errkind.New(errkind.Unsupported, "COPY FROM STDIN is not supported")
		return res
	case r.keyExists:
		return p.answerRepeated(r.activeContext(), u, r.sink)
	case r.heldOverflow && !r.wrote:
		if c.status != 'I' {
			res.Outcome = errkind.OutcomeUnknown // the open transaction may hold its effects
		}
		res.Err = errkind.New(errkind.Unsupported, "the answer of a write unit after its first completed statement exceeds %d bytes", maxHeldBytes)
		return res
	case r.commitErr != nil:
		r.held = appendError(r.held[:0], r.commitErr)
	case r.keyErr != nil:
		r.held = appendError(r.held[:0], r.keyErr)
	}
	if err := c.correctStoredTag(r.activeContext(), u.IdempotencyKey); err != nil {
		c.broken = true
		if log, ok := p.tagLogLimit.Allow(p.opts.Log, ""); ok {
			log.WithError(err).WithField("member", name).Warn("command tag stored with an idempotency key could not be corrected; a repeated unit may be answered with a wrong row count")
		}
	}
	res.Outcome = errkind.OutcomeDone
	if r.wrote {
		res.Term, res.Position = c.term, c.position
	}
	if err := c.awaitAcknowledgement(p); err != nil {
		return unit.Result{Outcome: errkind.OutcomeUnknown, Err: err, TxStatus: c.status, Streamed: r.streamed}
	}
	if len(r.held) > 0 {
		r.nextIsLast = true
		_ = r.sendToSink(r.held) // the outcome stands even if the caller has gone
		res.Streamed = r.streamed
	}
	return res
}

// awaitAcknowledgement waits until a majority has acknowledged what the unit wrote.
func (c *conn) awaitAcknowledgement(p *Pool) error {
	r := &c.run
	if r.heldOverflow && r.wrote {
		return errkind.New(errkind.RequestOutcomeUnknown, "the answer of a write unit after its first completed statement exceeds %d bytes", maxHeldBytes)
	}
	if !r.write || !r.wrote || p.opts.WaitAcknowledged == nil {
		return nil
	}
	if err := p.opts.WaitAcknowledged(r.activeContext(), c.term, c.position); err != nil {
		return errkind.Wrap(errkind.RequestOutcomeUnknown, err, "write at term/position %d/%d was not acknowledged by a majority", c.term, c.position)
	}
	return nil
}
