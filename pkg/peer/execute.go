package peer

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// creditReturnDivisor sets when credit is returned: once the window divided by it has been consumed.
const creditReturnDivisor = 4

// sendAttempts is the number of connections that are tried for a frame as long as it certainly wasn't sent.
const sendAttempts = 2

// Execute runs a unit at the owner vm and streams the answer to sink. If the unit's frame was certainly not handed to the
// socket in full, the outcome is that the unit was not run. If the connection is lost later, the outcome of a write is
// unknown and a read has failed.
func (p *Pool) Execute(ctx context.Context, vm platform.VM, u *unit.Unit, sink unit.Sink) unit.Result {
	if d, ok := ctx.Deadline(); !ok || time.Until(d) > maxUnitTime {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxUnitTime)
		defer cancel()
	}
	res, answered := p.forward(ctx, vm, u, sink)
	vc := p.connsTo(vm)
	if res.Tx.Open() && !u.Tx.Open() {
		vc.openTxCount.Add(1)
	}
	if u.Tx.Open() && !res.Tx.Open() {
		vc.openTxCount.Add(-1)
		if !answered { // the caller takes the transaction as ended, so it must not stay open at the owner
			p.Rollback(vm, u.Tx)
		}
	}
	return res
}

// forward sends the unit and waits for its result. It tries a second connection if the first one ended before it took the
// frame. The second return value reports whether the result is the owner's answer.
func (p *Pool) forward(ctx context.Context, vm platform.VM, u *unit.Unit, sink unit.Sink) (unit.Result, bool) {
	var err error
	for range sendAttempts {
		var c *clientConn
		if c, err = p.getConn(ctx, vm, wire.PurposeData); err != nil {
			return notSentResult(ctx, err, vm), false
		}
		f := &forwardedUnit{conn: c, unit: u, sink: sink, call: newCall()}
		var ok bool
		if f.id, ok = c.register(f.call); !ok {
			p.removeConn(c)
			err = ErrIdle
			continue
		}
		if err = f.send(ctx); err == nil {
			defer c.unregister(f.id)
			defer f.releaseSinkContext()
			return f.receive(ctx)
		}
		c.unregister(f.id)
		if frameNotQueued(err) || ctx.Err() != nil {
			break
		}
		p.removeConn(c)
	}
	return notSentResult(ctx, err, vm), false
}

// notSentResult returns the result of a unit that certainly did not reach the owner.
func notSentResult(ctx context.Context, err error, vm platform.VM) unit.Result {
	// A deadline that passes without a connection is the fault of the peer, which is therefore reported as unreachable: the
	// caller is to retry, not to ask for a longer target.
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unit.NotRun(errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "unit was not sent to entry VM %s", vm.Name))
	}
	if errors.Is(err, wire.ErrTooLarge) {
		return unit.NotRun(errkind.Wrap(errkind.Unsupported, err, "unit is too large to be forwarded to another entry VM"))
	}
	return unit.NotRun(unreachable(err, vm))
}

// forwardedUnit is the state of a unit that has been forwarded over one connection.
type forwardedUnit struct {
	conn      *clientConn
	unit      *unit.Unit
	sink      unit.Sink
	call      *call
	id        uint64
	frameEnd  uint64  // stream offset of the end of the Execute frame
	sentAt    int64   // monotonic time
	streamed  bool    // the sink has been given a part of the answer
	creditDue int     // credit of consumed chunks that has not been returned to the owner
	chunks    []chunk // reused by deliverChunks

	streamCtx     context.Context // for all but the first write to sink; ends cancelGrace after the unit's deadline
	stopStreamCtx context.CancelFunc
}

// send writes the Execute frame. A non-nil error means that the owner can't have received it in full.
func (f *forwardedUnit) send(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	f.sentAt = int64(monotonic())
	var err error
	f.frameEnd, err = f.conn.send(ctx, rankLevel(f.unit.Rank), len(f.unit.Messages),
		func(e *wire.Encoder) ([]byte, []byte, error) {
			left := time.Until(deadline)
			if left <= 0 {
				return nil, nil, context.DeadlineExceeded
			}
			return e.Execute(&wire.Execute{ID: f.id, Window: uint64(f.conn.window), Deadline: left,
				Waited: timeSinceArrival(f.unit), Unit: *f.unit})
		})
	if err != nil && f.frameEnd > 0 && f.conn.writer.hasWritten(f.frameEnd) && !frameNotQueued(err) {
		return nil // the frame was sent before the connection failed; receive finds the outcome
	}
	return err
}

// timeSinceArrival returns for how long the system has had the complete request.
func timeSinceArrival(u *unit.Unit) time.Duration {
	if u.Arrived.IsZero() {
		return 0
	}
	return max(time.Since(u.Arrived), 0)
}

// frameNotQueued reports whether err kept the frame from being queued at all.
func frameNotQueued(err error) bool {
	return errors.Is(err, wire.ErrTooLarge) || errors.Is(err, context.DeadlineExceeded)
}

