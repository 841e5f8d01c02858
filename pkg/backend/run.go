package backend

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// inlineWriteBytes is the largest request that is written before its answer is read. Larger ones are written
// concurrently, since member and pool could otherwise wait for each other with full socket buffers.
const inlineWriteBytes = 32 << 10

// run is the state of one unit on a connection. It is kept with the connection to reuse its memory.
type run struct {
	ctx    context.Context
	grace  time.Duration
	late   context.Context // replaces ctx once that has ended, so that an answer in progress can be completed
	stop   context.CancelFunc
	long   context.Context // of the later writes of a streamed answer; ends cancelLimit after ctx
	unlong func()
	sink   unit.Sink
	write  bool
	last   byte // type of the unit's last message

	segs  []segment
	segAt int // first segment not yet answered
	ops   []op
	opAt  int // first operation not yet completed

	from, to  int    // bytes of the read buffer that are to be passed on
	hold      bool   // passed-on bytes go to held
	held      []byte // bounded by maxHeldBytes
	overflow  bool
	started   bool // a row or a completion was answered
	completed bool // a completion was answered: the rest is held until acknowledged
	streamed  bool
	ending    bool // nothing follows the bytes that are passed on next

	wrote     bool // the member reported a position
	sinkErr   error
	setupErr  *serverError // error in a setup segment
	keyErr    *serverError // error of the insertion of the idempotency key other than a duplicate
	commitErr *serverError // error in the commit segment
	refused   *serverError // the member is not a writable primary
	copyIn    bool
	expected  string // tag stored with the idempotency key
	tag       string // tag of the last completion of a unit with a key
	duplicate bool   // the idempotency key exists
	suppress  bool   // the unit runs in a transaction that has failed: its answer is dropped
}

func (r *run) reset(ctx context.Context, p *Pool, u *unit.Unit, sink unit.Sink) {
	*r = run{ctx: ctx, grace: p.o.CancelGrace, sink: sink, write: u.Write, hold: u.Write,
		segs: r.segs[:0], ops: r.ops[:0], held: r.held[:0]}
}

// context returns the unit's context, or a short one after the unit's has ended.
func (r *run) context() context.Context {
	if r.late != nil {
		return r.late
	}
	if r.ctx.Err() == nil {
		return r.ctx
	}
	r.late, r.stop = context.WithTimeout(context.WithoutCancel(r.ctx), r.grace)
	return r.late
}

// sinkContext returns the context of a write to the sink. A write that waits for the caller to read when the unit is
// cancelled must not fail: the caller reads on and expects the member's error. The first write fits into the buffers of
// every sink and does not wait.
func (r *run) sinkContext() context.Context {
	if !r.streamed {
		return r.context()
	}
	if r.long == nil {
		limit := cancelLimit(r.grace)
		deadline, _ := r.ctx.Deadline() // Run sets one
		ctx, cancel := context.WithDeadline(context.WithoutCancel(r.ctx), deadline.Add(limit))
		stop := context.AfterFunc(r.ctx, func() { time.AfterFunc(limit, cancel) })
		r.long, r.unlong = ctx, func() {
			stop()
			cancel()
		}
	}
	return r.long
}

// end drops references so that an idle connection keeps no caller's memory.
func (r *run) end() {
	if r.stop != nil {
		r.stop()
	}
	if r.unlong != nil {
		r.unlong()
	}
	r.ctx, r.late, r.stop, r.sink, r.long, r.unlong = nil, nil, nil, nil, nil, nil
	if cap(r.held) > inlineWriteBytes {
		r.held = nil
	}
}

// runUnit sends the unit and passes on its answer. Afterwards broken tells whether the connection can be reused.
func (c *conn) runUnit(ctx context.Context, p *Pool, u *unit.Unit, sink unit.Sink) unit.Result {
	r := &c.run
	r.reset(ctx, p, u, sink)
	defer r.end()
	p.enter(ctx, c)
	if err := ctx.Err(); err != nil {
		c.leave()
		return unit.Result{Outcome: errkind.OutcomeNotRun, Err: endedBeforeStart(err), TxStatus: c.status}
	}
	if err := p.o.Admit(u); err != nil {
		c.leave()
		return unit.Result{Outcome: errkind.OutcomeNotRun, Err: err, TxStatus: c.status}
	}
	request := c.buildRequest(p, u)
	stopCancel := c.watch(ctx, p)
	err := c.exchange(request)
	c.leave()
	sent := c.unwatch(stopCancel)
	if sent && !u.Tx.Open() {
		c.tainted = true // a late cancel request must not hit another unit
	}
	c.shrink()
	if err != nil {
		if r.sinkErr != nil {
			go p.sendCancel(c.pid, c.secret) // nobody reads the rest
		}
		c.broken = true
		return c.lost(p, err)
	}
	return c.conclude(p, u)
}

