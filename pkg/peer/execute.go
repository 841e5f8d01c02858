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

// creditShare is the part of the window after whose consumption credit is returned.
const creditShare = 4

// sendAttempts is how many connections are tried for a frame that was certainly not sent.
const sendAttempts = 2

// Execute runs a unit at the owner vm and streams the answer to sink. A unit whose frame was certainly not handed to
// the socket in full is not run; when the connection is lost later, a write is unknown and a read has failed.
func (p *Pool) Execute(ctx context.Context, vm platform.VM, u *unit.Unit, sink unit.Sink) unit.Result {
	if d, ok := ctx.Deadline(); !ok || time.Until(d) > maxUnitTime {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxUnitTime)
		defer cancel()
	}
	res, answered := p.forward(ctx, vm, u, sink)
	s := p.slot(vm)
	if res.Tx.Open() && !u.Tx.Open() {
		s.openTx.Add(1)
	}
	if u.Tx.Open() && !res.Tx.Open() {
		s.openTx.Add(-1)
		if !answered { // the caller sees the transaction as ended, so it must not stay open at the owner
			p.Rollback(vm, u.Tx)
		}
	}
	return res
}

// forward sends the unit, on a second connection when the first one has ended before it took the frame.
func (p *Pool) forward(ctx context.Context, vm platform.VM, u *unit.Unit, sink unit.Sink) (unit.Result, bool) {
	var err error
	for range sendAttempts {
		var c *clientConn
		if c, err = p.get(ctx, vm, wire.PurposeData); err != nil {
			return notSent(ctx, err, vm), false
		}
		f := &forwarding{conn: c, unit: u, sink: sink, call: newCall()}
		var ok bool
		if f.id, ok = c.register(f.call); !ok {
			p.forget(c)
			err = ErrIdle
			continue
		}
		if err = f.send(ctx); err == nil {
			defer c.unregister(f.id)
			return f.receive(ctx)
		}
		c.unregister(f.id)
		if encodeFailed(err) || ctx.Err() != nil {
			break
		}
		p.forget(c)
	}
	return notSent(ctx, err, vm), false
}

// notSent is the result of a unit that certainly did not reach the owner.
func notSent(ctx context.Context, err error, vm platform.VM) unit.Result {
	// A deadline that passes without a connection is the peer's doing: the caller is to retry, not to state a longer
	// target.
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unit.NotRun(errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "unit was not sent to entry VM %s", vm.Name))
	}
	if errors.Is(err, wire.ErrTooLarge) {
		return unit.NotRun(errkind.Wrap(errkind.Unsupported, err, "unit can't be forwarded"))
	}
	return unit.NotRun(unreachable(err, vm))
}

// forwarding is the state of one unit on its way.
type forwarding struct {
	conn     *clientConn
	unit     *unit.Unit
	sink     unit.Sink
	call     *call
	id       uint64
	end      uint64 // stream offset of the end of the Execute frame
	sentAt   int64
	streamed bool
	consumed int // credit not yet returned
	chunks   []chunk
}

// send writes the Execute frame. A non-nil error means that the owner can't have received it in full.
func (f *forwarding) send(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	f.sentAt = int64(monotonic())
	var err error
	f.end, err = f.conn.send(ctx, rankLevel(f.unit.Rank), len(f.unit.Messages),
		func(e *wire.Encoder) ([]byte, []byte, error) {
			left := time.Until(deadline)
			if left <= 0 {
				return nil, nil, context.DeadlineExceeded
			}
			return e.Execute(&wire.Execute{ID: f.id, Window: uint64(f.conn.window), Deadline: left,
				Waited: waited(f.unit), Unit: *f.unit})
		})
	if err != nil && f.end > 0 && f.conn.w.wrote(f.end) && !encodeFailed(err) {
		return nil // the frame went out before the connection failed; receive decides
	}
	return err
}

func waited(u *unit.Unit) time.Duration {
	if u.Arrived.IsZero() {
		return 0
	}
	return max(time.Since(u.Arrived), 0)
}