// receive streams the answer until the result arrives, the connection is lost or the time to wait for the owner has passed.
// answered reports whether res is the owner's result.
func (f *forwardedUnit) receive(ctx context.Context) (res unit.Result, answered bool) {
	ctxDone := ctx.Done()
	var giveUp <-chan time.Time
	grace := answerGrace
	for {
		select {
		case <-f.call.notify:
			res, done, err := f.deliverChunks(ctx)
			if done {
				return res, true
			}
			if giveUp != nil && f.sink != nil { // the rest of the answer is still arriving; the owner bounds how long it takes
				giveUp = time.After(grace)
			}
			if err != nil && ctxDone != nil { // the caller is gone: stop the owner, but wait for the outcome
				f.sink = nil // discards the rest of the answer
				ctxDone, giveUp = nil, f.cancelAtOwner(unit.OutcomeWait(ctx, cancelGrace))
			}
		case <-ctxDone:
			if errkind.Is(context.Cause(ctx), errkind.RequestOutcomeUnknown) { // the outcome stays unknown whatever the owner answers
				_ = f.cancelAtOwner(0)
				return f.failedResult(context.Cause(ctx)), false
			}
			if errors.Is(ctx.Err(), context.Canceled) {
				grace = unit.OutcomeWait(ctx, cancelGrace)
			}
			ctxDone, giveUp = nil, f.cancelAtOwner(grace)
		case <-f.conn.closed:
			if res, done, _ := f.deliverChunks(ctx); done {
				return res, true
			}
			return f.lostResult(f.conn.closeErr), false
		case <-giveUp:
			f.conn.pool.suspect(f.conn, f.sentAt)
			return f.timeoutResult(ctx), false
		}
	}
}

// cancelAtOwner asks the owner to cancel the unit and returns a channel that ends the wait for the outcome after grace. The
// answer still goes to the sink, since a caller that cancelled its request waits for the member's error.
func (f *forwardedUnit) cancelAtOwner(grace time.Duration) <-chan time.Time {
	_ = f.conn.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Cancel(f.id) })
	return time.After(grace)
}

// deliverChunks passes the queued chunks to the sink and returns their credit to the owner. After an error of the sink it
// discards the remaining ones. res is valid when done is true.
func (f *forwardedUnit) deliverChunks(ctx context.Context) (res unit.Result, done bool, err error) {
	f.chunks, res, done = f.call.take(f.chunks)
	for i := range f.chunks {
		ch := &f.chunks[i]
		if f.sink != nil && err == nil {
			sinkCtx := f.sinkContext(ctx)
			f.streamed = true
			err = f.sink.Write(sinkCtx, ch.payload)
		}
		cost := wire.ChunkCost(len(ch.payload))
		ch.frame.Release()
		ch.payload = nil
		f.call.releaseCost(cost)
		f.creditDue += cost
	}
	if !done && f.creditDue >= f.conn.window/creditReturnDivisor {
		n := f.creditDue
		f.creditDue = 0
		_ = f.conn.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Credit(f.id, uint64(n)) })
	}
	res.Streamed = f.streamed
	return res, done, err
}

// sinkContext returns the context of a write to the sink. The rest of an answer that has begun, and an answer that arrives
// after the deadline, still go to the caller within cancelGrace. The first write fits into the buffers of every sink.
func (f *forwardedUnit) sinkContext(ctx context.Context) context.Context {
	if !f.streamed && ctx.Err() == nil {
		return ctx
	}
	if f.streamCtx == nil {
		deadline, _ := ctx.Deadline() // Pool.Execute has set one
		f.streamCtx, f.stopStreamCtx = context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(cancelGrace))
	}
	return f.streamCtx
}

func (f *forwardedUnit) releaseSinkContext() {
	if f.stopStreamCtx != nil {
		f.stopStreamCtx()
	}
}

// lostResult returns the result of a unit whose connection ended before the owner answered.
func (f *forwardedUnit) lostResult(cause error) unit.Result {
	if !f.conn.writer.hasWritten(f.frameEnd) {
		return unit.NotRun(unreachable(cause, f.conn.peer))
	}
	kind := errkind.ReadFailed
	if f.unit.Write {
		kind = errkind.RequestOutcomeUnknown
	}
	return f.failedResult(errkind.Wrap(kind, cause, "connection to entry VM %s was lost", f.conn.peer.Name))
}

// timeoutResult returns the result of a unit that the owner didn't answer in time.
func (f *forwardedUnit) timeoutResult(ctx context.Context) unit.Result {
	kind := errkind.ReadFailed
	switch {
	case f.unit.Write:
		kind = errkind.RequestOutcomeUnknown
	case errors.Is(ctx.Err(), context.Canceled):
		kind = errkind.Cancelled
	}
	return f.failedResult(errkind.Wrap(kind, ctx.Err(), "no answer to the unit from entry VM %s in time", f.conn.peer.Name))
}

// failedResult returns the result of a unit that failed with err, after a part of the answer if there was one.
func (f *forwardedUnit) failedResult(err error) unit.Result {
	res := unit.Failed(err)
	res.Streamed = f.streamed
	return res
}