func endedBeforeStart(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "deadline passed before the unit was sent")
	}
	return errkind.Wrap(errkind.Cancelled, err, "unit cancelled before it was sent")
}

// exchange writes the request and reads the answer.
func (c *conn) exchange(request []byte) error {
	if len(request) <= inlineWriteBytes {
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
	if werr := <-written; err == nil {
		err = werr
	}
	return err
}

// lost returns the result after the connection was lost or abandoned in mid-answer.
func (c *conn) lost(p *Pool, err error) unit.Result {
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
		res.Err = errkind.Wrap(kind, r.sinkErr, "answer could not be passed on")
		return res
	}
	res.Err = errkind.Wrap(kind, err, "connection to %s lost in mid-unit", p.o.Member.Name)
	if isTimeout(err) {
		p.suspect(c)
	}
	return res
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// conclude turns a complete answer into a result, acknowledges a write and releases its held bytes.
func (c *conn) conclude(p *Pool, u *unit.Unit) unit.Result {
	r := &c.run
	res := unit.Result{Outcome: errkind.OutcomeNotRun, TxStatus: c.status, Streamed: r.streamed}
	name := p.o.Member.Name
	switch {
	case r.setupErr != nil:
		c.broken = true
		return c.lost(p, r.setupErr)
	case r.refused != nil:
		res.Err = errkind.Wrap(errkind.NoPrimary, r.refused, "%s refused the write", name)
		return res
	case r.copyIn:
		res.Err = errkind.New(errkind.Unsupported, "COPY FROM STDIN is not supported")
		return res
	case r.duplicate:
		return p.repeated(r.context(), u, r.sink)
	case r.overflow && !r.wrote:
		if c.status != 'I' {
			res.Outcome = errkind.OutcomeUnknown // the transaction holds the effects
		}
		res.Err = errkind.New(errkind.Unsupported, "the answer of a write unit after its first completed statement exceeds %d bytes", maxHeldBytes)
		return res
	case r.commitErr != nil:
		r.held = appendError(r.held[:0], r.commitErr)
	case r.keyErr != nil:
		r.held = appendError(r.held[:0], r.keyErr)
	}
	if err := c.correctTag(r.context(), u.IdempotencyKey); err != nil {
		c.broken = true
		if log, ok := p.logTag.Allow(p.o.Log, ""); ok {
			log.WithError(err).WithField("member", name).Warn("tag stored with an idempotency key could not be corrected")
		}
	}
	res.Outcome = errkind.OutcomeDone
	if r.wrote {
		res.Term, res.Position = c.term, c.position
	}
	if err := c.acknowledge(p); err != nil {
		return unit.Result{Outcome: errkind.OutcomeUnknown, Err: err, TxStatus: c.status, Streamed: r.streamed}
	}
	if len(r.held) > 0 {
		r.ending = true
		_ = r.send(r.held) // the outcome stands even when the caller has gone
		res.Streamed = r.streamed
	}
	return res
}

// acknowledge waits for the majority when the unit wrote.
func (c *conn) acknowledge(p *Pool) error {
	r := &c.run
	if r.overflow && r.wrote {
		return errkind.New(errkind.RequestOutcomeUnknown, "the answer after the first completed statement exceeds %d bytes", maxHeldBytes)
	}
	if !r.write || !r.wrote || p.o.WaitAcknowledged == nil {
		return nil
	}
	if err := p.o.WaitAcknowledged(r.context(), c.term, c.position); err != nil {
		return errkind.Wrap(errkind.RequestOutcomeUnknown, err, "write at %d/%d was not acknowledged by a majority", c.term, c.position)
	}
	return nil
}
