package backend

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	// limitRetryInterval is the time between attempts to connect to a member that has reached its connection limit. A
	// former owner closes its connections within owner.sweepInterval.
	limitRetryInterval = 20 * time.Millisecond
	// maxUncheckedIdle is how long a connection may have been idle for a read to use it without a check whether the
	// member has closed it. The check costs a system call. A read that fails on a closed connection is repeated, while the
	// outcome of a write would be unknown.
	maxUncheckedIdle = 10 * time.Millisecond
)

// acquire returns a connection, preferably one whose read-only state is already the wanted one. All its errors mean that
// the unit did not run.
func (p *Pool) acquire(ctx context.Context, readOnly bool) (*conn, error) {
	var limitErr error // the last refusal by the member's connection limit
	for {
		c, retry, err := p.tryAcquire(ctx, readOnly)
		switch {
		case retry && err != nil:
			limitErr = err
		case retry:
		case limitErr != nil && err != nil && (ctx.Err() != nil || isTimeout(err)):
			return nil, limitErr
		default:
			return c, err
		}
	}
}

// tryAcquire makes one attempt at acquire. retry is true if the caller should try again: an idle connection turned out
// dead (err is nil), or the member refused a connection because of its limit (err is the refusal).
func (p *Pool) tryAcquire(ctx context.Context, readOnly bool) (c *conn, retry bool, err error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, false, errkind.New(errkind.NoMember, "connection pool of member %s is closed", p.opts.Member.Name)
	}
	c = p.popIdle(readOnly)
	if c == nil && p.open < p.opts.MaxConnections {
		p.open++
		p.mu.Unlock()
		return p.dialOrPauseAtLimit(ctx)
	}
	if c != nil {
		p.mu.Unlock()
	} else {
		w := make(chan *conn, 1)
		p.waiters = append(p.waiters, w)
		p.mu.Unlock()
		if c, err = p.awaitConn(ctx, w); err != nil {
			return nil, false, err
		}
		if c == nil {
			return p.dialOrPauseAtLimit(ctx)
		}
	}
	if readOnly && time.Since(c.idleSince) < maxUncheckedIdle || c.alive() {
		return c, false, nil
	}
	p.discard(c)
	return nil, true, nil
}

// dialOrPauseAtLimit opens a connection under a permit. A member that refuses because of its connection limit counts as
// busy: after a pause, retry is true and err is the refusal. If this VM does not own the member, the refusal is final: the
// new owner uses all connections that the transactions here leave over, so the unit would wait until its deadline.
func (p *Pool) dialOrPauseAtLimit(ctx context.Context) (c *conn, retry bool, err error) {
	c, err = p.dialWithPermit(ctx)
	if !errkind.Is(err, errkind.TooManyConnections) {
		return c, false, err
	}
	if p.isNotOwned() {
		return nil, false, errkind.Wrap(errkind.NoMember, err, "this entry VM no longer owns member %s, whose new owner uses its connections", p.opts.Member.Name)
	}
	t := time.NewTimer(limitRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil, ctx.Err() == nil, err
	case <-ctx.Done():
		return nil, false, err
	}
}

// popIdle returns the most recently used idle connection or nil. Connections with the wanted read-only state come first.
// mu must be held.
func (p *Pool) popIdle(readOnly bool) *conn {
	first := 0
	if readOnly {
		first = 1
	}
	for _, i := range [2]int{first, 1 - first} {
		if n := len(p.idle[i]); n > 0 {
			c := p.idle[i][n-1]
			p.idle[i][n-1] = nil
			p.idle[i] = p.idle[i][:n-1]
			return c
		}
	}
	return nil
}

// awaitConn waits until w receives a connection, or nil as a permit to dial.
func (p *Pool) awaitConn(ctx context.Context, w chan *conn) (*conn, error) {
	select {
	case c := <-w:
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, errkind.New(errkind.DeadlineExceeded, "all %d connections to member %s are in use", p.opts.MaxConnections, p.opts.Member.Name)
		}
	}
	p.mu.Unlock()
	// A connection or permit was handed over between ctx.Done and the lock; it goes to the next waiter.
	if c := <-w; c != nil {
		p.release(c)
	} else {
		p.releasePermit()
	}
	return nil, errkind.New(errkind.DeadlineExceeded, "no connection to member %s was available before the deadline", p.opts.Member.Name)
}

// dialWithPermit opens a connection under a permit, that is, p.open counts it already. It releases the permit on failure.
func (p *Pool) dialWithPermit(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx)
	if err != nil {
		p.releasePermit()
		return nil, err
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}