// encodeFailed reports an error that kept the frame from being queued at all.
func encodeFailed(err error) bool {
	return errors.Is(err, wire.ErrTooLarge) || errors.Is(err, context.DeadlineExceeded)
}

// receive streams the answer until the result, the loss of the connection or the end of the wait.
func (f *forwarding) receive(ctx context.Context) (res unit.Result, answered bool) {
	cancelled := ctx.Done()
	var giveUp <-chan time.Time
	grace := answerGrace
	for {
		select {
		case <-f.call.notify:
			res, done, err := f.drain(ctx)
			if done {
				return res, true
			}
			if giveUp != nil && f.sink != nil { // what is under way still arrives; the owner bounds it
				giveUp = time.After(grace)
			}
			if err != nil && cancelled != nil { // the caller is gone; let the owner stop, keep the outcome
				f.sink = nil // discards what still comes
				cancelled, giveUp = nil, f.abort(cancelGrace)
			}
		case <-cancelled:
			if errkind.Is(context.Cause(ctx), errkind.RequestOutcomeUnknown) { // nothing that the owner may still say counts
				_ = f.abort(0)
				return f.failed(context.Cause(ctx)), false
			}
			if errors.Is(ctx.Err(), context.Canceled) {
				grace = cancelGrace
			}
			cancelled, giveUp = nil, f.abort(grace)
		case <-f.conn.dead:
			if res, done, _ := f.drain(ctx); done {
				return res, true
			}
			return f.lost(f.conn.err), false
		case <-giveUp:
			f.conn.pool.suspect(f.conn, f.sentAt)
			return f.expired(ctx), false
		}
	}
}

// abort asks the owner to cancel and returns the channel that ends the wait for the outcome. The answer still goes to
// the sink: a caller that cancelled its request waits for the member's error.
func (f *forwarding) abort(grace time.Duration) <-chan time.Time {
	_ = f.conn.sendControl(func(e *wire.Encoder) ([]byte, error) { return e.Cancel(f.id) })
	return time.After(grace)
}

// drain passes queued chunks to the sink and returns credit. Chunks after an error of the sink are discarded.
func (f *forwarding) drain(ctx context.Context) (res unit.Result, done bool, err error) {
	f.chunks, res, done = f.call.take(f.chunks)
	for i := range f.chunks {
		ch := &f.chunks[i]
		if f.sink != nil && err == nil {
			f.streamed = true
			err = f.sink.Write(ctx, ch.payload)
		}
		cost := wire.ChunkCost(len(ch.payload))
		ch.frame.Release()
		ch.payload = nil
		f.call.consumed(cost)
		f.consumed += cost
	}
	if !done && f.consumed >= f.conn.window/creditShare {
		n := f.consumed
		f.consumed = 0
		_ = f.conn.sendControl(func(e *wire.Encoder) ([]byte, error) { return e.Credit(f.id, uint64(n)) })
	}
	res.Streamed = f.streamed
	return res, done, err
}

// lost is the result after the connection ended without an answer.
func (f *forwarding) lost(cause error) unit.Result {
	if !f.conn.w.wrote(f.end) {
		return unit.NotRun(unreachable(cause, f.conn.peer))
	}
	kind := errkind.ReadFailed
	if f.unit.Write {
		kind = errkind.RequestOutcomeUnknown
	}
	return f.failed(errkind.Wrap(kind, cause, "connection to entry VM %s was lost", f.conn.peer.Name))
}

// expired is the result when the owner didn't answer in time.
func (f *forwarding) expired(ctx context.Context) unit.Result {
	kind := errkind.ReadFailed
	switch {
	case f.unit.Write:
		kind = errkind.RequestOutcomeUnknown
	case errors.Is(ctx.Err(), context.Canceled):
		kind = errkind.Cancelled
	}
	return f.failed(errkind.Wrap(kind, ctx.Err(), "no answer from entry VM %s", f.conn.peer.Name))
}

func (f *forwarding) failed(err error) unit.Result {
	res := unit.Failed(err)
	res.Streamed = f.streamed
	return res
}
