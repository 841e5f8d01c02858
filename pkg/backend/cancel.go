package backend

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// armCancel starts a new run and arranges that the end of ctx cancels it at the member.
func (c *conn) armCancel(ctx context.Context, p *Pool) (stop func() bool) {
	c.cancelMu.Lock()
	c.runSeq++
	seq := c.runSeq
	c.cancelMu.Unlock()
	return context.AfterFunc(ctx, func() { c.cancelRun(p, seq) })
}

// disarmCancel ends what armCancel arranged and reports whether the run was cancelled.
func (c *conn) disarmCancel(stop func() bool) bool {
	if stop() {
		return false
	}
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	c.runSeq++
	cancelled := c.cancelled
	if cancelled {
		c.cancelled = false
		c.cancelEnd.Store(0)
		_ = c.nc.SetDeadline(time.Time{})
	}
	return cancelled
}

// cancelLimitFactor is the longest time for the rest of a cancelled answer, as a multiple of the cancel grace.
const cancelLimitFactor = 10

// cancelAnswerLimit returns how long the whole rest of a cancelled answer may take.
func cancelAnswerLimit(grace time.Duration) time.Duration { return cancelLimitFactor * grace }

// extendCancelDeadline gives a cancelled answer that is still arriving another cancel grace, up to cancelEnd: the bytes
// that are under way must reach the caller before the member's error.
func (c *conn) extendCancelDeadline() {
	limit := c.cancelEnd.Load()
	if limit == 0 {
		return
	}
	c.cancelMu.Lock()
	defer c.cancelMu.Unlock()
	if c.cancelled {
		_ = c.nc.SetDeadline(time.Unix(0, min(limit, time.Now().Add(c.cancelGrace).UnixNano())))
	}
}

// cancelRun asks the member to cancel the run with number seq and bounds the wait for the rest of its answer.
func (c *conn) cancelRun(p *Pool, seq uint64) {
	c.cancelMu.Lock()
	if c.runSeq != seq {
		c.cancelMu.Unlock()
		return
	}
	c.cancelled = true
	now := time.Now()
	c.cancelEnd.Store(now.Add(cancelAnswerLimit(c.cancelGrace)).UnixNano())
	_ = c.nc.SetDeadline(now.Add(c.cancelGrace))
	c.cancelMu.Unlock()
	p.sendCancel(c.pid, c.secret)
}

// sendCancel sends a cancel request and waits until the member has acted on it, at most for the cancel grace.
func (p *Pool) sendCancel(pid uint32, secret []byte) {
	if secret == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), p.opts.CancelGrace)
	defer stop()
	nc, err := p.opts.Dial(ctx, p.opts.Member.DataAddr)
	if err != nil {
		if log, ok := p.cancelLogLimit.Allow(p.opts.Log, ""); ok {
			log.WithError(err).WithField("member", p.opts.Member.Name).Warn("cancel request could not be sent; the member may go on running the unit")
		}
		return
	}
	defer func() { _ = nc.Close() }()
	msg, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		return
	}
	_ = nc.SetDeadline(time.Now().Add(p.opts.CancelGrace))
	p.cancels.Add(1)
	if _, err := nc.Write(msg); err == nil {
		_, _ = nc.Read(msg[:1]) // the member closes the connection once it has acted on the request
	}
}

// replaceAfterTimeout is called when connection c gave no answer until its unit's deadline. It replaces all connections,
// unless that has happened since c was opened: the units that wait behind this one have used up their deadlines as well,
// and a unit that took another old connection would also be lost for a whole deadline.
func (p *Pool) replaceAfterTimeout(c *conn) {
	p.mu.Lock()
	replaced := p.closed || c.generation < p.generation
	p.mu.Unlock()
	if !replaced {
		p.replaceOlder(nil)
	}
}
